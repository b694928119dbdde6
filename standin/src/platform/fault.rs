//! Faults of the platform, in addition to those of all stand-ins.

use serde::Deserialize;
use serde::Serialize;

/// Faults of the calls that arrive from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// How many versions the returned values are behind.
    pub stale: usize,
    /// Whether calls alternate between an up-to-date and a stale replica.
    pub flapping: bool,
    /// Delay of each call, in milliseconds.
    pub slow_ms: u64,
}

impl Plan {
    /// Returns how many versions behind the replica of a read is.
    pub(super) fn age(&self, read_count: u64) -> usize {
        match self.flapping {
            true if read_count.is_multiple_of(2) => 0,
            _ => self.stale,
        }
    }
}
