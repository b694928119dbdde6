//! A histogram of durations.

use std::time::Duration;

use hdrhistogram::Histogram;

use super::Summary;

/// The resolution of the histogram.
const UNIT_MICROS: u64 = 100;

/// The longest duration that is distinguished: an hour.
const MAX_UNITS: u64 = 3_600 * 1_000_000 / UNIT_MICROS;

/// The number of significant decimal digits. One digit limits the relative error to 1/16.
const DIGITS: u8 = 1;

/// The durations of one phase. Its memory grows with the longest of them.
#[derive(Clone, Debug, Default)]
pub struct Series {
    histogram: Option<Histogram<u32>>,
    sum_micros: u64,
}

impl Series {
    /// Records a duration.
    pub fn record(&mut self, duration: Duration) {
        let micros = u64::try_from(duration.as_micros()).unwrap_or(u64::MAX);
        self.sum_micros = self.sum_micros.saturating_add(micros);
        self.add(micros.div_ceil(UNIT_MICROS), 1);
    }

    /// Adds all durations of another series.
    pub fn merge(&mut self, other: &Self) {
        self.sum_micros = self.sum_micros.saturating_add(other.sum_micros);
        let values = other.histogram.iter().flat_map(Histogram::iter_recorded);
        for value in values {
            self.add(value.value_iterated_to(), value.count_at_value());
        }
    }

    /// Returns the count, the mean, quantiles and the maximum.
    pub fn summary(&self) -> Summary {
        let Some(histogram) = &self.histogram else {
            return Summary::default();
        };
        let at = |quantile| histogram.value_at_quantile(quantile) * UNIT_MICROS;
        Summary {
            count: histogram.len(),
            mean: self.sum_micros.checked_div(histogram.len()).unwrap_or(0),
            p50: at(0.5),
            p90: at(0.9),
            p99: at(0.99),
            max: histogram.max() * UNIT_MICROS,
        }
    }

    fn add(&mut self, units: u64, count: u32) {
        if self.histogram.is_none() {
            self.histogram = Histogram::new(DIGITS).ok();
        }
        if let Some(histogram) = &mut self.histogram {
            // A histogram that can't grow any further counts longer durations at its maximum.
            if histogram.record_n(units.min(MAX_UNITS), count).is_err() {
                histogram.saturating_record_n(units, count);
            }
        }
    }
}
