//! Limits on retries.

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::number;

/// The retry budget of a host.
#[derive(Clone, Debug, PartialEq)]
pub struct Retry {
    /// The retries allowed per new request.
    pub budget: f64,
    /// The maximum number of unused retries that accumulate.
    pub burst: u32,
    /// The maximum number of attempts per request, including the first.
    pub attempts: u32,
}

impl Default for Retry {
    fn default() -> Self {
        Self {
            budget: constants::RETRY_BUDGET,
            burst: constants::RETRY_BURST,
            attempts: constants::RETRY_ATTEMPTS,
        }
    }
}

impl From<border::Retry> for Retry {
    fn from(from: border::Retry) -> Self {
        let defaults = Self::default();
        Self {
            budget: from.budget.unwrap_or(defaults.budget),
            burst: number(from.burst, defaults.burst),
            attempts: number(from.attempts, defaults.attempts),
        }
    }
}
