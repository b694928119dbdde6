//! Counts and latencies of all calls.

use std::collections::BTreeMap;
use std::sync::Mutex;
use std::time::Duration;

use hdrhistogram::CreationError;
use hdrhistogram::Histogram;
use masticmoor::class::Class;
use serde::Deserialize;
use serde::Serialize;

use super::audit::Audit;
use super::audit::Finding;
use super::call::Ask;
use super::call::Call;
use super::completion::Ending;
use super::completion::Verdict;
use super::mix::Kind;
use crate::sync::lock;

/// The precision of latencies, in significant digits.
const DIGITS: u8 = 3;
/// The longest latency that is told apart, in microseconds.
const LONGEST_US: u64 = 600_000_000;

/// The counts while callers run.
#[derive(Debug)]
pub struct Tally {
    empty: Histogram<u64>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(Kind, Class), Counts>,
    troubles: BTreeMap<String, u64>,
    told: BTreeMap<String, Verdict>,
}

#[derive(Debug)]
struct Counts {
    row: Row,
    whole: Histogram<u64>,
    first: Histogram<u64>,
}

/// The counts of one kind and class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The kind of the calls.
    pub kind: Kind,
    /// Their class.
    pub class: Class,
    /// How many ended.
    pub calls: u64,
    /// How often they were sent.
    pub attempts: u64,
    /// How many were answered.
    pub answered: u64,
    /// How many did not run.
    pub not_run: u64,
    /// How many may have run.
    pub unknown: u64,
    /// How many got an answer that is not theirs, or not whole.
    pub wrong: u64,
    /// How many prompt tokens they had.
    pub prompt_tokens: u64,
    /// How many of them were cached.
    pub cached_tokens: u64,
    /// How long answered calls took, repeats and all.
    pub whole: Quantiles,
    /// How long the first byte of the answer took in its attempt.
    pub first: Quantiles,
}

/// Quantiles of a latency, in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Quantiles {
    /// The median.
    pub p50_us: u64,
    /// The 90th percentile.
    pub p90_us: u64,
    /// The 99th percentile.
    pub p99_us: u64,
    /// The longest.
    pub max_us: u64,
}

/// How all calls came out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// How long the callers ran, in seconds.
    pub seconds: f64,
    /// How many calls were answered in a second.
    pub answered_per_second: f64,
    /// The counts of each kind and class.
    pub rows: Vec<Row>,
    /// How often each trouble befell an attempt.
    pub troubles: BTreeMap<String, u64>,
    /// How purchases came out, where journals were read.
    pub finding: Option<Finding>,
    /// How many journals could not be read.
    pub unread_journals: u32,
    /// How often an upstream got more than it bears when cold.
    pub overloads: u64,
    /// How many executions ended because the connection was lost.
    pub cancelled: u64,
}

impl Tally {
    /// Returns a tally without calls.
    pub fn new() -> Result<Self, CreationError> {
        Ok(Self {
            empty: Histogram::new_with_max(LONGEST_US, DIGITS)?,
            state: Mutex::default(),
        })
    }

    /// Counts a call that ended.
    pub fn add(&self, call: &Call, ending: &Ending, took: Duration) {
        let mut state = lock(&self.state);
        for trouble in &ending.troubles {
            *state.troubles.entry(trouble.to_string()).or_default() += 1;
        }
        if let Ask::Purchase(purchase) = &call.ask {
            state.told.insert(purchase.id.clone(), ending.verdict);
        }
        state
            .rows
            .entry((call.kind, call.class))
            .or_insert_with(|| Counts::new(call, &self.empty))
            .add(ending, took);
    }

    /// Returns how all calls came out.
    pub fn report(&self, spent: Duration, audit: &Audit) -> Report {
        let state = lock(&self.state);
        let rows: Vec<_> = state.rows.values().map(Counts::row).collect();
        let answered: u64 = rows.iter().map(|row| row.answered).sum();
        let seconds = spent.as_secs_f64();
        Report {
            seconds,
            answered_per_second: to_f64(answered) / seconds,
            rows,
            troubles: state.troubles.clone(),
            finding: (audit.read > 0).then(|| audit.compare(&state.told)),
            unread_journals: audit.unread,
            overloads: audit.overloads,
            cancelled: audit.cancelled,
        }
    }
}

impl Counts {
    fn new(call: &Call, empty: &Histogram<u64>) -> Self {
        Self {
            row: Row::new(call.kind, call.class),
            whole: empty.clone(),
            first: empty.clone(),
        }
    }

    fn add(&mut self, ending: &Ending, took: Duration) {
        let row = &mut self.row;
        row.calls += 1;
        row.attempts += u64::from(ending.attempts);
        match ending.verdict {
            Verdict::Answered => row.answered += 1,
            Verdict::NotRun => row.not_run += 1,
            Verdict::Unknown => row.unknown += 1,
            Verdict::Wrong => row.wrong += 1,
        }
        if let Some(usage) = ending.usage {
            row.prompt_tokens += usage.prompt_tokens;
            row.cached_tokens += usage.cached_tokens;
        }
        if let Some(first) = ending.first_byte {
            self.first.saturating_record(micros(first));
            self.whole.saturating_record(micros(took));
        }
    }

    fn row(&self) -> Row {
        Row {
            whole: Quantiles::of(&self.whole),
            first: Quantiles::of(&self.first),
            ..self.row
        }
    }
}

impl Row {
    fn new(kind: Kind, class: Class) -> Self {
        Self {
            kind,
            class,
            calls: 0,
            attempts: 0,
            answered: 0,
            not_run: 0,
            unknown: 0,
            wrong: 0,
            prompt_tokens: 0,
            cached_tokens: 0,
            whole: Quantiles::default(),
            first: Quantiles::default(),
        }
    }
}

impl Quantiles {
    fn of(histogram: &Histogram<u64>) -> Self {
        Self {
            p50_us: histogram.value_at_quantile(0.5),
            p90_us: histogram.value_at_quantile(0.9),
            p99_us: histogram.value_at_quantile(0.99),
            max_us: histogram.max(),
        }
    }
}

impl Report {
    /// Tells whether every answer was right and no purchase lost or doubled.
    pub fn is_sound(&self) -> bool {
        let finding = self.finding.unwrap_or_default();
        self.rows.iter().all(|row| row.wrong == 0)
            && finding.doubled + finding.lost + finding.untrue == 0
            && self.unread_journals == 0
    }

    /// Tells whether every gate lookup was answered.
    pub fn lookups_answered(&self) -> bool {
        let mut lookups = self.rows.iter().filter(|row| row.kind == Kind::Lookup);
        lookups.all(|row| row.answered == row.calls)
    }
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}

fn to_f64(count: u64) -> f64 {
    u32::try_from(count).map_or(f64::INFINITY, f64::from)
}
