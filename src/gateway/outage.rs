//! Detects outages of the store, in which entries of live upstreams expire.
//!
//! Upstreams renew their entries in the store. Entries that expired in an outage are
//! restored soon after its end, so they are kept in use for that time.

use std::time::Duration;

use crate::boot;
use crate::gateway::view;

/// Time without a response of the store after which entries of upstreams may have
/// expired: an entry expires after three missed heartbeats.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_200);

/// The current or latest outage of the store.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    /// Start of the first failed call since the store last responded.
    since: Option<boot::Instant>,
    /// Until when expired entries may be restored after the latest outage.
    restored_by: Option<boot::Instant>,
}

impl Outage {
    /// Records that a call to the store failed, which began at `at`.
    pub fn record_failure(&mut self, at: boot::Instant) {
        self.since.get_or_insert(at);
    }

    /// Records that the store responded, and returns whether this ended an outage.
    pub fn record_answer(&mut self, now: boot::Instant) -> bool {
        let since = self.since.take();
        let was_outage = since.is_some_and(|since| now.since(since) > MIN_OUTAGE);
        if was_outage {
            self.restored_by = Some(now + view::RESTORE_WINDOW);
        }
        was_outage
    }

    /// Records that the store's content was copied from another host. That host has
    /// seen the end of any outage, so entries are kept only for its remaining time
    /// `settling`.
    pub fn record_peer_copy(&mut self, now: boot::Instant, settling: Duration) {
        self.since = None;
        let until = now + settling;
        self.restored_by = self.restored_by.max(Some(until));
    }

    /// Returns how much longer expired entries may be restored.
    pub fn settling(&self, now: boot::Instant) -> Duration {
        self.restored_by.map_or(Duration::ZERO, |by| by.since(now))
    }
}
