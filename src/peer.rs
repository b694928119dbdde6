//! The protocol between hosts of the fleet: `rmp-serde` frames over HTTP/2.

pub mod codec;
pub mod cut;
pub mod frame;
pub mod link;
pub mod serve;
