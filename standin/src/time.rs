//! Waits of the stand-ins.

use std::time::Duration;

/// Waits, and not at all when there is nothing to wait for: a timer takes a
/// millisecond even then.
pub async fn sleep(duration: Duration) {
    if !duration.is_zero() {
        tokio::time::sleep(duration).await;
    }
}
