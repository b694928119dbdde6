//! Answers of the stand-ins, and how faults spoil them.

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

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, Error>;

/// Why an answer breaks off.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// A fault cuts the connection.
    #[error("the connection is cut on demand")]
    Aborted,
}

/// Returns an answer with a JSON body.
pub fn json(status: StatusCode, value: &impl Serialize) -> Response<Body> {
    match serde_json::to_vec(value) {
        Ok(bytes) => bytes_as(status, "application/json", bytes.into()),
        Err(_) => empty(StatusCode::INTERNAL_SERVER_ERROR),
    }
}

/// Returns an answer with bytes of a media type.
pub fn bytes_as(status: StatusCode, media_type: &'static str, bytes: Bytes) -> Response<Body> {
    let mut response = empty(status);
    let media_type = HeaderValue::from_static(media_type);
    response
        .headers_mut()
        .insert(header::CONTENT_TYPE, media_type);
    *response.body_mut() = full(bytes);
    response
}

/// Returns an answer without a body.
pub fn empty(status: StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Returns an answer that is streamed as server-sent events.
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

/// Returns the same answer, cut after the first bytes.
pub fn abort_after_first_chunk(response: Response<Body>) -> Response<Body> {
    let (mut parts, body) = response.into_parts();
    parts.headers.remove(header::CONTENT_LENGTH);
    let first = body.into_data_stream().take(1).map(half);
    let rest = stream::once(async { Err(Error::Aborted) });
    Response::from_parts(parts, chunked(first.chain(rest)))
}

/// Returns the same answer without its second half: a stream ends cleanly
/// but early, any other body is cut.
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

/// Returns the same answer with its body sent twice over.
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
