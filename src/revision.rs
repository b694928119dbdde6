//! The revision of a published value: a number that increases with each change.
//!
//! ```
//! use masticmoor::config::key::Key;
//! use masticmoor::config::store::Store;
//! use masticmoor::revision::Revision;
//! use tokio::time::Instant;
//!
//! let read = |text: &str| text.parse().map(Revision);
//! let mut store = Store::new(Instant::now());
//! assert!(store.offer(Instant::now(), Key::Rules, "7", read).is_change());
//! // An older revision is not applied.
//! assert!(!store.offer(Instant::now(), Key::Rules, "6", read).is_change());
//! ```

use std::fmt;

use serde::Deserialize;
use serde::Serialize;

/// The revision of a register or of rules. Zero means that no value is known.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Revision(pub u64);

impl fmt::Display for Revision {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "r{}", self.0)
    }
}
