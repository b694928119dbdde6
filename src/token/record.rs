//! What a ledger remembers of one token.

use crate::outcome::Refusal;

/// One issued token.
#[derive(Debug)]
pub struct Slot {
    /// When the token expires, in milliseconds since the issuer's start.
    pub expires: u64,
    /// What became of it.
    pub state: State,
}

/// What became of a token.
#[derive(Debug)]
pub enum State {
    /// It was never used.
    Fresh,
    /// Its request runs.
    Running {
        /// The fingerprint of the request.
        fingerprint: u64,
    },
    /// Its request ended.
    Ended {
        /// The fingerprint of the request.
        fingerprint: u64,
        /// How it ended.
        end: End,
    },
}

/// How the request of a token ended.
#[derive(Clone, Debug)]
pub enum End {
    /// It was answered, at a length that was kept then.
    Answered,
    /// It was refused.
    Refused(Refusal),
}

impl State {
    /// Returns the fingerprint of the request that used the token.
    pub fn fingerprint(&self) -> Option<u64> {
        match self {
            Self::Fresh => None,
            Self::Running { fingerprint } | Self::Ended { fingerprint, .. } => Some(*fingerprint),
        }
    }
}
