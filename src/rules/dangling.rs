//! Finds dangling references: names in the rules that the register doesn't list.

use crate::check::Entity;
use crate::check::Fault;
use crate::check::Kind;
use crate::register::Register;
use crate::rules::Rules;

/// Returns a fault for each name that the register doesn't list. Rules and
/// register are published separately, so a fault may disappear once both have
/// arrived.
pub fn dangling(rules: &Rules, register: &Register) -> Vec<Fault> {
    let zones = rules.draining.iter();
    let zones = zones.filter(|zone| !register.zones.contains_key(*zone));
    let zones = zones.map(|zone| fault("draining", Entity::Zone, zone.as_str()));
    let leaving = rules.leaving.iter().map(|upstream| ("leaving", upstream));
    let started = rules.started.keys().map(|upstream| ("started", upstream));
    let upstreams = leaving.chain(started);
    let upstreams = upstreams.filter(|(_, upstream)| !register.upstreams.contains_key(*upstream));
    let upstreams = upstreams.map(|(key, name)| fault(key, Entity::Upstream, name.as_str()));
    zones.chain(upstreams).collect()
}

fn fault(key: &str, what: Entity, name: &str) -> Fault {
    let name = name.to_owned();
    Fault::at_key(key, Kind::NotListed { what, name })
}
