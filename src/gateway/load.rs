//! Requests in flight at upstreams, as counted by this host and reported by others.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// How long a report is valid.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// The sender of a report.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Source {
    /// A host that reports its own requests, by the id of its process.
    Host(u64),
    /// The same for a host of another zone, in a fleet that is large enough for zones
    /// to exchange summaries.
    RemoteHost(u64),
    /// One shard of another zone's summary: hash of the zone's name, index of the
    /// shard and number of shards. Upstreams are divided into shards by hash.
    Zone(u64, u32, u32),
}

/// Requests in flight, by upstream.
pub type Counts = BTreeMap<ident::Upstream, u32>;

/// The counts of this host and the latest report of each source.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Requests of this host.
    own: Counts,
    reports: BTreeMap<Source, Report>,
    /// Sum of all reports.
    sum: Counts,
}

#[derive(Clone, Debug)]
struct Report {
    received_at: Instant,
    counts: Counts,
}

impl Table {
    /// Returns the requests of all hosts in flight at an upstream.
    pub fn total(&self, upstream: &ident::Upstream) -> u32 {
        let count = |counts: &Counts| counts.get(upstream).copied().unwrap_or_default();
        count(&self.own).saturating_add(count(&self.sum))
    }

    /// Returns this host's requests in flight at an upstream.
    pub fn own(&self, upstream: &ident::Upstream) -> u32 {
        self.own.get(upstream).copied().unwrap_or_default()
    }

    /// Returns this host's requests in flight, by upstream.
    pub fn own_counts(&self) -> &Counts {
        &self.own
    }

    /// Counts the start of one of this host's requests.
    pub fn begin(&mut self, upstream: &ident::Upstream) {
        *self.own.entry(upstream.clone()).or_default() += 1;
    }

    /// Counts the end of one of this host's requests.
    pub fn end(&mut self, upstream: &ident::Upstream) {
        subtract(&mut self.own, upstream, 1);
    }

    /// Returns the requests in flight of this host and of those that report as
    /// [`Source::Host`], by upstream.
    pub fn host_totals(&self) -> Counts {
        let mut sum = self.own.clone();
        let hosts = self.reports.iter();
        let hosts = hosts.filter(|(source, _)| matches!(source, Source::Host(_)));
        for (upstream, count) in hosts.flat_map(|(_, report)| &report.counts) {
            let sum = sum.entry(upstream.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        sum
    }

    /// Replaces the previous report of a source.
    pub fn report(&mut self, now: Instant, source: Source, counts: Counts) {
        self.remove_report(source);
        if let Source::Zone(zone, _, shards) = source {
            self.remove_other_shards(zone, shards);
        }
        for (upstream, count) in &counts {
            let sum = self.sum.entry(upstream.clone()).or_default();
            *sum = sum.saturating_add(*count);
        }
        self.reports.insert(
            source,
            Report {
                received_at: now,
                counts,
            },
        );
    }

    /// Removes reports that are older than `REPORT_LIFETIME`.
    pub fn expire(&mut self, now: Instant) {
        let is_old = |report: &Report| now.duration_since(report.received_at) >= REPORT_LIFETIME;
        let old = self.reports.iter().filter(|(_, report)| is_old(report));
        let old: Vec<Source> = old.map(|(source, _)| *source).collect();
        for source in old {
            self.remove_report(source);
        }
    }

    /// Removes reports of a zone that was divided into another number of shards.
    fn remove_other_shards(&mut self, zone: u64, shards: u32) {
        let all = Source::Zone(zone, 0, 0)..=Source::Zone(zone, u32::MAX, u32::MAX);
        let reported = self.reports.range(all).map(|(source, _)| *source);
        let other = |it: &Source| matches!(it, Source::Zone(_, _, number) if *number != shards);
        for source in reported.filter(other).collect::<Vec<_>>() {
            self.remove_report(source);
        }
    }

    fn remove_report(&mut self, source: Source) {
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
