//! The home of an upstream: the entry host that admits requests to it and
//! dispatches them.

mod answer;
pub mod connection;
pub mod desk;
pub mod run;
pub mod slot;
pub mod suspect;
