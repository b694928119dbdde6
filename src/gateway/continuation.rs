//! Decides whether a response can continue a stream that broke off.

use http::response::Parts;

use crate::framing::Content;

/// Returns whether the body of a response can follow the events of another one. That of a failure,
/// or of another type of content, isn't a part of the stream.
pub fn fits(begun: &Parts, next: &Parts) -> bool {
    let content = Content::of(&begun.headers).unwrap_or(Content::Events);
    next.status == begun.status && Content::of(&next.headers).is_none_or(|it| it == content)
}
