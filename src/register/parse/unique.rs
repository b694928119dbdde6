//! Checks that names, addresses and path prefixes are unique.

use std::net::SocketAddr;

use crate::check::Fault;
use crate::check::cross;
use crate::check::tree::Node;

/// The lists whose items have unique names.
const NAMED_LISTS: [&str; 6] = ["zone", "host", "model", "service", "upstream", "workspace"];

/// Returns a fault for each repeated name, address and prefix.
pub fn faults(root: &Node<'_>) -> Vec<Fault> {
    let names = NAMED_LISTS.iter().flat_map(|list| names(root, list));
    let prefixes = cross::column(&root.list("service"), "prefix");
    names
        .chain(cross::duplicates(&prefixes))
        .chain(addresses(root))
        .collect()
}

/// Returns a fault for each repeated name in a list.
pub fn names(root: &Node<'_>, list: &str) -> Vec<Fault> {
    cross::duplicates(&cross::column(&root.list(list), "name"))
}

/// Returns a fault for each address that hosts or upstreams share.
fn addresses(root: &Node<'_>) -> Vec<Fault> {
    let mut nodes = cross::column(&root.list("host"), "peer");
    nodes.extend(cross::column(&root.list("upstream"), "address"));
    cross::duplicates_by(&nodes, |text| text.parse::<SocketAddr>().ok())
}
