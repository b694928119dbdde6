//! Limits on crashes of upstreams by one request.

use std::time::Duration;

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::duration;
use crate::options::convert::number;

/// Limits on crashes of upstreams by one request.
#[derive(Clone, Debug, PartialEq)]
pub struct Strike {
    /// The number of upstreams that a request may crash before it is refused.
    pub limit: u32,
    /// The time for which it is refused.
    pub quarantine: Duration,
}

impl Default for Strike {
    fn default() -> Self {
        Self {
            limit: constants::STRIKE_LIMIT,
            quarantine: constants::STRIKE_QUARANTINE,
        }
    }
}

impl From<border::Strike> for Strike {
    fn from(from: border::Strike) -> Self {
        let defaults = Self::default();
        Self {
            limit: number(from.limit, defaults.limit),
            quarantine: duration(from.quarantine_ms, defaults.quarantine),
        }
    }
}
