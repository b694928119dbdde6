//! The membership view of a host: which hosts are live, and which of them is
//! home of each upstream.
//!
//! It relies on the register (which hosts may exist and their addresses), the
//! platform's list of hosts (which lags) and heartbeats. The views of different
//! hosts may differ for seconds.
//!
//! ```
//! use masticmoor::member::incarnation::Incarnation;
//! use masticmoor::member::timing::Timing;
//! use masticmoor::member::view::View;
//! use tokio::time::Instant;
//!
//! let own = Incarnation::new("e1".into(), &mut rand::rng());
//! let mut view = View::new(Instant::now(), own, Timing::default());
//! // It is home of nothing before it has a register and has heard its zone.
//! assert!(view.tick(Instant::now()).is_empty());
//! assert!(!view.admits(Instant::now()));
//! ```

mod command;
mod evaluate;
mod query;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::ident;
use crate::member::config_state::ConfigState;
use crate::member::health::Health;
use crate::member::incarnation::Incarnation;
use crate::member::listing::Listing;
use crate::member::peer::Peer;
use crate::member::remote_zone::RemoteZone;
use crate::member::summary::Summary;
use crate::member::timing::Timing;

/// The share of their usual load that the upstreams of an empty zone get from
/// the zone that takes them over.
pub const TAKEOVER_SHARE: f64 = 0.25;

/// How many hosts of a zone send its summaries to another zone, and how many
/// hosts of that zone receive them.
pub const ZONE_LINKS: usize = 2;

/// The interval of summaries, in heartbeats.
const SUMMARY_HEARTBEATS: u64 = 2;

/// The membership view of one host.
#[derive(Clone, Debug)]
pub struct View {
    incarnation: Incarnation,
    base_timing: Timing,
    timing: Timing,
    zone: Option<ident::Zone>,
    health: Health,
    sequence: u64,
    heartbeats: u64,
    last_tick: Instant,
    hosts: Vec<ident::Host>,
    hosts_hash: u16,
    own_index: Option<usize>,
    near: BTreeMap<ident::Zone, Vec<ident::Zone>>,
    peers: BTreeMap<ident::Host, Peer>,
    remote_zones: BTreeMap<ident::Zone, RemoteZone>,
    listings: Option<Vec<Listing>>,
    live_before_pause: BTreeSet<ident::Host>,
    confirmed: BTreeSet<ident::Host>,
    config: ConfigState,
    pending_summaries: BTreeMap<ident::Zone, Summary>,
    dropped: Counts,
}

/// The numbers of dropped datagrams, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Not newer than one already received.
    pub stale: u64,
    /// From a host that the register doesn't list in the zone.
    pub unknown: u64,
    /// From another address than the register gives.
    pub foreign: u64,
    /// From a second process of a host whose current process is still heard.
    pub duplicate: u64,
    /// From another process with the name of the own host.
    pub impostor: u64,
}

impl View {
    /// Returns the view of a host that has heard nothing yet.
    pub fn new(now: Instant, own: Incarnation, timing: Timing) -> Self {
        Self {
            incarnation: own,
            base_timing: timing,
            timing,
            zone: None,
            health: Health::Starting { since: now },
            sequence: 0,
            heartbeats: 0,
            last_tick: now,
            hosts: Vec::new(),
            hosts_hash: 0,
            own_index: None,
            near: BTreeMap::new(),
            peers: BTreeMap::new(),
            remote_zones: BTreeMap::new(),
            listings: None,
            live_before_pause: BTreeSet::new(),
            confirmed: BTreeSet::new(),
            config: ConfigState::default(),
            pending_summaries: BTreeMap::new(),
            dropped: Counts::default(),
        }
    }
}
