//! The headers between callers and entries.

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

/// The workspace of a request.
const WORKSPACE: &str = "masticmoor-workspace";
/// The chat of a request.
const CHAT: &str = "masticmoor-chat";
/// The class of a request.
const CLASS: &str = "masticmoor-class";
/// The token of a request that must run at most once.
const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// The token for the next such request.
const TOKEN: &str = "masticmoor-token";
/// How a request ended.
const OUTCOME: &str = "masticmoor-outcome";
/// When to come back, in milliseconds.
const RETRY_AFTER_MS: &str = "masticmoor-retry-after-ms";

/// What an entry says of a request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Word {
    /// How the request ended.
    pub outcome: Outcome,
    /// Why it was not answered.
    pub code: Option<Code>,
    /// When to come back.
    pub wait: Option<Duration>,
    /// A token for the next request that must run at most once.
    pub token: Option<String>,
}

/// What is wrong with the headers of an answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The outcome is missing or unknown.
    #[error("the answer with status {status} has no outcome")]
    Outcome {
        /// The status.
        status: StatusCode,
    },
    /// The refusal has no code that is known.
    #[error("the refusal with status {status} has no code")]
    Code {
        /// The status.
        status: StatusCode,
    },
}

/// The part of a refusal's body that callers read.
#[derive(Deserialize)]
struct Problem {
    code: Code,
}

/// Returns the request of a call.
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

/// Returns what an entry says of a request.
pub fn word(reply: &Reply) -> Result<Word, Error> {
    let status = reply.status;
    let outcome = text(&reply.headers, OUTCOME)
        .and_then(|outcome| outcome.parse().ok())
        .ok_or(Error::Outcome { status })?;
    let code = match outcome {
        Outcome::Answered => None,
        Outcome::NotRun | Outcome::Unknown => Some(code(reply)?),
    };
    Ok(Word {
        outcome,
        code,
        wait: wait(&reply.headers),
        token: text(&reply.headers, TOKEN).map(str::to_owned),
    })
}

/// Returns what is taken for granted of an upstream's own answer.
pub fn direct(reply: &Reply) -> Word {
    let outcome = match reply.status.is_success() {
        true => Outcome::Answered,
        false => Outcome::Unknown,
    };
    Word {
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
