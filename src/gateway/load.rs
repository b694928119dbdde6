//! Requests under way at upstreams: this host's own, and what other hosts report.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// How long the counts of a host are valid after its last report.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Who reported counts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A host, by the run of its process.
    Host(u64),
    /// A host of another zone, in a large fleet.
    RemoteHost(u64),
    /// A part of another zone, by the zone's hash, the part's number, and how many
    /// parts there are.
    Zone(u64, u32, u32),
}

/// Counts by upstream.
pub type Counts = BTreeMap<ident::Upstream, u32>;

/// Requests under way, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Table {
    own: Counts,
    reports: BTreeMap<Source, Report>,
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
    pub fn own_counts(&self) -> &Counts {
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

    /// Returns the requests of this host and of those that reported themselves, by
    /// upstream.
    pub fn host_totals(&self) -> Counts {
        let mut sum = self.own.clone();
        let hosts = self.reports.iter();
        let hosts = hosts.filter(|(source, _)| matches!(source, Source::Host(_)));
        for (upstream, count) in hosts.flat_map(|(_, report)| &report.counts) {
            *sum.entry(upstream.clone()).or_default() += count;
        }
        sum
    }

    /// Takes in counts in place of what the same source reported before.
    pub fn report(&mut self, now: Instant, source: Source, counts: Counts) {
        self.forget(source);
        if let Source::Zone(zone, _, parts) = source {
            self.forget_parts(zone, parts);
        }
        for (upstream, count) in &counts {
            *self.sum.entry(upstream.clone()).or_default() += count;
        }
        self.reports.insert(source, Report { at: now, counts });
    }

    /// Drops reports that are too old.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |report: &Report| now.duration_since(report.at) >= REPORT_LIFETIME;
        let old = self.reports.iter().filter(|(_, report)| is_old(report));
        let old: Vec<Source> = old.map(|(source, _)| *source).collect();
        for source in old {
            self.forget(source);
        }
    }

    /// Forgets reports of a zone that was divided otherwise.
    fn forget_parts(&mut self, zone: u64, parts: u32) {
        let all = Source::Zone(zone, 0, 0)..=Source::Zone(zone, u32::MAX, u32::MAX);
        let told = self.reports.range(all).map(|(source, _)| *source);
        let other = |it: &Source| matches!(it, Source::Zone(_, _, number) if *number != parts);
        for source in told.filter(other).collect::<Vec<_>>() {
            self.forget(source);
        }
    }

    fn forget(&mut self, source: Source) {
        let report = self.reports.remove(&source);
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
