//! The incarnation of a host: one run of its process.

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

use crate::ident;

/// One run of a host's process, distinguished from earlier runs by a random
/// number.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Incarnation {
    /// The host.
    pub host: ident::Host,
    /// A random number drawn at the start of the process.
    pub start: u64,
}

impl Incarnation {
    /// Returns a new incarnation of a host with a random start number.
    pub fn new(host: ident::Host, rng: &mut impl rand::Rng) -> Self {
        Self {
            host,
            start: rng.next_u64(),
        }
    }
}

impl fmt::Display for Incarnation {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}/{:016x}", self.host, self.start)
    }
}
