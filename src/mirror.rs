//! A copy of the items of a watched store, with the age of the copy.
//!
//! A host reads the store itself or follows another host that does. Both feed
//! the same [`Table`], whose position in the store's history never goes back.

pub mod retained;
pub mod stamp;
pub mod table;
pub mod wire;

pub use retained::Fact;
pub use stamp::Stamp;
pub use table::Event;
pub use table::Item;
pub use table::Position;
pub use table::StampOf;
pub use table::Table;
