//! Finds settings that contradict the register.

use crate::check::Entity;
use crate::check::Fault;
use crate::check::Kind;
use crate::options::Options;
use crate::register::Register;

/// Returns a fault if the register doesn't list the host or lists it in another zone.
/// A new host may start before it receives the register that lists it, so the fault may
/// disappear.
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
