//! When connections beside responses are opened.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::witness::chain::Link;

/// Number of connections that are open at a time.
const LINKS: usize = 2;

/// Time between the first two connections of a chain. It breaks if the upstream closes idle connections
/// sooner than this and a [`HOLD_TIME`].
///
/// [`HOLD_TIME`]: crate::gateway::liveness::HOLD_TIME
const FIRST_STAGGER: Duration = Duration::from_millis(150);

/// Minimum time between two connections of a chain.
const MIN_STAGGER: Duration = Duration::from_millis(75);

/// Time before a connection that failed is tried again, doubled with each further failure.
const RETRY_TIME: Duration = Duration::from_millis(150);

/// Maximum time before a connection that failed is tried again.
const MAX_RETRY_TIME: Duration = Duration::from_secs(2);

/// When the connections of a witness are opened.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    /// How long the connection lived that ended last.
    lifetime: Option<Duration>,
    /// Number of connections in a row that couldn't be opened.
    failures: u32,
    /// When the next one may be opened after a failure.
    retry_at: Option<Instant>,
}

impl Schedule {
    /// Records whether a connection could be opened, and returns whether this one is the first that
    /// couldn't.
    pub fn record_opening(&mut self, now: Instant, is_open: bool) -> bool {
        if is_open {
            (self.failures, self.retry_at) = (0, None);
            return false;
        }
        let pause = RETRY_TIME.saturating_mul(2u32.saturating_pow(self.failures));
        self.retry_at = Some(now + pause.min(MAX_RETRY_TIME));
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Records that a connection has ended at an age.
    pub fn record_end(&mut self, age: Duration) {
        self.lifetime = Some(age);
    }

    /// Returns when the next connection is due beside open ones; `None` while there are enough. The
    /// times at which an upstream closes two of them as idle are kept apart by half of their lifetime.
    pub fn due(&self, now: Instant, open: &[Link]) -> Option<Instant> {
        let stagger = self
            .lifetime
            .map_or(FIRST_STAGGER, |it| (it / 2).max(MIN_STAGGER));
        let youngest = open.iter().map(|link| link.opened).max();
        let due = match youngest {
            None => now,
            Some(_) if open.len() >= LINKS => return None,
            Some(opened) => opened + stagger,
        };
        Some(self.retry_at.map_or(due, |at| at.max(due)))
    }
}
