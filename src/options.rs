//! The settings of one host, read from TOML, one module a section.

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

/// All settings of a host. They stay as they are while the process lives, but for
/// what [`crate::gateway::reload`] names.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Who this host is and where it listens.
    pub host: Host,
    /// How it reads from the platform.
    pub platform: Platform,
    /// How it talks to other hosts.
    pub peer: Peer,
    /// Limits on what callers send.
    pub caller: Caller,
    /// Limits on connections to upstreams.
    pub upstream: Upstream,
    /// How many requests wait, and for how long.
    pub queue: Queue,
    /// How much is tried again.
    pub retry: Retry,
    /// How execution tokens and their answers are kept.
    pub token: Token,
    /// When a request that crashes upstreams is refused.
    pub strike: Strike,
    /// How a shutdown proceeds.
    pub drain: Drain,
    /// What is logged.
    pub log: Log,
    /// Which metrics are sent where.
    pub metric: Metric,
    /// How a gateway bounds what it does together with other hosts.
    pub gateway: Gateway,
}

impl Options {
    /// Returns the defaults for a host. They name no source of a register.
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
    /// Reads settings, or tells everything that is wrong with them.
    pub fn parse(text: &str) -> Result<Self, Vec<Fault>> {
        parse::options(text)
    }
}
