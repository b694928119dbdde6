//! Requests in flight at upstreams, as counted by this host and reported by others.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// How long a report is valid.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// How long what an upstream stated of its load is used if reports of hosts are older still, or if
/// there are none.
const STATEMENT_LIFETIME: Duration = Duration::from_secs(1);

/// Weight of a request in the moving average of the time that requests take.
const DURATION_WEIGHT: f64 = 1.0 / 32.0;

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

impl Source {
    /// Returns whether the report was passed on by a relay, or is one that relays pass on.
    fn is_far(self) -> bool {
        matches!(self, Self::RemoteHost(_) | Self::Zone(_, _, _))
    }
}

/// Mean time since other hosts counted what they reported; `None` without reports.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Age {
    /// Of reports that came from the hosts themselves.
    pub near: Option<Duration>,
    /// Of reports that came through relays of other zones.
    pub far: Option<Duration>,
}

/// Shares of the reported requests that have probably ended since they were counted, from 0 to 1.
/// As many that other hosts sent since took their places.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Turnover {
    /// Of reports that came from the hosts themselves.
    near: f64,
    /// Of reports that came through relays of other zones.
    far: f64,
}

impl Turnover {
    /// Returns the turnover of reports if requests take `duration` on average; `None` if that
    /// isn't known.
    pub fn new(age: Age, duration: Option<Duration>) -> Self {
        let share = |age: Option<Duration>| match (age, duration) {
            (None, _) => 0.0,
            (Some(age), Some(duration)) if duration > Duration::ZERO => {
                1.0 - (-age.div_duration_f64(duration)).exp()
            }
            (Some(_), _) => 1.0,
        };
        Self {
            near: share(age.near),
            far: share(age.far),
        }
    }

    /// Returns how many of the reported requests at an upstream have probably been replaced:
    /// of `near` that hosts reported themselves and `far` that came through relays.
    pub fn unseen(self, near: u32, far: u32) -> f64 {
        f64::from(near) * self.near + f64::from(far) * self.far
    }
}

/// The load of an upstream, by the counts of hosts and its own statement.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Known {
    /// Requests of all hosts in flight there: the larger of what hosts count and what the upstream
    /// states, since either may lack some.
    pub requests: u32,
    /// Those of other hosts that have probably ended and been replaced by others.
    pub unseen: f64,
    /// Requests in flight there by the younger of the two. Unlike the larger one, it is not too
    /// high on average, so that means can be taken of it.
    pub latest: u32,
}

/// What an upstream stated of its load.
#[derive(Clone, Copy, Debug)]
struct Statement {
    read_at: Instant,
    /// Requests of all hosts there.
    requests: u32,
    /// Requests of this host there, by its own count at the same time.
    own: u32,
}

/// Requests in flight, by upstream.
pub type Counts = BTreeMap<ident::Upstream, u32>;

/// The counts of this host and the latest report of each source.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// Requests of this host.
    own: Counts,
    reports: BTreeMap<Source, Report>,
    /// The latest statement of each upstream in a response to this host.
    statements: BTreeMap<ident::Upstream, Statement>,
    /// Sum of the reports that came from the hosts themselves.
    near: Counts,
    /// Sum of the reports that came through relays of other zones.
    far: Counts,
    /// Moving average of the time in seconds that this host's requests take.
    durations: BTreeMap<ident::Service, f64>,
}

#[derive(Clone, Debug)]
struct Report {
    received_at: Instant,
    counts: Counts,
}

impl Table {
    /// Returns the requests of all hosts in flight at an upstream.
    pub fn total(&self, upstream: &ident::Upstream) -> u32 {
        let reported = count(&self.near, upstream).saturating_add(count(&self.far, upstream));
        count(&self.own, upstream).saturating_add(reported)
    }

    /// Records how many requests of all hosts an upstream stated to have.
    pub fn record_statement(&mut self, now: Instant, upstream: &ident::Upstream, requests: u32) {
        let statement = Statement {
            read_at: now,
            requests,
            own: self.own(upstream),
        };
        self.statements.insert(upstream.clone(), statement);
    }

    /// Returns whether an upstream has stated its load lately.
    pub fn is_stated(&self, upstream: &ident::Upstream) -> bool {
        self.statements.contains_key(upstream)
    }

    /// Returns the load of an upstream. `age` is that of the reports, `duration` the time that
    /// requests take on average, if it is known.
    pub fn known(
        &self,
        now: Instant,
        upstream: &ident::Upstream,
        age: Age,
        duration: Option<Duration>,
    ) -> Known {
        let counted = self.total(upstream);
        let known = Known {
            requests: counted,
            unseen: self.unseen(upstream, Turnover::new(age, duration)),
            latest: counted,
        };
        match self.stated(now, upstream, age) {
            Some((stated, _)) if stated <= counted => Known {
                latest: stated,
                ..known
            },
            Some((stated, stated_age)) => {
                let age = Age {
                    near: Some(stated_age),
                    far: None,
                };
                let others = stated - self.own(upstream);
                Known {
                    requests: stated,
                    unseen: Turnover::new(age, duration).unseen(others, 0),
                    latest: stated,
                }
            }
            None => known,
        }
    }

    /// Returns what an upstream stated, moved by the requests that this host started and ended
    /// there since, and the statement's age; `None` unless it is younger than the reports.
    fn stated(
        &self,
        now: Instant,
        upstream: &ident::Upstream,
        reports: Age,
    ) -> Option<(u32, Duration)> {
        let statement = self.statements.get(upstream)?;
        let age = now.duration_since(statement.read_at);
        let youngest = reports.near.or(reports.far).unwrap_or(Duration::MAX);
        if age >= youngest.min(STATEMENT_LIFETIME) {
            return None;
        }
        let own = self.own(upstream);
        let moved = statement.requests.saturating_add(own);
        Some((moved.saturating_sub(statement.own).max(own), age))
    }

    /// Returns how many of the requests that other hosts reported at an upstream have probably
    /// ended, and been replaced by others that this host doesn't know of.
    pub fn unseen(&self, upstream: &ident::Upstream, turnover: Turnover) -> f64 {
        turnover.unseen(count(&self.near, upstream), count(&self.far, upstream))
    }

    /// Returns how old the reports are. A zone's relay counts from reports of its hosts, which
    /// are taken to be as old as those that this host has.
    pub fn age(&self, now: Instant) -> Age {
        let mean = |is_far: bool| {
            let reports = self.reports.iter();
            let reports = reports.filter(|(source, _)| source.is_far() == is_far);
            let (total, number) = reports.fold((Duration::ZERO, 0), |(total, number), (_, it)| {
                (total + now.duration_since(it.received_at), number + 1)
            });
            (number > 0).then(|| total / number)
        };
        let near = mean(false);
        Age {
            near,
            far: mean(true).map(|it| it + near.unwrap_or_default()),
        }
    }

    /// Returns the time that this host's requests to a service take on average; `None` before
    /// the first has ended.
    pub fn duration(&self, service: &ident::Service) -> Option<Duration> {
        let seconds = self.durations.get(service);
        seconds.map(|seconds| Duration::from_secs_f64(*seconds))
    }

    /// Records how long a request to a service took.
    pub fn record_duration(&mut self, service: &ident::Service, took: Duration) {
        let took = took.as_secs_f64();
        match self.durations.get_mut(service) {
            Some(mean) => *mean += (took - *mean) * DURATION_WEIGHT,
            None => {
                self.durations.insert(service.clone(), took);
            }
        }
    }

    /// Returns this host's requests in flight at an upstream.
    pub fn own(&self, upstream: &ident::Upstream) -> u32 {
        count(&self.own, upstream)
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
        let sums = self.sums(source);
        for (upstream, count) in &counts {
            let sum = sums.entry(upstream.clone()).or_default();
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

    /// Removes reports that are older than `REPORT_LIFETIME`, and statements that aren't used any
    /// more.
    pub fn expire(&mut self, now: Instant) {
        self.statements
            .retain(|_, it| now.duration_since(it.read_at) < STATEMENT_LIFETIME);
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
        let sums = self.sums(source);
        for (upstream, count) in report.into_iter().flat_map(|report| report.counts) {
            subtract(sums, &upstream, count);
        }
    }

    /// Returns the sum that the reports of a source are part of.
    fn sums(&mut self, source: Source) -> &mut Counts {
        match source.is_far() {
            true => &mut self.far,
            false => &mut self.near,
        }
    }
}

fn count(counts: &Counts, upstream: &ident::Upstream) -> u32 {
    counts.get(upstream).copied().unwrap_or_default()
}

fn subtract(counts: &mut Counts, upstream: &ident::Upstream, by: u32) {
    if let Some(count) = counts.get_mut(upstream) {
        *count = count.saturating_sub(by);
        if *count == 0 {
            counts.remove(upstream);
        }
    }
}
