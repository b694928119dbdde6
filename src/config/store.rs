//! The values that a host has applied, with the deltas that peers with earlier
//! versions need.

mod offer;
mod share;

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::error::Error;
use std::sync::Arc;

use tokio::time::Instant;
use xxhash_rust::xxh3::Xxh3Default;

use crate::config::delta::Delta;
use crate::config::key::Key;
use crate::config::token_bucket::TokenBucket;
use crate::config::version::Version;
use crate::member::config_state::ConfigState;
use crate::revision::Revision;

/// The reason why a value was refused.
pub type Reason = Arc<dyn Error + Send + Sync>;

/// The maximum number of deltas kept per value, for peers that have earlier
/// versions of it.
const MAX_DELTAS: usize = 32;

/// The maximum total size of the deltas kept per value.
const MAX_DELTA_BYTES: usize = 256 * 1_024;

/// The rate at which a host sends full values to its peers.
const FULL_VALUE_BYTES_PER_SECOND: f64 = 2.0 * 1_024.0 * 1_024.0;

/// The burst size for full values sent to peers.
const FULL_VALUE_BURST_BYTES: f64 = 4.0 * 1_024.0 * 1_024.0;

/// The applied values, by key. A value is only ever replaced by a greater
/// version.
#[derive(Debug)]
pub struct Store {
    values: BTreeMap<Key, Value>,
    refused: BTreeMap<Key, Refused>,
    conflicts: BTreeMap<Key, Conflict>,
    full_values: TokenBucket,
}

/// An applied value.
#[derive(Clone, Debug)]
pub struct Value {
    /// Its version.
    pub version: Version,
    /// Its text.
    pub text: Arc<str>,
    /// When this host applied it.
    pub since: Instant,
    /// Deltas from one version to the next. The last one results in this
    /// version.
    deltas: VecDeque<Delta>,
}

/// A value that was refused.
#[derive(Clone, Debug)]
pub struct Refused {
    /// The hash of its text.
    pub hash: u64,
    /// The reason.
    pub reason: Reason,
    /// When it was first refused.
    pub since: Instant,
    text: Arc<str>,
}

impl Refused {
    /// Returns the revision that its text states, zero if it states none.
    pub fn revision(&self) -> Revision {
        let number = self.text.lines().find_map(stated_revision);
        Revision(number.unwrap_or_default())
    }
}

/// Returns the number in a line such as `revision = 3`.
fn stated_revision(line: &str) -> Option<u64> {
    let number = line.strip_prefix("revision")?.trim().strip_prefix('=')?;
    number.trim().parse().ok()
}

/// Two contents that were published under one revision.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conflict {
    /// The version that stays applied.
    pub kept: Version,
    /// The hash of the other content.
    pub dropped: u64,
    /// When the conflict was detected.
    pub since: Instant,
}

/// The result of offering a value.
#[derive(Clone, Debug)]
pub enum Adoption {
    /// It was applied.
    Adopted {
        /// The previous revision, zero if there was none.
        from: Revision,
        /// The revision applied.
        to: Revision,
    },
    /// It had been applied already.
    Unchanged,
    /// It is older than the applied version.
    Older,
    /// It has the revision of the applied version, but another content.
    Conflict {
        /// The revision of both.
        revision: Revision,
        /// Whether the offered content was applied.
        adopted: bool,
    },
    /// It is invalid. The applied version stays.
    Refused(Reason),
}

impl Adoption {
    /// Tells whether the offered value was applied.
    pub fn is_change(&self) -> bool {
        matches!(
            self,
            Self::Adopted { .. } | Self::Conflict { adopted: true, .. }
        )
    }
}

impl Store {
    /// Returns an empty store.
    pub fn new(now: Instant) -> Self {
        Self {
            values: BTreeMap::new(),
            refused: BTreeMap::new(),
            conflicts: BTreeMap::new(),
            full_values: TokenBucket::new(now, FULL_VALUE_BYTES_PER_SECOND, FULL_VALUE_BURST_BYTES),
        }
    }

    /// Returns the value applied under a key.
    pub fn get(&self, key: Key) -> Option<&Value> {
        self.values.get(&key)
    }

    /// Returns the version applied under a key.
    pub fn version(&self, key: Key) -> Option<Version> {
        self.values.get(&key).map(|value| value.version)
    }

    /// Lists the applied values.
    pub fn values(&self) -> impl Iterator<Item = (Key, &Value)> {
        self.values.iter().map(|(key, value)| (*key, value))
    }

    /// Lists the last refused value of each key.
    pub fn refused(&self) -> impl Iterator<Item = (Key, &Refused)> {
        self.refused.iter().map(|(key, refused)| (*key, refused))
    }

    /// Lists the last conflict of each key.
    pub fn conflicts(&self) -> impl Iterator<Item = (Key, &Conflict)> {
        self.conflicts
            .iter()
            .map(|(key, conflict)| (*key, conflict))
    }

    /// Returns a compact description of the applied values.
    pub fn config_state(&self) -> ConfigState {
        let revision = |key| self.version(key).unwrap_or_default().revision;
        let workspaces = self
            .values
            .iter()
            .filter(|(key, _)| matches!(key, Key::Workspaces(_)))
            .map(|(_, value)| value.version.revision.0)
            .sum();
        ConfigState {
            register: revision(Key::Register),
            rules: revision(Key::Rules),
            workspaces,
            hash: self.hash(),
        }
    }

    fn hash(&self) -> u32 {
        let mut state = Xxh3Default::new();
        for (key, value) in &self.values {
            state.update(key.to_string().as_bytes());
            state.update(&value.version.hash.to_le_bytes());
            state.update(&value.version.revision.0.to_le_bytes());
        }
        let [a, b, c, d, ..] = state.digest().to_le_bytes();
        u32::from_le_bytes([a, b, c, d])
    }
}
