//! The upstreams that may take a request, in tiers of zones by preference.
//! Derived from the register and the rules.

use std::collections::BTreeMap;

use crate::ident;
use crate::policy::rank;
use crate::register::Register;
use crate::register::upstream::Kind;
use crate::register::upstream::Pool;
use crate::register::upstream::Spec;
use crate::register::zone;
use crate::rules::Rules;

/// The eligible upstreams for one register and one set of rules.
///
/// For models, the zones of a region form one tier, so that a chat that arrives
/// through another zone finds its cache again. Plain services cache nothing, so
/// the entry's own zone comes first.
#[derive(Clone, Debug, Default)]
pub struct Index {
    /// Non-empty tiers by pool and by the zone of the entry.
    tiers: BTreeMap<Pool, BTreeMap<ident::Zone, Vec<Vec<rank::Candidate>>>>,
    /// Non-empty lists of eligible upstreams by pool and zone.
    pools: Pools,
}

type Pools = BTreeMap<Pool, BTreeMap<ident::Zone, Vec<rank::Candidate>>>;

impl Index {
    /// Builds the index from a register and rules.
    pub fn new(register: &Register, rules: &Rules) -> Self {
        let pools = pools(register, rules);
        let tiers_of = |(pool, zones): (&Pool, &BTreeMap<_, _>)| {
            let tiers = register.zones.iter().map(|(own, spec)| {
                let zone_groups = zone_groups(register, own, spec, pool);
                (own.clone(), tiers(zone_groups, zones))
            });
            (pool.clone(), tiers.collect())
        };
        Self {
            tiers: pools.iter().map(tiers_of).collect(),
            pools,
        }
    }

    /// Returns the upstreams for a request from an entry in `zone`, preferred
    /// tier first.
    pub fn tiers(
        &self,
        pool: &Pool,
        zone: &ident::Zone,
    ) -> impl Iterator<Item = &[rank::Candidate]> {
        let zones = self.tiers.get(pool);
        let tiers = zones.and_then(|zones| zones.get(zone));
        tiers.into_iter().flatten().map(Vec::as_slice)
    }

    /// Returns all eligible upstreams of a pool with their zones.
    pub fn pool(&self, pool: &Pool) -> impl Iterator<Item = (&ident::Zone, &rank::Candidate)> {
        self.pools
            .get(pool)
            .into_iter()
            .flatten()
            .flat_map(|(zone, list)| list.iter().map(move |candidate| (zone, candidate)))
    }
}

/// Returns the zones that may serve the zone `own`, nearest first, grouped by
/// tier.
fn zone_groups<'a>(
    register: &'a Register,
    own: &'a ident::Zone,
    spec: &'a zone::Spec,
    pool: &Pool,
) -> Vec<Vec<&'a ident::Zone>> {
    let near = spec.near.iter().filter(|zone| *zone != own);
    let path = std::iter::once(own).chain(near);
    let in_region = |zone: &&ident::Zone| {
        let other = register.zones.get(*zone);
        other.is_some_and(|other| other.region == spec.region)
    };
    match pool {
        Pool::Service(_) => path.map(|zone| vec![zone]).collect(),
        Pool::Model(_) => {
            let (region, remote): (Vec<_>, Vec<_>) = path.partition(in_region);
            let remote = remote.into_iter().map(|zone| vec![zone]);
            std::iter::once(region).chain(remote).collect()
        }
    }
}

fn tiers(
    zone_groups: Vec<Vec<&ident::Zone>>,
    zones: &BTreeMap<ident::Zone, Vec<rank::Candidate>>,
) -> Vec<Vec<rank::Candidate>> {
    let tier = |group: Vec<&ident::Zone>| -> Vec<rank::Candidate> {
        let lists = group.into_iter().filter_map(|zone| zones.get(zone));
        lists.flatten().cloned().collect()
    };
    let tiers = zone_groups.into_iter().map(tier);
    tiers.filter(|tier| !tier.is_empty()).collect()
}

fn pools(register: &Register, rules: &Rules) -> Pools {
    let mut pools = Pools::new();
    let in_service = register.upstreams.iter().filter(|(name, spec)| {
        !rules.leaving.contains(*name) && !rules.draining.contains(&spec.zone)
    });
    for (name, spec) in in_service {
        for pool in pools_of(spec) {
            let zones = pools.entry(pool).or_default();
            let list = zones.entry(spec.zone.clone()).or_default();
            list.push(rank::Candidate {
                upstream: name.clone(),
                weight: f64::from(spec.slots),
            });
        }
    }
    pools
}

/// Returns the pools that an upstream serves.
pub fn pools_of(spec: &Spec) -> Vec<Pool> {
    let all: Vec<Pool> = match &spec.kind {
        Kind::Engine { models, .. } => models.iter().cloned().map(Pool::Model).collect(),
        Kind::Plain { service } => vec![Pool::Service(service.clone())],
    };
    all.into_iter().filter(|pool| spec.serves(pool)).collect()
}
