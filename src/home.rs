//! The home of an upstream: the entry host that admits requests to it and
//! dispatches them.

pub mod admission;
pub mod connection;
pub mod forward;
pub mod run;
pub mod segment;
pub mod slot;
pub mod suspect;
