//! Parses and checks rules from TOML.

use crate::border::rules as border;
use crate::check::Fault;
use crate::check::cross;
use crate::check::document::Document;
use crate::check::locate;
use crate::check::tree::Node;
use crate::revision::Revision;
use crate::rules::Load;
use crate::rules::Rules;

const RULES_SCHEMA: &str = include_str!("../../schema/rules.json");

/// Parses rules, or returns all faults in them. It doesn't check whether the
/// register lists the names: see [`dangling`](super::dangling).
pub fn rules(text: &str) -> Result<Rules, Vec<Fault>> {
    let mut document = Document::read_value(text, RULES_SCHEMA)?;
    let faults = faults(&document.root());
    document.add(faults);
    let rules: border::Rules = document.convert()?;
    Ok(Rules::from(rules))
}

/// Adds the position in the text to faults about names that are not listed.
pub fn locate(text: &str, faults: Vec<Fault>) -> Vec<Fault> {
    locate::locate(text, faults, references)
}

fn faults(root: &Node<'_>) -> Vec<Fault> {
    let draining = cross::duplicates(&root.list("draining"));
    let leaving = cross::duplicates(&root.list("leaving"));
    let started = cross::column(&root.list("started"), "upstream");
    let started = cross::duplicates(&started);
    draining.into_iter().chain(leaving).chain(started).collect()
}

fn references<'t>(root: &Node<'t>) -> Vec<Node<'t>> {
    let mut nodes = root.list("draining");
    nodes.extend(root.list("leaving"));
    nodes.extend(cross::column(&root.list("started"), "upstream"));
    nodes
}

impl From<border::Rules> for Rules {
    fn from(from: border::Rules) -> Self {
        let started = from.started.iter();
        Self {
            revision: Revision(from.revision.get()),
            draining: from
                .draining
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            leaving: from
                .leaving
                .iter()
                .map(|name| name.as_str().into())
                .collect(),
            started: started
                .map(|start| (start.upstream.as_str().into(), start.round.get()))
                .collect(),
            load: from.load.map(Load::from).unwrap_or_default(),
        }
    }
}

impl From<border::Load> for Load {
    fn from(from: border::Load) -> Self {
        let default = Self::default();
        Self {
            multiple: from.multiple.unwrap_or(default.multiple),
            floor: from.floor.map_or(default.floor, |floor| floor.get()),
        }
    }
}
