//! Fairness among the requests that wait at different hosts.
//!
//! Each host reports how many requests wait, and how many it lately sent, by service, priority and
//! workspace. From these reports a host knows what a workspace got from all hosts. It orders its
//! own requests accordingly, and yields for a moment to more urgent requests that wait at other
//! hosts, or those of workspaces that got less.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::load::Source;
use crate::ident;

/// How long a report is valid.
const REPORT_LIFETIME: Duration = Duration::from_secs(3);

/// Maximum number of demands in the message of a host, the largest ones.
pub const MAX_DEMANDS: usize = 4;

/// Maximum number of demands in the summary of a zone.
pub const MAX_ZONE_DEMANDS: usize = 16;

/// Maximum number of demands of a report that are read.
const MAX_READ: usize = 64;

/// Time constant of the count of requests that were sent lately.
const WINDOW: Duration = Duration::from_secs(2);

/// How long a request that waited is reported as one that waits. Where requests wait for a short
/// time, few reports would be made just then, and nobody would yield to the next ones.
const RECENT_WAIT: Duration = Duration::from_secs(1);

/// Weight in the queue of a workspace that got as much as others did.
pub const NEUTRAL_WEIGHT: u32 = 16;

/// Maximum weight of a workspace that got less.
const MAX_WEIGHT: f64 = 256.0;

/// Exponent of the weight. In proportion, a workspace that got half as much elsewhere would make up
/// for only a part of it here.
const WEIGHT_EXPONENT: i32 = 4;

/// How much more than another workspace one may get before its requests yield. Less is within the
/// error of counts from different times, whose random part (the square root) is allowed as well.
const MARGIN: f64 = 1.05;

/// Requests of a workspace that wait for a service with a priority, and those sent lately.
/// Services and workspaces are named by hashes, so that a message has room for some.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "Fields", into = "Fields")]
pub struct Demand {
    /// What is demanded.
    pub key: Key,
    /// Number of requests that wait.
    pub waiting: u32,
    /// Number of requests sent lately, of which the last ones count most.
    pub granted: u32,
}

/// A demand in a datagram, as an array without names: service, priority, workspace, number of
/// waiting requests, number sent.
type Fields = (u32, u8, u32, u32, u32);

impl From<Fields> for Demand {
    fn from((service, priority, workspace, waiting, granted): Fields) -> Self {
        Self {
            key: Key {
                service,
                priority,
                workspace,
            },
            waiting,
            granted,
        }
    }
}

impl From<Demand> for Fields {
    fn from(demand: Demand) -> Self {
        let Demand {
            key,
            waiting,
            granted,
        } = demand;
        let (service, priority, workspace) = (key.service, key.priority, key.workspace);
        (service, priority, workspace, waiting, granted)
    }
}

/// What a request demands.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Hash of the service.
    pub service: u32,
    /// Priority; 0 is the most urgent.
    pub priority: u8,
    /// Hash of the workspace.
    pub workspace: u32,
}

impl Key {
    /// Returns the key of requests of a workspace.
    pub fn new(service: &ident::Service, priority: u8, workspace: &ident::Workspace) -> Self {
        let hash = |name: &str| {
            let hash = xxh3_64(name.as_bytes()) >> 32;
            u32::try_from(hash).unwrap_or_default()
        };
        Self {
            service: hash(service.as_str()),
            priority,
            workspace: hash(workspace.as_str()),
        }
    }

    /// Returns the first and the last key of a service.
    fn range(service: u32) -> std::ops::RangeInclusive<Self> {
        let end = |priority, workspace| Self {
            service,
            priority,
            workspace,
        };
        end(0, 0)..=end(u8::MAX, u32::MAX)
    }
}

/// What this host sent lately, and what others report.
#[derive(Clone, Debug, Default)]
pub struct Table {
    own: BTreeMap<Key, Recent>,
    /// When requests last began to wait at this host.
    joined: BTreeMap<Key, Instant>,
    reports: BTreeMap<Source, Report>,
    /// When reports were received, also those that were replaced.
    received: VecDeque<(Instant, Source)>,
    /// Sums of the reports.
    others: BTreeMap<Key, Sum>,
}

/// A count of which the last ones count most.
#[derive(Clone, Copy, Debug)]
struct Recent {
    count: f64,
    at: Instant,
}

impl Recent {
    fn count(&self, now: Instant) -> f64 {
        let age = now.saturating_duration_since(self.at);
        self.count * (-age.div_duration_f64(WINDOW)).exp()
    }
}

#[derive(Clone, Debug)]
struct Report {
    received_at: Instant,
    demands: Vec<Demand>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    waiting: u64,
    granted: u64,
    /// Number of queues.
    queues: u64,
    reports: u64,
}

impl Table {
    /// Records that a request was sent.
    pub fn record(&mut self, now: Instant, key: Key) {
        let recent = self.own.entry(key).or_insert(Recent {
            count: 0.0,
            at: now,
        });
        *recent = Recent {
            count: recent.count(now) + 1.0,
            at: now,
        };
    }

    /// Records that a request waits.
    pub fn record_wait(&mut self, now: Instant, key: Key) {
        self.joined.insert(key, now);
    }

    /// Replaces the previous report of a source.
    pub fn merge(&mut self, now: Instant, source: Source, mut demands: Vec<Demand>) {
        self.expire(now);
        self.remove(source);
        if demands.is_empty() {
            return;
        }
        demands.truncate(MAX_READ);
        for demand in &demands {
            let sum = self.others.entry(demand.key).or_default();
            sum.waiting += u64::from(demand.waiting);
            sum.granted += u64::from(demand.granted);
            sum.reports += 1;
            sum.queues += demand.queues(source);
        }
        let report = Report {
            received_at: now,
            demands,
        };
        self.reports.insert(source, report);
        self.received.push_back((now, source));
    }

    /// Returns whether a valid report names a service.
    pub fn is_reported(&mut self, now: Instant, service: u32) -> bool {
        self.expire(now);
        self.others.range(Key::range(service)).next().is_some()
    }

    /// Returns the weight of a workspace in this host's queue: the more, the less it got from all
    /// hosts. Without reports, all weights are equal.
    pub fn weight(&mut self, now: Instant, key: Key) -> u32 {
        if !self.is_reported(now, key.service) {
            return NEUTRAL_WEIGHT;
        }
        let others = self.others.range(Key::range(key.service));
        let others = others.filter(|(it, _)| it.priority == key.priority);
        let (total, count) = others.fold((0.0, 0.0), |(total, count), (it, _)| {
            (total + self.granted(now, *it), count + 1.0)
        });
        if count == 0.0 {
            return NEUTRAL_WEIGHT;
        }
        let ratio = (total / count + 1.0) / (self.granted(now, key) + 1.0);
        let ratio = ratio.powi(WEIGHT_EXPONENT);
        let weight = (f64::from(NEUTRAL_WEIGHT) * ratio).clamp(1.0, MAX_WEIGHT);
        // In range, as it was clamped.
        weight.round() as u32
    }

    /// Returns the number of queues at other hosts to which a request is to yield.
    pub fn yields(&mut self, now: Instant, key: Key) -> u64 {
        if self.others.is_empty() {
            return 0;
        }
        self.expire(now);
        let granted = self.granted(now, key);
        let others = self.others.range(Key::range(key.service));
        let others = others.filter(|(other, sum)| {
            if sum.waiting == 0 || other.priority > key.priority {
                return false;
            }
            if other.priority < key.priority {
                return true;
            }
            let got = self.granted(now, **other);
            other.workspace != key.workspace && got * MARGIN + got.sqrt() + 1.0 < granted
        });
        others.map(|(_, sum)| sum.queues).sum()
    }

    /// Adds what was sent lately to the demands of waiting requests, and returns the largest ones.
    /// Services without any that wait, here or elsewhere, are left out.
    pub fn demands(&mut self, now: Instant, waiting: Vec<Demand>, limit: usize) -> Vec<Demand> {
        self.expire(now);
        self.own.retain(|_, recent| recent.count(now) >= 0.1);
        let mut demands: BTreeMap<Key, Demand> =
            waiting.into_iter().map(|it| (it.key, it)).collect();
        let is_recent = |at: &Instant| now.saturating_duration_since(*at) < RECENT_WAIT;
        self.joined.retain(|_, at| is_recent(at));
        for key in self.joined.keys() {
            let demand = demands.entry(*key).or_insert(Demand::none(*key));
            demand.waiting = demand.waiting.max(1);
        }
        let services = demands.keys().map(|key| key.service);
        let elsewhere = self.others.iter().filter(|(_, sum)| sum.waiting > 0);
        let mut services: Vec<u32> = services
            .chain(elsewhere.map(|(key, _)| key.service))
            .collect();
        services.sort_unstable();
        for (key, recent) in &self.own {
            if services.binary_search(&key.service).is_ok() {
                let demand = demands.entry(*key).or_insert(Demand::none(*key));
                demand.granted = rounded(recent.count(now));
            }
        }
        largest(demands, limit)
    }

    /// Returns the demands of this host and of those that report as [`Source::Host`], for a
    /// summary of the zone.
    pub fn zone_demands(&mut self, now: Instant, own: Vec<Demand>) -> Vec<Demand> {
        self.expire(now);
        let mut sums: BTreeMap<Key, Demand> = BTreeMap::new();
        let hosts = self.reports.iter();
        let hosts = hosts.filter(|(source, _)| matches!(source, Source::Host(_)));
        let demands = hosts.flat_map(|(_, report)| &report.demands);
        for demand in demands.chain(&own) {
            let sum = sums.entry(demand.key).or_insert(Demand::none(demand.key));
            sum.waiting = sum.waiting.saturating_add(demand.waiting);
            sum.granted = sum.granted.saturating_add(demand.granted);
        }
        largest(sums, MAX_ZONE_DEMANDS)
    }

    /// Returns how many requests all hosts sent lately.
    fn granted(&self, now: Instant, key: Key) -> f64 {
        let others = self.others.get(&key).map_or(0, |sum| sum.granted);
        let own = self.own.get(&key).map_or(0.0, |it| it.count(now));
        others as f64 + own
    }

    fn expire(&mut self, now: Instant) {
        while let Some((received_at, source)) = self.received.front().copied()
            && now.saturating_duration_since(received_at) >= REPORT_LIFETIME
        {
            self.received.pop_front();
            let report = self.reports.get(&source);
            if report.is_some_and(|it| it.received_at == received_at) {
                self.remove(source);
            }
        }
    }

    fn remove(&mut self, source: Source) {
        let report = self.reports.remove(&source);
        for demand in report.into_iter().flat_map(|report| report.demands) {
            let Some(sum) = self.others.get_mut(&demand.key) else {
                continue;
            };
            sum.waiting -= u64::from(demand.waiting);
            sum.granted -= u64::from(demand.granted);
            sum.reports -= 1;
            sum.queues -= demand.queues(source);
            if sum.reports == 0 {
                self.others.remove(&demand.key);
            }
        }
    }
}

impl Demand {
    /// Returns in how many queues the requests wait. A zone doesn't tell; its hosts have about two
    /// waiting requests each.
    fn queues(&self, source: Source) -> u64 {
        match source {
            Source::Zone(_, _, _) => u64::from(self.waiting.div_ceil(2)),
            Source::Host(_) | Source::RemoteHost(_) => u64::from(self.waiting.min(1)),
        }
    }

    /// Returns the demand of requests of which none waits.
    fn none(key: Key) -> Self {
        Self {
            key,
            waiting: 0,
            granted: 0,
        }
    }

    /// Returns the demand of some waiting requests.
    pub fn waiting(key: Key, waiting: usize) -> Self {
        Self {
            waiting: u32::try_from(waiting).unwrap_or(u32::MAX),
            ..Self::none(key)
        }
    }
}

fn rounded(count: f64) -> u32 {
    // A count of requests sent in about a second is in range.
    count.round() as u32
}

/// Returns the demands with the most waiting requests, then those with the most that were sent.
fn largest(demands: BTreeMap<Key, Demand>, limit: usize) -> Vec<Demand> {
    let mut demands: Vec<_> = demands.into_values().collect();
    demands.sort_by_key(|it| std::cmp::Reverse((it.waiting, it.granted)));
    demands.truncate(limit);
    demands
}
