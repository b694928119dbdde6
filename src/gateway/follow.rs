//! Copies the store's items from another host.
//!
//! A follower sends its revision to a leader, waits for newer items and applies the
//! reply to its own mirror. Replies whose content is too old count as failures.

use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tracing::info;

use crate::boot;
use crate::gateway::connection::set_tcp_options;
use crate::gateway::outage::MIN_OUTAGE;
use crate::gateway::reader;
use crate::gateway::state::State;
use crate::lock::lock;
use crate::log::millis;
use crate::mirror;
use crate::mirror::wire;
use crate::mirror::wire::Content;

/// How long a reply may take beyond the wait time that the follower asks for.
const REPLY_MARGIN: Duration = Duration::from_millis(400);

/// Maximum size of a reply.
const MAX_REPLY_BYTES: usize = 16 << 20;

/// Maximum age of a copy of the store that is followed.
pub const MAX_AGE: Duration = Duration::from_millis(2_200);

/// Maximum number of full copies per second for hosts that start. Where hundreds start at once, most
/// read the store.
const MAX_COPIES: usize = 20;

/// The full copies that a host gave to others that started.
#[derive(Clone, Debug, Default)]
pub struct Copies {
    given_at: VecDeque<Instant>,
}

impl Copies {
    /// Counts one more copy, and returns whether it may be given.
    pub fn take(&mut self, now: Instant) -> bool {
        let is_recent = |at: &Instant| now.duration_since(*at) < Duration::from_secs(1);
        while self.given_at.front().is_some_and(|at| !is_recent(at)) {
            self.given_at.pop_front();
        }
        let may_give = self.given_at.len() < MAX_COPIES;
        if may_give {
            self.given_at.push_back(now);
        }
        may_give
    }
}

/// Reason why another host could not be followed.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The host did not reply in time.
    #[error("no reply within {0:?}")]
    Timeout(Duration),
    /// The connection could not be established.
    #[error("can't connect to the host: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection failed.
    #[error("connection to the host failed: {0}")]
    Broken(#[from] hyper::Error),
    /// The request was invalid, or the reply was too large or ended early.
    #[error("reply is incomplete: {0}")]
    Truncated(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The host replied with an error status.
    #[error("host replied with status {0}")]
    Refused(http::StatusCode),
    /// The request could not be encoded.
    #[error("request can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The reply could not be decoded.
    #[error("reply {0}")]
    Form(#[from] wire::Error),
    /// The host's copy of the store is too old.
    #[error("copy of the store is {0:?} old, expected at most {MAX_AGE:?}")]
    Stale(Duration),
}

/// Copies the store once from a host whose copy is newer or fresh according to its
/// messages, preferably from one of this zone. Failures are logged.
pub async fn follow_any(state: &Arc<State>) {
    let now = Instant::now();
    let zone = &state.options.host.zone;
    let progress = state.progress();
    let leader = lock(&state.peers).best_source(now, zone, &progress, MAX_AGE);
    if let Some(leader) = leader
        && let Err(lost) = follow(state, leader, Duration::ZERO).await
    {
        info!(%leader, %lost, "peers: can't follow a host");
    }
}

/// Asks a host for items that are newer than this host's copy, and applies them. The
/// host replies after `wait` at the latest.
pub async fn follow(state: &Arc<State>, leader: Ipv4Addr, wait: Duration) -> Result<(), Fault> {
    let as_of = boot::Instant::now();
    let after = lock(&state.mirror).position();
    let limit = wait + REPLY_MARGIN;
    let address = SocketAddr::from((leader, state.options.host.peer.port()));
    let request = wire::Request {
        after,
        wait_ms: millis(wait),
    };
    let result = timeout(limit, call(address, wire::PATH, &request)).await;
    let reply: wire::Reply = result.map_err(|_| Fault::Timeout(limit))??;
    // The host created its reply this long after the request was sent, at the earliest.
    let created = as_of + Duration::from_millis(reply.waited_ms);
    let age = Duration::from_millis(reply.age_ms);
    let as_of = created.before(age);
    if age < MIN_OUTAGE {
        let settling = Duration::from_millis(reply.settling_ms);
        lock(&state.outage).record_peer_copy(boot::Instant::now(), settling);
    }
    let stamp = state.source.stamp;
    let now = boot::Instant::now();
    reader::apply_update(state, as_of, |mirror| {
        let mut facts = reply.facts;
        let mut changes = match reply.content {
            Content::Changes(events) => mirror.apply(events, reply.position, as_of, stamp),
            Content::Full(items) if reply.position < mirror.position() => {
                facts.extend(mirror::table::facts_of(items, stamp));
                Vec::new()
            }
            Content::Full(items) => mirror.replace(items, reply.position, as_of, stamp),
        };
        changes.extend(mirror.recall(facts, now, stamp));
        changes
    });
    match age > MAX_AGE {
        true => Err(Fault::Stale(age)),
        false => Ok(()),
    }
}

/// Sends a request to another host on a new connection, and returns its reply.
pub async fn call<Q: Serialize, R: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    request: &Q,
) -> Result<R, Fault> {
    let body = rmp_serde::to_vec(request)?;
    let stream = TcpStream::connect(address).await?;
    set_tcp_options(&stream)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::post(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(body)))
        .map_err(|error| Fault::Truncated(error.into()))?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), MAX_REPLY_BYTES).collect();
        match status.is_success() {
            true => Ok(body.await.map_err(Fault::Truncated)?.to_bytes()),
            false => Err(Fault::Refused(status)),
        }
    };
    tokio::pin!(exchange);
    let bytes = tokio::select! {
        bytes = &mut exchange => bytes?,
        // The reply may have arrived before the connection ended; if not, the exchange
        // gets the error.
        _ended = connection => exchange.await?,
    };
    Ok(wire::decode(&bytes)?)
}
