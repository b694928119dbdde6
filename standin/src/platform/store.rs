//! Published values and their previous versions, from which stale reads are
//! answered.

use std::collections::BTreeMap;

use bytes::Bytes;

use super::hosts::Host;

/// Maximum number of versions of a value that are kept.
const MAX_VERSIONS: usize = 16;

/// One version of a published value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// The revision.
    pub revision: u64,
    /// The text.
    pub text: Bytes,
}

/// The published values and the list of hosts.
#[derive(Debug, Default)]
pub struct Store {
    /// The list of hosts.
    pub hosts: Vec<Host>,
    values: BTreeMap<String, Vec<Value>>,
}

impl Store {
    /// Publishes a value as the newest version.
    pub fn publish(&mut self, key: &str, text: &str) {
        let versions = self.values.entry(key.to_owned()).or_default();
        versions.push(Value {
            revision: revision(text),
            text: Bytes::copy_from_slice(text.as_bytes()),
        });
        if versions.len() > MAX_VERSIONS {
            versions.remove(0);
        }
    }

    /// Returns a value as it was `age` versions ago, or its oldest version.
    pub fn value(&self, key: &str, age: usize) -> Option<Value> {
        let versions = self.values.get(key)?;
        let newest = versions.len().saturating_sub(1);
        versions.get(newest.saturating_sub(age)).cloned()
    }
}

/// Returns the revision that a text contains, or zero.
fn revision(text: &str) -> u64 {
    text.lines()
        .filter_map(|line| line.split_once('='))
        .find(|(key, _)| key.trim() == "revision")
        .and_then(|(_, value)| value.trim().parse().ok())
        .unwrap_or(0)
}
