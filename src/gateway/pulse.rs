//! Whether this host was suspended.
//!
//! What a host finds on its sockets after a suspension may have arrived long before.

use std::time::Duration;

use crate::boot;

/// Time without a sign of this host's own activity from which on it counts as suspended. A busy host
/// is late by less.
pub const MIN_SUSPENSION: Duration = Duration::from_millis(500);

/// When tasks of this host ran.
#[derive(Clone, Copy, Debug)]
pub struct Pulse {
    last_beat: boot::Instant,
    /// When it ran again after the last suspension.
    resumed_at: Option<boot::Instant>,
}

impl Pulse {
    /// Returns the pulse of a host that starts.
    pub fn new(now: boot::Instant) -> Self {
        Self {
            last_beat: now,
            resumed_at: None,
        }
    }

    /// Records that the host runs. Called more often than every [`MIN_SUSPENSION`].
    pub fn beat(&mut self, now: boot::Instant) {
        if now.since(self.last_beat) >= MIN_SUSPENSION {
            self.resumed_at = Some(now);
        }
        self.last_beat = now;
    }

    /// Returns whether the host was suspended at any time since an earlier one.
    pub fn was_suspended(&self, now: boot::Instant, since: boot::Instant) -> bool {
        let is_overdue = now.since(self.last_beat) >= MIN_SUSPENSION;
        is_overdue || self.resumed_at.is_some_and(|at| at >= since)
    }
}
