//! The rules: the operational overrides that operators publish on top of the
//! register, such as which availability zone is draining.

mod dangling;
pub mod parse;

pub use dangling::dangling;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ident;
use crate::revision::Revision;

/// A checked set of rules.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Rules {
    /// The revision of the published value.
    pub revision: Revision,
    /// Zones that are drained: their upstreams get no new requests.
    pub draining: BTreeSet<ident::Zone>,
    /// Upstreams that are being removed: they get no new requests.
    pub leaving: BTreeSet<ident::Upstream>,
    /// Newly started upstreams, with a number that grows with each start.
    pub started: BTreeMap<ident::Upstream, u64>,
    /// The limits on the load of each upstream.
    pub load: Load,
}

/// The limits on the load of one upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Load {
    /// The maximum load as a multiple of the mean load of the pool.
    pub multiple: f64,
    /// The load in requests that is always allowed, however low the mean is.
    pub floor: u32,
}

impl Default for Load {
    fn default() -> Self {
        Self {
            multiple: 1.5,
            floor: 2,
        }
    }
}
