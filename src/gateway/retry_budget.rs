//! The share of one host in the retries that a service bears from all hosts.
//!
//! Answers the load of an outage, in which most first tries fail at all hosts
//! at once. The sum over hosts holds without a word between them: each spends a
//! fraction of the requests that it took itself, and its part of the slack.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// The part of the bound that is spent: requests are counted in windows of
/// upstreams, which see them a little later.
const MARGIN: f64 = 0.8;

/// Limits on the retries of a service, summed over all hosts.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Retries for each request.
    pub ratio: f64,
    /// Retries beyond these, in each window.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

/// What was taken and tried again lately, by service.
#[derive(Clone, Debug, Default)]
pub struct Table {
    services: BTreeMap<ident::Service, Counts>,
}

#[derive(Clone, Debug, Default)]
struct Counts {
    fresh: VecDeque<Instant>,
    retries: VecDeque<Instant>,
}

impl Table {
    /// Counts a request of a caller.
    pub fn record_request(&mut self, now: Instant, service: &ident::Service, limits: &Limits) {
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(now, limits.window);
        counts.fresh.push_back(now);
    }

    /// Takes one retry, if this host's share allows it; `hosts` share the slack.
    pub fn spend(
        &mut self,
        now: Instant,
        service: &ident::Service,
        limits: &Limits,
        hosts: usize,
    ) -> bool {
        let counts = self.services.entry(service.clone()).or_default();
        counts.expire(now, limits.window);
        let slack = limits.slack / hosts.max(1) as f64;
        let most = (limits.ratio * counts.fresh.len() as f64 + slack) * MARGIN;
        let granted = ((counts.retries.len() + 1) as f64) <= most;
        if granted {
            counts.retries.push_back(now);
        }
        granted
    }
}

impl Counts {
    fn expire(&mut self, now: Instant, window: Duration) {
        for times in [&mut self.fresh, &mut self.retries] {
            while times
                .front()
                .is_some_and(|at| now.duration_since(*at) >= window)
            {
                times.pop_front();
            }
        }
    }
}
