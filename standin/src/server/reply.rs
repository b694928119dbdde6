//! Responses of the stand-ins, and the faults that change a response.

use bytes::Bytes;
use futures_util::Stream;
use futures_util::StreamExt;
use futures_util::stream;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use serde::Serialize;

/// The body of a response.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Why a response is aborted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// An injected fault aborts the connection.
    #[error("response aborted by an injected fault")]
    Aborted,
}

/// Returns a response with a JSON body, or status 500 if encoding fails.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes_as(status, "application/json", bytes.into()),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns a response with a body of a media type.
pub fn bytes_as(status: StatusCode, media_type: &'static str, bytes: Bytes) -> Response<Body> {
    let mut response = empty(status);
    let media_type = HeaderValue::from_static(media_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    *response.body_mut() = full(bytes);
    response
}

/// Returns a response without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns a response that streams server-sent events.
pub fn events<S>(chunks: S) -> Response<Body>
where
    S: Stream<Item = Bytes> + Send + 'static,
{
    let mut response = empty(StatusCode::OK);
    let media_type = HeaderValue::from_static("text/event-stream");
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    *response.body_mut() = chunked(chunks.map(Ok));
    response
}

/// Aborts a response after the first half of its first chunk.
pub fn abort_after_first_chunk(response: Response<Body>) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    parts.headers.remove(header::CONTENT_LENGTH);
    let first = body.into_data_stream().take(1).map(half);
    let rest = stream::once(async { Err(Error::Aborted) });
    Response::from_parts(parts, chunked(first.chain(rest)))
}

/// Removes the second half of a response: a stream of events ends early but
/// cleanly, any other body is aborted.
pub async fn truncate(response: Response<Body>) -> Response<Body> {
    let streamed = is_stream(&response);
    let (parts, body) = response.into_parts();
    let chunks: Vec<_> = body.into_data_stream().collect().await;
    let kept = match chunks.len() {
        1 => chunks.into_iter().map(half).collect(),
        count => chunks.into_iter().take(count / 2).collect::<Vec<_>>(),
    };
    let end = match streamed {
        true => None,
        false => Some(Err(Error::Aborted)),
    };
    let chunks = stream::iter(kept.into_iter().chain(end));
    Response::from_parts(parts, chunked(chunks))
}

/// Returns the response with its body sent twice.
pub async fn duplicate(response: Response<Body>) -> Response<Body> {
    let (parts, body) = response.into_parts();
    let chunks: Vec<_> = body.into_data_stream().collect().await;
    let doubled = chunks.clone().into_iter().chain(chunks);
    Response::from_parts(parts, chunked(stream::iter(doubled)))
}

fn is_stream(response: &Response<Body>) -> bool {
    response
        .headers()
        .get(header::CONTENT_TYPE)
        .is_some_and(|media_type| media_type == "text/event-stream")
}

fn half(chunk: Result<Bytes, Error>) -> Result<Bytes, Error> {
    chunk.map(|bytes| bytes.slice(..bytes.len() / 2))
}

fn full(bytes: Bytes) -> Body {
    Full::new(bytes)
        .map_err(|never| match never {})
        .boxed_unsync()
}

fn chunked<S>(chunks: S) -> Body
where
    S: Stream<Item = Result<Bytes, Error>> + Send + 'static,
{
    StreamBody::new(chunks.map(|chunk| chunk.map(Frame::data))).boxed_unsync()
}
