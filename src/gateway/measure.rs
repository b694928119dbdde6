//! Counters and histograms of the gateway, served as text to operators.

use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::time::Duration;

use prometheus_client::encoding::EncodeLabelSet;
use prometheus_client::encoding::text::encode;
use prometheus_client::metrics::counter::Counter;
use prometheus_client::metrics::family::Family;
use prometheus_client::metrics::gauge::Gauge;
use prometheus_client::metrics::histogram::Histogram;
use prometheus_client::metrics::histogram::exponential_buckets;
use prometheus_client::registry::Registry;

use crate::gateway::table::Kind;
use crate::lock::lock;
use crate::outcome::Code;

/// The shortest time that a histogram tells apart, in seconds.
const LEAST_SECONDS: f64 = 0.005;

/// Buckets of a histogram, each twice as wide as the one before.
const BUCKETS: u16 = 13;

/// A label with a code.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCode {
    code: &'static str,
}

/// A label with a kind of request.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByKind {
    kind: &'static str,
}

type Times = Family<ByKind, Histogram, fn() -> Histogram>;

/// The counters and histograms.
#[derive(Debug)]
pub struct Meter {
    registry: Mutex<Registry>,
    answered: Times,
    first: Times,
    pause: Times,
    refused: Family<ByCode, Counter>,
    lost: Family<ByCode, Counter>,
    reads: Family<ByCode, Counter>,
    upstreams: Gauge,
    hosts: Gauge,
    age: Gauge<f64, AtomicU64>,
    version: Gauge,
}

/// What a host knows just now.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Knowledge {
    /// Upstreams listed.
    pub upstreams: usize,
    /// Live hosts, this one included.
    pub hosts: usize,
    /// The age of the store's items.
    pub age: Option<Duration>,
    /// The version of the route table.
    pub version: u64,
}

impl Meter {
    /// Creates counters at zero.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("masticmoor");
        let times = || Times::new_with_constructor(histogram);
        let meter = Self {
            answered: times(),
            first: times(),
            pause: times(),
            refused: Family::default(),
            lost: Family::default(),
            reads: Family::default(),
            upstreams: Gauge::default(),
            hosts: Gauge::default(),
            age: Gauge::default(),
            version: Gauge::default(),
            registry: Mutex::new(Registry::default()),
        };
        let it = &meter;
        registry.register(
            "answer_seconds",
            "Time from the headers of a request to its complete answer",
            it.answered.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time from the headers of a request to the first event",
            it.first.clone(),
        );
        registry.register(
            "longest_pause_seconds",
            "Longest pause between two events of a stream",
            it.pause.clone(),
        );
        registry.register("refused", "Requests refused", it.refused.clone());
        registry.register(
            "lost",
            "Requests lost after they were sent",
            it.lost.clone(),
        );
        registry.register(
            "store_reads",
            "Calls to the platform's store",
            it.reads.clone(),
        );
        registry.register("upstreams", "Upstreams listed", it.upstreams.clone());
        registry.register("hosts", "Live hosts", it.hosts.clone());
        registry.register(
            "knowledge_age_seconds",
            "Age of what is known of the platform's store, -1 if nothing is",
            it.age.clone(),
        );
        registry.register(
            "route_table_version",
            "Version of the route table",
            it.version.clone(),
        );
        *lock(&meter.registry) = registry;
        meter
    }

    /// Counts a complete answer.
    pub fn answered(&self, kind: Kind, took: Duration) {
        let times = self.answered.get_or_create(&by_kind(kind));
        times.observe(took.as_secs_f64());
    }

    /// Counts a complete stream.
    pub fn streamed(&self, kind: Kind, first: Duration, pause: Duration) {
        let label = by_kind(kind);
        self.first
            .get_or_create(&label)
            .observe(first.as_secs_f64());
        self.pause
            .get_or_create(&label)
            .observe(pause.as_secs_f64());
    }

    /// Counts a refusal.
    pub fn refused(&self, code: Code) {
        self.refused.get_or_create(&by_code(code)).inc();
    }

    /// Counts a request that was lost after it was sent.
    pub fn lost(&self, code: Code) {
        self.lost.get_or_create(&by_code(code)).inc();
    }

    /// Counts a call to the store by how it ended.
    pub fn read(&self, result: &'static str) {
        self.reads.get_or_create(&ByCode { code: result }).inc();
    }

    /// Returns all figures as text.
    pub fn text(&self, knowledge: Knowledge) -> Result<String, std::fmt::Error> {
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.upstreams.set(count(knowledge.upstreams));
        self.hosts.set(count(knowledge.hosts));
        self.age
            .set(knowledge.age.map_or(-1.0, |age| age.as_secs_f64()));
        let version = i64::try_from(knowledge.version).unwrap_or(i64::MAX);
        self.version.set(version);
        let mut text = String::new();
        encode(&mut text, &lock(&self.registry))?;
        Ok(text)
    }
}

impl Default for Meter {
    fn default() -> Self {
        Self::new()
    }
}

fn histogram() -> Histogram {
    Histogram::new(exponential_buckets(LEAST_SECONDS, 2.0, BUCKETS))
}

fn by_code(code: Code) -> ByCode {
    ByCode { code: code.into() }
}

fn by_kind(kind: Kind) -> ByKind {
    ByKind { kind: kind.into() }
}
