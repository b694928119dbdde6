//! Access to the platform.

use std::net::SocketAddr;
use std::time::Duration;

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::addresses;
use crate::options::convert::duration;

/// The addresses of the platform, and limits on calls to it.
#[derive(Clone, Debug, PartialEq)]
pub struct Platform {
    /// The addresses of the platform, in the order in which they are tried.
    pub addresses: Vec<SocketAddr>,
    /// The interval between reads of the list of hosts.
    pub poll: Duration,
    /// The maximum time that a watch waits for a change.
    pub watch: Duration,
    /// The maximum duration of a read.
    pub timeout: Duration,
    /// The rate limit of calls by this host; a watch counts as one call.
    pub calls_per_second: f64,
}

impl Default for Platform {
    fn default() -> Self {
        Self {
            addresses: Vec::new(),
            poll: constants::PLATFORM_POLL,
            watch: constants::PLATFORM_WATCH,
            timeout: constants::PLATFORM_TIMEOUT,
            calls_per_second: constants::PLATFORM_CALLS_PER_SECOND,
        }
    }
}

impl From<border::Platform> for Platform {
    fn from(from: border::Platform) -> Self {
        let defaults = Self::default();
        Self {
            addresses: addresses(&from.addresses),
            poll: duration(from.poll_ms, defaults.poll),
            watch: duration(from.watch_ms, defaults.watch),
            timeout: duration(from.timeout_ms, defaults.timeout),
            calls_per_second: from.calls_per_second.unwrap_or(defaults.calls_per_second),
        }
    }
}
