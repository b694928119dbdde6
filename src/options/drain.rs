//! Limits on a shutdown.

use std::time::Duration;

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::duration;

/// Limits on a shutdown.
#[derive(Clone, Debug, PartialEq)]
pub struct Drain {
    /// The maximum time to wait for requests in progress.
    pub limit: Duration,
}

impl Default for Drain {
    fn default() -> Self {
        Self {
            limit: constants::DRAIN_LIMIT,
        }
    }
}

impl From<border::Drain> for Drain {
    fn from(from: border::Drain) -> Self {
        let defaults = Self::default();
        Self {
            limit: duration(from.limit_ms, defaults.limit),
        }
    }
}
