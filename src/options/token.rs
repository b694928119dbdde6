//! Limits on execution tokens and stored responses.

use std::time::Duration;

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::count;
use crate::options::convert::duration;

/// Limits on execution tokens.
#[derive(Clone, Debug, PartialEq)]
pub struct Token {
    /// The time for which a token is valid.
    pub lifetime: Duration,
    /// The memory for stored responses, in bytes.
    pub kept_bytes: usize,
    /// The maximum size of a response that is stored, in bytes.
    pub kept_answer_bytes: usize,
    /// The maximum number of unexpired tokens at this host.
    pub count: usize,
}

impl Default for Token {
    fn default() -> Self {
        Self {
            lifetime: constants::TOKEN_LIFETIME,
            kept_bytes: constants::TOKEN_KEPT_BYTES,
            kept_answer_bytes: constants::TOKEN_KEPT_ANSWER_BYTES,
            count: constants::TOKEN_COUNT,
        }
    }
}

impl From<border::Token> for Token {
    fn from(from: border::Token) -> Self {
        let defaults = Self::default();
        Self {
            lifetime: duration(from.lifetime_ms, defaults.lifetime),
            kept_bytes: count(from.kept_bytes, defaults.kept_bytes),
            kept_answer_bytes: count(from.kept_answer_bytes, defaults.kept_answer_bytes),
            count: count(from.count, defaults.count),
        }
    }
}
