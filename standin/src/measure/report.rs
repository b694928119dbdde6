//! Report of a measurement, displayed as a table or serialized.

use std::collections::BTreeMap;
use std::fmt;

use serde::Serialize;
use strum::IntoEnumIterator;

use super::Options;
use super::plan::Phase;
use super::results::Counts;
use super::results::Results;
use super::strategy::Strategy;

/// The results of all runs.
#[derive(Clone, Debug, Serialize)]
pub struct Report {
    seed: u64,
    control_bytes_per_second: Option<f64>,
    /// The runs, ordered by deployment and strategy.
    pub runs: Vec<Run>,
}

/// Results of one deployment with one strategy.
#[derive(Clone, Debug, Serialize)]
pub struct Run {
    /// The name of the deployment.
    pub deployment: &'static str,
    /// The strategy.
    #[serde(rename = "way")]
    pub strategy: Strategy,
    /// All phases after the calm one, from the first fault to the end.
    pub churn: Measures,
    /// The measures of each phase.
    pub phases: BTreeMap<Phase, Measures>,
}

/// Measures of one phase, or of several.
#[derive(Clone, Debug, Default, Serialize)]
pub struct Measures {
    /// Cached prompt tokens as a fraction of those that an earlier turn had.
    pub reuse: f64,
    /// The reuse as a fraction of the oracle's.
    pub reuse_of_oracle: f64,
    /// The 99th percentile of lookups, in milliseconds; the maximum of several phases.
    pub lookup_p99_ms: f64,
    /// The same as a multiple of the oracle's.
    pub lookup_p99_of_oracle: f64,
    /// The 99th percentile of the time to the first byte of chats, in
    /// milliseconds; the maximum of several phases.
    pub chat_p99_ms: f64,
    /// The same as a multiple of the oracle's.
    pub chat_p99_of_oracle: f64,
    /// The counts.
    pub counts: Counts,
}

impl Report {
    /// Returns a report without runs.
    pub(super) fn new(options: &Options) -> Self {
        Self {
            seed: options.seed,
            control_bytes_per_second: options.control_bytes_per_second,
            runs: Vec::new(),
        }
    }

    /// Adds a run. The oracle's must be the first of each deployment.
    pub(super) fn add(&mut self, deployment: &'static str, strategy: Strategy, results: &Results) {
        let mut phases = BTreeMap::new();
        let mut churn = Measures::default();
        for phase in Phase::iter().filter(|it| *it > Phase::Start) {
            let counts = results.counts().get(&phase).cloned().unwrap_or_default();
            let measures = Measures {
                reuse: reuse(&counts),
                lookup_p99_ms: results.lookup_p99_ms(phase),
                chat_p99_ms: results.chat_p99_ms(phase),
                counts,
                ..Measures::default()
            };
            if phase > Phase::Calm {
                churn.merge(&measures);
            }
            phases.insert(phase, measures);
        }
        let mut run = Run {
            deployment,
            strategy,
            churn,
            phases,
        };
        self.compare(&mut run);
        self.runs.push(run);
    }

    fn compare(&self, run: &mut Run) {
        let oracle = self
            .runs
            .iter()
            .find(|it| it.deployment == run.deployment && it.strategy == Strategy::Oracle)
            .cloned()
            .unwrap_or_else(|| run.clone());
        run.churn.compare(&oracle.churn);
        for (phase, measures) in &mut run.phases {
            if let Some(oracle) = oracle.phases.get(phase) {
                measures.compare(oracle);
            }
        }
    }
}

impl Measures {
    fn merge(&mut self, phase: &Self) {
        let (sum, add) = (&mut self.counts, &phase.counts);
        sum.chats += add.chats;
        sum.chats_answered += add.chats_answered;
        sum.reusable += add.reusable;
        sum.reused += add.reused;
        sum.lookups += add.lookups;
        sum.lookups_answered += add.lookups_answered;
        sum.bookings += add.bookings;
        sum.bookings_answered += add.bookings_answered;
        sum.refused += add.refused;
        sum.unknown += add.unknown;
        sum.crashes += add.crashes;
        sum.starts += add.starts;
        sum.over_cap += add.over_cap;
        sum.worst_of_cap = sum.worst_of_cap.max(add.worst_of_cap);
        sum.worst_of_mean = sum.worst_of_mean.max(add.worst_of_mean);
        self.reuse = reuse(sum);
        self.lookup_p99_ms = self.lookup_p99_ms.max(phase.lookup_p99_ms);
        self.chat_p99_ms = self.chat_p99_ms.max(phase.chat_p99_ms);
    }

    fn compare(&mut self, oracle: &Self) {
        self.reuse_of_oracle = self.reuse / oracle.reuse;
        self.lookup_p99_of_oracle = self.lookup_p99_ms / oracle.lookup_p99_ms;
        self.chat_p99_of_oracle = self.chat_p99_ms / oracle.chat_p99_ms;
    }
}

fn reuse(counts: &Counts) -> f64 {
    counts.reused as f64 / counts.reusable.max(1) as f64
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        writeln!(f, "seed {}", self.seed)?;
        match self.control_bytes_per_second {
            Some(bytes) => writeln!(f, "control traffic of a host: {bytes:.0} B/s")?,
            None => writeln!(f, "control traffic: not measured here")?,
        }
        for run in &self.runs {
            writeln!(f, "\n{} {}", run.deployment, run.strategy)?;
            writeln!(f, "{TABLE_HEADER}")?;
            write_row(f, "churn", &run.churn)?;
            for (phase, measures) in &run.phases {
                write_row(f, &phase.to_string(), measures)?;
            }
        }
        Ok(())
    }
}

/// The header of the table.
const TABLE_HEADER: &str = "phase      reuse  ratio | over/starts     of-cap of-mean | \
    lookups answered    p99 ms ratio | chats answered  p99 ms ratio | refused unknown crashes";

fn write_row(f: &mut fmt::Formatter<'_>, name: &str, it: &Measures) -> fmt::Result {
    let counts = &it.counts;
    write!(
        f,
        "{name:<9} {:6.3} {:6.3} | ",
        it.reuse, it.reuse_of_oracle
    )?;
    write!(
        f,
        "{:>6}/{:<8} {:6.2} {:7.2} | ",
        counts.over_cap, counts.starts, counts.worst_of_cap, counts.worst_of_mean
    )?;
    write!(
        f,
        "{:>7}/{:<7} {:9.1} {:5.2} | ",
        counts.lookups_answered, counts.lookups, it.lookup_p99_ms, it.lookup_p99_of_oracle
    )?;
    write!(
        f,
        "{:>6}/{:<6} {:8.0} {:5.2} | ",
        counts.chats_answered, counts.chats, it.chat_p99_ms, it.chat_p99_of_oracle
    )?;
    writeln!(
        f,
        "{:>7} {:>7} {:>7}",
        counts.refused, counts.unknown, counts.crashes
    )
}
