//! The limits on the size of a ledger and on the age of its tokens.

use std::time::Duration;

/// The default time for which a token is valid.
pub const LIFETIME: Duration = Duration::from_secs(120);

/// The default time for which an expired token is remembered.
pub const RETENTION: Duration = Duration::from_secs(600);

/// The default limit on the tokens remembered at a time.
pub const CAPACITY: usize = 100_000;

/// The default limit on the total size of stored responses.
pub const KEPT_BYTES: usize = 16 << 20;

/// The default limit on the size of one stored response.
pub const KEPT_ANSWER_BYTES: usize = 64 << 10;

/// The limits of a ledger.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// How long a token is valid.
    pub lifetime: Duration,
    /// How long after its expiry a token is remembered, so that a repeat still
    /// gets the result of the first attempt.
    pub retention: Duration,
    /// The maximum number of tokens remembered; at this number no more are
    /// issued.
    pub capacity: usize,
    /// The maximum total size of stored responses in bytes; the oldest are
    /// evicted first.
    pub kept_bytes: usize,
    /// The maximum size of one stored response in bytes.
    pub kept_answer_bytes: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            lifetime: LIFETIME,
            retention: RETENTION,
            capacity: CAPACITY,
            kept_bytes: KEPT_BYTES,
            kept_answer_bytes: KEPT_ANSWER_BYTES,
        }
    }
}
