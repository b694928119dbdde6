//! A caller's request, checked and ready to be sent.

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

use crate::gateway::headers::Names;
use crate::gateway::headers::Segment;
use crate::gateway::placement::Prompt;
use crate::gateway::table::Route;
use crate::gateway::table::Workspace;
use crate::ident;

/// Headers that concern one connection only.
const HOP_HEADERS: [HeaderName; 7] = [
    header::CONNECTION,
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// A request, with what was decided about it once.
#[derive(Clone, Debug)]
pub struct Job {
    /// The caller's name for this attempt.
    pub id: String,
    /// The route that it came by.
    pub route: Arc<Route>,
    /// The service that runs it.
    pub service: ident::Service,
    /// The caller's workspace, unless the route is open to all.
    pub workspace: Option<Arc<Workspace>>,
    /// The caller's key.
    pub key: Option<String>,
    /// The host name asked for.
    pub host: String,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// The headers to pass on.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The prompt that it shares with others.
    pub prompt: Prompt,
    /// The parts of that prompt, in order.
    pub segments: Vec<u64>,
    /// The same for the same request of the same caller.
    pub fingerprint: u64,
    /// When its headers had arrived.
    pub arrived: Instant,
    /// When the caller, or the route's time limit, gives it up.
    pub deadline: Instant,
    /// The last event that the caller has.
    pub last_event: Option<u64>,
}

impl Job {
    /// Returns the request for an upstream.
    ///
    /// It names the upstream that is meant, the time left, and the engine that
    /// holds the prompt if the upstream should copy it from there; a stream goes
    /// on after `last_event`.
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
        let left = self.deadline.saturating_duration_since(now).as_millis();
        let left = u64::try_from(left).unwrap_or(u64::MAX);
        headers.insert(names.deadline.clone(), HeaderValue::from(left));
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

    /// Returns how urgent the request is, 0 first.
    pub fn priority(&self) -> u8 {
        let workspace = self.workspace.as_ref();
        let own = workspace.and_then(|workspace| workspace.priority);
        own.unwrap_or(self.route.priority)
    }
}

/// Returns the headers that may go on to an upstream.
pub fn forwardable(names: &Names, from: &HeaderMap) -> HeaderMap {
    let listed = from.get_all(header::CONNECTION);
    let listed = listed.iter().filter_map(|value| value.to_str().ok());
    let listed: Vec<HeaderName> = listed
        .flat_map(|value| value.split(','))
        .filter_map(|name| name.trim().parse().ok())
        .collect();
    let own = [
        &names.key,
        &names.workspace,
        &names.expected,
        &names.deadline,
    ];
    let mut headers = HeaderMap::with_capacity(from.len());
    for (name, value) in from {
        let is_hop = HOP_HEADERS.contains(name) || listed.contains(name);
        let is_own = own.contains(&name) || names.reserved.contains(name);
        if !is_hop && !is_own && name.as_str() != "keep-alive" && name != header::CONTENT_LENGTH {
            headers.append(name.clone(), value.clone());
        }
    }
    headers
}

/// Returns the prompt that a request shares with others, and its parts: all but
/// the last, which belongs to the request itself. Without parts the path stands for
/// it.
pub fn shared_prompt(parts: &[Segment], path: &str) -> (Prompt, Vec<u64>) {
    let shared = match parts {
        [] => &[],
        [only] => std::slice::from_ref(only),
        [shared @ .., _] => shared,
    };
    let key = match shared {
        [] => xxh3_64(path.as_bytes()),
        _ => shared.iter().fold(0, |key, part| {
            xxh3_64_with_seed(&part.id.to_le_bytes(), key)
        }),
    };
    let prompt = Prompt {
        key,
        tokens: shared.iter().map(|part| part.tokens).sum(),
    };
    (prompt, shared.iter().map(|part| part.id).collect())
}

/// Returns the fingerprint of a request: the same when its caller repeats it.
pub fn fingerprint(workspace: Option<&Workspace>, path: &str, body: &[u8]) -> u64 {
    let workspace = workspace.map_or("", |workspace| workspace.name.as_str());
    let seed = xxh3_64(workspace.as_bytes());
    xxh3_64_with_seed(body, xxh3_64_with_seed(path.as_bytes(), seed))
}
