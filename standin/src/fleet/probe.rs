//! Single calls to a test fleet, their responses as a caller sees them, and
//! their executions by the journals of the upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use masticmoor::class::Class;
use masticmoor::lock::lock;
use masticmoor::token::fingerprint;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::answer;
use crate::answer::Purchase;
use crate::caller::call::Call;
use crate::caller::call::Chat;
use crate::caller::check;
use crate::engine::chat::Message;
use crate::fleet::Fleet;
use crate::fleet::client;
use crate::fleet::host::Host;
use crate::journal::Run;
use crate::server::Shared;

/// The workspace of calls that need no particular one.
pub const WORKSPACE: &str = "school";

/// The time limit for each frame of a body.
const FRAME_TIMEOUT: Duration = Duration::from_secs(60);

/// The response to a call, possibly truncated.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The HTTP status.
    pub status: u16,
    /// The stated outcome.
    pub outcome: String,
    /// The code of a refusal; empty for any other response.
    pub code: String,
    /// The stated delay before a retry.
    pub retry_after: Option<Duration>,
    /// The token for a later purchase.
    pub token: Option<String>,
    /// The part of the body that arrived.
    pub body: Bytes,
    /// Whether the whole body arrived.
    pub is_complete: bool,
}

impl Reply {
    /// Returns whether this is the complete and correct response to a call.
    pub fn is_answer(&self, call: &Call) -> bool {
        self.is_complete && self.outcome == "answered" && check::check(call, &self.body).is_ok()
    }

    /// Returns whether a caller would consider this response complete: it is
    /// marked as answered, the body arrived to its end, and an event stream
    /// contains the end marker.
    pub fn looks_complete(&self) -> bool {
        let text = String::from_utf8_lossy(&self.body);
        let is_cut = text.starts_with("data:") && !text.contains("data: [DONE]");
        self.is_complete && self.outcome == "answered" && !is_cut
    }
}

/// Sends a call with a token or without, and reads its response.
pub async fn send(
    address: SocketAddr,
    call: &Call,
    token: Option<&str>,
) -> Result<Reply, client::Error> {
    let response = client::open(address, request(call, token)?).await?;
    let (head, mut body) = response.into_parts();
    let mut bytes = BytesMut::new();
    let is_complete = loop {
        match timeout(FRAME_TIMEOUT, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
            }
            Ok(Some(Err(_))) => break false,
            Ok(None) => break true,
            Err(_) => return Err(client::Error::Timeout),
        }
    };
    let answer = client::Answer {
        status: head.status,
        headers: head.headers,
        body: bytes.freeze(),
    };
    let millis = answer.header("masticmoor-retry-after-ms").parse().ok();
    let token = Some(answer.header("masticmoor-token")).filter(|token| !token.is_empty());
    Ok(Reply {
        status: answer.status.as_u16(),
        outcome: answer.outcome().to_owned(),
        code: answer.code(),
        retry_after: millis.map(Duration::from_millis),
        token: token.map(str::to_owned),
        body: answer.body,
        is_complete,
    })
}

/// Builds the HTTP request of a call.
pub fn request(call: &Call, token: Option<&str>) -> Result<Request<Full<Bytes>>, http::Error> {
    let mut request = Request::builder()
        .method(call.method())
        .uri(call.path())
        .header("masticmoor-workspace", &call.workspace);
    if let Some(chat) = call.chat_name() {
        request = request.header("masticmoor-chat", chat);
    }
    if let Some(token) = token {
        request = request.header("idempotency-key", token);
    }
    request.body(Full::new(call.body.clone()))
}

/// Returns a chat with a single message.
pub fn chat(name: &str, text: &str, stream: bool) -> Call {
    let message = Message {
        role: "user".to_owned(),
        content: text.to_owned(),
    };
    let chat = Chat {
        name: name.to_owned(),
        workspace: WORKSPACE.to_owned(),
        class: Class::Interactive,
        messages: vec![message],
    };
    Call::chat(chat, "assistant", stream)
}

/// Returns a lookup of a seat.
pub fn lookup(seat: u64) -> Call {
    Call::lookup(WORKSPACE.to_owned(), seat)
}

/// Returns a purchase of a seat.
pub fn buy(id: &str, seat: u64) -> Call {
    let (id, buyer) = (id.to_owned(), "parent".to_owned());
    Call::purchase(WORKSPACE.to_owned(), Purchase { id, seat, buyer })
}

impl Fleet {
    /// Returns the executions of a call at all upstreams, by their journals.
    pub fn runs(&self, call: &Call) -> Vec<Run> {
        let name = format!("{} {}", call.method(), call.path());
        let body = answer::fingerprint(&call.body);
        let journals = self
            .upstreams()
            .map(|(_, shared)| shared.journal.snapshot());
        journals
            .flat_map(|journal| journal.runs)
            .filter(|run| run.call == name && run.fingerprint == body)
            .collect()
    }

    /// Returns the faults and journals of all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (&String, &Shared)> {
        let engines = self.engines.iter().map(|(name, it)| (name, &it.shared));
        engines.chain(self.plains.iter())
    }

    /// Returns the host that considers itself the home of an upstream.
    pub fn home(&self, upstream: &str) -> Option<&str> {
        let mut hosts = self.hosts.iter();
        let (name, _) = hosts.find(|(_, host)| host.is_home(upstream))?;
        Some(name)
    }
}

impl Host {
    /// Returns whether this host refuses a call because it crashed upstreams.
    pub fn quarantines(&self, call: &Call) -> bool {
        let (workspace, method, path) =
            (call.workspace.as_str().into(), call.method(), call.path());
        let request = fingerprint::Request {
            workspace: &workspace,
            method: method.as_str(),
            path: &path,
            body: &call.body,
        };
        let crashes = lock(&self.state.crashes);
        let refusal = crashes.refused(Instant::now(), request.fingerprint());
        refusal.is_some()
    }
}
