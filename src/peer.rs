//! The protocol between hosts of the fleet: `rmp-serde` frames over HTTP/2.

pub mod client;
pub mod codec;
pub mod frame;
pub mod partition;
pub mod server;
