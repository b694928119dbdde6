//! Pure decisions about where and when a request runs: no I/O, no clock, no
//! locks.
//!
//! - [`choose`]: upstreams to try for a request, best first
//! - [`crash`]: requests that crash upstreams
//! - [`eligible`]: upstreams that may take a request at all
//! - [`fair`]: weighted fair queue between workspaces
//! - [`load`]: load reports of upstreams and their mean
//! - [`ramp`]: slow start of cold upstreams
//! - [`quarantine`]: prompt segments that crash upstreams
//! - [`quota`]: rate limit on tokens requested in advance
//! - [`rank`]: rendezvous hashing of chats to upstreams and of upstreams to homes
//! - [`recent`]: chats that an upstream answered recently
//! - [`report`]: the order in which a host tells others what it knows
//! - [`retry`]: retry budget

pub mod choose;
pub mod crash;
pub mod eligible;
pub mod fair;
pub mod load;
pub mod quarantine;
pub mod quota;
pub mod ramp;
pub mod rank;
pub mod recent;
pub mod report;
pub mod retry;
