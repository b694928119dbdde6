//! Finds the version at which a stream that a caller resumes has to continue.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio::time::timeout;
use tracing::info;

use crate::boot;
use crate::gateway::accept::RETRY_AFTER_OTHER_HOST;
use crate::gateway::follow;
use crate::gateway::job::Job;
use crate::gateway::origin;
use crate::gateway::state::State;
use crate::gateway::table::Kind;
use crate::ident;
use crate::lock::lock;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// Path at which a host says which version began a stream.
pub const PATH: &str = "/streams";

/// Time limit for other hosts' answers. A caller waits for it if a host can't be reached
/// and no other one knows the stream.
const ASK_TIMEOUT: Duration = Duration::from_millis(250);

/// Multiple of a route's time limit after which no stream that began before can be
/// resumed any more: callers may try several times, and other hosts' copies of the store
/// may be some seconds old.
const LOOKBACK_FACTOR: u32 = 3;

/// How the version that began a stream was found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Evidence {
    /// This host began the stream or was told of it.
    Local,
    /// Another host answered.
    Peer,
    /// The service has only one version.
    OnlyVersion,
    /// The version was not found.
    Nothing,
}

/// Records the version of the upstream that sent the first event of a caller's attempt,
/// for hosts at which the caller may resume the stream.
pub fn record(state: &State, job: &Job, version: &ident::Version) {
    if job.route.kind != Kind::ResumableStream {
        return;
    }
    let now = Instant::now();
    {
        let mut origins = lock(&state.origins);
        for attempt in job.origin.iter().chain([&job.id]) {
            origins.record_local(now, origin::key(attempt), version);
        }
    }
    state.origin_recorded.notify_one();
}

/// Returns the version at which a request's stream has to continue; `None` unless the
/// caller already has events of it.
///
/// Refuses the request if the version can't be found: events of another one don't fit
/// into the caller's stream.
pub async fn version(state: &Arc<State>, job: &Job) -> Result<Option<ident::Version>, Refusal> {
    if job.last_event.is_none() {
        return Ok(None);
    }
    let (version, evidence) = find(state, job).await;
    state.meter.resumed(evidence);
    info!(id = job.id, origin = job.origin, version = version.as_ref().map(|it| it.as_str()),
        %evidence, last_event = job.last_event, after_ms = millis(job.arrived.elapsed()),
        "request: resumes a stream");
    match version {
        Some(version) => Ok(Some(version)),
        None => Err(Refusal::not_run(Code::OriginUnknown).with_retry_after(RETRY_AFTER_OTHER_HOST)),
    }
}

async fn find(state: &Arc<State>, job: &Job) -> (Option<ident::Version>, Evidence) {
    let view = state.view();
    let Some(origin) = &job.origin else {
        // Nothing tells when the stream began, so only the current versions count.
        return match view.only_version(boot::Instant::now(), &job.service, Duration::ZERO) {
            Some(version) => (Some(version.clone()), Evidence::OnlyVersion),
            None => (None, Evidence::Nothing),
        };
    };
    let key = origin::key(origin);
    let known = lock(&state.origins).version(Instant::now(), key).cloned();
    if known.is_some() {
        return (known, Evidence::Local);
    }
    if let Some(version) = ask_peers(state, key).await {
        lock(&state.origins).record(Instant::now(), key, &version);
        return (Some(version), Evidence::Peer);
    }
    let lookback = job.route.timeout * LOOKBACK_FACTOR;
    match view.only_version(boot::Instant::now(), &job.service, lookback) {
        Some(version) => (Some(version.clone()), Evidence::OnlyVersion),
        None => (None, Evidence::Nothing),
    }
}

/// Asks the hosts that may have been told of a stream which version began it.
async fn ask_peers(state: &State, key: u64) -> Option<ident::Version> {
    let hosts = {
        let peers = lock(&state.peers);
        origin::witness_candidates(key, peers.addressable(Instant::now()))
    };
    let port = state.options.host.peer.port();
    let replies = hosts.into_iter().map(|host| async move {
        let address = SocketAddr::from((host, port));
        let reply: Result<Option<ident::Version>, _> = follow::call(address, PATH, &key).await;
        if let Err(lost) = &reply {
            info!(%host, %lost, "peers: can't ask a host for the version of a stream");
        }
        reply.ok().flatten()
    });
    let mut replies: FuturesUnordered<_> = replies.collect();
    let first = async {
        loop {
            match replies.next().await {
                Some(None) => {}
                Some(Some(version)) => return Some(version),
                None => return None,
            }
        }
    };
    timeout(ASK_TIMEOUT, first).await.ok().flatten()
}
