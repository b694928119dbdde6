//! The version of a value: its revision and a hash of its content.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;
use xxhash_rust::xxh3::xxh3_64;

use crate::revision::Revision;

/// A version of a value.
///
/// The order is total, so that all hosts converge on the same version in
/// whatever order they receive them. The revision decides. Two contents under
/// one revision are a mistake of the publisher, but if each host kept the one
/// that it received first, hosts would differ until the next revision. So the
/// greater hash wins everywhere, and the conflict is reported.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
pub struct Version {
    /// The revision.
    pub revision: Revision,
    /// The hash of the text.
    pub hash: u64,
}

impl Version {
    /// Returns the version of a text with a known revision.
    pub fn of(revision: Revision, text: &str) -> Self {
        Self {
            revision,
            hash: hash(text),
        }
    }
}

impl fmt::Display for Version {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}-{:016x}", self.revision, self.hash)
    }
}

/// Returns the hash of a text.
pub fn hash(text: &str) -> u64 {
    xxh3_64(text.as_bytes())
}
