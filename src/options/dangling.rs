//! Settings that the register contradicts.

use crate::check::Fault;
use crate::check::Kind;
use crate::check::Entity;
use crate::options::Options;
use crate::register::Register;

/// Returns the faults of a host's name and zone next to a register. A new
/// host may start before the register that lists it has arrived.
pub fn dangling(options: &Options, register: &Register) -> Option<Fault> {
    let host = &options.host;
    match register.hosts.get(&host.name) {
        None => Some(Fault::at_key(
            "host: name",
            Kind::NotListed {
                what: Entity::Host,
                name: host.name.to_string(),
            },
        )),
        Some(spec) if spec.zone != host.zone => Some(Fault::at_key(
            "host: zone",
            Kind::OtherZone {
                listed: spec.zone.to_string(),
            },
        )),
        Some(_) => None,
    }
}
