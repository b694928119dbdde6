//! The HTTP headers that callers and entries exchange.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::StatusCode;
use http::header;
use http_body_util::Full;
use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use serde::Deserialize;

use super::call::Call;
use super::pool::Reply;

/// Header: the workspace of a request.
const WORKSPACE: &str = "masticmoor-workspace";
/// Header: the chat of a request.
const CHAT: &str = "masticmoor-chat";
/// Header: the priority class of a request.
const CLASS: &str = "masticmoor-class";
/// Header: the token of a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Header: a token for the next such request.
const TOKEN: &str = "masticmoor-token";
/// Header: the outcome of a request.
const OUTCOME: &str = "masticmoor-outcome";
/// Header: the delay before a retry, in milliseconds.
const RETRY_AFTER_MS: &str = "masticmoor-retry-after-ms";

/// What the headers and the body of a response state about its request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Disposition {
    /// The outcome of the request.
    pub outcome: Outcome,
    /// The code of the refusal.
    pub code: Option<Code>,
    /// The delay before a retry.
    pub wait: Option<Duration>,
    /// A token for the next request that must run at most once.
    pub token: Option<String>,
}

/// Why a response is not a valid response of an entry.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The outcome is missing or unknown.
    #[error("response with status {status} has no valid masticmoor-outcome header")]
    Outcome {
        /// The HTTP status.
        status: StatusCode,
    },
    /// The code of the refusal is missing or unknown.
    #[error("refusal with status {status} has no valid code in its body")]
    Code {
        /// The HTTP status.
        status: StatusCode,
    },
}

/// The field of a refusal's body that callers read.
#[derive(Deserialize)]
struct Problem {
    code: Code,
}

/// Builds the HTTP request of a call.
pub fn request(
    call: &Call,
    entry: SocketAddr,
    token: Option<&str>,
) -> http::Result<Request<Full<Bytes>>> {
    let mut builder = Request::builder()
        .method(call.method())
        .uri(call.path())
        .header(header::HOST, entry.to_string())
        .header(WORKSPACE, &call.workspace)
        .header(CLASS, call.class.to_string());
    if !call.body.is_empty() {
        builder = builder.header(header::CONTENT_TYPE, "application/json");
    }
    if let Some(chat) = call.chat_name() {
        builder = builder.header(CHAT, chat);
    }
    if let Some(token) = token {
        builder = builder.header(IDEMPOTENCY_KEY, token);
    }
    builder.body(Full::new(call.body.clone()))
}

/// Parses the response of an entry.
pub fn parse(reply: &Reply) -> Result<Disposition, Error> {
    let status = reply.status;
    let outcome = text(&reply.headers, OUTCOME)
        .and_then(|outcome| outcome.parse().ok())
        .ok_or(Error::Outcome { status })?;
    let code = match outcome {
        Outcome::Answered => None,
        Outcome::NotRun | Outcome::Unknown => Some(code(reply)?),
    };
    Ok(Disposition {
        outcome,
        code,
        wait: wait(&reply.headers),
        token: text(&reply.headers, TOKEN).map(str::to_owned),
    })
}

/// Derives a disposition from the status of an upstream's own response: a
/// request that failed may have run.
pub fn from_status(reply: &Reply) -> Disposition {
    let outcome = match reply.status.is_success() {
        true => Outcome::Answered,
        false => Outcome::Unknown,
    };
    Disposition {
        outcome,
        code: None,
        wait: None,
        token: None,
    }
}

fn code(reply: &Reply) -> Result<Code, Error> {
    let status = reply.status;
    serde_json::from_slice::<Problem>(&reply.body)
        .map(|problem| problem.code)
        .map_err(|_| Error::Code { status })
}

fn wait(headers: &HeaderMap) -> Option<Duration> {
    let millis = text(headers, RETRY_AFTER_MS).and_then(|ms| ms.parse().ok());
    let seconds = text(headers, header::RETRY_AFTER.as_str()).and_then(|s| s.parse().ok());
    millis
        .map(Duration::from_millis)
        .or(seconds.map(Duration::from_secs))
}

fn text<'a>(headers: &'a HeaderMap, name: &str) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
