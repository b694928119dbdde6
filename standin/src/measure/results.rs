//! Counts and latencies of a run, by phase.

use std::collections::BTreeMap;
use std::time::Duration;

use hdrhistogram::Histogram;
use serde::Serialize;

use super::plan::Phase;
use super::trace::Kind;
use super::trace::Request;

/// Maximum value of the histograms, in microseconds.
const MAX_MICROS: u64 = 60_000_000;

/// Counts of one phase, or of several.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Counts {
    /// Chat requests that arrived.
    pub chats: u64,
    /// Chat requests that were answered.
    pub chats_answered: u64,
    /// Prompt tokens of answered chats that an earlier turn had.
    pub reusable: u64,
    /// Those of them that were cached.
    pub reused: u64,
    /// Lookups that arrived.
    pub lookups: u64,
    /// Lookups that were answered.
    pub lookups_answered: u64,
    /// Bookings that arrived.
    pub bookings: u64,
    /// Bookings that were answered.
    pub bookings_answered: u64,
    /// Requests that were refused without running.
    pub refused: u64,
    /// Requests without an answer that may have run.
    pub unknown: u64,
    /// Crashes of cold upstreams because of overload.
    pub crashes: u64,
    /// Requests that were sent to an upstream.
    pub starts: u64,
    /// Starts that exceeded the load cap, computed from the true mean.
    #[serde(rename = "over")]
    pub over_cap: u64,
    /// Highest load after a start, as a fraction of that cap.
    pub worst_of_cap: f64,
    /// Highest load after a start, as a multiple of the true mean, where the mean
    /// is at least one.
    pub worst_of_mean: f64,
}

/// The results of a run.
#[derive(Debug)]
pub struct Results {
    phase: Phase,
    counts: BTreeMap<Phase, Counts>,
    lookups: BTreeMap<Phase, Histogram<u64>>,
    chats: BTreeMap<Phase, Histogram<u64>>,
}

impl Results {
    /// Returns empty results.
    pub fn new() -> Self {
        Self {
            phase: Phase::Start,
            counts: BTreeMap::new(),
            lookups: BTreeMap::new(),
            chats: BTreeMap::new(),
        }
    }

    /// Begins a phase, to which arrivals and starts count from now on.
    pub fn begin_phase(&mut self, phase: Phase) {
        self.phase = phase;
    }

    /// Returns the current phase.
    pub fn phase(&self) -> Phase {
        self.phase
    }

    /// Returns the counts of a phase.
    pub fn counts_mut(&mut self, phase: Phase) -> &mut Counts {
        self.counts.entry(phase).or_default()
    }

    /// Counts the arrival of a request.
    pub fn record_arrival(&mut self, kind: Kind) {
        let counts = self.counts_mut(self.phase);
        match kind {
            Kind::Chat => counts.chats += 1,
            Kind::Lookup => counts.lookups += 1,
            Kind::Booking => counts.bookings += 1,
        }
    }

    /// Records the answer to a request that arrived in a phase.
    pub fn record_answer(
        &mut self,
        phase: Phase,
        request: &Request,
        reused: u32,
        first_byte: Duration,
    ) {
        let counts = self.counts_mut(phase);
        match request.kind {
            Kind::Chat => {
                counts.chats_answered += 1;
                counts.reusable += u64::from(request.history);
                counts.reused += u64::from(reused);
            }
            Kind::Lookup => counts.lookups_answered += 1,
            Kind::Booking => counts.bookings_answered += 1,
        }
        match request.kind {
            Kind::Chat => record(&mut self.chats, phase, first_byte),
            Kind::Lookup => record(&mut self.lookups, phase, first_byte),
            Kind::Booking => {}
        }
    }

    /// Records a start: the upstream's load after it, and the load cap and the true
    /// mean before it.
    pub fn record_start(&mut self, inflight: u32, cap: u32, mean: f64) {
        let counts = self.counts_mut(self.phase);
        counts.starts += 1;
        counts.over_cap += u64::from(inflight > cap);
        let of_cap = f64::from(inflight) / f64::from(cap.max(1));
        counts.worst_of_cap = counts.worst_of_cap.max(of_cap);
        if mean >= 1.0 {
            counts.worst_of_mean = counts.worst_of_mean.max(f64::from(inflight) / mean);
        }
    }

    /// Returns the counts by phase.
    pub fn counts(&self) -> &BTreeMap<Phase, Counts> {
        &self.counts
    }

    /// Returns the 99th percentile of lookups in a phase, in milliseconds.
    pub fn lookup_p99_ms(&self, phase: Phase) -> f64 {
        p99_ms(&self.lookups, phase)
    }

    /// Returns the 99th percentile of the time to the first byte of chats in a
    /// phase, in milliseconds.
    pub fn chat_p99_ms(&self, phase: Phase) -> f64 {
        p99_ms(&self.chats, phase)
    }
}

fn record(table: &mut BTreeMap<Phase, Histogram<u64>>, phase: Phase, time: Duration) {
    let micros = u64::try_from(time.as_micros()).unwrap_or(MAX_MICROS);
    if let Ok(empty) = Histogram::new_with_max(MAX_MICROS, 3) {
        let histogram = table.entry(phase).or_insert(empty);
        histogram.saturating_record(micros);
    }
}

fn p99_ms(table: &BTreeMap<Phase, Histogram<u64>>, phase: Phase) -> f64 {
    let micros = table.get(&phase).map_or(0, |it| it.value_at_quantile(0.99));
    micros as f64 / 1000.0
}
