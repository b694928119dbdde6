//! How long work usually takes at the upstreams of a service, for those that don't state their
//! speed.

use std::collections::BTreeMap;
use std::time::Duration;

use crate::gateway::table::Kind;
use crate::ident;

/// Weight of a response in the moving average.
const WEIGHT: f64 = 1.0 / 64.0;

/// Number of responses from which on an average is used.
const MIN_RESPONSES: u32 = 64;

/// Ratio to the average below which a response is as usual. Responses differ by what was asked.
const MIN_RATIO: f64 = 2.0;

/// Deviation from the average below which a response is as usual. The network and a busy host delay
/// responses too, and quick ones by several times their length.
const MIN_DELAY: Duration = Duration::from_millis(20);

/// Number of events of a stream that are measured together. Several may arrive at once.
const EVENTS: u32 = 8;

/// Work whose time this host sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Work {
    /// The response to a plain request that may be repeated, up to its head.
    Idempotent,
    /// The response to one that may not.
    NonIdempotent,
    /// An event of a stream.
    Event,
}

impl Work {
    /// Returns the work that requests of a kind are measured by.
    pub fn of(kind: Kind) -> Self {
        match kind {
            Kind::Idempotent => Self::Idempotent,
            Kind::NonIdempotent => Self::NonIdempotent,
            Kind::Stream | Kind::ResumableStream => Self::Event,
        }
    }
}

#[derive(Clone, Copy, Debug, Default)]
struct Mean {
    seconds: f64,
    responses: u32,
}

/// Moving averages of the time that work takes.
#[derive(Clone, Debug, Default)]
pub struct Table {
    means: BTreeMap<(ident::Service, Work), Mean>,
}

impl Table {
    /// Records how long some work took, and returns how many times as long as usual that is; 1
    /// where that is about usual or not known yet.
    pub fn record(&mut self, service: &ident::Service, work: Work, took: Duration) -> f64 {
        let mean = self.means.entry((service.clone(), work)).or_default();
        mean.responses = mean.responses.saturating_add(1);
        let seconds = took.as_secs_f64();
        let weight = WEIGHT.max(1.0 / f64::from(mean.responses));
        let delay = seconds - mean.seconds;
        let ratio = seconds / mean.seconds;
        mean.seconds += delay * weight;
        let is_slow = ratio >= MIN_RATIO && delay >= MIN_DELAY.as_secs_f64();
        match mean.responses > MIN_RESPONSES && is_slow {
            true => ratio,
            false => 1.0,
        }
    }
}

/// Measures how long events of a stream take.
///
/// Only the time in which the host waits for the upstream counts: a caller that reads slowly says
/// nothing of the upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Pace {
    has_begun: bool,
    waited: Duration,
    events: u32,
}

impl Pace {
    /// Records time in which the host waited for the upstream.
    pub fn record_wait(&mut self, waited: Duration) {
        self.waited += waited;
    }

    /// Records that some events arrived, and returns the time that one took once there are enough.
    /// The time before the first ones also holds that of the prompt, and doesn't count.
    pub fn record_events(&mut self, events: u32) -> Option<Duration> {
        if !std::mem::replace(&mut self.has_begun, true) {
            self.waited = Duration::ZERO;
            return None;
        }
        self.events += events;
        if self.events < EVENTS {
            return None;
        }
        let took = self.waited / self.events;
        (self.waited, self.events) = (Duration::ZERO, 0);
        Some(took)
    }
}
