//! How a request ended, in the three ways a caller can rely on.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// What is certain about a request that ended.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Outcome {
    /// The upstream's whole answer was passed on.
    Answered,
    /// No byte of the request reached an upstream.
    NotRun,
    /// It may have run.
    Unknown,
}

/// Why a request was not answered. The name is part of the interface.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Code {
    /// The request can't be understood.
    BadRequest,
    /// The path takes no such method.
    BadMethod,
    /// The body is longer than allowed.
    BodyTooLarge,
    /// The headers are longer than allowed.
    HeadersTooLarge,
    /// The body took too long to arrive.
    BodyTooSlow,
    /// Too many requests are under way at this host.
    TooManyRequests,
    /// No route leads to this path.
    NoRoute,
    /// The model is not in use.
    NoModel,
    /// Nothing in service serves this request.
    NoUpstream,
    /// All upstreams that serve this request are full.
    Full,
    /// The workspace has more waiting than its share.
    WorkspaceFull,
    /// The time allowed ran out in the queue.
    QueueTimeout,
    /// The host is shutting down.
    ShuttingDown,
    /// The host has no register to go by yet.
    NotReady,
    /// The host asked is not the home of the upstream.
    NotHome,
    /// The retry budget is spent.
    RetryBudget,
    /// The request crashed more than one upstream.
    Quarantined,
    /// The upstream refused the connection.
    ConnectFailed,
    /// The upstream was lost after the request was sent.
    UpstreamLost,
    /// The upstream went down while it ran the request.
    UpstreamCrashed,
    /// The upstream answered that it failed.
    UpstreamFailed,
    /// The caller went away.
    CallerGone,
    /// The upstream did not begin its answer in time.
    FirstByteTimeout,
    /// The answer stalled.
    StreamTimeout,
    /// The answer broke off before its end.
    AnswerCut,
    /// The home can't be reached.
    HomeUnreachable,
    /// A request under this token is still running.
    StillRunning,
    /// The home was lost after the request was forwarded.
    HomeLost,
    /// A non-idempotent request came without a token.
    TokenRequired,
    /// The token is not one that this fleet issued.
    TokenForged,
    /// The token expired before it was used.
    TokenExpired,
    /// The token was used with another request.
    TokenMismatch,
    /// The host that issued the token can't be reached.
    IssuerLost,
    /// The request ran; its answer is no longer kept.
    AnswerDropped,
    /// Versions of the peer protocol differ.
    Version,
    /// The upstream answered another exchange.
    ForeignAnswer,
    /// The answer is longer than allowed.
    AnswerTooLarge,
    /// No workspace holds the key.
    UnknownKey,
    /// The host can't tell whether the key is still valid.
    KeysStale,
    /// The request crashed several upstreams that ran it.
    CrashedRepeatedly,
}

/// A request that ended without an answer.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code} ({outcome})")]
pub struct Refusal {
    /// What is certain about it.
    pub outcome: Outcome,
    /// Why.
    pub code: Code,
    /// When to come back, in milliseconds, where that helps.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// A request that did not run, with no use in coming back as it is.
    pub fn not_run(code: Code) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code,
            retry_after_ms: None,
        }
    }

    /// A request that may have run.
    pub fn unknown(code: Code) -> Self {
        Self {
            outcome: Outcome::Unknown,
            code,
            retry_after_ms: None,
        }
    }

    /// Adds when to come back.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }
}

impl Code {
    /// Tells whether the upstream went down while it ran the request.
    pub fn is_crash(self) -> bool {
        self == Self::UpstreamCrashed
    }

    /// Returns the HTTP status that goes with the code.
    pub fn status(self) -> http::StatusCode {
        use http::StatusCode as S;
        match self {
            Self::BadRequest | Self::TokenForged => S::BAD_REQUEST,
            Self::BadMethod => S::METHOD_NOT_ALLOWED,
            Self::BodyTooLarge => S::PAYLOAD_TOO_LARGE,
            Self::HeadersTooLarge => S::REQUEST_HEADER_FIELDS_TOO_LARGE,
            Self::BodyTooSlow => S::REQUEST_TIMEOUT,
            Self::TooManyRequests | Self::WorkspaceFull => S::TOO_MANY_REQUESTS,
            Self::NoRoute | Self::NoModel => S::NOT_FOUND,
            Self::UnknownKey => S::UNAUTHORIZED,
            Self::TokenRequired | Self::TokenExpired => S::PRECONDITION_REQUIRED,
            Self::TokenMismatch | Self::Quarantined => S::UNPROCESSABLE_ENTITY,
            Self::AnswerDropped | Self::StillRunning => S::CONFLICT,
            Self::FirstByteTimeout | Self::StreamTimeout => S::GATEWAY_TIMEOUT,
            Self::UpstreamLost
            | Self::UpstreamCrashed
            | Self::UpstreamFailed
            | Self::CallerGone
            | Self::AnswerCut
            | Self::HomeLost
            | Self::ForeignAnswer
            | Self::AnswerTooLarge => S::BAD_GATEWAY,
            Self::NoUpstream
            | Self::Full
            | Self::QueueTimeout
            | Self::ShuttingDown
            | Self::NotReady
            | Self::NotHome
            | Self::RetryBudget
            | Self::ConnectFailed
            | Self::IssuerLost
            | Self::HomeUnreachable
            | Self::KeysStale
            | Self::CrashedRepeatedly
            | Self::Version => S::SERVICE_UNAVAILABLE,
        }
    }
}
