//! Names of the platform's headers, as its adapter defines them.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;

/// A segment of a prompt. Requests whose prompts begin with the same segments share
/// their cache entries.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Segment {
    /// Identifier that is the same for the same text.
    pub id: u64,
    /// Length in tokens.
    pub tokens: u64,
}

/// What an upstream states of its load when it begins to respond.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct InstanceLoad {
    /// Requests that it runs.
    pub running: u32,
    /// Requests that wait there.
    pub waiting: u32,
    /// Requests that it runs concurrently.
    pub slots: u32,
    /// How many times as long as usual work takes there now; `None` if it doesn't say so.
    pub slowdown: Option<f64>,
}

impl InstanceLoad {
    /// Returns the requests there, running or waiting.
    pub fn requests(&self) -> u32 {
        self.running.saturating_add(self.waiting)
    }
}

/// What an upstream announces of itself in a response.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Notice {
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// Requests per second that it takes from all hosts together.
    pub limit: Option<f64>,
    /// Requests that it can turn away in a second for want of room without failing, if it is
    /// brittle.
    pub rejection_limit: Option<u32>,
    /// How long it wants no requests from this host, if it turned one away.
    pub rest: Option<Duration>,
    /// Its load, if it states it.
    pub load: Option<InstanceLoad>,
    /// The headers whose values can't be read, which are ignored.
    pub invalid: Vec<HeaderName>,
}

/// Header names of the platform, and functions for the headers' values.
#[derive(Clone, Debug)]
pub struct Names {
    /// Identifier of a caller's attempt; upstreams echo it.
    pub attempt: HeaderName,
    /// Time in milliseconds that the caller will wait for the response.
    pub deadline: HeaderName,
    /// The caller's key.
    pub key: HeaderName,
    /// The caller's workspace, for the upstream.
    pub workspace: HeaderName,
    /// Identifier of the upstream that the request is for; others reject it.
    pub expected: HeaderName,
    /// Set by an upstream on the response to a request that it did not run.
    pub not_executed: HeaderName,
    /// Set by an upstream to prove that it created the response.
    pub receipt: HeaderName,
    /// Number of the last event that the caller has.
    pub last_event: HeaderName,
    /// Attempt that began the stream that the caller resumes.
    pub origin: HeaderName,
    /// Priority of the request, for the upstream.
    pub priority: HeaderName,
    /// Address of another engine from which the upstream can copy the cached prompt.
    pub fetch: HeaderName,
    /// Headers that are removed from callers' requests, since only the fleet may set
    /// them.
    pub reserved: Vec<HeaderName>,
    /// Returns the segments of a request's prompt, in order.
    pub segments: fn(&HeaderMap) -> Vec<Segment>,
    /// Returns what an upstream announces in the headers of a response.
    pub notice: fn(&HeaderMap) -> Notice,
    /// Maps a priority of routes and workspaces to the priority header's value.
    pub rank: fn(u8) -> u8,
}
