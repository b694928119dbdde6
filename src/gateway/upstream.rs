//! Upstreams as the platform lists them.

use std::net::SocketAddr;
use std::time::Duration;

use crate::boot;
use crate::ident;

/// One start of an upstream.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Its name, which it checks in each request.
    pub id: ident::Upstream,
    /// The service that it runs.
    pub service: ident::Service,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its availability zone.
    pub zone: ident::Zone,
    /// Requests that it runs at once.
    pub slots: u32,
    /// Whether it is about to leave.
    pub is_draining: bool,
    /// How long it was still cold when it was listed.
    pub cold_left: Duration,
    /// When this start of it began, in milliseconds of the time of day, if it
    /// says so.
    pub started_ms: Option<u64>,
}

/// An upstream as this host knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// What was listed.
    pub upstream: Upstream,
    /// When it stops being cold.
    pub cold_until: boot::Instant,
    /// Until when it stays in use though it is no longer listed: an entry that
    /// lapsed while the store was away is restored soon after its return.
    pub expires_at: Option<boot::Instant>,
}

impl Record {
    /// Tells whether new requests may go to it.
    pub fn accepts_requests(&self, now: boot::Instant) -> bool {
        !self.upstream.is_draining && self.expires_at.is_none_or(|at| at > now)
    }
}
