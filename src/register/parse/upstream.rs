//! Checks the upstreams of a register: references, kind, slots and models.

use crate::check::Entity;
use crate::check::Fault;
use crate::check::Kind;
use crate::check::cross;
use crate::check::cross::Names;
use crate::check::tree::Node;

/// Returns the faults of all upstreams.
pub fn faults(root: &Node<'_>, zones: &Names<'_>) -> Vec<Fault> {
    let listed = Listed {
        zones,
        models: &cross::names(root, "model"),
        services: &cross::names(root, "service"),
    };
    let upstreams = root.list("upstream");
    upstreams
        .iter()
        .flat_map(|upstream| upstream_faults(upstream, &listed))
        .collect()
}

/// The names that the register lists.
struct Listed<'a, 't> {
    zones: &'a Names<'t>,
    models: &'a Names<'t>,
    services: &'a Names<'t>,
}

fn upstream_faults(upstream: &Node<'_>, listed: &Listed<'_, '_>) -> Vec<Fault> {
    let unlisted = |key, names, what| cross::unlisted(&upstream.get(key)?, names, what);
    let zone = unlisted("zone", listed.zones, Entity::Zone);
    let service = unlisted("service", listed.services, Entity::Service);
    zone.into_iter()
        .chain(service)
        .chain(kind(upstream))
        .chain(slots(upstream))
        .chain(models(upstream, listed.models))
        .collect()
}

fn kind(upstream: &Node<'_>) -> Option<Fault> {
    match (upstream.get("engine"), upstream.get("service")) {
        (None, None) => Some(upstream.fault(Kind::ServesNothing)),
        (Some(_), Some(_)) => Some(upstream.fault(Kind::ServesTwo)),
        _ => None,
    }
}

fn slots(upstream: &Node<'_>) -> Option<Fault> {
    let cold = upstream.get("cold_slots")?;
    let value = cold.integer()?;
    let max = upstream.get("slots")?.integer()?;
    let other = "slots";
    match value > max {
        true => Some(cold.fault(Kind::Above { value, other, max })),
        false => None,
    }
}

fn models(upstream: &Node<'_>, listed: &Names<'_>) -> Vec<Fault> {
    let engine = upstream.get("engine");
    let models = engine
        .map(|engine| engine.list("models"))
        .unwrap_or_default();
    let unlisted = models
        .iter()
        .filter_map(|model| cross::unlisted(model, listed, Entity::Model));
    unlisted.chain(cross::duplicates(&models)).collect()
}
