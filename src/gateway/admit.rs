//! Admission: the order in which requests that found no upstream with spare capacity get one.
//!
//! - [`queue`]: requests by priority, then fair among workspaces, then by due time
//! - [`turn`]: which waiting request looks for an upstream, and when
//! - [`estimate`]: how long a request is expected to wait
//! - [`retry`]: when a refused caller is to return, and the place that is kept for it
//! - [`wait`]: the queues of a host, and the wait of a request in them

pub mod estimate;
pub mod queue;
pub mod retry;
pub mod turn;
pub mod wait;

pub use estimate::Estimate;
pub use wait::Queues;
