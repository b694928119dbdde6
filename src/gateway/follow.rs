//! Following another host: asking it for what it holds of the store.

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
use crate::gateway::connection::harden;
use crate::gateway::outage::MIN_OUTAGE;
use crate::gateway::reader;
use crate::gateway::state::State;
use crate::lock::lock;
use crate::log::millis;
use crate::mirror::wire;
use crate::mirror::wire::Content;

/// How long an answer to a follower may take beyond the wait asked for.
const FOLLOW_PATIENCE: Duration = Duration::from_millis(400);

/// The longest answer to a follower, in bytes.
const REPLY_BYTES: usize = 16 << 20;

/// The age of what a host holds from which on it isn't followed.
pub const STALE: Duration = Duration::from_millis(2_200);

/// Why another host can't be followed.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// It gave no answer in time.
    #[error("no answer within {0:?}")]
    Silent(Duration),
    /// It can't be connected to.
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke.
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The answer broke off.
    #[error("answer broke off: {0}")]
    Cut(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// It refused.
    #[error("it refused with status {0}")]
    Refused(http::StatusCode),
    /// The question can't be encoded.
    #[error("question can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The answer can't be read.
    #[error("answer {0}")]
    Form(#[from] wire::Error),
    /// What it holds is too old.
    #[error("what it holds is {0:?} old")]
    Stale(Duration),
}

/// Asks a host that is ahead or up to date, as far as its messages say, preferably
/// of this zone.
pub async fn follow_any(state: &Arc<State>) {
    let now = Instant::now();
    let zone = &state.options.host.zone;
    let revision = lock(&state.mirror).revision();
    let leader = lock(&state.peers).ahead(now, zone, revision, STALE);
    if let Some(leader) = leader
        && let Err(lost) = follow(state, leader, Duration::ZERO).await
    {
        info!(%leader, %lost, "peers: can't follow");
    }
}

/// Asks a host for what it holds, and adopts it.
pub async fn follow(state: &Arc<State>, leader: Ipv4Addr, wait: Duration) -> Result<(), Fault> {
    let as_of = boot::Instant::now();
    let after = lock(&state.mirror).revision();
    let limit = wait + FOLLOW_PATIENCE;
    let address = SocketAddr::from((leader, state.options.host.peer.port()));
    let question = wire::Request {
        after,
        wait_ms: millis(wait),
    };
    let asked = timeout(limit, ask(address, wire::PATH, &question)).await;
    let reply: wire::Reply = asked.map_err(|_| Fault::Silent(limit))??;
    // The reply was made this long after the question left, at the earliest.
    let made = as_of + Duration::from_millis(reply.waited_ms);
    let age = Duration::from_millis(reply.age_ms);
    let as_of = made.before(age);
    if age < MIN_OUTAGE {
        let settling = Duration::from_millis(reply.settling_ms);
        lock(&state.outage).record_peer_copy(boot::Instant::now(), settling);
    }
    reader::adopt(state, as_of, |mirror| match reply.content {
        Content::Changes(events) => mirror.apply(events, reply.revision, as_of),
        Content::Full(items) => mirror.replace(items, reply.revision, as_of),
    });
    match age > STALE {
        true => Err(Fault::Stale(age)),
        false => Ok(()),
    }
}

/// Asks another host a question on a connection of its own.
pub async fn ask<Q: Serialize, R: DeserializeOwned>(
    address: SocketAddr,
    path: &str,
    question: &Q,
) -> Result<R, Fault> {
    let question = rmp_serde::to_vec(question)?;
    let stream = TcpStream::connect(address).await?;
    harden(&stream)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::post(path)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(question)))
        .map_err(|error| Fault::Cut(error.into()))?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), REPLY_BYTES).collect();
        match status.is_success() {
            true => Ok(body.await.map_err(Fault::Cut)?.to_bytes()),
            false => Err(Fault::Refused(status)),
        }
    };
    let bytes = tokio::select! {
        bytes = exchange => bytes?,
        ended = connection => {
            ended?;
            return Err(Fault::Refused(http::StatusCode::SERVICE_UNAVAILABLE));
        }
    };
    Ok(wire::decode(&bytes)?)
}
