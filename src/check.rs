//! Validates settings, register and rules before they are used. Reports all faults of a
//! file at once, each with its position.

pub(crate) mod cross;
pub(crate) mod document;
mod fault;
mod fill;
mod kind;
mod lines;
pub(crate) mod locate;
mod place;
mod report;
mod run;
mod schema;
pub(crate) mod text;
pub(crate) mod tree;
mod validate;

pub use fault::Fault;
pub use kind::Cause;
pub use kind::Entity;
pub use kind::Kind;
pub use place::Place;
pub use report::File;
pub use report::Report;
pub use run::run;

/// The maximum size of a value that the platform stores.
pub const MAX_VALUE_BYTES: usize = 1_000_000;
