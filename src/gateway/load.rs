//! Requests under way at upstreams: this host's own, and what other hosts report.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// How long the counts of a host are valid after its last report.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Counts by upstream.
pub type Counts = BTreeMap<ident::Upstream, u32>;

/// Requests under way, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Table {
    own: Counts,
    reports: BTreeMap<u64, Report>,
    /// The sum of all reports.
    sum: Counts,
}

#[derive(Clone, Debug)]
struct Report {
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
    pub fn report(&mut self, now: Instant, process: u64, counts: Counts) {
        self.forget(process);
        for (upstream, count) in &counts {
            *self.sum.entry(upstream.clone()).or_default() += count;
        }
        self.reports.insert(process, Report { at: now, counts });
    }

    /// Drops hosts whose last report is too old.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |report: &Report| now.duration_since(report.at) >= REPORT_LIFETIME;
        let old = self.reports.iter().filter(|(_, report)| is_old(report));
        let old: Vec<u64> = old.map(|(process, _)| *process).collect();
        for process in old {
            self.forget(process);
        }
    }

    fn forget(&mut self, process: u64) {
        let report = self.reports.remove(&process);
        for (upstream, count) in report.into_iter().flat_map(|report| report.counts) {
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
