//! The load figures in heartbeats. Upstreams and pools are identified by short
//! hashes of their names.

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::ident;
use crate::register::upstream::Pool;

/// The load of one upstream, as counted by its home.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Upstream {
    /// The short hash of the upstream's name.
    pub key: u32,
    /// The number of requests in progress.
    pub in_flight: u16,
    /// The number of requests queued for it.
    pub queued: u16,
    /// The current limit of concurrent requests.
    pub cap: u16,
    /// How many of its slots its ramp currently allows.
    pub allowance: u16,
}

/// The total load of the upstreams of one pool that a host or a zone is home
/// of.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Total {
    /// The short hash of the pool.
    pub key: u16,
    /// The number of requests in progress on all of them.
    pub in_flight: u32,
    /// The number of upstreams.
    pub upstreams: u16,
}

/// A request that was running when its upstream failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Crash {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The short hash of the upstream's name.
    pub upstream: u32,
    /// How long the crash still counts, in seconds.
    pub left_s: u16,
}

/// Returns the short hash of an upstream's name.
pub fn upstream_key(name: &ident::Upstream) -> u32 {
    let [a, b, c, d, ..] = xxh3_64(name.as_str().as_bytes()).to_le_bytes();
    u32::from_le_bytes([a, b, c, d])
}

/// Returns the short hash of a pool.
pub fn pool_key(pool: &Pool) -> u16 {
    let (kind, name) = match pool {
        Pool::Model(model) => ("model/", model.as_str()),
        Pool::Service(service) => ("service/", service.as_str()),
    };
    let [a, b, ..] = xxh3_64(format!("{kind}{name}").as_bytes()).to_le_bytes();
    u16::from_le_bytes([a, b])
}
