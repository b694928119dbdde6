//! The headers that an adapter names, and how it reads them.

use http::HeaderMap;
use http::HeaderName;

/// A part of a prompt that requests may share.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Part {
    /// The same for the same text.
    pub id: u64,
    /// Its length, in tokens.
    pub tokens: u64,
}

/// The headers of the platform at hand.
#[derive(Clone, Debug)]
pub struct Names {
    /// Identifies a caller's attempt; upstreams echo it.
    pub attempt: HeaderName,
    /// How many milliseconds the caller still waits.
    pub deadline: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// Tells the upstream the caller's workspace.
    pub workspace: HeaderName,
    /// Names the upstream that is meant; others refuse.
    pub expected: HeaderName,
    /// An upstream's word that it ran nothing.
    pub not_executed: HeaderName,
    /// An upstream's proof that an answer is its own.
    pub receipt: HeaderName,
    /// The last event that the caller has.
    pub last_event: HeaderName,
    /// Tells the upstream how urgent the request is.
    pub priority: HeaderName,
    /// Tells an engine which other engine holds the prompt, as an address.
    pub fetch: HeaderName,
    /// Headers of callers that go no further, as only the fleet may set them.
    pub reserved: Vec<HeaderName>,
    /// Reads the parts of a request's prompt, in order.
    pub parts: fn(&HeaderMap) -> Vec<Part>,
    /// Maps a priority of routes and workspaces to the header's value.
    pub rank: fn(u8) -> u8,
}
