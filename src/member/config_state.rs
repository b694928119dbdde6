//! A compact description of the configuration that a host has applied, by which
//! hosts find out who has newer values.

use serde::Deserialize;
use serde::Serialize;

use crate::revision::Revision;

/// The configuration that a host has applied.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigState {
    /// The revision of the register.
    pub register: Revision,
    /// The revision of the rules.
    pub rules: Revision,
    /// The sum of the revisions of all parts of the workspace list.
    #[serde(rename = "parts")]
    pub workspaces: u64,
    /// The hash of the versions of all values.
    #[serde(rename = "mark")]
    pub hash: u32,
}

impl ConfigState {
    /// Returns the sum of all revisions. It increases with each value that is
    /// applied.
    pub fn sum(&self) -> u64 {
        self.register
            .0
            .saturating_add(self.rules.0)
            .saturating_add(self.workspaces)
    }

    /// Tells whether a host with the `other` configuration should pull values
    /// from a host with this one.
    ///
    /// Of two hosts that are each ahead in another value, the one with the
    /// smaller sum pulls first, and is then ahead in both. With equal sums but
    /// different hashes, both pull.
    pub fn is_ahead(&self, other: &Self) -> bool {
        match self.sum().cmp(&other.sum()) {
            std::cmp::Ordering::Greater => true,
            std::cmp::Ordering::Equal => self.hash != other.hash,
            std::cmp::Ordering::Less => false,
        }
    }
}
