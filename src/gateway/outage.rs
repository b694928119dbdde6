//! Outages of the store, in which entries of live upstreams lapse.

use std::time::Duration;

use crate::boot;
use crate::gateway::view;

/// Silence of the store from which on entries of upstreams may have lapsed: they
/// do after three heartbeats of theirs.
pub const MIN_OUTAGE: Duration = Duration::from_millis(1_200);

/// Whether the store was away, as entries of live upstreams lapse meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    since: Option<boot::Instant>,
    restored_by: Option<boot::Instant>,
}

impl Outage {
    /// Records that a call which began at a moment failed.
    pub fn record_failure(&mut self, at: boot::Instant) {
        self.since.get_or_insert(at);
    }

    /// Records that the store answered, and tells whether it had been away.
    pub fn record_answer(&mut self, now: boot::Instant) -> bool {
        let since = self.since.take();
        let was_away = since.is_some_and(|since| now.since(since) > MIN_OUTAGE);
        if was_away {
            self.restored_by = Some(now + view::RESTORE_WINDOW);
        }
        was_away
    }

    /// Records that another host knows what the store holds: no entry lapsed but
    /// for an outage that the host saw the end of.
    pub fn record_peer_copy(&mut self, now: boot::Instant, settling: Duration) {
        self.since = None;
        let until = now + settling;
        self.restored_by = self.restored_by.max(Some(until));
    }

    /// Returns how much longer lapsed entries may be restored.
    pub fn settling(&self, now: boot::Instant) -> Duration {
        self.restored_by.map_or(Duration::ZERO, |by| by.since(now))
    }
}
