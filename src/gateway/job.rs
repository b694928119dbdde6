//! A caller's request, authorized and ready to be sent to an upstream.
//!
//! Also derives what identifies a request: its shared prompt and its fingerprint.

use std::net::SocketAddr;
use std::sync::Arc;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Uri;
use http::header;
use http_body_util::Full;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::handoff;
use crate::gateway::handoff::Handoff;
use crate::gateway::headers::Names;
use crate::gateway::headers::Segment;
use crate::gateway::intake::bodies;
use crate::gateway::placement::Prompt;
use crate::gateway::table::Route;
use crate::gateway::table::Workspace;
use crate::ident;
use crate::log::millis;

/// Hop-by-hop headers, which are not forwarded.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Maximum number of a prompt's segments in a log line.
const MAX_LOGGED_SEGMENTS: usize = 16;

/// A request, with what was decided about it when it was accepted.
#[derive(Clone, Debug)]
pub struct Job {
    /// Id of the attempt, as the caller stated it.
    pub id: String,
    /// Route that the request matched.
    pub route: Arc<Route>,
    /// Service that runs the request.
    pub service: ident::Service,
    /// Workspace of the caller's key; `None` if the route is public.
    pub workspace: Option<Arc<Workspace>>,
    /// Key of the caller.
    pub key: Option<String>,
    /// Host name of the request, without a port.
    pub host: String,
    /// Method of the request.
    pub method: Method,
    /// Path and query of the request.
    pub uri: Uri,
    /// Headers to forward.
    pub headers: HeaderMap,
    /// Body of the request.
    pub body: Bytes,
    /// Memory of the body, which counts while the request may be sent again.
    pub memory: Arc<bodies::Lease>,
    /// Prompt that the request shares with others.
    pub prompt: Prompt,
    /// Ids of that prompt's segments, in order.
    pub segments: Vec<u64>,
    /// Fingerprint, equal for repetitions of a request by the same workspace.
    pub fingerprint: u64,
    /// When the request's headers arrived.
    pub arrived: Instant,
    /// When the caller's time limit or that of the route ends, whichever is earlier.
    pub deadline: Instant,
    /// Last event that the caller has received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Attempt that began this stream, if the caller resumes one.
    pub origin: Option<String>,
    /// What another host states that handed the request to this one.
    pub handoff: Option<Handoff>,
}

impl Job {
    /// Returns the request as it is sent to an upstream.
    ///
    /// Its headers state the expected upstream, the caller's workspace, the
    /// milliseconds left until the deadline, the address of the engine `holder` to copy
    /// the prompt from, and the event `last_event` after which a stream is resumed.
    pub fn request(
        &self,
        names: &Names,
        now: Instant,
        upstream: &ident::Upstream,
        holder: Option<SocketAddr>,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let left_ms = millis(self.deadline.saturating_duration_since(now));
        headers.insert(names.deadline.clone(), HeaderValue::from(left_ms));
        let mut set = |name: &HeaderName, value: &str| {
            if let Ok(value) = HeaderValue::try_from(value) {
                headers.insert(name.clone(), value);
            }
        };
        set(&names.expected, upstream.as_str());
        if let Some(workspace) = &self.workspace {
            set(&names.workspace, workspace.name.as_str());
        }
        if let Some(holder) = holder {
            set(&names.fetch, &holder.to_string());
        }
        if let Some(last) = last_event {
            set(&names.last_event, &last.to_string());
        }
        if self.route.kind.is_stream() {
            let rank = (names.rank)(self.priority());
            headers.insert(names.priority.clone(), HeaderValue::from(u16::from(rank)));
        }
        if !self.body.is_empty() || self.method != Method::GET {
            let length = HeaderValue::from(self.body.len());
            headers.insert(header::CONTENT_LENGTH, length);
        }
        request
    }

    /// Returns the request as it is handed to another host, with the caller's key and the
    /// milliseconds left until the deadline.
    pub fn handoff_request(
        &self,
        names: &Names,
        now: Instant,
        handoff: &Handoff,
        last_event: Option<u64>,
    ) -> Request<Full<Bytes>> {
        let mut request = Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = self.uri.clone();
        let headers = request.headers_mut();
        *headers = self.headers.clone();
        let left_ms = millis(self.deadline.saturating_duration_since(now));
        headers.insert(names.deadline.clone(), HeaderValue::from(left_ms));
        headers.insert(handoff::HEADER, HeaderValue::from(handoff.runs));
        let mut set = |name: &HeaderName, value: &str| {
            if let Ok(value) = HeaderValue::try_from(value) {
                headers.insert(name.clone(), value);
            }
        };
        if let Some(key) = &self.key {
            set(&names.key, key);
        }
        if let Some(version) = &handoff.version {
            set(&handoff::VERSION, version.as_str());
        }
        if let Some(last) = last_event {
            set(&names.last_event, &last.to_string());
        }
        if !self.body.is_empty() || self.method != Method::GET {
            headers.insert(header::CONTENT_LENGTH, HeaderValue::from(self.body.len()));
        }
        request
    }

    /// Returns a hash of the workspace's name; zero if the route is public.
    pub fn workspace_hash(&self) -> u32 {
        let workspace = self.workspace.as_ref();
        let hash = workspace.map(|it| xxh3_64(it.name.as_str().as_bytes()));
        hash.map_or(0, |hash| u32::try_from(hash >> 32).unwrap_or_default())
    }

    /// Returns the priority of the request: that of the workspace, or else that of the
    /// route. 0 is the most urgent.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        let priority = workspace.and_then(|workspace| workspace.priority);
        priority.unwrap_or(self.route.priority)
    }
}

/// Returns a text with the first of some segments, for logs.
pub fn segment_list(segments: &[u64]) -> String {
    let segments = segments.iter().take(MAX_LOGGED_SEGMENTS);
    let segments = segments.map(|segment| format!("{segment:x}"));
    segments.collect::<Vec<_>>().join(",")
}

/// Returns the headers of a caller's request that are forwarded to upstreams: all but
/// hop-by-hop headers and those that only this gateway may set.
pub fn forwardable(names: &Names, from: &HeaderMap) -> HeaderMap {
    let listed = from.get_all(header::CONNECTION);
    let listed = listed.iter().filter_map(|value| value.to_str().ok());
    let listed: Vec<HeaderName> = listed
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let gateway_only = [
        &names.key,
        &names.workspace,
        &names.expected,
        &names.deadline,
        &handoff::HEADER,
        &handoff::VERSION,
    ];
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let is_hop = HOP_HEADERS.contains(name) || listed.contains(name);
        let is_gateway_only = gateway_only.contains(&name) || names.reserved.contains(name);
        if !is_hop
            && !is_gateway_only
            && name.as_str() != "keep-alive"
            && name != header::CONTENT_LENGTH
        {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Returns the prompt that a request shares with others, and the ids of its segments.
///
/// These are all segments but the last, which belongs to the request itself, or the
/// only one. Without segments, the key is a hash of the path.
pub fn shared_prompt(segments: &[Segment], path: &str) -> (Prompt, Vec<u64>) {
    let shared = match segments {
        [] => &[],
        [only] => std::slice::from_ref(only),
        [shared @ .., _] => shared,
    };
    let key = match shared {
        [] => xxh3_64(path.as_bytes()),
        _ => shared.iter().fold(0, |key, segment| {
            xxh3_64_with_seed(&segment.id.to_le_bytes(), key)
        }),
    };
    let prompt = Prompt {
        key,
        tokens: shared.iter().map(|segment| segment.tokens).sum(),
    };
    (prompt, shared.iter().map(|segment| segment.id).collect())
}

/// Returns the fingerprint of a request, which is equal for repetitions of the request
/// by the same workspace.
pub fn fingerprint(workspace: Option<&Workspace>, path: &str, body: &[u8]) -> u64 {
    let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
    let seed = xxh3_64(workspace.as_bytes());
    xxh3_64_with_seed(body, xxh3_64_with_seed(path.as_bytes(), seed))
}
