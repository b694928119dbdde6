//! Load reports of upstreams, and the mean load that limits what an upstream
//! may run.
//!
//! ```
//! use masticmoor::policy::load::Mean;
//!
//! let own = Mean { sum: 6, count: 2 };
//! let others = Mean { sum: 14, count: 3 };
//! assert_eq!(own.plus(others).times(1.5), 6);
//! ```

use std::collections::VecDeque;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

/// The load of one upstream as last reported by its home.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Requests running.
    pub inflight: u32,
    /// Requests queued.
    pub queued: u32,
    /// Requests that it may run now.
    pub cap: u32,
    /// Slots that its ramp allows, all of them once warm.
    pub allowance: u32,
}

impl Report {
    /// Returns whether the upstream accepts no requests.
    pub fn is_closed(&self) -> bool {
        self.cap == 0
    }
}

/// Requests in flight over a number of upstreams.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Mean {
    /// Requests in flight.
    pub sum: u64,
    /// Number of upstreams.
    pub count: u32,
}

/// The lowest of the samples of a mean within a time window. A single sample of
/// a load that changes faster than it is sampled is often too high.
#[derive(Clone, Debug, Default)]
pub struct Minimum {
    samples: VecDeque<(Instant, Mean)>,
}

impl Minimum {
    /// Adds a sample and drops the samples older than `window`.
    pub fn add(&mut self, now: Instant, mean: Mean, window: Duration) {
        self.samples.push_back((now, mean));
        self.samples.retain(|it| now - it.0 < window);
    }

    /// Returns the lowest mean in the window.
    pub fn get(&self) -> Mean {
        let means = self.samples.iter().map(|it| it.1);
        means
            .min_by(|a, b| a.value().total_cmp(&b.value()))
            .unwrap_or_default()
    }
}

impl Mean {
    /// Returns the mean in requests per upstream.
    pub fn value(self) -> f64 {
        self.sum as f64 / f64::from(self.count.max(1))
    }

    /// Returns the mean over both sets of upstreams.
    pub fn plus(self, other: Self) -> Self {
        Self {
            sum: self.sum.saturating_add(other.sum),
            count: self.count.saturating_add(other.count),
        }
    }

    /// Returns a multiple of the mean, rounded up to whole requests.
    pub fn times(self, multiple: f64) -> u32 {
        (self.value() * multiple).ceil() as u32
    }

    /// Returns a multiple of the mean, rounded down to whole requests.
    pub fn times_down(self, multiple: f64) -> u32 {
        (self.value() * multiple) as u32
    }
}
