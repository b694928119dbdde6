//! How the end of an HTTP/1 response body is marked.

use http::HeaderMap;
use http::header;
use hyper::body::Body;

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
