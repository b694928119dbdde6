//! Changes of a view, which are logged and acted on.

use tokio::time::Instant;

use crate::ident;
use crate::member::health::Health;
use crate::member::incarnation::Incarnation;

/// A change of a view, reported once.
///
/// The variants are logged by their names.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Change {
    /// A host counts as live from now on.
    Joined(Incarnation),
    /// A host that was live only listens now, as after a pause of its process.
    Suspended(ident::Host),
    /// A host is draining and takes no new work.
    Draining(ident::Host),
    /// A host reported the end of its process, or was removed from the
    /// register.
    Left(ident::Host),
    /// No heartbeat of a host arrived for a lease. It still counts as live
    /// while most other hosts receive its heartbeats.
    Silent(ident::Host),
    /// The process of a host was replaced by another.
    Replaced {
        /// The previous process.
        from: Incarnation,
        /// The current process.
        to: Incarnation,
    },
    /// A host flaps; it is accepted again once its heartbeats have arrived
    /// without a gap until the given time.
    Damped {
        /// The host.
        host: ident::Host,
        /// The earliest time at which it is accepted again.
        until: Instant,
    },
    /// The health of the own host changed.
    Standing {
        /// The previous health.
        from: Health,
        /// The current health.
        to: Health,
    },
    /// A zone was heard from for the first time, or again after it counted as
    /// silent.
    ZoneHeard(ident::Zone),
    /// Nothing was received from a zone for the zone lease.
    ZoneSilent(ident::Zone),
}
