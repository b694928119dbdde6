//! The order that the writer of an item gives it, which holds across eras of the store.

use serde::Deserialize;
use serde::Serialize;

/// Who writes an item.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Writer {
    /// The operators, once for each change.
    Operator,
    /// An upstream, which renews its own entry.
    Upstream,
}

/// The order of an item among those that were written under its key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Stamp {
    /// Who wrote it.
    pub writer: Writer,
    /// When the writer's process started, in milliseconds of wall-clock time; 0 if it
    /// doesn't say.
    pub started_ms: u64,
    /// Number that the writer gave it, counted from the start of its process. `None` for
    /// an item without an order.
    pub sequence: Option<u64>,
}

impl Stamp {
    /// Returns whether this item was written before another one.
    pub fn is_before(&self, other: &Self) -> bool {
        match (self.sequence, other.sequence) {
            (Some(own), Some(sequence)) => (self.started_ms, own) < (other.started_ms, sequence),
            (Some(_) | None, Some(_) | None) => false,
        }
    }
}
