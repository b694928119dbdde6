//! The health of the own host, by which it decides whether it may act as a
//! home.

use strum::Display;
use tokio::time::Instant;

/// The health of the own host.
///
/// The variants are logged by their names.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Health {
    /// It listens until it has heard from its zone.
    Starting {
        /// When it began to listen.
        since: Instant,
    },
    /// It serves as home of upstreams.
    Steady,
    /// Its process was paused, and other hosts may have taken over its
    /// upstreams.
    Suspect {
        /// When it resumed.
        since: Instant,
    },
    /// Most of its live peers don't receive or don't accept its heartbeats.
    Unheard {
        /// When this was noticed.
        since: Instant,
    },
    /// It is draining and takes no new work.
    Draining,
}

impl Health {
    /// Tells whether the host may admit work as a home.
    pub fn admits(self) -> bool {
        self == Self::Steady
    }
}
