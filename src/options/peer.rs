//! Communication with other hosts.

use std::net::SocketAddr;
use std::time::Duration;

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::addresses;
use crate::options::convert::duration;

/// Heartbeats and connections between hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Peer {
    /// The peers to contact at startup, before a register is known.
    pub seeds: Vec<SocketAddr>,
    /// The interval between heartbeats.
    pub beat: Duration,
    /// The time without a heartbeat after which a host counts as gone.
    pub lease: Duration,
    /// The time without a heartbeat of any of its hosts after which a zone counts as empty.
    pub long_lease: Duration,
    /// The maximum time for a peer to accept a forwarded request.
    pub hop_timeout: Duration,
    /// The interval between pings on an idle connection.
    pub ping: Duration,
    /// The maximum time for a peer to answer a ping.
    pub ping_timeout: Duration,
}

impl Default for Peer {
    fn default() -> Self {
        Self {
            seeds: Vec::new(),
            beat: constants::PEER_HEARTBEAT,
            lease: constants::PEER_LEASE,
            long_lease: constants::PEER_LONG_LEASE,
            hop_timeout: constants::PEER_HOP_TIMEOUT,
            ping: constants::PEER_PING,
            ping_timeout: constants::PEER_PING_TIMEOUT,
        }
    }
}

impl From<border::Peer> for Peer {
    fn from(from: border::Peer) -> Self {
        let defaults = Self::default();
        Self {
            seeds: addresses(&from.seeds),
            beat: duration(from.beat_ms, defaults.beat),
            lease: duration(from.lease_ms, defaults.lease),
            long_lease: duration(from.long_lease_ms, defaults.long_lease),
            hop_timeout: duration(from.hop_timeout_ms, defaults.hop_timeout),
            ping: duration(from.ping_ms, defaults.ping),
            ping_timeout: duration(from.ping_timeout_ms, defaults.ping_timeout),
        }
    }
}
