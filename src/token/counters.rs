//! The counters and the size of a ledger.

use serde::Deserialize;
use serde::Serialize;

/// The counters of a ledger since the issuer's start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Tokens issued.
    pub issued: u64,
    /// Tokens not issued because the ledger was full or closed.
    pub withheld: u64,
    /// Tokens spent, that is requests started.
    pub spent: u64,
    /// Repeats that joined a running request.
    pub joined: u64,
    /// Repeats that got the result of the first attempt.
    pub replayed: u64,
    /// Requests answered.
    pub answered: u64,
    /// Requests that are proven not to have run.
    pub not_run: u64,
    /// Requests that ended with an unknown outcome.
    pub unknown: u64,
    /// Stored responses evicted before their token was forgotten, to stay
    /// within the size limit.
    pub dropped: u64,
    /// Uses refused because the token had expired.
    pub expired: u64,
    /// Uses refused because the token is no longer remembered.
    pub forgotten: u64,
    /// Uses refused because the authentication tag is wrong.
    pub forged: u64,
    /// Uses refused because the token was used with another request.
    pub mismatched: u64,
    /// Uses refused because another incarnation issued the token.
    pub foreign: u64,
}

/// The current size of a ledger.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Size {
    /// Tokens remembered.
    pub tokens: u64,
    /// Requests in progress.
    pub running: u64,
    /// Responses stored.
    pub answers: u64,
    /// Total size of the stored responses in bytes.
    pub bytes: u64,
}
