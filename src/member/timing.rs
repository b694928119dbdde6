//! Heartbeat intervals and leases, scaled to the size of the zone.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;

/// The number of heartbeats that a host may send per second. In larger zones,
/// hosts send them less often.
pub const HEARTBEATS_PER_SECOND: u32 = 18;

/// The maximum deviation of an interval from its mean, as a fraction of the
/// mean.
pub const JITTER: f64 = 0.2;

/// The number of heartbeat intervals for which a host listens before it is home
/// of anything.
const SETTLING_HEARTBEATS: f64 = 2.5;

/// The interval of heartbeats and the leases that follow from it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Timing {
    /// The mean interval between two heartbeats.
    pub heartbeat: Duration,
    /// The silence after which a host counts as lost.
    pub lease: Duration,
    /// The silence after which a whole zone counts as empty.
    pub zone_lease: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            heartbeat: Duration::from_secs(1),
            lease: Duration::from_secs(4),
            zone_lease: Duration::from_secs(60),
        }
    }
}

impl Timing {
    /// Scales the heartbeat interval and the leases to a zone of this many
    /// hosts, so that the traffic of a host does not grow with its zone.
    pub fn for_zone(self, hosts: usize) -> Self {
        let peers = u32::try_from(hosts.saturating_sub(1)).unwrap_or(u32::MAX);
        let factor = f64::from(peers.max(HEARTBEATS_PER_SECOND)) / f64::from(HEARTBEATS_PER_SECOND);
        Self {
            heartbeat: self.heartbeat.mul_f64(factor),
            lease: self.lease.mul_f64(factor),
            zone_lease: self.zone_lease.max(self.lease.mul_f64(factor * 2.0)),
        }
    }

    /// Returns the randomized time until the next heartbeat.
    pub fn next_interval(&self, rng: &mut impl Rng) -> Duration {
        self.heartbeat
            .mul_f64(rng.random_range(1.0 - JITTER..=1.0 + JITTER))
    }

    /// Returns how long a host listens before it is home of anything.
    pub fn settling_time(&self) -> Duration {
        self.heartbeat.mul_f64(SETTLING_HEARTBEATS)
    }

    /// Returns how late the own tick may be before the host treats it as a
    /// pause of its process.
    ///
    /// Half a lease: peers may have received the last heartbeat well before the
    /// pause.
    pub fn max_tick_delay(&self) -> Duration {
        self.lease / 2
    }
}
