//! Counters and latency histograms over all calls, and the report on them.

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
use super::call::Action;
use super::call::Call;
use super::completion::Completion;
use super::completion::Verdict;
use super::mix::Kind;
use crate::sync::lock;

/// The precision of latencies, in significant decimal digits.
const SIGNIFICANT_DIGITS: u8 = 3;
/// The longest latency recorded, in microseconds; longer ones are clamped.
const MAX_LATENCY_US: u64 = 600_000_000;

/// The counters of a run.
#[derive(Debug)]
pub struct Tally {
    template: Histogram<u64>,
    state: Mutex<State>,
}

#[derive(Debug, Default)]
struct State {
    rows: BTreeMap<(Kind, Class), Counts>,
    failures: BTreeMap<String, u64>,
    verdicts: BTreeMap<String, Verdict>,
}

#[derive(Debug)]
struct Counts {
    row: Row,
    total: Histogram<u64>,
    first_byte: Histogram<u64>,
}

/// The results of the calls of one kind and class.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The kind of the calls.
    pub kind: Kind,
    /// The priority class of the calls.
    pub class: Class,
    /// How many calls completed.
    pub calls: u64,
    /// How many attempts they took.
    pub attempts: u64,
    /// How many were answered.
    pub answered: u64,
    /// How many did not run.
    pub not_run: u64,
    /// How many may have run.
    pub unknown: u64,
    /// How many got the response to another request or an incomplete one.
    pub wrong: u64,
    /// The total of their prompt tokens.
    pub prompt_tokens: u64,
    /// How many of the prompt tokens were cached.
    pub cached_tokens: u64,
    /// The latency of answered calls, including retries.
    #[serde(rename = "whole")]
    pub total: Quantiles,
    /// The time to the first byte of the body, within the last attempt.
    #[serde(rename = "first")]
    pub first_byte: Quantiles,
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

/// The results of a run.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Report {
    /// The duration of the run, in seconds.
    pub seconds: f64,
    /// Answered calls per second.
    pub answered_per_second: f64,
    /// One row for each kind and class.
    pub rows: Vec<Row>,
    /// The number of attempts that ended in each failure.
    #[serde(rename = "troubles")]
    pub failures: BTreeMap<String, u64>,
    /// The audit of purchases; `None` if no journal was read.
    pub finding: Option<Finding>,
    /// How many journals could not be read.
    pub unread_journals: u32,
    /// How often an upstream received more requests than its cold capacity.
    pub overloads: u64,
    /// How many executions were cancelled because the connection closed.
    pub cancelled: u64,
}

impl Tally {
    /// Returns an empty tally. Fails if the histogram bounds are invalid.
    pub fn new() -> Result<Self, CreationError> {
        Ok(Self {
            template: Histogram::new_with_max(MAX_LATENCY_US, SIGNIFICANT_DIGITS)?,
            state: Mutex::default(),
        })
    }

    /// Counts a completed call.
    pub fn add(&self, call: &Call, completion: &Completion, latency: Duration) {
        let mut state = lock(&self.state);
        for failure in &completion.failures {
            *state.failures.entry(failure.to_string()).or_default() += 1;
        }
        if let Action::Purchase(purchase) = &call.action {
            state
                .verdicts
                .insert(purchase.id.clone(), completion.verdict);
        }
        state
            .rows
            .entry((call.kind, call.class))
            .or_insert_with(|| Counts::new(call, &self.template))
            .add(completion, latency);
    }

    /// Returns the report on all calls so far.
    pub fn report(&self, elapsed: Duration, audit: &Audit) -> Report {
        let state = lock(&self.state);
        let rows: Vec<_> = state.rows.values().map(Counts::row).collect();
        let answered: u64 = rows.iter().map(|row| row.answered).sum();
        let seconds = elapsed.as_secs_f64();
        Report {
            seconds,
            answered_per_second: to_f64(answered) / seconds,
            rows,
            failures: state.failures.clone(),
            finding: (audit.read > 0).then(|| audit.compare(&state.verdicts)),
            unread_journals: audit.unread,
            overloads: audit.overloads,
            cancelled: audit.cancelled,
        }
    }
}

impl Counts {
    fn new(call: &Call, template: &Histogram<u64>) -> Self {
        Self {
            row: Row::new(call.kind, call.class),
            total: template.clone(),
            first_byte: template.clone(),
        }
    }

    fn add(&mut self, completion: &Completion, latency: Duration) {
        let row = &mut self.row;
        row.calls += 1;
        row.attempts += u64::from(completion.attempts);
        match completion.verdict {
            Verdict::Answered => row.answered += 1,
            Verdict::NotRun => row.not_run += 1,
            Verdict::Unknown => row.unknown += 1,
            Verdict::Wrong => row.wrong += 1,
        }
        if let Some(usage) = completion.usage {
            row.prompt_tokens += usage.prompt_tokens;
            row.cached_tokens += usage.cached_tokens;
        }
        if let Some(first) = completion.first_byte {
            self.first_byte.saturating_record(micros(first));
            self.total.saturating_record(micros(latency));
        }
    }

    fn row(&self) -> Row {
        Row {
            total: Quantiles::of(&self.total),
            first_byte: Quantiles::of(&self.first_byte),
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
            total: Quantiles::default(),
            first_byte: Quantiles::default(),
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
    /// Returns whether every response was correct, the audit of purchases
    /// found no error and every journal was read.
    pub fn is_sound(&self) -> bool {
        let finding = self.finding.unwrap_or_default();
        self.rows.iter().all(|row| row.wrong == 0)
            && finding.doubled + finding.lost + finding.untrue == 0
            && self.unread_journals == 0
    }

    /// Returns whether every lookup was answered.
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
