//! Structured logs on standard output that never make a request wait, and whose
//! volume is bounded.
//!
//! Lines go through a bounded queue to a thread that writes them. Lines on requests
//! that went well have a budget of their own, so that they are dropped first. What
//! was dropped is told by [`Budget::report`].

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

/// The target of lines on requests that went well.
pub const ROUTINE: &str = "calm";

/// Lines a second on requests that went well: a few for each request of a host at
/// the size to design for.
const ROUTINE_LINES_PER_SECOND: f64 = 200.0;

/// All other lines a second.
const OTHER_LINES_PER_SECOND: f64 = 400.0;

/// Lines that wait to be written; more are dropped, as under a reader that has
/// stopped.
const QUEUE_LINES: usize = 8_192;

/// Returns a time in whole milliseconds, for log lines and messages.
pub fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

/// A budget of lines, refilled every second.
#[derive(Debug)]
struct Bucket {
    per_second: f64,
    left: f64,
    at: Instant,
}

impl Bucket {
    fn new(now: Instant, per_second: f64) -> Self {
        Self {
            per_second,
            left: per_second,
            at: now,
        }
    }

    fn take(&mut self, now: Instant) -> bool {
        let passed = now.duration_since(self.at).as_secs_f64();
        self.left = (self.left + passed * self.per_second).min(self.per_second);
        self.at = now;
        let granted = self.left >= 1.0;
        if granted {
            self.left -= 1.0;
        }
        granted
    }
}

/// How many lines are written, and how many were dropped.
#[derive(Debug)]
pub struct Budget {
    calm: Mutex<Bucket>,
    rest: Mutex<Bucket>,
    calm_dropped: AtomicU64,
    rest_dropped: AtomicU64,
}

impl Budget {
    /// Creates full budgets.
    pub fn new(now: Instant) -> Self {
        Self {
            calm: Mutex::new(Bucket::new(now, ROUTINE_LINES_PER_SECOND)),
            rest: Mutex::new(Bucket::new(now, OTHER_LINES_PER_SECOND)),
            calm_dropped: AtomicU64::new(0),
            rest_dropped: AtomicU64::new(0),
        }
    }

    /// Tells whether a line with this target may be written now.
    pub fn admit(&self, now: Instant, target: &str) -> bool {
        let (bucket, dropped) = match target {
            ROUTINE => (&self.calm, &self.calm_dropped),
            _ => (&self.rest, &self.rest_dropped),
        };
        let granted = lock(bucket).take(now);
        if !granted {
            dropped.fetch_add(1, Ordering::Relaxed);
        }
        granted
    }

    /// Returns the lines dropped since the last call: on requests that went well,
    /// and others.
    pub fn take_dropped(&self) -> (u64, u64) {
        let take = |count: &AtomicU64| count.swap(0, Ordering::Relaxed);
        (take(&self.calm_dropped), take(&self.rest_dropped))
    }

    /// Writes a line on what was dropped since the last one, if anything was.
    pub fn report(&self) {
        let (calm, rest) = self.take_dropped();
        if calm + rest > 0 {
            warn!(calm, rest, "log: dropped lines");
        }
    }
}

/// Returns a writer that never blocks. Lines that wait are written when the guard
/// is dropped.
pub fn non_blocking(writer: impl Write + Send + 'static) -> (NonBlocking, WorkerGuard) {
    NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(writer)
}

/// Begins to write logs.
pub fn start(options: &Log) -> (Arc<Budget>, WorkerGuard) {
    let (writer, guard) = non_blocking(std::io::stdout());
    let level: tracing::Level = options.level.into();
    let budget = Arc::new(Budget::new(Instant::now()));
    let counted = budget.clone();
    let filter = dynamic_filter_fn(move |line: &Metadata<'_>, _: &_| {
        !line.is_event() || admit(&counted, line, level)
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
