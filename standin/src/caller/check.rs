//! Checks that a response is complete and belongs to its call.

use serde::de::DeserializeOwned;
use serde_json::from_slice;

use super::call::Action;
use super::call::Call;
use super::mix::Kind;
use crate::answer;
use crate::answer::Receipt;
use crate::answer::Seat;
use crate::engine::chat::Chunk;
use crate::engine::chat::Completion;
use crate::engine::chat::Usage;

/// The first line of an event that reports an error.
const ERROR_EVENT: &str = "event: error";
/// The data of the last event of a stream.
const END_MARKER: &str = "[DONE]";

/// Why a response that arrived without a transport error is wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The body cannot be parsed.
    #[error("the response body cannot be parsed")]
    Malformed,
    /// The response belongs to another request.
    #[error("the response belongs to another request")]
    Foreign,
    /// Part of the text, the usage or the end marker is missing.
    #[error("the response is incomplete")]
    Incomplete,
    /// An event follows the end marker.
    #[error("the response continues after its end marker")]
    Trailing,
    /// The stream contains an error event.
    #[error("the response ends in an error event")]
    BrokenOff,
}

/// Checks the body of a response against its call. Returns the token counts
/// of a chat, and `None` for other kinds of calls.
pub fn check(call: &Call, body: &[u8]) -> Result<Option<Usage>, Error> {
    match &call.action {
        Action::Lookup { seat } => equal(body, &Seat::of(*seat)).map(|()| None),
        Action::Purchase(order) => equal(body, &Receipt::of(order, &call.body)).map(|()| None),
        Action::Chat(_) if call.kind == Kind::Stream => check_stream(&call.body, body).map(Some),
        Action::Chat(_) => check_completion(&call.body, body).map(Some),
    }
}

fn equal<T: DeserializeOwned + PartialEq>(body: &[u8], expected: &T) -> Result<(), Error> {
    let found: T = from_slice(body).map_err(|_| Error::Malformed)?;
    match found == *expected {
        true => Ok(()),
        false => Err(Error::Foreign),
    }
}

fn check_completion(request: &[u8], body: &[u8]) -> Result<Usage, Error> {
    let found: Completion = from_slice(body).map_err(|_| Error::Malformed)?;
    let choice = found.choices.first().ok_or(Error::Incomplete)?;
    verify(request, &found.id, &choice.message.content)?;
    Ok(found.usage)
}

fn check_stream(request: &[u8], body: &[u8]) -> Result<Usage, Error> {
    let body = str::from_utf8(body).map_err(|_| Error::Malformed)?;
    if body.lines().any(|line| line == ERROR_EVENT) {
        return Err(Error::BrokenOff);
    }
    let mut text = String::new();
    let mut usage = None;
    let mut done = false;
    for data in events(body) {
        match data {
            _ if done => return Err(Error::Trailing),
            END_MARKER => done = true,
            data => {
                let chunk: Chunk = serde_json::from_str(data).map_err(|_| Error::Malformed)?;
                text.extend(contents(&chunk));
                verify_id(request, &chunk.id)?;
                usage = chunk.usage.or(usage);
            }
        }
    }
    match usage {
        Some(used) if done => verify(request, &answer::fingerprint(request), &text).map(|()| used),
        _ => Err(Error::Incomplete),
    }
}

fn events(body: &str) -> impl Iterator<Item = &str> {
    body.lines()
        .filter_map(|line| line.strip_prefix("data:"))
        .map(str::trim)
}

fn contents(chunk: &Chunk) -> impl Iterator<Item = &str> {
    chunk
        .choices
        .iter()
        .filter_map(|choice| choice.delta.content.as_deref())
}

fn verify(request: &[u8], id: &str, text: &str) -> Result<(), Error> {
    verify_id(request, id)?;
    match answer::text(request) == text {
        true => Ok(()),
        false => Err(Error::Incomplete),
    }
}

fn verify_id(request: &[u8], id: &str) -> Result<(), Error> {
    match answer::fingerprint(request) == id {
        true => Ok(()),
        false => Err(Error::Foreign),
    }
}
