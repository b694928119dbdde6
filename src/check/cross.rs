//! Checks values against one another. Values of the wrong type are skipped, since
//! [`validate`](super::validate) reports them.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::btree_map::Entry;

use crate::check::Entity;
use crate::check::Fault;
use crate::check::Kind;
use crate::check::tree::Node;

/// The names of listed entities.
pub type Names<'t> = BTreeSet<&'t str>;

/// Returns the names of the items of a list.
pub fn names<'t>(root: &Node<'t>, list: &str) -> Names<'t> {
    let items = root.list(list);
    items
        .iter()
        .filter_map(|item| item.get("name")?.text())
        .collect()
}

/// Returns the values of a key in all items that have it.
pub fn column<'t>(items: &[Node<'t>], key: &str) -> Vec<Node<'t>> {
    items.iter().filter_map(|item| item.get(key)).collect()
}

/// Returns a fault for each text that occurred before. Empty texts are skipped.
pub fn duplicates(nodes: &[Node<'_>]) -> Vec<Fault> {
    duplicates_by(nodes, |text| match text {
        "" => None,
        text => Some(text.to_owned()),
    })
}

/// Returns a fault for each text with the same key as an earlier one. Texts without a key
/// are skipped.
pub fn duplicates_by<K: Ord>(nodes: &[Node<'_>], key: fn(&str) -> Option<K>) -> Vec<Fault> {
    let mut first = BTreeMap::new();
    let mut faults = Vec::new();
    for node in nodes {
        let text = node.text().unwrap_or_default();
        match key(text).map(|key| first.entry(key)) {
            Some(Entry::Occupied(entry)) => faults.push(node.fault(Kind::Duplicate {
                value: text.to_owned(),
                first_line: *entry.get(),
            })),
            Some(Entry::Vacant(entry)) => {
                entry.insert(node.line());
            }
            None => {}
        }
    }
    faults
}

/// Returns a fault if the name is not listed.
pub fn unlisted(node: &Node<'_>, listed: &Names<'_>, what: Entity) -> Option<Fault> {
    match node.text() {
        Some(name) if !listed.contains(name) => Some(node.fault(Kind::NotListed {
            what,
            name: name.to_owned(),
        })),
        _ => None,
    }
}
