//! What a platform shows when it is not well.

use serde::Deserialize;
use serde::Serialize;

/// What a platform shows from now on.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// How many versions the shown values are behind.
    pub stale: usize,
    /// Whether calls reach a fresh and a stale replica by turns.
    pub flapping: bool,
    /// How long each call is held back, in milliseconds.
    pub slow_ms: u64,
}

impl Plan {
    /// Returns how many versions behind the replica is that answers a call.
    pub(super) fn age(&self, read_count: u64) -> usize {
        match self.flapping {
            true if read_count.is_multiple_of(2) => 0,
            _ => self.stale,
        }
    }
}
