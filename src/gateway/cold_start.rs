//! Limits the rate at which this host starts requests at a cold upstream.
//!
//! When upstreams restart together, all hosts have requests waiting for them, and a
//! cold upstream sustains only a low rate from all hosts together. While each
//! host's share is at least a few requests per second, the rate is divided
//! evenly. In a larger fleet, a few hosts chosen by rendezvous hashing share the
//! rate, and the others send nothing.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// Window in which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Time by which a start is counted beyond the window, as the delay between sending
/// a request and its arrival at the upstream varies.
const WINDOW_MARGIN: Duration = Duration::from_millis(100);

/// Smallest even share, in starts per second, at which every host gets one.
const MIN_STARTS_PER_SECOND: f64 = 2.0;

/// Fraction of the limit that the chosen hosts share. Below one, as hosts may
/// disagree for a while on which of them are chosen.
const CHOSEN_FRACTION: f64 = 0.5;

/// Starts per second of each chosen host.
const CHOSEN_STARTS_PER_SECOND: f64 = 4.0;

/// Returns how many requests per second this host may start at a cold upstream.
///
/// `limit` is the rate for all `hosts` together, in starts per second; `rank` is
/// this host's rank in the upstream's rendezvous order of hosts, 0 first. While the number
/// of hosts is unknown, so is the rank, and each host may start one.
pub fn share(limit: f64, hosts: Option<usize>, rank: usize) -> usize {
    let chosen = chosen_hosts(limit);
    match hosts.map(|hosts| limit / hosts.max(1) as f64) {
        None => 1,
        Some(even_share) if even_share >= MIN_STARTS_PER_SECOND => even_share as usize,
        Some(_) if rank < chosen => ((limit * CHOSEN_FRACTION / chosen as f64) as usize).max(1),
        Some(_) => 0,
    }
}

/// Returns the number of hosts that share a limit which isn't divided evenly: those of a lower
/// rank.
pub fn chosen_hosts(limit: f64) -> usize {
    ((limit * CHOSEN_FRACTION / CHOSEN_STARTS_PER_SECOND) as usize).max(1)
}

/// Recent starts of this host, by cold upstream.
#[derive(Clone, Debug, Default)]
pub struct Table {
    starts: BTreeMap<ident::Upstream, VecDeque<Instant>>,
}

impl Table {
    /// Returns how many requests this host started at an upstream in the last window.
    pub fn recent(&self, now: Instant, upstream: &ident::Upstream) -> usize {
        let window = WINDOW + WINDOW_MARGIN;
        let starts = self.starts.get(upstream).into_iter().flatten();
        starts
            .filter(|at| now.duration_since(**at) < window)
            .count()
    }

    /// Records the start of a request at a cold upstream.
    pub fn record(&mut self, now: Instant, upstream: &ident::Upstream) {
        let window = WINDOW + WINDOW_MARGIN;
        for starts in self.starts.values_mut() {
            starts.retain(|at| now.duration_since(*at) < window);
        }
        self.starts.retain(|_, starts| !starts.is_empty());
        self.starts
            .entry(upstream.clone())
            .or_default()
            .push_back(now);
    }
}
