//! Forwards an upstream's response to the entry as it arrives. Checks that it
//! belongs to the request, and tells a complete response from a truncated one.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;

use crate::entry::header;
use crate::event;
use crate::framing;
use crate::framing::Content;
use crate::framing::Framing;
use crate::home::run::matches_exchange;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::frame::Frame;
use crate::peer::frame::Head;
use crate::peer::frame::Run;
use crate::register::upstream::Pool;

/// The data of the last event in an engine's stream.
const DONE: &[u8] = b"[DONE]";

/// The end of the line and of the event of the end marker.
const EVENT_END: Frame = Frame::Data(Bytes::from_static(b"\n\n"));

/// The maximum number of bytes buffered of a line. An end marker is shorter.
const MAX_LINE_BYTES: usize = 32;

/// How long to wait for the end of the body after the end marker.
const END_OF_BODY_TIMEOUT: Duration = Duration::from_millis(50);

/// A response of which the head has arrived.
pub struct Forwarder<'a> {
    run: &'a Run,
    response: Response<Incoming>,
    frame_timeout: Duration,
    framing: Framing,
    ending: Ending,
}

/// What tells, beside the end of the body, that a response is complete.
enum Ending {
    /// The end marker of an engine's event stream.
    Marker(EndMarker),
    /// The blank line after the last event of another event stream.
    Events(event::Position),
    /// Nothing.
    Body,
}

impl Ending {
    /// Returns the ending of a response from an upstream of a pool.
    fn of(pool: &Pool, headers: &HeaderMap) -> Self {
        match (Content::of(headers), pool) {
            (Some(Content::Events), Pool::Model(_)) => Self::Marker(EndMarker::default()),
            (Some(Content::Events), Pool::Service(_)) => Self::Events(event::Position::default()),
            (Some(Content::Json | Content::Opaque) | None, _) => Self::Body,
        }
    }

    /// Reads a chunk of the body. Returns the offset of the line break after the end
    /// marker, if it is in this chunk.
    fn find_end(&mut self, chunk: &[u8]) -> Option<usize> {
        match self {
            Self::Marker(marker) => marker.find_end(chunk),
            Self::Events(position) => {
                position.advance_over(chunk);
                None
            }
            Self::Body => None,
        }
    }
}

impl<'a> Forwarder<'a> {
    /// Takes the response to a run. `frame_timeout` limits the pause before
    /// each part of its body.
    pub fn new(run: &'a Run, response: Response<Incoming>, frame_timeout: Duration) -> Self {
        let framing = Framing::of(response.headers(), response.body());
        let ending = Ending::of(&run.call.pool, response.headers());
        Self {
            run,
            response,
            frame_timeout,
            framing,
            ending,
        }
    }

    /// Returns the head to forward, or why the response is rejected.
    pub fn head(&self) -> Result<Head, Refusal> {
        let status = self.response.status();
        match status {
            _ if !matches_exchange(self.run.exchange, &self.response) => {
                tracing::warn!(upstream = %self.run.upstream, "home: response to another exchange dropped");
                Err(Refusal::unknown(Code::ForeignAnswer))
            }
            _ if !framing::is_final(status.as_u16()) => Err(Refusal::unknown(Code::UpstreamFailed)),
            _ if self.run.call.idempotent && is_failure(status) => {
                Err(Refusal::unknown(Code::UpstreamFailed))
            }
            _ if !self.is_delimited() => Err(Refusal::unknown(Code::AnswerCut)),
            _ => Ok(Head {
                status: status.as_u16(),
                headers: header::forwarded(self.response.headers()),
                waited_us: 0,
            }),
        }
    }

    /// Forwards the response up to its end or returns why it is incomplete.
    /// Returns whether the connection may be reused.
    pub async fn forward(
        self,
        head: Head,
        deadline: Instant,
        out: &mpsc::Sender<Frame>,
    ) -> Result<bool, Refusal> {
        send(out, Frame::Head(head)).await?;
        let mut ending = self.ending;
        let mut body = self.response.into_body();
        loop {
            let limit = Instant::now() + self.frame_timeout;
            let frame = timeout_at(deadline.min(limit), body.frame())
                .await
                .map_err(|_| Refusal::unknown(Code::StreamTimeout))?;
            let bytes = match frame.map(|frame| frame.map(hyper::body::Frame::into_data)) {
                Some(Ok(Ok(bytes))) => bytes,
                Some(Ok(Err(_))) => continue,
                Some(Err(_)) => return Err(Refusal::unknown(Code::AnswerCut)),
                None => {
                    match &ending {
                        Ending::Marker(marker) if marker.is_done() => send(out, EVENT_END).await?,
                        Ending::Events(position)
                            if framing::ends_between_events(self.framing, *position) => {}
                        Ending::Body => {}
                        Ending::Marker(_) | Ending::Events(_) => {
                            return Err(Refusal::unknown(Code::AnswerCut));
                        }
                    }
                    return send(out, Frame::End).await.map(|()| true);
                }
            };
            match ending.find_end(&bytes) {
                Some(end) => {
                    send(out, Frame::Data(bytes.slice(..end))).await?;
                    send(out, EVENT_END).await?;
                    let is_idle =
                        matches!(timeout(END_OF_BODY_TIMEOUT, body.frame()).await, Ok(None));
                    return send(out, Frame::End).await.map(|()| is_idle);
                }
                None => send(out, Frame::Data(bytes)).await?,
            }
        }
    }

    /// Returns whether the end of the response can be told from a truncation.
    fn is_delimited(&self) -> bool {
        matches!(self.ending, Ending::Marker(_)) || self.framing != Framing::Close
    }
}

/// Finds the end marker in an event stream that arrives in chunks. What follows
/// the marker is not part of the response.
#[derive(Default)]
struct EndMarker {
    /// The current line, up to `MAX_LINE_BYTES`.
    line: Vec<u8>,
}

impl EndMarker {
    /// Returns the offset of the line break after the end marker, if it is in
    /// this chunk.
    fn find_end(&mut self, chunk: &[u8]) -> Option<usize> {
        for (at, byte) in chunk.iter().enumerate() {
            match byte {
                b'\n' if self.is_done() => return Some(at),
                b'\n' => self.line.clear(),
                _ if self.line.len() < MAX_LINE_BYTES => self.line.push(*byte),
                _ => {}
            }
        }
        None
    }

    /// Returns whether the current line is the end marker.
    fn is_done(&self) -> bool {
        let data = self.line.strip_prefix(b"data:");
        data.is_some_and(|data| data.trim_ascii() == DONE)
    }
}

/// Returns whether a status blames the upstream rather than the request.
fn is_failure(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::INTERNAL_SERVER_ERROR
            | StatusCode::BAD_GATEWAY
            | StatusCode::SERVICE_UNAVAILABLE
            | StatusCode::GATEWAY_TIMEOUT
            | StatusCode::TOO_MANY_REQUESTS
    )
}

async fn send(out: &mpsc::Sender<Frame>, frame: Frame) -> Result<(), Refusal> {
    // A caller that has stopped reading is treated as gone.
    const SEND_TIMEOUT: Duration = Duration::from_secs(60);
    match timeout(SEND_TIMEOUT, out.send(frame)).await {
        Ok(Ok(())) => Ok(()),
        Ok(Err(_)) | Err(_) => Err(Refusal::unknown(Code::CallerGone)),
    }
}
