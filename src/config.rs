//! Configuration: the published values that a host has applied, and how they
//! spread.
//!
//! Values come from the platform, or are pulled from peers that have newer
//! ones. Relies on [`crate::member`] for the hosts to pull from.

pub mod delta;
pub mod key;
pub mod platform;
pub mod pull;
pub mod replication;
pub mod startup;
pub mod store;
pub mod token_bucket;
pub mod value;
pub mod version;
pub mod watch;

/// The maximum size of a value, in bytes. Hosts refuse longer ones.
pub const VALUE_LIMIT_BYTES: usize = 2 * 1_024 * 1_024;
