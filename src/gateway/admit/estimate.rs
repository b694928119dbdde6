//! The expected wait of a request, from the rate at which a queue drains.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::admit::queue::Ahead;

/// Weight of the last interval in the moving average.
const WEIGHT: f64 = 1.0 / 16.0;

/// Number of served requests from which on the average is relied on to refuse a request at once.
const MIN_SAMPLES: u32 = 8;

/// How long a rate is relied on after the last request was served. While nothing of a priority is
/// queued, its rate isn't measured, and one of an overload that is over would refuse all.
const SAMPLE_LIFETIME: Duration = Duration::from_secs(2);

/// How long a request is expected to wait.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Estimate {
    /// The time until its turn.
    pub wait: Duration,
    /// The time between the turns of two requests.
    pub interval: Duration,
    /// Whether enough requests were served to rely on it.
    pub is_reliable: bool,
}

/// Times between the requests of a queue that are served while some wait.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Pace {
    /// When the last request was served, or when requests began to wait.
    since: Option<Instant>,
    /// Moving average in seconds.
    mean: f64,
    samples: u32,
    /// When the last sample was taken.
    sampled_at: Option<Instant>,
}

impl Pace {
    fn record(&mut self, now: Instant) {
        if let Some(since) = self.since.replace(now) {
            if !self.is_current(now) {
                self.samples = 0;
            }
            self.sampled_at = Some(now);
            let seconds = now.saturating_duration_since(since).as_secs_f64();
            // The first samples count alike.
            let weight = WEIGHT.max(1.0 / (f64::from(self.samples) + 1.0));
            self.mean += (seconds - self.mean) * weight;
            self.samples = self.samples.saturating_add(1);
        }
    }

    /// Returns whether a sample was taken lately.
    fn is_current(&self, now: Instant) -> bool {
        let age = self.sampled_at.map(|at| now.saturating_duration_since(at));
        age.is_some_and(|age| age < SAMPLE_LIFETIME)
    }

    /// Returns whether enough samples were taken lately.
    fn is_reliable(&self, now: Instant) -> bool {
        self.samples >= MIN_SAMPLES && self.is_current(now)
    }

    fn set_busy(&mut self, now: Instant, is_busy: bool) {
        self.since = match is_busy {
            true => self.since.or(Some(now)),
            false => None,
        };
    }

    /// Returns the time between two requests. A queue that stands still is as slow as that.
    fn interval(&self, now: Instant) -> Option<Duration> {
        let standstill = self.since.map(|since| now.saturating_duration_since(since));
        let mean = (self.samples > 0).then(|| Duration::from_secs_f64(self.mean));
        mean.map(|mean| mean.max(standstill.unwrap_or_default()))
    }
}

/// The rates at which the queue of a service drains.
#[derive(Clone, Debug, Default)]
pub struct Drain {
    all: Pace,
    levels: BTreeMap<u8, Pace>,
}

impl Drain {
    /// Records that a request of a priority was served after it waited.
    pub fn record(&mut self, now: Instant, priority: u8) {
        self.all.record(now);
        self.levels.entry(priority).or_default().record(now);
    }

    /// Records of which priorities requests wait.
    pub fn set_busy(&mut self, now: Instant, busy: impl Iterator<Item = u8>) {
        let busy: Vec<u8> = busy.collect();
        self.all.set_busy(now, !busy.is_empty());
        for (priority, pace) in &mut self.levels {
            pace.set_busy(now, busy.contains(priority));
        }
        for priority in busy {
            self.levels.entry(priority).or_default().set_busy(now, true);
        }
    }

    /// Returns the expected wait of a request with some `ahead` of it; `None` before any request
    /// was served from the queue.
    ///
    /// The rate of its own priority includes the more urgent requests that arrive meanwhile.
    /// Before that is known, the rate of the whole queue is used.
    pub fn estimate(&self, now: Instant, priority: u8, ahead: Ahead) -> Option<Estimate> {
        let level = self.levels.get(&priority);
        let level = level.filter(|it| it.is_reliable(now));
        let (pace, count) = match level {
            Some(level) => (level, ahead.own),
            None => (&self.all, ahead.all),
        };
        let interval = pace.interval(now)?;
        Some(Estimate {
            wait: interval.saturating_mul(u32::try_from(count).unwrap_or(u32::MAX)),
            interval,
            is_reliable: pace.is_reliable(now),
        })
    }
}
