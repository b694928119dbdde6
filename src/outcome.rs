//! How a request ended, as reported to its caller: an [`Outcome`] that tells whether it
//! may have run and, unless it was answered, the [`Code`] of its refusal.

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// What is known about the execution of a finished request.
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
    /// The upstream's complete response was forwarded to the caller.
    Answered,
    /// No byte of the request reached an upstream, so a retry is safe.
    NotRun,
    /// The request may have run.
    Unknown,
}

/// Why a request was not answered. Callers match the name: it must not change.
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
    /// The request is malformed.
    BadRequest,
    /// The path does not support the method.
    BadMethod,
    /// The body exceeds the size limit.
    BodyTooLarge,
    /// The headers exceed the size limit.
    HeadersTooLarge,
    /// The body did not arrive in time.
    BodyTooSlow,
    /// The host has no memory for the body, or no room for the connection that it came by.
    NoRoom,
    /// The host is at its limit of concurrent requests.
    TooManyRequests,
    /// No route matches the path.
    NoRoute,
    /// The register does not list the model.
    NoModel,
    /// No upstream in service can run the request.
    NoUpstream,
    /// The queues of all upstreams that can run the request are full.
    Full,
    /// The workspace has as many requests queued as it may have.
    WorkspaceFull,
    /// The request waited in the queue for longer than allowed.
    QueueTimeout,
    /// The host is shutting down.
    ShuttingDown,
    /// The host has not received a register yet.
    NotReady,
    /// The receiving host is not the home of the upstream.
    NotHome,
    /// The retry budget is exhausted.
    RetryBudget,
    /// The request crashed upstreams and is in quarantine.
    Quarantined,
    /// The upstream refused the connection.
    ConnectFailed,
    /// The connection to the upstream failed after the request was sent.
    UpstreamLost,
    /// The upstream crashed while it ran the request.
    UpstreamCrashed,
    /// The upstream responded with an error.
    UpstreamFailed,
    /// The caller closed the connection.
    CallerGone,
    /// The first byte of the response did not arrive in time.
    FirstByteTimeout,
    /// The response stalled.
    StreamTimeout,
    /// The response ended early.
    AnswerCut,
    /// The home of the upstream is unreachable.
    HomeUnreachable,
    /// The connection to the host that the request was handed to failed.
    HostLost,
    /// The host shut down while the request ran.
    HostStopped,
    /// Another request with the same token is still running.
    StillRunning,
    /// The connection to the home failed after the request was forwarded.
    HomeLost,
    /// A non-idempotent request has no token.
    TokenRequired,
    /// The token was not issued by this fleet.
    TokenForged,
    /// The token expired before it was used.
    TokenExpired,
    /// The token was used for a different request.
    TokenMismatch,
    /// The host that issued the token is unreachable.
    IssuerLost,
    /// The request ran, but its response is no longer stored.
    AnswerDropped,
    /// The hosts use different versions of the peer protocol.
    Version,
    /// The response belongs to a different exchange.
    ForeignAnswer,
    /// The response exceeds the size limit.
    AnswerTooLarge,
    /// The API key belongs to no workspace.
    UnknownKey,
    /// The host's copy of the API keys is too old to tell whether the key is valid.
    KeysStale,
    /// The request, or a segment of its prompt, crashed several upstreams.
    CrashedRepeatedly,
    /// No host knows which version of the service began the stream that the caller
    /// resumes.
    OriginUnknown,
    /// No upstream in service runs the version that began the stream.
    VersionGone,
}

/// The refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize, thiserror::Error)]
#[error("{code} ({outcome})")]
pub struct Refusal {
    /// Whether the request may have run.
    pub outcome: Outcome,
    /// The reason.
    pub code: Code,
    /// The time in milliseconds after which a retry may succeed, if it may.
    pub retry_after_ms: Option<u64>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run. It suggests no retry.
    pub fn not_run(code: Code) -> Self {
        Self {
            outcome: Outcome::NotRun,
            code,
            retry_after_ms: None,
        }
    }

    /// Creates a refusal of a request that may have run. It suggests no retry.
    pub fn unknown(code: Code) -> Self {
        Self {
            outcome: Outcome::Unknown,
            code,
            retry_after_ms: None,
        }
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, wait: Duration) -> Self {
        self.retry_after_ms = Some(u64::try_from(wait.as_millis()).unwrap_or(u64::MAX));
        self
    }
}

impl Code {
    /// Returns whether the upstream crashed while it ran the request.
    pub fn is_crash(self) -> bool {
        self == Self::UpstreamCrashed
    }

    /// Returns the HTTP status of a response with this code.
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
            | Self::HostLost
            | Self::HostStopped
            | Self::ForeignAnswer
            | Self::AnswerTooLarge => S::BAD_GATEWAY,
            Self::NoRoom
            | Self::NoUpstream
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
            | Self::OriginUnknown
            | Self::VersionGone
            | Self::Version => S::SERVICE_UNAVAILABLE,
        }
    }
}
