//! How a gateway bounds what it does together with other hosts.

use std::time::Duration;

use crate::border::settings as border;
use crate::gateway::retry_budget;
use crate::options::constants;
use crate::options::convert::duration;

/// Bounds on a gateway. Those on upstreams are sums over all hosts.
#[derive(Clone, Debug, PartialEq)]
pub struct Gateway {
    /// The path at which the balancer asks whether the host is ready.
    pub ready_path: String,
    /// The port for datagrams between hosts, the same at all of them.
    pub gossip_port: u16,
    /// The least time between two messages to other hosts.
    pub gossip_pause: Duration,
    /// How long after a key was taken away it may still be used.
    pub revocation: Duration,
    /// The time from the signal to leave until the process is killed.
    pub grace: Duration,
    /// Retries for each request to a service.
    pub retry_ratio: f64,
    /// Retries beyond these in each window.
    pub retry_slack: f64,
    /// The window of both.
    pub retry_window: Duration,
    /// The multiple of its rate that a cold upstream bears.
    pub cold_overage: f64,
    /// Starts a second that a cold upstream bears beyond that.
    pub cold_slack: f64,
    /// The speed of this host's link, in Mbit/s: hosts with fast ones pass on what
    /// the store holds.
    pub link_mbps: u32,
    /// Whether the whole fleet starts for the first time, with upstreams that hold
    /// nothing yet.
    pub first_start: bool,
}

impl Gateway {
    /// Returns the oldest that knowledge of keys may be: less than the bound, as
    /// a watch may miss changes for a second, and a request takes a moment from
    /// its caller to the upstream.
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
            first_start: constants::GATEWAY_FIRST_START,
        }
    }
}

impl From<border::Gateway> for Gateway {
    fn from(from: border::Gateway) -> Self {
        let usual = Self::default();
        Self {
            ready_path: from
                .ready_path
                .map_or(usual.ready_path, |path| path.to_string()),
            gossip_port: from.gossip_port.map_or(usual.gossip_port, Into::into),
            gossip_pause: duration(from.gossip_pause_ms, usual.gossip_pause),
            revocation: duration(from.revocation_ms, usual.revocation),
            grace: duration(from.grace_ms, usual.grace),
            retry_ratio: from.retry_ratio.unwrap_or(usual.retry_ratio),
            retry_slack: from.retry_slack.unwrap_or(usual.retry_slack),
            retry_window: duration(from.retry_window_ms, usual.retry_window),
            cold_overage: from.cold_overage.unwrap_or(usual.cold_overage),
            cold_slack: from.cold_slack.unwrap_or(usual.cold_slack),
            link_mbps: from.link_mbps.map_or(usual.link_mbps, |speed| speed as u32),
            first_start: from.first_start.unwrap_or(usual.first_start),
        }
    }
}
