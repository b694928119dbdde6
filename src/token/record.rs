//! What a ledger records about one token.

use crate::outcome::Refusal;

/// The record of one issued token.
#[derive(Debug)]
pub struct Record {
    /// When the token expires, in milliseconds since the issuer's start.
    pub expires: u64,
    /// Whether the token was used, and how its request ended.
    pub state: State,
}

/// Whether a token was used, and how its request ended.
#[derive(Debug)]
pub enum State {
    /// The token was never used.
    Unused,
    /// The request of the token is running.
    Running {
        /// The fingerprint of the request.
        fingerprint: u64,
    },
    /// The request of the token ended.
    Done {
        /// The fingerprint of the request.
        fingerprint: u64,
        /// How the request ended.
        conclusion: Conclusion,
    },
}

/// How the request of a token ended.
#[derive(Clone, Debug)]
pub enum Conclusion {
    /// It was answered, with a response short enough to be stored; it may have
    /// been evicted since.
    Answered,
    /// It was refused.
    Refused(Refusal),
}

impl State {
    /// Returns the fingerprint of the request that used the token, if any.
    pub fn fingerprint(&self) -> Option<u64> {
        match self {
            Self::Unused => None,
            Self::Running { fingerprint } | Self::Done { fingerprint, .. } => Some(*fingerprint),
        }
    }
}
