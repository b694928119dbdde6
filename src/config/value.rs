//! Published values in the form that plans are made of.

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

/// A value with faults.
#[derive(Debug, thiserror::Error)]
#[error("{key} has {} faults, the first: {}", faults.len(), first(faults))]
pub struct Invalid {
    /// The key of the value.
    pub key: Key,
    /// What is wrong with it.
    pub faults: Vec<Fault>,
}

fn first(faults: &[Fault]) -> String {
    faults.first().map(Fault::to_string).unwrap_or_default()
}

/// A value without faults.
#[derive(Clone, Debug)]
pub enum Value {
    /// Hosts, upstreams and zones.
    Register(Arc<Register>),
    /// What operators rule on them.
    Rules(Arc<Rules>),
    /// A part of the workspaces.
    Part(Arc<workspace::Part>),
}

impl Value {
    /// Reads the text of a key's value.
    pub fn parse(key: Key, text: &str) -> Result<Self, Invalid> {
        let value = match key {
            Key::Register => register::parse::register(text).map(|it| Self::Register(it.into())),
            Key::Rules => rules::parse::rules(text).map(|it| Self::Rules(it.into())),
            Key::Workspaces(_) => register::parse::workspaces(text).map(|it| Self::Part(it.into())),
        };
        value.map_err(|faults| Invalid { key, faults })
    }

    /// Returns the revision that it states.
    pub fn revision(&self) -> Revision {
        match self {
            Self::Register(register) => register.revision,
            Self::Rules(rules) => rules.revision,
            Self::Part(part) => part.revision,
        }
    }
}

/// The values last read, by key and the hash of the text, so that each is read
/// once.
#[derive(Debug, Default)]
pub struct Cache(BTreeMap<Key, (u64, Value)>);

impl Cache {
    /// Returns the value of a key, if it is that of the text with this hash.
    pub fn get(&self, key: Key, hash: u64) -> Option<Value> {
        let (of, value) = self.0.get(&key)?;
        (*of == hash).then(|| value.clone())
    }

    /// Keeps the value of a key.
    pub fn insert(&mut self, key: Key, hash: u64, value: Value) {
        self.0.insert(key, (hash, value));
    }
}
