//! Decides when a starting host may use its configuration.

use std::time::Duration;

use tokio::time::Instant;

use crate::member::config_state::ConfigState;

/// The longest time that the gate stays closed because a peer is ahead, as a
/// multiple of the wait.
const MAX_WAITS: u32 = 4;

/// Keeps a starting host from using its configuration until it has asked its
/// peers, since the platform may be stale and the previous process of the host
/// may have used a newer value.
#[derive(Clone, Debug)]
pub struct Gate {
    since: Instant,
    wait: Duration,
    open: bool,
}

impl Gate {
    /// Returns a closed gate. The wait must be long enough to hear from every
    /// peer.
    pub fn new(now: Instant, wait: Duration) -> Self {
        Self {
            since: now,
            wait,
            open: false,
        }
    }

    /// Tells whether the host may use the configuration that it has applied.
    ///
    /// The gate opens after the wait once no peer is ahead, or after a multiple
    /// of the wait if a peer that is ahead can't be asked. It stays open.
    pub fn is_open<'a>(
        &mut self,
        now: Instant,
        config: &ConfigState,
        mut peers: impl Iterator<Item = &'a ConfigState>,
    ) -> bool {
        if config.register.0 == 0 && !self.open {
            // No peer can be heard before the register says who they are.
            self.since = now;
            return false;
        }
        let waited = now.duration_since(self.since);
        let behind = peers.any(|other| other.is_ahead(config));
        let limit = self.wait * MAX_WAITS;
        let ready = waited >= self.wait && !behind || waited >= limit;
        self.open |= ready;
        self.open
    }
}
