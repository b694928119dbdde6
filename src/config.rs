//! Configuration: which published values are in force, and how they spread.

pub mod budget;
pub mod delta;
pub mod gate;
pub mod key;
pub mod platform;
pub mod pull;
pub mod relay;
pub mod store;
pub mod value;
pub mod version;
pub mod watch;

/// The longest value, in bytes, that a host takes.
pub const VALUE_LIMIT_BYTES: usize = 2 * 1_024 * 1_024;
