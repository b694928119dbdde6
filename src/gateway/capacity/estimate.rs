//! The estimate of one upstream.
//!
//! Two averages of how many times as long as usual work takes are kept: the present one for
//! placement, and a lasting one that sets the limit. The limit follows the gradient, the ratio of
//! usual to present time, as TCP Vegas does. A delay target over the shortest time in an interval,
//! as in CoDel, needs many responses within the interval, and a host sees as few as one in twenty
//! seconds of an upstream.

use std::time::Duration;

use tokio::time::Instant;

/// Time constant of the lasting slowdown. Noise of 600 ms at 2.5 times raises it by a half, a
/// change by four times raises it above [`LOWER_ABOVE`] in 0.5 s.
const LASTING: Duration = Duration::from_millis(1_500);

/// The same for readings below it: capacity that is free again is used in the second second after.
const RECOVERY: Duration = Duration::from_millis(700);

/// Largest weight of a reading above the lasting slowdown. It keeps a single reading after a long
/// silence, which may fall into noise, from counting as lasting.
const MAX_WEIGHT: f64 = 0.35;

/// Time constant with which a reading's deviation from the lasting slowdown fades. Noise that a
/// reading finds ends 300 ms later on average.
const NOISE: Duration = Duration::from_millis(400);

/// How long a reading holds. Without a younger one, the estimate then returns to what is usual, so
/// that an upstream that gets no requests is tried again.
const HOLD: Duration = Duration::from_millis(1_500);

/// Time constant of that return. All hosts try the upstream again at about the same time, before
/// the first responses show that it is still slow.
const RETURN: Duration = Duration::from_secs(2);

/// Lasting slowdown above which the limit is lowered. The mean of noise that takes 15 % of the time
/// at 2.5 times is 1.23, with peaks of about 1.7.
const LOWER_ABOVE: f64 = 1.8;

/// Lasting slowdown below which the limit is raised fast; between the two, it is raised slowly to
/// find out whether the upstream takes more.
const RAISE_BELOW: f64 = 1.4;

/// Slowdown that the limit aims at while it is lowered.
const TOLERATED: f64 = 1.5;

/// Time in which a slowdown by twice [`TOLERATED`] halves the limit.
const LOWER_TIME: Duration = Duration::from_millis(700);

/// Time in which the limit is raised from none to all slots.
const RAISE_TIME: Duration = Duration::from_millis(1_500);

/// The same while the upstream is probed.
const PROBE_TIME: Duration = Duration::from_secs(10);

/// Lowest limit as a share of the slots. An upstream that is slow for reasons other than its load
/// doesn't get faster when it gets less.
const MIN_SHARE: f64 = 0.25;

/// Time between two readings that is counted at most, and before the first one.
const MAX_STEP: Duration = Duration::from_millis(500);

/// Bounds of a slowdown. Beyond them, an upstream is avoided or preferred no more than at them.
const SLOWDOWNS: (f64, f64) = (0.5, 10.0);

/// Deviation from the usual speed below which an upstream counts as usual.
const MIN_DEVIATION: f64 = 0.05;

/// What an upstream can take at present.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// Requests that it handles well at the same time, at least one and at most its slots.
    pub concurrency: f64,
    /// How many times as long as usual work takes there.
    pub slowdown: f64,
}

impl Estimate {
    /// Returns the estimate of an upstream of which nothing is known.
    pub fn usual(slots: u32) -> Self {
        Self {
            concurrency: f64::from(slots.max(1)),
            slowdown: 1.0,
        }
    }
}

/// The state of one upstream at a time.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Status {
    /// Present slowdown.
    pub present: f64,
    /// Lasting slowdown.
    pub lasting: f64,
    /// Sustainable share of the slots.
    pub share: f64,
}

impl Status {
    const USUAL: Self = Self {
        present: 1.0,
        lasting: 1.0,
        share: 1.0,
    };

    /// Returns the estimate for an upstream with this many slots.
    pub fn estimate(&self, slots: u32) -> Estimate {
        let slots = f64::from(slots.max(1));
        let is_usual = (self.present - 1.0).abs() < MIN_DEVIATION;
        Estimate {
            concurrency: (slots * self.share).max(1.0),
            slowdown: if is_usual { 1.0 } else { self.present },
        }
    }
}

/// Follows one upstream by readings of its slowdown.
#[derive(Clone, Copy, Debug)]
pub struct Tracker {
    read_at: Instant,
    /// Status when the latest reading was taken.
    status: Status,
}

impl Tracker {
    /// Creates a tracker with its first reading. It starts from a usual upstream.
    pub fn new(read_at: Instant, slowdown: f64, weight: f64) -> Self {
        let mut tracker = Self {
            read_at: read_at.checked_sub(MAX_STEP).unwrap_or(read_at),
            status: Status::USUAL,
        };
        tracker.record(read_at, slowdown, weight);
        tracker
    }

    /// Returns when the latest reading was taken.
    pub fn read_at(&self) -> Instant {
        self.read_at
    }

    /// Records a reading unless a younger one is known. `weight` is its largest weight in the
    /// lasting slowdown, relative to one of the upstream itself.
    pub fn record(&mut self, read_at: Instant, slowdown: f64, weight: f64) {
        if read_at < self.read_at || !slowdown.is_finite() {
            return;
        }
        let slowdown = slowdown.clamp(SLOWDOWNS.0, SLOWDOWNS.1);
        let step = read_at.duration_since(self.read_at);
        let mut status = self.status(read_at);
        let fraction = match slowdown < status.lasting {
            true => 1.0 - (-step.div_duration_f64(RECOVERY)).exp(),
            false => (1.0 - (-step.div_duration_f64(LASTING)).exp()).min(MAX_WEIGHT),
        };
        status.lasting += (slowdown - status.lasting) * fraction * weight;
        status.present = status.lasting * (1.0 - weight) + slowdown * weight;
        // Silence was counted by the status already.
        let step = step.min(MAX_STEP);
        status.share = match status.lasting {
            lasting if lasting > LOWER_ABOVE => {
                let factor = (TOLERATED / lasting).powf(step.div_duration_f64(LOWER_TIME));
                (status.share * factor).max(MIN_SHARE)
            }
            lasting if lasting < RAISE_BELOW => raised(status.share, step, RAISE_TIME),
            _ => raised(status.share, step, PROBE_TIME),
        };
        *self = Self { read_at, status };
    }

    /// Returns the upstream's status.
    pub fn status(&self, now: Instant) -> Status {
        let age = now.saturating_duration_since(self.read_at);
        let silence = age.saturating_sub(HOLD);
        let fade = |time: Duration, constant| (-time.div_duration_f64(constant)).exp();
        let lasting = 1.0 + (self.status.lasting - 1.0) * fade(silence, RETURN);
        let noise = self.status.present - self.status.lasting;
        Status {
            present: lasting + noise * fade(age, NOISE),
            lasting,
            share: raised(self.status.share, silence, RAISE_TIME),
        }
    }
}

fn raised(share: f64, step: Duration, time: Duration) -> f64 {
    (share + step.div_duration_f64(time)).min(1.0)
}
