//! Prometheus metrics of the gateway.

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

use crate::gateway::admit::wait;
use crate::gateway::capacity;
use crate::gateway::load;
use crate::gateway::resume::Evidence;
use crate::gateway::table::Kind;
use crate::lock::lock;
use crate::outcome::Code;

/// Upper bound of a histogram's first bucket in seconds.
const FIRST_BUCKET_SECONDS: f64 = 0.005;

/// Number of buckets of a histogram; each bound is twice the one before.
const BUCKETS: u16 = 13;

/// Label set with the code of a refusal, a loss, a read result or a notice.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByCode {
    code: &'static str,
}

/// Label set with the kind of a route.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByKind {
    kind: &'static str,
}

/// Label set with how the version that began a stream was found.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByEvidence {
    evidence: &'static str,
}

/// Label set with the way that reports of loads come.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct BySource {
    source: &'static str,
}

/// Label set with who opens connections.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByAudience {
    audience: &'static str,
}

/// Label set with who opens connections, and what became of one that had no room.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByShed {
    audience: &'static str,
    result: &'static str,
}

/// Label set of a queue of waiting requests.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
struct ByQueue {
    service: String,
    priority: u32,
}

type Histograms = Family<ByKind, Histogram, fn() -> Histogram>;

/// The metrics and their registry.
#[derive(Debug)]
pub struct Meter {
    registry: Mutex<Registry>,
    response_seconds: Histograms,
    first_event_seconds: Histograms,
    longest_gap_seconds: Histograms,
    queue_seconds: Histograms,
    queue_refused: Family<ByCode, Counter>,
    queue_length: Family<ByQueue, Gauge>,
    refused: Family<ByCode, Counter>,
    lost: Family<ByCode, Counter>,
    resumed: Family<ByEvidence, Counter>,
    store_reads: Family<ByCode, Counter>,
    notices: Family<ByCode, Counter>,
    reach: Family<ByCode, Counter>,
    handoffs: Family<ByCode, Counter>,
    left_out: Family<ByCode, Counter>,
    unreadable: Family<ByCode, Counter>,
    shed: Family<ByShed, Counter>,
    connections: Family<ByAudience, Gauge>,
    bodies: Gauge,
    body_bytes: Gauge,
    evicted_bodies: Gauge,
    unreadable_headers: Counter,
    capacity_changes: Family<ByCode, Counter>,
    upstreams: Gauge,
    hosts: Gauge,
    store_age_seconds: Gauge<f64, AtomicU64>,
    route_table_version: Gauge,
    store_era: Gauge,
    retained_items: Gauge,
    noticed_upstreams: Gauge,
    lowered_upstreams: Gauge,
    largest_slowdown: Gauge<f64, AtomicU64>,
    load_age_seconds: Family<BySource, Gauge<f64, AtomicU64>>,
}

/// Current values of the gauges.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Gauges {
    /// Number of listed upstreams.
    pub upstreams: usize,
    /// Number of live hosts, including this one.
    pub hosts: usize,
    /// Age of this host's copy of the store, if it has one.
    pub age: Option<Duration>,
    /// Version of the route table.
    pub version: u64,
    /// Era of this host's copy of the store.
    pub era: u64,
    /// Items that stay in effect although the store has older ones or none.
    pub retained: usize,
    /// Upstreams that have announced something of themselves.
    pub noticed: usize,
    /// What upstreams can take.
    pub capacity: capacity::table::Figures,
    /// Age of what other hosts reported of their requests.
    pub load_age: load::Age,
    /// What callers and other hosts send.
    pub intake: Intake,
}

/// Bodies and connections of callers and other hosts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Intake {
    /// Bodies that arrive or are held.
    pub bodies: usize,
    /// Memory of these.
    pub body_bytes: usize,
    /// Bodies that were ended to make room for others, since the start.
    pub evicted: u64,
    /// Connections of callers.
    pub callers: usize,
    /// Connections of other hosts.
    pub hosts: usize,
}

impl Meter {
    /// Creates and registers the metrics.
    pub fn new() -> Self {
        let mut registry = Registry::with_prefix("masticmoor");
        let histograms = || Histograms::new_with_constructor(histogram);
        let meter = Self {
            response_seconds: histograms(),
            first_event_seconds: histograms(),
            longest_gap_seconds: histograms(),
            queue_seconds: histograms(),
            queue_refused: Family::default(),
            queue_length: Family::default(),
            refused: Family::default(),
            lost: Family::default(),
            resumed: Family::default(),
            store_reads: Family::default(),
            notices: Family::default(),
            reach: Family::default(),
            handoffs: Family::default(),
            left_out: Family::default(),
            unreadable: Family::default(),
            shed: Family::default(),
            connections: Family::default(),
            bodies: Gauge::default(),
            body_bytes: Gauge::default(),
            evicted_bodies: Gauge::default(),
            unreadable_headers: Counter::default(),
            capacity_changes: Family::default(),
            upstreams: Gauge::default(),
            hosts: Gauge::default(),
            store_age_seconds: Gauge::default(),
            route_table_version: Gauge::default(),
            store_era: Gauge::default(),
            retained_items: Gauge::default(),
            noticed_upstreams: Gauge::default(),
            lowered_upstreams: Gauge::default(),
            largest_slowdown: Gauge::default(),
            load_age_seconds: Family::default(),
            registry: Mutex::new(Registry::default()),
        };
        let it = &meter;
        registry.register(
            "answer_seconds",
            "Time from the headers of a request to its complete answer",
            it.response_seconds.clone(),
        );
        registry.register(
            "first_event_seconds",
            "Time from the headers of a request to the first event",
            it.first_event_seconds.clone(),
        );
        registry.register(
            "longest_pause_seconds",
            "Longest pause between two events of a stream",
            it.longest_gap_seconds.clone(),
        );
        registry.register(
            "queue_seconds",
            "Time that requests waited for an upstream before they were sent, if they did",
            it.queue_seconds.clone(),
        );
        registry.register(
            "queue_refused",
            "Requests that were refused instead of waiting, or after it, by reason",
            it.queue_refused.clone(),
        );
        registry.register(
            "queue_length",
            "Requests that wait for an upstream, by service and priority",
            it.queue_length.clone(),
        );
        registry.register("refused", "Requests refused", it.refused.clone());
        registry.register(
            "lost",
            "Requests lost after they were sent",
            it.lost.clone(),
        );
        registry.register(
            "resumed",
            "Streams that callers resumed, by how the version that began them was found",
            it.resumed.clone(),
        );
        registry.register(
            "store_reads",
            "Calls to the platform's store",
            it.store_reads.clone(),
        );
        registry.register(
            "upstream_notices",
            "Upstreams that announced something of themselves to this host",
            it.notices.clone(),
        );
        registry.register(
            "service_reach",
            "Times that this host lost or regained the way to all upstreams of a service",
            it.reach.clone(),
        );
        registry.register(
            "handoffs",
            "Requests handed to another host, by result",
            it.handoffs.clone(),
        );
        registry.register(
            "gossip_left_out",
            "Items that had no room in a message to other hosts, by list",
            it.left_out.clone(),
        );
        registry.register(
            "gossip_unreadable",
            "Datagrams of other hosts that can't be read, by reason",
            it.unreadable.clone(),
        );
        registry.register(
            "connections_shed",
            "Connections for which there was no room, by who opened them and what was done",
            it.shed.clone(),
        );
        registry.register(
            "connections",
            "Open connections, by who opened them",
            it.connections.clone(),
        );
        registry.register(
            "bodies",
            "Bodies of requests that arrive or are held",
            it.bodies.clone(),
        );
        registry.register(
            "body_bytes",
            "Memory of the bodies of requests",
            it.body_bytes.clone(),
        );
        registry.register(
            "evicted_bodies",
            "Bodies that stalled and were ended to make room for others, since the start",
            it.evicted_bodies.clone(),
        );
        registry.register(
            "unreadable_headers",
            "Headers in which upstreams announce something that can't be read",
            it.unreadable_headers.clone(),
        );
        registry.register(
            "capacity_changes",
            "Upstreams whose limit on concurrency was lowered or restored",
            it.capacity_changes.clone(),
        );
        registry.register("upstreams", "Upstreams listed", it.upstreams.clone());
        registry.register("hosts", "Live hosts", it.hosts.clone());
        registry.register(
            "knowledge_age_seconds",
            "Age of what is known of the platform's store, -1 if nothing is",
            it.store_age_seconds.clone(),
        );
        registry.register(
            "route_table_version",
            "Version of the route table",
            it.route_table_version.clone(),
        );
        registry.register(
            "store_era",
            "Era of this host's copy of the platform's store",
            it.store_era.clone(),
        );
        registry.register(
            "retained_items",
            "Items in effect although the store has older ones or none",
            it.retained_items.clone(),
        );
        registry.register(
            "noticed_upstreams",
            "Upstreams that have announced something of themselves",
            it.noticed_upstreams.clone(),
        );
        registry.register(
            "lowered_upstreams",
            "Upstreams whose limit on concurrency is lowered",
            it.lowered_upstreams.clone(),
        );
        registry.register(
            "largest_slowdown",
            "Largest present slowdown of an upstream, 1 if all are as usual",
            it.largest_slowdown.clone(),
        );
        registry.register(
            "load_age_seconds",
            "Mean age of what other hosts reported of their requests, by the way that it came, -1 without reports",
            it.load_age_seconds.clone(),
        );
        *lock(&meter.registry) = registry;
        meter
    }

    /// Records the latency of a complete response.
    pub fn answered(&self, kind: Kind, latency: Duration) {
        let histogram = self.response_seconds.get_or_create(&by_kind(kind));
        histogram.observe(latency.as_secs_f64());
    }

    /// Records the time to the first event and the longest gap of a complete stream.
    pub fn streamed(&self, kind: Kind, first_event: Duration, longest_gap: Duration) {
        let label = by_kind(kind);
        self.first_event_seconds
            .get_or_create(&label)
            .observe(first_event.as_secs_f64());
        self.longest_gap_seconds
            .get_or_create(&label)
            .observe(longest_gap.as_secs_f64());
    }

    /// Records how long a request waited in a queue before it was sent.
    pub fn queued(&self, kind: Kind, waited: Duration) {
        let histogram = self.queue_seconds.get_or_create(&by_kind(kind));
        histogram.observe(waited.as_secs_f64());
    }

    /// Counts a request that was refused instead of waiting, or after it.
    pub fn queue_refused(&self, reason: &'static str) {
        self.queue_refused
            .get_or_create(&ByCode { code: reason })
            .inc();
    }

    /// Sets the number of waiting requests by service and priority.
    pub fn set_queue_lengths(&self, lengths: &[wait::Length]) {
        self.queue_length.clear();
        for (service, priority, length) in lengths {
            let label = ByQueue {
                service: service.to_string(),
                priority: u32::from(*priority),
            };
            let length = i64::try_from(*length).unwrap_or(i64::MAX);
            self.queue_length.get_or_create(&label).set(length);
        }
    }

    /// Counts a refusal.
    pub fn refused(&self, code: Code) {
        self.refused.get_or_create(&by_code(code)).inc();
    }

    /// Counts a request that was lost after it was sent.
    pub fn lost(&self, code: Code) {
        self.lost.get_or_create(&by_code(code)).inc();
    }

    /// Counts a stream that a caller resumes.
    pub fn resumed(&self, evidence: Evidence) {
        let evidence = evidence.into();
        self.resumed.get_or_create(&ByEvidence { evidence }).inc();
    }

    /// Counts a call to the store by its result.
    pub fn store_read(&self, result: &'static str) {
        self.store_reads
            .get_or_create(&ByCode { code: result })
            .inc();
    }

    /// Counts a notice of an upstream that this host read first.
    pub fn noticed(&self, kind: &'static str) {
        self.notices.get_or_create(&ByCode { code: kind }).inc();
    }

    /// Counts that this host lost or regained the way to all upstreams of a service.
    pub fn reached(&self, change: &'static str) {
        self.reach.get_or_create(&ByCode { code: change }).inc();
    }

    /// Counts a request that was handed to another host, by its result.
    pub fn handed_on(&self, result: &'static str) {
        self.handoffs.get_or_create(&ByCode { code: result }).inc();
    }

    /// Counts items of a list that had no room in a message to other hosts.
    pub fn left_out(&self, list: &'static str, count: usize) {
        let counter = self.left_out.get_or_create(&ByCode { code: list });
        counter.inc_by(u64::try_from(count).unwrap_or(u64::MAX));
    }

    /// Counts a connection for which there was no room, by what was done.
    pub fn shed(&self, audience: &'static str, result: &'static str) {
        let label = ByShed { audience, result };
        self.shed.get_or_create(&label).inc();
    }

    /// Counts a datagram of another host that can't be read.
    pub fn unreadable(&self, reason: &'static str) {
        let label = ByCode { code: reason };
        self.unreadable.get_or_create(&label).inc();
    }

    /// Counts a header of an upstream that can't be read.
    pub fn unreadable_header(&self) {
        self.unreadable_headers.inc();
    }

    /// Counts that the limit of an upstream was lowered or restored.
    pub fn capacity_changed(&self, change: &'static str) {
        let label = ByCode { code: change };
        self.capacity_changes.get_or_create(&label).inc();
    }

    /// Sets the gauges and returns all metrics in the Prometheus text format.
    pub fn text(&self, gauges: Gauges) -> Result<String, std::fmt::Error> {
        let count = |count: usize| i64::try_from(count).unwrap_or(i64::MAX);
        self.upstreams.set(count(gauges.upstreams));
        self.hosts.set(count(gauges.hosts));
        self.store_age_seconds
            .set(gauges.age.map_or(-1.0, |age| age.as_secs_f64()));
        let version = i64::try_from(gauges.version).unwrap_or(i64::MAX);
        self.route_table_version.set(version);
        self.store_era
            .set(i64::try_from(gauges.era).unwrap_or(i64::MAX));
        self.retained_items.set(count(gauges.retained));
        self.noticed_upstreams.set(count(gauges.noticed));
        self.lowered_upstreams.set(count(gauges.capacity.lowered));
        self.largest_slowdown.set(gauges.capacity.slowest);
        let load_age = [
            ("host", gauges.load_age.near),
            ("relay", gauges.load_age.far),
        ];
        for (source, age) in load_age {
            let gauge = self.load_age_seconds.get_or_create(&BySource { source });
            gauge.set(age.map_or(-1.0, |age| age.as_secs_f64()));
        }
        let intake = gauges.intake;
        for (audience, open) in [("callers", intake.callers), ("hosts", intake.hosts)] {
            let label = ByAudience { audience };
            self.connections.get_or_create(&label).set(count(open));
        }
        self.bodies.set(count(intake.bodies));
        self.body_bytes.set(count(intake.body_bytes));
        let evicted = i64::try_from(intake.evicted).unwrap_or(i64::MAX);
        self.evicted_bodies.set(evicted);
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
    Histogram::new(exponential_buckets(FIRST_BUCKET_SECONDS, 2.0, BUCKETS))
}

fn by_code(code: Code) -> ByCode {
    ByCode { code: code.into() }
}

fn by_kind(kind: Kind) -> ByKind {
    ByKind { kind: kind.into() }
}
