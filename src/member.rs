//! Membership: which hosts are live and which host is home of each upstream.
//!
//! Relies on the register for the hosts that may exist, on the platform's list
//! and on heartbeats.

pub mod beat;
pub mod change;
pub mod damp;
pub mod held;
pub mod incarnation;
pub mod listing;
pub mod load;
pub mod neighbour;
pub mod packed;
pub mod peer;
pub mod place;
pub mod roll;
pub mod standing;
pub mod summary;
pub mod timing;
pub mod view;
