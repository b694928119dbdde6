//! Settings of a gateway.

use std::time::Duration;

use crate::border::settings as border;
use crate::gateway::retry_budget;
use crate::options::constants;
use crate::options::convert::amount;
use crate::options::convert::decimal_duration;
use crate::options::convert::duration;
use crate::options::convert::number;

/// Settings of a gateway. Limits on upstreams apply to the sum over all hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// The path of the readiness check for the load balancer.
    pub ready_path: String,
    /// The port for datagrams between hosts, the same at all hosts.
    pub gossip_port: u16,
    /// The minimum time between two messages to other hosts.
    pub gossip_pause: Duration,
    /// The maximum time for which an API key still works after its revocation.
    pub revocation: Duration,
    /// The time from the signal to shut down until the process is killed.
    pub grace: Duration,
    /// The retries allowed per request to a service.
    pub retry_ratio: f64,
    /// The additional retries allowed in each window.
    pub retry_slack: f64,
    /// The window in which requests and retries are counted.
    pub retry_window: Duration,
    /// The multiple of its rate that a cold upstream may get.
    pub cold_overage: f64,
    /// The additional starts per second that a cold upstream may get.
    pub cold_slack: f64,
    /// The speed of this host's network link, in Mbit/s, at least 1. Hosts with fast links relay
    /// the content of the store.
    pub link_mbps: u32,
    /// The memory of this host's machine, in MB.
    pub memory_mb: u64,
    /// The file descriptors that this process may open.
    pub max_fds: u64,
    /// The maximum pause within the body of a request.
    pub body_idle: Duration,
    /// The minimum rate of the body of a request, after its first seconds.
    pub body_bytes_per_second: u32,
    /// Whether the whole fleet starts for the first time, so that no upstream has cached
    /// prompts yet.
    pub first_start: bool,
}

impl Gateway {
    /// Returns the maximum age of the copy of the API keys. It is less than `revocation`,
    /// because a watch may miss changes for a second, and a request takes some time to
    /// get from its caller to the upstream.
    pub fn key_age(&self) -> Duration {
        self.revocation
            .saturating_sub(constants::GATEWAY_REVOCATION_MARGIN)
    }

    /// Returns the limits on retries.
    pub fn retries(&self) -> retry_budget::Limits {
        retry_budget::Limits {
            ratio: self.retry_ratio,
            slack: self.retry_slack,
            window: self.retry_window,
        }
    }
}

impl Default for Gateway {
    fn default() -> Self {
        Self {
            ready_path: constants::GATEWAY_READY_PATH.to_owned(),
            gossip_port: constants::GATEWAY_GOSSIP_PORT,
            gossip_pause: constants::GATEWAY_GOSSIP_PAUSE,
            revocation: constants::GATEWAY_REVOCATION,
            grace: constants::GATEWAY_GRACE,
            retry_ratio: constants::GATEWAY_RETRY_RATIO,
            retry_slack: constants::GATEWAY_RETRY_SLACK,
            retry_window: constants::GATEWAY_RETRY_WINDOW,
            cold_overage: constants::GATEWAY_COLD_OVERAGE,
            cold_slack: constants::GATEWAY_COLD_SLACK,
            link_mbps: constants::GATEWAY_LINK_MBPS,
            memory_mb: constants::GATEWAY_MEMORY_MB,
            max_fds: constants::GATEWAY_MAX_FDS,
            body_idle: constants::GATEWAY_BODY_IDLE,
            body_bytes_per_second: constants::GATEWAY_BODY_BYTES_PER_SECOND,
            first_start: constants::GATEWAY_FIRST_START,
        }
    }
}

impl From<border::Gateway> for Gateway {
    fn from(from: border::Gateway) -> Self {
        let defaults = Self::default();
        Self {
            ready_path: from
                .ready_path
                .map_or(defaults.ready_path, |path| path.to_string()),
            gossip_port: from.gossip_port.map_or(defaults.gossip_port, Into::into),
            gossip_pause: duration(from.gossip_pause_ms, defaults.gossip_pause),
            revocation: decimal_duration(from.revocation_ms, None, defaults.revocation),
            grace: decimal_duration(from.grace_ms, from.grace_s, defaults.grace),
            retry_ratio: from.retry_ratio.unwrap_or(defaults.retry_ratio),
            retry_slack: from.retry_slack.unwrap_or(defaults.retry_slack),
            retry_window: decimal_duration(
                from.retry_window_ms,
                from.retry_window_s,
                defaults.retry_window,
            ),
            cold_overage: from.cold_overage.unwrap_or(defaults.cold_overage),
            cold_slack: from.cold_slack.unwrap_or(defaults.cold_slack),
            link_mbps: from
                .link_mbps
                .map_or(defaults.link_mbps, |speed| (speed.round() as u32).max(1)),
            memory_mb: amount(from.memory_mb.as_deref()).unwrap_or(defaults.memory_mb),
            max_fds: amount(from.max_fds.as_deref()).unwrap_or(defaults.max_fds),
            body_idle: duration(from.body_idle_ms, defaults.body_idle),
            body_bytes_per_second: number(
                from.body_bytes_per_second,
                defaults.body_bytes_per_second,
            ),
            first_start: from.first_start.unwrap_or(defaults.first_start),
        }
    }
}
