//! Published values in parsed and checked form, from which plans are made.

use std::collections::BTreeMap;
use std::sync::Arc;

use crate::check::Fault;
use crate::config::key::Key;
use crate::register;
use crate::register::Register;
use crate::register::workspace;
use crate::revision::Revision;
use crate::rules;
use crate::rules::Rules;

/// A value that failed its checks.
#[derive(Debug, thiserror::Error)]
#[error("{key} has {} faults, first: {}", faults.len(), first_fault(faults))]
pub struct Invalid {
    /// The key of the value.
    pub key: Key,
    /// The faults found.
    pub faults: Vec<Fault>,
}

fn first_fault(faults: &[Fault]) -> String {
    faults.first().map(Fault::to_string).unwrap_or_default()
}

/// A value that passed its checks.
#[derive(Clone, Debug)]
pub enum Value {
    /// The register: hosts, upstreams and zones.
    Register(Arc<Register>),
    /// The rules: what operators override in the register.
    Rules(Arc<Rules>),
    /// A part of the workspace list.
    Part(Arc<workspace::Part>),
}

impl Value {
    /// Parses and checks the text published under a key.
    pub fn parse(key: Key, text: &str) -> Result<Self, Invalid> {
        let value = match key {
            Key::Register => register::parse::register(text).map(|it| Self::Register(it.into())),
            Key::Rules => rules::parse::rules(text).map(|it| Self::Rules(it.into())),
            Key::Workspaces(_) => register::parse::workspaces(text).map(|it| Self::Part(it.into())),
        };
        value.map_err(|faults| Invalid { key, faults })
    }

    /// Returns the revision that the value states.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Register(register) => register.revision,
            Self::Rules(rules) => rules.revision,
            Self::Part(part) => part.revision,
        }
    }
}

/// The last parsed value of each key with the hash of its text, so that each
/// text is parsed once.
#[derive(Debug, Default)]
pub struct Cache(BTreeMap<Key, (u64, Value)>);

impl Cache {
    /// Returns the value of a key if its text has this hash.
    pub fn get(&self, key: Key, hash: u64) -> Option<Value> {
        let (cached_hash, value) = self.0.get(&key)?;
        (*cached_hash == hash).then(|| value.clone())
    }

    /// Stores the value of a key.
    pub fn insert(&mut self, key: Key, hash: u64, value: Value) {
        self.0.insert(key, (hash, value));
    }
}
