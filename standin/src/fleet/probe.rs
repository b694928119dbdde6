//! Single calls to a test fleet: what their callers see, and what ran.

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

/// The workspace of calls that need no other.
pub const WORKSPACE: &str = "school";

/// The longest that a body may take.
const PATIENCE: Duration = Duration::from_secs(60);

/// What a caller saw of a call.
#[derive(Clone, Debug)]
pub struct Seen {
    /// The HTTP status.
    pub status: u16,
    /// The stated outcome.
    pub outcome: String,
    /// The code of a refusal, empty if it is none.
    pub code: String,
    /// When to come back, if that was stated.
    pub retry_after: Option<Duration>,
    /// The token that came with it.
    pub token: Option<String>,
    /// What arrived of the body.
    pub body: Bytes,
    /// Whether the body came to its end.
    pub is_whole: bool,
}

impl Seen {
    /// Tells whether this is the whole answer to a call.
    pub fn is_answer(&self, call: &Call) -> bool {
        self.is_whole && self.outcome == "answered" && check::check(call, &self.body).is_ok()
    }

    /// Tells whether a caller would take this for a whole answer: the end of
    /// the body came, and in an event stream the end mark.
    pub fn passes_for_whole(&self) -> bool {
        let text = String::from_utf8_lossy(&self.body);
        let broken = text.starts_with("data:") && !text.contains("data: [DONE]");
        self.is_whole && self.outcome == "answered" && !broken
    }
}

/// Makes a call with a token or without.
pub async fn ask(
    address: SocketAddr,
    call: &Call,
    token: Option<&str>,
) -> Result<Seen, client::Fault> {
    let response = client::open(address, request(call, token)?).await?;
    let (head, mut body) = response.into_parts();
    let mut bytes = BytesMut::new();
    let is_whole = loop {
        match timeout(PATIENCE, body.frame()).await {
            Ok(Some(Ok(frame))) => {
                bytes.extend_from_slice(frame.data_ref().unwrap_or(&Bytes::new()))
            }
            Ok(Some(Err(_))) => break false,
            Ok(None) => break true,
            Err(_) => return Err(client::Fault::Timeout),
        }
    };
    let answer = client::Answer {
        status: head.status,
        headers: head.headers,
        body: bytes.freeze(),
    };
    let millis = answer.header("masticmoor-retry-after-ms").parse().ok();
    let token = Some(answer.header("masticmoor-token")).filter(|token| !token.is_empty());
    Ok(Seen {
        status: answer.status.as_u16(),
        outcome: answer.outcome().to_owned(),
        code: answer.code(),
        retry_after: millis.map(Duration::from_millis),
        token: token.map(str::to_owned),
        body: answer.body,
        is_whole,
    })
}

/// Returns the request of a call.
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

/// Returns a chat of one question.
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

/// Returns a look-up of a seat.
pub fn seat(seat: u64) -> Call {
    Call::lookup(WORKSPACE.to_owned(), seat)
}

/// Returns a purchase of a seat.
pub fn buy(id: &str, seat: u64) -> Call {
    let (id, buyer) = (id.to_owned(), "parent".to_owned());
    Call::purchase(WORKSPACE.to_owned(), Purchase { id, seat, buyer })
}

impl Fleet {
    /// Returns the runs of a call at all upstreams, by the journals.
    pub fn runs(&self, call: &Call) -> Vec<Run> {
        let name = format!("{} {}", call.method(), call.path());
        let body = answer::fingerprint(&call.body);
        let pages = self
            .upstreams()
            .map(|(_, shared)| shared.journal.snapshot());
        pages
            .flat_map(|page| page.runs)
            .filter(|run| run.call == name && run.fingerprint == body)
            .collect()
    }

    /// Returns the faults and journals of all upstreams.
    pub fn upstreams(&self) -> impl Iterator<Item = (&String, &Shared)> {
        let engines = self.engines.iter().map(|(name, it)| (name, &it.shared));
        engines.chain(self.plains.iter())
    }

    /// Returns the host that takes itself for the home of an upstream.
    pub fn home(&self, upstream: &str) -> Option<&str> {
        let mut hosts = self.hosts.iter();
        let (name, _) = hosts.find(|(_, host)| host.is_home(upstream))?;
        Some(name)
    }
}

impl Host {
    /// Tells whether this host refuses a call since it lost upstreams.
    pub fn quarantines(&self, call: &Call) -> bool {
        let (workspace, method, path) =
            (call.workspace.as_str().into(), call.method(), call.path());
        let request = fingerprint::Request {
            workspace: &workspace,
            method: method.as_str(),
            path: &path,
            body: &call.body,
        };
        let strikes = lock(&self.state.crashes);
        let left = strikes.refused(Instant::now(), request.fingerprint());
        left.is_some()
    }
}
