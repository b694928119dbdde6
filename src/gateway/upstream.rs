//! An upstream as the platform lists it, and this host's record of it.

use std::net::SocketAddr;
use std::time::Duration;

use crate::boot;
use crate::ident;

/// One run of an upstream's process, as listed by the platform.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// Id. The upstream rejects requests that state another one.
    pub id: ident::Upstream,
    /// Service that it runs.
    pub service: ident::Service,
    /// Version of its software. Events of different versions don't fit into one stream.
    pub version: ident::Version,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Availability zone.
    pub zone: ident::Zone,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// Whether it is shutting down.
    pub is_draining: bool,
    /// How long it stays cold, counted from when it was listed.
    pub cold_left: Duration,
    /// When the process started, in milliseconds of wall-clock time, if listed.
    pub started_ms: Option<u64>,
}

/// A listed upstream, with times of this host's clock.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Record {
    /// The upstream as listed.
    pub upstream: Upstream,
    /// When it stops being cold.
    pub cold_until: boot::Instant,
    /// Until when it stays in use although it is no longer listed; `None` while it is
    /// listed. An entry that expired in an outage of the store is restored soon after.
    pub expires_at: Option<boot::Instant>,
}

impl Upstream {
    /// Returns whether another entry is of the same process.
    pub fn is_process(&self, other: &Self) -> bool {
        self.id == other.id && self.address == other.address && self.started_ms == other.started_ms
    }

    /// Returns whether this process is known to have started before that of another entry.
    pub fn is_earlier(&self, other: &Self) -> bool {
        let starts = self.started_ms.zip(other.started_ms);
        starts.is_some_and(|(start, other)| start < other)
    }
}

impl Record {
    /// Returns whether the upstream may get new requests.
    pub fn accepts_requests(&self, now: boot::Instant) -> bool {
        !self.upstream.is_draining && self.expires_at.is_none_or(|at| at > now)
    }
}
