//! Checks the plain services of a register.

use crate::check::Fault;
use crate::check::Kind;
use crate::check::cross;
use crate::check::text::is_path;
use crate::check::tree::Node;
use crate::register::service::covers;

/// Returns a fault for each idempotent call whose path lies outside of its
/// service's prefix.
pub fn faults(root: &Node<'_>) -> Vec<Fault> {
    root.list("service")
        .iter()
        .flat_map(paths_outside)
        .collect()
}

fn paths_outside(service: &Node<'_>) -> Vec<Fault> {
    let prefix = service.get("prefix").and_then(|prefix| prefix.text());
    let paths = cross::column(&service.list("idempotent"), "path");
    paths
        .iter()
        .filter_map(|path| path_fault(path, prefix?))
        .collect()
}

fn path_fault(path: &Node<'_>, prefix: &str) -> Option<Fault> {
    match path.text() {
        Some(text) if !is_path(prefix) || !is_path(text) => None,
        Some(text) if !covers(prefix, text) => Some(path.fault(Kind::PathOutside {
            value: text.to_owned(),
            prefix: prefix.to_owned(),
        })),
        _ => None,
    }
}
