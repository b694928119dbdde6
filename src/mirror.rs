//! A copy of the items of a watched store, with the age of the copy.
//!
//! A host reads the store itself or follows another host that does. Both feed
//! the same [`Table`], whose revision never decreases.

pub mod table;
pub mod wire;

pub use table::Event;
pub use table::Item;
pub use table::Table;
