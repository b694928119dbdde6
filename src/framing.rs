//! How the end of an HTTP/1 response body is marked, and what its content says of it.

use http::HeaderMap;
use http::header;
use hyper::body::Body;
use serde::de::IgnoredAny;

use crate::event::Position;

/// What marks the end of a response body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Framing {
    /// The body has a known length.
    Length,
    /// The body is sent in chunks, the last of which is empty.
    Chunked,
    /// The body ends with its connection. A close by a failing upstream looks the same.
    Close,
}

impl Framing {
    /// Returns the framing of a response with these headers and this unread body.
    pub fn of(headers: &HeaderMap, body: &impl Body) -> Self {
        let mut codings = headers.get_all(header::TRANSFER_ENCODING).iter();
        let last = codings.next_back().and_then(|value| value.to_str().ok());
        let last = last.and_then(|codings| codings.rsplit(',').next());
        match last.map(str::trim) {
            _ if body.size_hint().exact().is_some() => Self::Length,
            Some(coding) if coding.eq_ignore_ascii_case("chunked") => Self::Chunked,
            Some(_) | None => Self::Close,
        }
    }
}

/// Returns whether a status is that of a final response. The HTTP client accepts all numbers from 100
/// to 999, of which callers understand those up to 599.
pub fn is_final(status: u16) -> bool {
    (200..600).contains(&status)
}

/// Kind of content of a body, by its media type.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Content {
    /// Server-sent events.
    Events,
    /// A JSON text.
    Json,
    /// Content whose end can't be told from its bytes.
    Opaque,
}

impl Content {
    /// Returns the kind of content that the headers of a response name, if they do.
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        let value = headers.get(header::CONTENT_TYPE)?.to_str().ok()?;
        let media_type = value.split(';').next()?.trim().to_ascii_lowercase();
        Some(match media_type.as_str() {
            "text/event-stream" => Self::Events,
            "application/json" => Self::Json,
            other if other.ends_with("+json") => Self::Json,
            _ => Self::Opaque,
        })
    }
}

/// Returns whether a body that ended without an error is complete, as far as its framing
/// and its content tell.
///
/// A body that ends with its connection may have been cut by a failing upstream. An event
/// stream may end early even if it is framed, as an upstream may frame what it has.
pub fn is_complete(framing: Framing, headers: &HeaderMap, body: &[u8]) -> bool {
    match (Content::of(headers), framing) {
        (Some(Content::Events), _) => {
            let mut position = Position::default();
            position.advance_over(body);
            ends_between_events(framing, position)
        }
        // A text that is malformed, not cut, is the upstream's own.
        (Some(Content::Json), Framing::Close) => {
            let parsed = serde_json::from_slice::<IgnoredAny>(body);
            !parsed.is_err_and(|error| error.is_eof())
        }
        // An empty body whose end nothing marks may be one that was never begun.
        (Some(Content::Opaque) | None, Framing::Close) => !body.is_empty(),
        (Some(Content::Json | Content::Opaque) | None, _) => true,
    }
}

/// Returns whether the end of a body that looks complete may be that of its upstream's process.
///
/// A body that ends with its connection ends in order, too, when the process was killed. Only the
/// end of a JSON text shows that nothing is missing; that of a number doesn't.
pub fn may_be_cut(framing: Framing, headers: &HeaderMap, body: &[u8]) -> bool {
    let is_delimited = match Content::of(headers) {
        Some(Content::Json) => matches!(body.trim_ascii_start().first(), Some(b'{' | b'[' | b'"')),
        Some(Content::Events | Content::Opaque) | None => false,
    };
    framing == Framing::Close && !is_delimited
}

/// Returns whether an event stream whose body has ended without an error is complete, by
/// the position of its end.
pub fn ends_between_events(framing: Framing, position: Position) -> bool {
    let may_be_empty = framing != Framing::Close;
    !position.is_inside_event() && (position.has_event() || may_be_empty)
}
