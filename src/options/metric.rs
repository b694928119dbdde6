//! The destination of metrics.

use std::net::SocketAddr;
use std::time::Duration;

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::count;
use crate::options::convert::duration;

/// The destination of metrics and their names.
#[derive(Clone, Debug, PartialEq)]
pub struct Metric {
    /// The address of the StatsD server, if metrics are sent.
    pub statsd: Option<SocketAddr>,
    /// The prefix of all metric names.
    pub prefix: String,
    /// The interval between reports.
    pub period: Duration,
    /// The number of workspaces with separate histograms; all others share one.
    pub workspaces: usize,
}

impl Default for Metric {
    fn default() -> Self {
        Self {
            statsd: None,
            prefix: constants::METRIC_PREFIX.to_owned(),
            period: constants::METRIC_PERIOD,
            workspaces: constants::METRIC_WORKSPACES,
        }
    }
}

impl From<border::Metric> for Metric {
    fn from(from: border::Metric) -> Self {
        let defaults = Self::default();
        Self {
            statsd: from.statsd.map(|address| *address),
            prefix: from
                .prefix
                .map_or(defaults.prefix, |prefix| prefix.to_string()),
            period: duration(from.period_ms, defaults.period),
            workspaces: count(from.workspaces, defaults.workspaces),
        }
    }
}
