//! Structured logs on standard output that never block a request, with limited volume.
//!
//! Lines go through a bounded queue to a writer thread. Lines about successful
//! requests have a separate, smaller budget, so that they are dropped first.
//! [`Budget::report`] logs how many lines were dropped.

use std::io::Write;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use tracing::Metadata;
use tracing::warn;
use tracing_appender::non_blocking::NonBlocking;
use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;
use tracing_subscriber::Layer;
use tracing_subscriber::filter::dynamic_filter_fn;
use tracing_subscriber::layer::SubscriberExt;
use tracing_subscriber::util::SubscriberInitExt;

use crate::lock::lock;
use crate::options::Log;
use crate::options::log::Format;

/// The target of lines about successful requests.
pub const ROUTINE: &str = "calm";

/// The rate limit of lines about successful requests: a few for each request that a
/// host serves at the design load.
const ROUTINE_LINES_PER_SECOND: f64 = 200.0;

/// The rate limit of all other lines.
const OTHER_LINES_PER_SECOND: f64 = 400.0;

/// The capacity of the queue of lines to write. When it is full, for instance because
/// the reader of the output has stopped, lines are dropped.
const QUEUE_LINES: usize = 8_192;

/// Converts a duration to whole milliseconds, for log lines and messages.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A token bucket of lines, refilled continuously up to one second's worth.
#[derive(Debug)]
struct Bucket {
    per_second: f64,
    available: f64,
    updated: Instant,
}

impl Bucket {
    fn new(now: Instant, per_second: f64) -> Self {
        Self {
            per_second,
            available: per_second,
            updated: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let elapsed = now.duration_since(self.updated).as_secs_f64();
        self.available = (self.available + elapsed * self.per_second).min(self.per_second);
        self.updated = now;
        let granted = self.available >= 1.0;
        if granted {
            self.available -= 1.0;
        }
        granted
    }
}

/// Limits the rate of lines and counts those that were dropped.
#[derive(Debug)]
pub struct Budget {
    routine: Mutex<Bucket>,
    other: Mutex<Bucket>,
    routine_dropped: AtomicU64,
    other_dropped: AtomicU64,
}

impl Budget {
    /// Creates a budget with full buckets.
    pub fn new(now: Instant) -> Self {
        Self {
            routine: Mutex::new(Bucket::new(now, ROUTINE_LINES_PER_SECOND)),
            other: Mutex::new(Bucket::new(now, OTHER_LINES_PER_SECOND)),
            routine_dropped: AtomicU64::new(0),
            other_dropped: AtomicU64::new(0),
        }
    }

    /// Returns whether a line with this target may be written now, and counts it as
    /// dropped if not.
    pub fn admit(&self, now: Instant, target: &str) -> bool {
        let (bucket, dropped) = match target {
            ROUTINE => (&self.routine, &self.routine_dropped),
            _ => (&self.other, &self.other_dropped),
        };
        let granted = lock(bucket).take(now);
        if !granted {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        granted
    }

    /// Returns the numbers of lines dropped since the last call: those about successful
    /// requests, and all others.
    pub fn take_dropped(&self) -> (u64, u64) {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        (take(&self.routine_dropped), take(&self.other_dropped))
    }

    /// Logs how many lines were dropped since the last report, if any.
    pub fn report(&self) {
        let (calm, rest) = self.take_dropped();
        if calm + rest > 0 {
            warn!(calm, rest, "log: dropped lines");
        }
    }
}

/// Returns a writer that never blocks: it drops lines while its queue is full. Dropping
/// the guard writes the queued lines.
pub fn non_blocking(writer: impl Write + Send + 'static) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(writer)
}

/// Installs the global logger, which writes to standard output. Queued lines are written
/// when the guard is dropped.
pub fn start(options: &Log) -> (Arc<Budget>, WorkerGuard) {
    let (writer, guard) = non_blocking(std::io::stdout());
    let level: tracing::Level = options.level.into();
    let budget = Arc::new(Budget::new(Instant::now()));
    let limit = budget.clone();
    let filter = dynamic_filter_fn(move |line: &Metadata<'_>, _: &_| {
        !line.is_event() || admit(&limit, line, level)
    });
    let lines = tracing_subscriber::fmt::layer()
        .with_target(false)
        .with_writer(writer);
    let all = tracing_subscriber::registry();
    match options.format {
        Format::Json => {
            let lines = lines.json().flatten_event(true);
            all.with(lines.with_filter(filter)).init();
        }
        Format::Text => all.with(lines.with_filter(filter)).init(),
    }
    (budget, guard)
}

fn admit(budget: &Budget, line: &Metadata<'_>, level: tracing::Level) -> bool {
    *line.level() <= level && budget.admit(Instant::now(), line.target())
}
