//! Membership: which hosts are live and which host is home of each upstream.
//!
//! Relies on the register for the hosts that may exist, on the platform's list
//! and on heartbeats.

pub mod change;
pub mod config_state;
pub mod damping;
pub mod health;
pub mod heartbeat;
pub mod incarnation;
pub mod listing;
pub mod load;
pub mod packed;
pub mod peer;
pub mod placement;
pub mod remote_zone;
pub mod roster;
pub mod summary;
pub mod timing;
pub mod view;
