//! Requests under way at upstreams: this host's own, and what others told.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// How long the counts of a host hold after it was heard last.
const TOLD_FOR: Duration = Duration::from_secs(3);

/// Counts by upstream.
pub type Counts = BTreeMap<ident::Upstream, u32>;

/// Requests under way, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Table {
    own: Counts,
    told: BTreeMap<u64, Told>,
    /// The sum of what is told.
    sum: Counts,
}

#[derive(Clone, Debug)]
struct Told {
    at: Instant,
    counts: Counts,
}

impl Table {
    /// Returns the requests of all hosts at an upstream.
    pub fn total(&self, upstream: &ident::Upstream) -> u32 {
        let of = |counts: &Counts| counts.get(upstream).copied().unwrap_or_default();
        of(&self.own) + of(&self.sum)
    }

    /// Returns this host's requests at an upstream.
    pub fn own(&self, upstream: &ident::Upstream) -> u32 {
        self.own.get(upstream).copied().unwrap_or_default()
    }

    /// Returns this host's requests by upstream.
    pub fn counts(&self) -> &Counts {
        &self.own
    }

    /// Counts a request of this host.
    pub fn begin(&mut self, upstream: &ident::Upstream) {
        *self.own.entry(upstream.clone()).or_default() += 1;
    }

    /// Counts that a request of this host ended.
    pub fn end(&mut self, upstream: &ident::Upstream) {
        subtract(&mut self.own, upstream, 1);
    }

    /// Takes in the counts of another host's process.
    pub fn tell(&mut self, now: Instant, process: u64, counts: Counts) {
        self.forget(process);
        for (upstream, count) in &counts {
            *self.sum.entry(upstream.clone()).or_default() += count;
        }
        self.told.insert(process, Told { at: now, counts });
    }

    /// Forgets hosts that weren't heard for a while.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |told: &Told| now.duration_since(told.at) >= TOLD_FOR;
        let old = self.told.iter().filter(|(_, told)| is_old(told));
        let old: Vec<u64> = old.map(|(process, _)| *process).collect();
        for process in old {
            self.forget(process);
        }
    }

    fn forget(&mut self, process: u64) {
        let told = self.told.remove(&process);
        for (upstream, count) in told.into_iter().flat_map(|told| told.counts) {
            subtract(&mut self.sum, &upstream, count);
        }
    }
}

fn subtract(counts: &mut Counts, upstream: &ident::Upstream, by: u32) {
    if let Some(count) = counts.get_mut(upstream) {
        *count = count.saturating_sub(by);
        if *count == 0 {
            counts.remove(upstream);
        }
    }
}
