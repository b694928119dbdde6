//! Slow start of an upstream: all its slots when warm, few when cold, and more
//! with each run of good responses, never with time alone.

use std::collections::VecDeque;
use std::time::Duration;

/// When an upstream turns cold and how it warms up.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Latest first-byte latencies that the baseline is computed from.
    pub window: usize,
    /// Latencies needed to compute a baseline.
    pub min_samples: usize,
    /// The quantile of the latencies that is the baseline; high enough to
    /// include prompts that miss the cache.
    pub quantile: f64,
    /// A first byte that takes at least this many times the baseline is late.
    pub late_multiple: f64,
    /// A first byte sooner than this is never late.
    pub late_floor: Duration,
    /// Late responses in a row that indicate a cold start.
    pub late_streak: u32,
    /// Failures among the last 16 requests that indicate a cold start.
    pub failure_threshold: u32,
    /// Good responses in a row before the allowance first exceeds the cold
    /// slots.
    pub cold_answers: u32,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            window: 129,
            min_samples: 33,
            quantile: 0.98,
            late_multiple: 3.0,
            late_floor: Duration::from_millis(50),
            late_streak: 4,
            failure_threshold: 4,
            cold_answers: 16,
        }
    }
}

/// What is known about an upstream when it is taken over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Start {
    /// Nothing is known, or the upstream has just started.
    Cold,
    /// The allowance that a predecessor reported.
    Inherited(u32),
    /// The upstream is warm.
    Warm,
}

/// The slow start of one upstream.
#[derive(Clone, Debug)]
pub struct Ramp {
    limits: Limits,
    slots: u32,
    cold_slots: u32,
    allowance: u32,
    /// Good responses in a row since the last increase.
    streak: u32,
    /// Late responses in a row.
    late: u32,
    /// The last 16 requests, one bit each, set for a failure.
    failure_bits: u16,
    /// Incremented each time the upstream turns cold.
    epoch: u64,
    latencies: VecDeque<Duration>,
}

impl Ramp {
    /// Creates the ramp of an upstream with `slots` slots when warm and
    /// `cold_slots` when cold.
    pub fn new(limits: Limits, slots: u32, cold_slots: u32, start: Start) -> Self {
        let slots = slots.max(1);
        let cold_slots = cold_slots.clamp(1, slots);
        let allowance = match start {
            Start::Cold => cold_slots,
            Start::Inherited(allowance) => allowance.clamp(cold_slots, slots),
            Start::Warm => slots,
        };
        Self {
            limits,
            slots,
            cold_slots,
            allowance,
            streak: 0,
            late: 0,
            failure_bits: 0,
            epoch: 0,
            latencies: VecDeque::with_capacity(limits.window),
        }
    }

    /// Returns how many requests the upstream may run at a time.
    pub fn allowance(&self) -> u32 {
        self.allowance
    }

    /// Returns whether the upstream may use all its slots.
    pub fn is_warm(&self) -> bool {
        self.allowance >= self.slots
    }

    /// Returns how often the upstream turned cold. A request that began in an
    /// earlier epoch says nothing about the current ramp.
    pub fn epoch(&self) -> u64 {
        self.epoch
    }

    /// Continues from the epoch of an earlier ramp.
    pub fn set_epoch(&mut self, epoch: u64) {
        self.epoch = epoch;
    }

    /// Changes the slots. A warm upstream stays warm.
    pub fn resize(&mut self, slots: u32, cold_slots: u32) {
        let warm = self.is_warm();
        self.slots = slots.max(1);
        self.cold_slots = cold_slots.clamp(1, self.slots);
        self.allowance = match warm {
            true => self.slots,
            false => self.allowance.clamp(self.cold_slots, self.slots),
        };
    }

    /// Counts a complete response to a request that began in this epoch.
    pub fn record_answer(&mut self, first_byte: Duration) {
        self.failure_bits <<= 1;
        match self.is_late(first_byte) {
            true => self.late += 1,
            false => {
                self.late = 0;
                self.record_latency(first_byte);
            }
        }
        match self.late >= self.limits.late_streak {
            true => self.reset(),
            false => self.grow(),
        }
    }

    /// Counts a failure of a request that began in this epoch.
    pub fn record_failure(&mut self) {
        self.failure_bits = self.failure_bits << 1 | 1;
        self.streak = 0;
        if !self.is_warm() || self.failure_bits.count_ones() >= self.limits.failure_threshold {
            self.reset();
        }
    }

    /// Restarts from the cold slots in a new epoch.
    pub fn reset(&mut self) {
        self.allowance = self.cold_slots;
        self.streak = 0;
        self.late = 0;
        self.failure_bits = 0;
        self.epoch += 1;
        self.latencies.clear();
    }

    fn is_late(&self, first_byte: Duration) -> bool {
        let limit = self
            .baseline()
            .map(|baseline| baseline.mul_f64(self.limits.late_multiple));
        limit.is_some_and(|limit| first_byte >= limit.max(self.limits.late_floor))
    }

    /// Returns the latency that most responses stay within.
    fn baseline(&self) -> Option<Duration> {
        if self.latencies.len() < self.limits.min_samples {
            return None;
        }
        let mut sorted: Vec<Duration> = self.latencies.iter().copied().collect();
        let last = sorted.len() - 1;
        let nth = (last as f64 * self.limits.quantile) as usize;
        Some(*sorted.select_nth_unstable(nth.min(last)).1)
    }

    fn record_latency(&mut self, first_byte: Duration) {
        if self.latencies.len() >= self.limits.window {
            self.latencies.pop_front();
        }
        self.latencies.push_back(first_byte);
    }

    /// Doubles the allowance after as many good responses as it allows at a
    /// time. The first increase takes more, since a few responses don't show
    /// that the upstream is warm.
    fn grow(&mut self) {
        self.streak += 1;
        let needed = match self.allowance > self.cold_slots {
            true => self.allowance,
            false => self.allowance.max(self.limits.cold_answers),
        };
        if !self.is_warm() && self.streak >= needed {
            self.allowance = self.allowance.saturating_mul(2).min(self.slots);
            self.streak = 0;
        }
    }
}
