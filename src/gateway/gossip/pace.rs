//! How often a host sends gossip.
//!
//! Regular rounds have a fixed rate of datagrams. News starts a round earlier, but a host has news
//! all the time when connections fail or prompts move. Each host receives about as much as it
//! sends, so the time to the next round follows from the size of the last one and the slowest link
//! of the hosts that exchange gossip. Without that bound, gossip would fill the link, connections
//! would fail for it, and each failure would be news again.

use std::time::Duration;

/// Maximum rate of datagrams that a host sends. Rounds are less frequent in larger
/// fleets.
const DATAGRAMS_PER_SECOND: f64 = 60.0;

/// Minimum time between rounds while updates are urgent.
const MIN_URGENT_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum rate of datagrams that a host sends while updates are urgent, in a fleet whose zones
/// exchange summaries.
const URGENT_DATAGRAMS_PER_SECOND: f64 = 1_000.0;

/// Fraction of the slowest link that rounds may take. The rest is left to requests, which may
/// arrive at several times their usual rate.
const LINK_FRACTION: f64 = 0.2;

/// Bytes per second of a link of 1 Mbit/s.
const BYTES_PER_MBIT: f64 = 125_000.0;

/// Size of IP and UDP headers.
const HEADER_BYTES: usize = 28;

/// What a host sent in a round.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Number of hosts that got a message, and of zones that got a summary.
    pub recipients: usize,
    /// Size of the datagrams with their headers.
    pub bytes: usize,
    /// Whether the fleet is so large that zones exchange summaries.
    pub is_relayed: bool,
}

impl Round {
    /// Counts a datagram of a size for some recipients.
    pub fn add(&mut self, bytes: usize, recipients: usize) {
        self.bytes += (bytes + HEADER_BYTES) * recipients;
    }

    /// Returns the time to the next round. `pause` is the minimum that operators set.
    pub fn interval(&self, pause: Duration) -> Duration {
        let seconds = self.recipients as f64 / DATAGRAMS_PER_SECOND;
        pause.max(Duration::from_secs_f64(seconds))
    }

    /// Returns the minimum time to the next round while updates are urgent. `link_mbps` is the
    /// speed of the slowest link of the hosts that exchange gossip.
    pub fn urgent_interval(&self, link_mbps: u32) -> Duration {
        let rate = f64::from(link_mbps.max(1)) * BYTES_PER_MBIT * LINK_FRACTION;
        let by_link = Duration::from_secs_f64(self.bytes as f64 / rate);
        let by_count = match self.is_relayed {
            true => Duration::from_secs_f64(self.recipients as f64 / URGENT_DATAGRAMS_PER_SECOND),
            false => Duration::ZERO,
        };
        MIN_URGENT_INTERVAL.max(by_link).max(by_count)
    }
}
