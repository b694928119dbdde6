//! The settings of a host, read from TOML. Each section of the file has a module with a
//! struct of the same name, whose fields are named after the section's keys.

pub mod caller;
pub mod constants;
mod convert;
mod dangling;
pub mod drain;
pub mod gateway;
pub mod host;
pub mod log;
pub mod metric;
mod pair;
pub mod parse;
pub mod peer;
pub mod platform;
pub mod queue;
pub mod retry;
pub mod strike;
pub mod token;
pub mod upstream;

pub use caller::Caller;
pub use dangling::dangling;
pub use drain::Drain;
pub use gateway::Gateway;
pub use host::Host;
pub use log::Log;
pub use metric::Metric;
pub use peer::Peer;
pub use platform::Platform;
pub use queue::Queue;
pub use retry::Retry;
pub use strike::Strike;
pub use token::Token;
pub use upstream::Upstream;

use crate::check::Fault;

/// All settings of a host. They don't change while the process runs, except those that
/// [`crate::gateway::reload`] lists.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The identity of the host and the addresses at which it listens.
    pub host: Host,
    /// Access to the platform.
    pub platform: Platform,
    /// Communication with other hosts.
    pub peer: Peer,
    /// Limits on requests of callers.
    pub caller: Caller,
    /// Limits on connections to upstreams.
    pub upstream: Upstream,
    /// Limits on queued requests.
    pub queue: Queue,
    /// Limits on retries.
    pub retry: Retry,
    /// Limits on execution tokens and stored responses.
    pub token: Token,
    /// Limits on crashes of upstreams by one request.
    pub strike: Strike,
    /// Limits on a shutdown.
    pub drain: Drain,
    /// The level and format of logs.
    pub log: Log,
    /// The destination of metrics.
    pub metric: Metric,
    /// Settings of a gateway.
    pub gateway: Gateway,
}

impl Options {
    /// Returns the default settings of a host. They lack a source of a register, so
    /// platform addresses or peer seeds must be added.
    pub fn new(host: Host) -> Self {
        Self {
            host,
            platform: Platform::default(),
            peer: Peer::default(),
            caller: Caller::default(),
            upstream: Upstream::default(),
            queue: Queue::default(),
            retry: Retry::default(),
            token: Token::default(),
            strike: Strike::default(),
            drain: Drain::default(),
            log: Log::default(),
            metric: Metric::default(),
            gateway: Gateway::default(),
        }
    }

    /// Parses settings. Returns all faults if there are any.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        parse::options(text)
    }
}
