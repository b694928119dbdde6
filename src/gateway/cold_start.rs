//! The share of one host in the starts that a cold upstream bears from all.
//!
//! Answers the load of upstreams that come back together, in front of which all
//! hosts stand with waiting requests. Where every host's part is at least a few
//! starts a second, each has its part. Where hosts are many, a few of them have
//! it all, chosen by rendezvous hashing, and the others send nothing.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// The window in which starts are counted.
const WINDOW: Duration = Duration::from_secs(1);

/// Starts of this host stay this far apart from the window's end, as requests
/// reach the upstream a little sooner or later than they were sent.
const WINDOW_MARGIN: Duration = Duration::from_millis(100);

/// The fewest starts a second that are worth a part of their own.
const LEAST_PART: f64 = 2.0;

/// The part of the bound that chosen hosts share, as hosts may disagree for a
/// while on who is chosen.
const CHOSEN_PART: f64 = 0.5;

/// Starts a second of each chosen host.
const CHOSEN_STARTS: f64 = 4.0;

/// How many starts a second this host may give a cold upstream.
///
/// `most` are allowed from all `hosts` together; `rank` is this host's place in
/// the upstream's order of hosts, 0 first.
pub fn share(most: f64, hosts: usize, rank: usize) -> usize {
    let part = most / hosts.max(1) as f64;
    if part >= LEAST_PART {
        return part as usize;
    }
    let chosen = ((most * CHOSEN_PART / CHOSEN_STARTS) as usize).max(1);
    match rank < chosen {
        true => ((most * CHOSEN_PART / chosen as f64) as usize).max(1),
        false => 0,
    }
}

/// The starts of this host at cold upstreams in the last second.
#[derive(Clone, Debug, Default)]
pub struct Table {
    starts: BTreeMap<ident::Upstream, VecDeque<Instant>>,
}

impl Table {
    /// Returns how many starts an upstream got in the last second.
    pub fn recent(&self, now: Instant, upstream: &ident::Upstream) -> usize {
        let window = WINDOW + WINDOW_MARGIN;
        let starts = self.starts.get(upstream).into_iter().flatten();
        starts
            .filter(|at| now.duration_since(**at) < window)
            .count()
    }

    /// Records a start at a cold upstream.
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
