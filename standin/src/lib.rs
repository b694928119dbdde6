//! Stand-ins for what the fleet communicates with, for tests and load runs: the
//! platform, upstreams and callers. A server runs as a process or inside a test,
//! on a listener that its user passes in.
//!
//! - [`answer`]: responses that are a function of the request
//! - [`caller`]: the load generator
//! - [`engine`]: a model engine
//! - [`fault`]: fault injection
//! - [`fleet`]: a small fleet for tests
//! - [`journal`]: record of the requests that a stand-in ran
//! - [`measure`]: simulation of placement strategies on synthetic traces
//! - [`plain`]: a plain service that sells tickets
//! - [`platform`]: the configuration service and the list of hosts
//! - [`server`]: the HTTP server of the stand-ins
//! - [`signal`]: shutdown on SIGTERM and SIGINT

pub mod answer;
pub mod caller;
pub mod engine;
pub mod fault;
pub mod fleet;
pub mod journal;
pub mod measure;
pub mod plain;
pub mod platform;
pub mod server;
pub mod signal;

mod sync;
mod time;
