//! Adds positions in the text to faults that were found after its conversion.

use crate::check::Fault;
use crate::check::Kind;
use crate::check::tree::Node;
use crate::check::tree::Tree;

/// Sets the position of each fault to that of the value that it concerns, if `values`
/// returns that value.
pub fn locate(
    text: &str,
    mut faults: Vec<Fault>,
    values: impl for<'t> Fn(&Node<'t>) -> Vec<Node<'t>>,
) -> Vec<Fault> {
    let Ok(tree) = Tree::parse(text) else {
        return faults;
    };
    let nodes = values(&tree.root());
    for fault in &mut faults {
        if let Some(node) = nodes.iter().find(|node| concerns(fault, node)) {
            *fault = node.fault(fault.kind.clone());
        }
    }
    faults
}

fn concerns(fault: &Fault, node: &Node<'_>) -> bool {
    let under_key = node.label().starts_with(&fault.place.key);
    match &fault.kind {
        Kind::NotListed { name, .. } => under_key && node.text() == Some(name),
        _ => under_key,
    }
}
