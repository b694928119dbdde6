//! Sleep without a timer for zero durations.

use std::time::Duration;

/// Sleeps, or returns at once if the duration is zero: a timer would take a
/// millisecond.
pub async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}
