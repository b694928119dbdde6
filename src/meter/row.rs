//! The histograms of one workspace, or of several together.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::Line;
use super::Phase;
use super::series::Series;
use crate::class::Class;

/// Histograms by class and phase, allocated at their first use.
#[derive(Debug)]
pub struct Row {
    /// The time at which recording began.
    pub since: Instant,
    series: BTreeMap<(Class, Phase), Series>,
}

impl Row {
    /// Creates an empty row.
    pub fn new(since: Instant) -> Self {
        let series = BTreeMap::new();
        Self { since, series }
    }

    /// Records a duration.
    pub fn record(&mut self, class: Class, phase: Phase, duration: Duration) {
        self.series
            .entry((class, phase))
            .or_default()
            .record(duration);
    }

    /// Adds all durations of another row.
    pub fn merge(&mut self, other: &Self) {
        for (key, series) in &other.series {
            self.series.entry(*key).or_default().merge(series);
        }
    }

    /// Returns a summary of each histogram.
    pub fn lines(&self) -> Vec<Line> {
        self.series
            .iter()
            .map(|((class, phase), series)| Line {
                class: *class,
                phase: *phase,
                summary: series.summary(),
            })
            .collect()
    }
}
