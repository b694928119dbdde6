//! Which upstreams read a prompt lately, at any host.
//!
//! Answers the load of prompts that many requests share: reading one again costs
//! more than a longer batch. Hosts exchange where they sent requests, so
//! that a prompt stays where it is when upstreams come and go, which the order
//! of rendezvous hashing alone would not give.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// How long an upstream counts as holding a prompt that it doesn't use.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// The most prompts remembered.
const PROMPTS: usize = 16_384;

/// The most placements that wait to be sent to other hosts.
const UPDATES: usize = 48;

/// Where prompts were sent.
#[derive(Clone, Debug, Default)]
pub struct Table {
    prompts: BTreeMap<u64, BTreeMap<ident::Upstream, Instant>>,
    updates: Vec<(u64, ident::Upstream)>,
}

impl Table {
    /// Tells whether an upstream holds a prompt, as far as is known.
    pub fn holds(&self, now: Instant, prompt: u64, upstream: &ident::Upstream) -> bool {
        let holders = self.prompts.get(&prompt);
        let used = holders.and_then(|holders| holders.get(upstream));
        used.is_some_and(|at| now.duration_since(*at) < KEPT_FOR)
    }

    /// Returns the upstreams that hold a prompt, as far as is known.
    pub fn holders(&self, now: Instant, prompt: u64) -> impl Iterator<Item = &ident::Upstream> {
        let holders = self.prompts.get(&prompt).into_iter().flatten();
        let fresh = holders.filter(move |(_, at)| now.duration_since(**at) < KEPT_FOR);
        fresh.map(|(upstream, _)| upstream)
    }

    /// Records that this host sent a prompt to an upstream, and tells whether the
    /// upstream wasn't known to hold it.
    pub fn record(&mut self, now: Instant, prompt: u64, upstream: &ident::Upstream) -> bool {
        let is_new = !self.holds(now, prompt, upstream);
        self.learn(now, prompt, upstream);
        let is_pending = self
            .updates
            .iter()
            .any(|(it, to)| *it == prompt && to == upstream);
        if !is_pending && self.updates.len() < UPDATES {
            self.updates.push((prompt, upstream.clone()));
        }
        is_new
    }

    /// Takes in that another host sent a prompt to an upstream.
    pub fn learn(&mut self, now: Instant, prompt: u64, upstream: &ident::Upstream) {
        if self.prompts.len() >= PROMPTS && !self.prompts.contains_key(&prompt) {
            self.expire(now);
        }
        let holders = self.prompts.entry(prompt).or_default();
        holders.insert(upstream.clone(), now);
    }

    /// Returns the placements of this host since the last call.
    pub fn take_updates(&mut self) -> Vec<(u64, ident::Upstream)> {
        std::mem::take(&mut self.updates)
    }

    /// Forgets an upstream that is gone or was started anew.
    pub fn forget(&mut self, upstream: &ident::Upstream) {
        for holders in self.prompts.values_mut() {
            holders.remove(upstream);
        }
        self.prompts.retain(|_, holders| !holders.is_empty());
    }

    /// Forgets placements that are old, or all if that makes no room.
    fn expire(&mut self, now: Instant) {
        for holders in self.prompts.values_mut() {
            holders.retain(|_, at| now.duration_since(*at) < KEPT_FOR);
        }
        self.prompts.retain(|_, holders| !holders.is_empty());
        if self.prompts.len() >= PROMPTS {
            self.prompts.clear();
        }
    }
}
