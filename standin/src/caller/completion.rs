//! How a call ended, and what happened on the way.

use std::time::Duration;

use masticmoor::outcome::Code;
use strum::Display;

use super::pool;
use crate::engine::chat::Usage;

/// How a call ended for its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// With its own whole answer.
    Answered,
    /// It did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// With an answer that is not its own, or not whole.
    Wrong,
}

/// How a call ended, and what happened on the way.
#[derive(Clone, Debug, PartialEq)]
pub struct Ending {
    /// How it ended.
    pub verdict: Verdict,
    /// How often it was sent.
    pub attempts: u32,
    /// What went wrong on the way, one entry each.
    pub troubles: Vec<Trouble>,
    /// How long the first byte of the answer took.
    pub first_byte: Option<Duration>,
    /// How long prompt and answer were.
    pub usage: Option<Usage>,
}

/// What went wrong with one attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Trouble {
    /// An entry refused it.
    #[strum(to_string = "{0}")]
    Refused(Code),
    /// No connection.
    NoConnection,
    /// The connection was lost.
    ConnectionLost,
    /// The answer broke off.
    BrokenOff,
    /// No answer in time.
    CallerTimeout,
    /// An upstream answered with an error of its own.
    UpstreamError,
}

impl Ending {
    /// Returns the state of a call that was not sent yet.
    pub fn unsent() -> Self {
        Self {
            verdict: Verdict::NotRun,
            attempts: 0,
            troubles: Vec::new(),
            first_byte: None,
            usage: None,
        }
    }
}

impl Trouble {
    /// Returns what an attempt met that failed on its connection.
    pub fn of(error: &pool::Error) -> Self {
        match error {
            pool::Error::Connect { .. } => Self::NoConnection,
            pool::Error::Lost { .. } => Self::ConnectionLost,
            pool::Error::Cut { .. } => Self::BrokenOff,
            pool::Error::Timeout { .. } => Self::CallerTimeout,
        }
    }
}
