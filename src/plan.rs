//! The applied register and rules, with the indexes derived from them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ident;
use crate::member::load;
use crate::policy::eligible;
use crate::register::Register;
use crate::register::upstream::Pool;
use crate::rules::Rules;

/// The register and the rules that this host applied last.
#[derive(Clone, Debug, Default)]
pub struct Plan {
    /// The register.
    pub register: Register,
    /// The rules.
    pub rules: Rules,
    /// Which upstreams may serve which requests.
    pub index: eligible::Index,
    /// The upstreams by the short hash that identifies them in heartbeats.
    pub upstreams_by_key: BTreeMap<u32, ident::Upstream>,
    /// All pools served by at least one upstream.
    pub pools: BTreeSet<Pool>,
}

impl Plan {
    /// Builds the plan for a register and rules.
    pub fn new(register: Register, rules: Rules) -> Self {
        let index = eligible::Index::new(&register, &rules);
        let names = register.upstreams.keys();
        let upstreams_by_key = names
            .map(|name| (load::upstream_key(name), name.clone()))
            .collect();
        let specs = register.upstreams.values();
        let pools = specs.flat_map(eligible::pools_of).collect();
        Self {
            register,
            rules,
            index,
            upstreams_by_key,
            pools,
        }
    }

    /// Returns whether a register has been applied.
    pub fn is_ready(&self) -> bool {
        !self.register.zones.is_empty()
    }

    /// Returns whether an upstream may get new requests: it is listed, and
    /// neither it nor its zone is being drained.
    pub fn in_service(&self, upstream: &ident::Upstream) -> bool {
        self.register
            .upstreams
            .get(upstream)
            .is_some_and(|spec| !self.rules.draining.contains(&spec.zone))
            && !self.rules.leaving.contains(upstream)
    }
}
