//! Retry budget: this host's share of the retries that a service may get.
//!
//! In an outage most first attempts fail at all hosts at once, and unlimited retries
//! would multiply the load. The limit on the sum over all hosts holds without
//! coordination: each host may retry a fraction of the requests that it received,
//! plus its share of a fixed slack.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// Fraction of the limit that is spent. Below one, as the limit applies to windows
/// measured at the upstreams, which see the requests a little later.
const SPENT_FRACTION: f64 = 0.8;

/// Limits on the retries of a service, for all hosts together.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries allowed per request received.
    pub ratio: f64,
    /// Retries allowed on top of these, per window.
    pub slack: f64,
    /// Length of the window in which requests and retries are counted.
    pub window: Duration,
}

/// Requests and retries of this host in the current window, by service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    services: BTreeMap<ident::Service, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    requests: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Table {
    /// Counts a request received from a caller.
    pub fn record_request(&mut self, now: Instant, service: &ident::Service, limits: &Limits) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(now, limits.window);
        counts.requests.push_back(now);
    }

    /// Spends one retry and returns true if this host's share allows it. The slack
    /// is divided among `hosts`; a host that doesn't know their number has no share of it.
    pub fn spend(
        &mut self,
        now: Instant,
        service: &ident::Service,
        limits: &Limits,
        hosts: Option<usize>,
    ) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(now, limits.window);
        let slack = hosts.map_or(0.0, |hosts| limits.slack / hosts.max(1) as f64);
        let limit = (limits.ratio * counts.requests.len() as f64 + slack) * SPENT_FRACTION;
        let is_allowed = ((counts.retries.len() + 1) as f64) <= limit;
        if is_allowed {
            counts.retries.push_back(now);
        }
        is_allowed
    }
}

impl Counts {
    fn expire(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.requests, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.duration_since(*at) >= window)
            {
                times.pop_front();
            }
        }
    }
}
