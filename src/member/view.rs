//! The view of a host: which hosts are live, and who is home of what.
//!
//! It draws on the register (who may exist and where), the platform's list
//! (lagging) and heartbeats. Views of different hosts differ for seconds.
//!
//! ```
//! use masticmoor::member::incarnation::Incarnation;
//! use masticmoor::member::timing::Timing;
//! use masticmoor::member::view::View;
//! use tokio::time::Instant;
//!
//! let own = Incarnation::new("e1".into(), &mut rand::rng());
//! let mut view = View::new(Instant::now(), own, Timing::default());
//! // It is home of nothing before it has a register and heard its zone.
//! assert!(view.tick(Instant::now()).is_empty());
//! assert!(!view.admits(Instant::now()));
//! ```

mod command;
mod query;
mod stand;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::ident;
use crate::member::held::Held;
use crate::member::incarnation::Incarnation;
use crate::member::listing::Listing;
use crate::member::neighbour::Neighbour;
use crate::member::peer::Peer;
use crate::member::standing::Standing;
use crate::member::summary::Summary;
use crate::member::timing::Timing;

/// The share of their usual load that upstreams of an empty zone get from the
/// zone that takes them over.
pub const TAKE_OVER_SHARE: f64 = 0.25;

/// How many hosts of a zone tell another zone about it, and how many are told.
pub const LINKS: usize = 2;

/// Every how many beats the zones tell each other about themselves.
const SUMMARY_BEATS: u64 = 2;

/// The view of one host.
#[derive(Clone, Debug)]
pub struct View {
    own: Incarnation,
    base: Timing,
    timing: Timing,
    zone: Option<ident::Zone>,
    standing: Standing,
    sequence: u64,
    beats: u64,
    ticked: Instant,
    roster: Vec<ident::Host>,
    names: u16,
    place: Option<usize>,
    near: BTreeMap<ident::Zone, Vec<ident::Zone>>,
    peers: BTreeMap<ident::Host, Peer>,
    neighbours: BTreeMap<ident::Zone, Neighbour>,
    listed: Option<Vec<Listing>>,
    electors: BTreeSet<ident::Host>,
    answered: BTreeSet<ident::Host>,
    held: Held,
    relayed: BTreeMap<ident::Zone, Summary>,
    counts: Counts,
}

/// Datagrams that were dropped, by cause.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Older than one already heard.
    pub stale: u64,
    /// From a host that the register doesn't list in the zone.
    pub unknown: u64,
    /// From another address than the register gives.
    pub foreign: u64,
    /// From a second process of a host that is still heard.
    pub rival: u64,
    /// From a process that claims the own name.
    pub twin: u64,
}

impl View {
    /// The view of a host that has heard nothing yet.
    pub fn new(now: Instant, own: Incarnation, timing: Timing) -> Self {
        Self {
            own,
            base: timing,
            timing,
            zone: None,
            standing: Standing::Starting { since: now },
            sequence: 0,
            beats: 0,
            ticked: now,
            roster: Vec::new(),
            names: 0,
            place: None,
            near: BTreeMap::new(),
            peers: BTreeMap::new(),
            neighbours: BTreeMap::new(),
            listed: None,
            electors: BTreeSet::new(),
            answered: BTreeSet::new(),
            held: Held::default(),
            relayed: BTreeMap::new(),
            counts: Counts::default(),
        }
    }
}
