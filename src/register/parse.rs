//! Parses a register and the parts of its list of workspaces from TOML, and
//! checks the references between their items.

mod convert;
mod service;
mod unique;
mod upstream;

use crate::border;
use crate::check::Entity;
use crate::check::Fault;
use crate::check::Kind;
use crate::check::cross;
use crate::check::cross::Names;
use crate::check::document::Document;
use crate::check::tree::Node;
use crate::register::Register;
use crate::register::workspace;

const REGISTER_SCHEMA: &str = include_str!("../../schema/register.json");
const WORKSPACES_SCHEMA: &str = include_str!("../../schema/workspaces.json");

/// Parses a register, or returns all faults in it.
pub fn register(text: &str) -> Result<Register, Vec<Fault>> {
    let mut document = Document::read_value(text, REGISTER_SCHEMA)?;
    let faults = faults(&document.root());
    document.add(faults);
    let register: border::register::Register = document.convert()?;
    Ok(Register::from(register))
}

/// Parses a part of the list of workspaces, or returns all faults in it.
pub fn workspaces(text: &str) -> Result<workspace::Part, Vec<Fault>> {
    let mut document = Document::read_value(text, WORKSPACES_SCHEMA)?;
    let faults = unique::names(&document.root(), "workspace");
    document.add(faults);
    let part: border::workspaces::Workspaces = document.convert()?;
    Ok(workspace::Part::from(part))
}

fn faults(root: &Node<'_>) -> Vec<Fault> {
    let zones = cross::names(root, "zone");
    let mut faults = unique::faults(root);
    faults.extend(
        root.list("zone")
            .iter()
            .flat_map(|zone| near_faults(zone, &zones)),
    );
    let hosts = cross::column(&root.list("host"), "zone");
    faults.extend(
        hosts
            .iter()
            .filter_map(|zone| cross::unlisted(zone, &zones, Entity::Zone)),
    );
    faults.extend(service::faults(root));
    faults.extend(upstream::faults(root, &zones));
    faults
}

fn near_faults(zone: &Node<'_>, zones: &Names<'_>) -> Vec<Fault> {
    let name = zone.get("name").and_then(|name| name.text());
    let near = zone.list("near");
    let itself = near
        .iter()
        .filter(|other| name.is_some() && other.text() == name);
    let itself = itself.map(|other| other.fault(Kind::NearItself));
    let unlisted = near
        .iter()
        .filter_map(|other| cross::unlisted(other, zones, Entity::Zone));
    unlisted
        .chain(itself)
        .chain(cross::duplicates(&near))
        .collect()
}
