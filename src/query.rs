//! The status of a host for operators, which is read-only.
//!
//! The daemon fills a [`Status`] from its state and serves it as JSON or, rendered by
//! [`render::text`], as aligned tables.

pub mod fetch;
mod grid;
pub mod render;
mod status;

pub use status::Config;
pub use status::Health;
pub use status::Host;
pub use status::Member;
pub use status::Presence;
pub use status::Rejection;
pub use status::Spread;
pub use status::Stage;
pub use status::Status;
pub use status::Upstream;
