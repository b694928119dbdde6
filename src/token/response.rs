//! A complete response, stored so that repeats of its request get it too.

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;

/// An upstream's complete response.
#[derive(Clone, Debug, PartialEq)]
pub struct Response {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers as sent to the caller.
    pub headers: HeaderMap,
    /// The complete body.
    pub body: Bytes,
}

impl Response {
    /// Returns approximately how much memory the response takes, in bytes.
    pub fn size(&self) -> usize {
        let headers: usize = self
            .headers
            .iter()
            .map(|(name, value)| name.as_str().len() + value.len())
            .sum();
        size_of::<Self>() + headers + self.body.len()
    }

    /// Returns a copy whose body shares no buffer with anything else, so that
    /// it takes no more memory than [`Self::size`].
    pub(super) fn compact(&self) -> Self {
        Self {
            status: self.status,
            headers: self.headers.clone(),
            body: Bytes::copy_from_slice(&self.body),
        }
    }
}
