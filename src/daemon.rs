//! The tasks of one host: listeners, heartbeats, configuration, metrics and
//! shutdown. They share the tables of [`State`](crate::state::State).

pub mod accept;
pub mod apply;
pub mod config;
pub mod heartbeat;
pub mod home;
pub mod meter;
pub mod operator;
pub mod peer;
pub mod serve;
pub mod shutdown;
pub mod status;
