//! The result of a call and the failures of its attempts.

use std::time::Duration;

use masticmoor::outcome::Code;
use strum::Display;

use super::pool;
use crate::engine::chat::Usage;

/// The result of a call as its caller sees it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    /// The caller received the complete response to its request.
    Answered,
    /// The request did not run.
    NotRun,
    /// The request may have run.
    Unknown,
    /// The response belongs to another request or is incomplete.
    Wrong,
}

/// The result of a call over all its attempts.
#[derive(Clone, Debug, PartialEq)]
pub struct Completion {
    /// The final result.
    pub verdict: Verdict,
    /// The number of attempts.
    pub attempts: u32,
    /// The failures of attempts, in order.
    pub failures: Vec<Failure>,
    /// Time from the start of the last attempt to the first byte of its body.
    pub first_byte: Option<Duration>,
    /// The token counts of prompt and completion.
    pub usage: Option<Usage>,
}

/// Why an attempt failed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Failure {
    /// An entry refused it, with this code.
    #[strum(to_string = "{0}")]
    Refused(Code),
    /// The connection could not be opened.
    NoConnection,
    /// The connection closed before the response began.
    ConnectionLost,
    /// The response was truncated.
    BrokenOff,
    /// No complete response came within the timeout.
    CallerTimeout,
    /// An upstream responded with an error of its own.
    UpstreamError,
}

impl Completion {
    /// Returns the state of a call that has not been sent yet.
    pub fn unsent() -> Self {
        Self {
            verdict: Verdict::NotRun,
            attempts: 0,
            failures: Vec::new(),
            first_byte: None,
            usage: None,
        }
    }
}

impl Failure {
    /// Returns the failure that corresponds to a connection error.
    pub fn of(error: &pool::Error) -> Self {
        match error {
            pool::Error::Connect { .. } => Self::NoConnection,
            pool::Error::Closed { .. } => Self::ConnectionLost,
            pool::Error::Truncated { .. } => Self::BrokenOff,
            pool::Error::Timeout { .. } => Self::CallerTimeout,
        }
    }
}
