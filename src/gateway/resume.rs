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
use crate::gateway::reader;
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
    let told = job.handoff.as_ref().and_then(|it| it.version.clone());
    if told.is_some() {
        return Ok(told);
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
    let Some(origin) = &job.origin else {
        return only_version(state, job).await;
    };
    let key = origin::key(origin);
    let known = lock(&state.origins).version(Instant::now(), key).cloned();
    if known.is_some() {
        return (known, Evidence::Local);
    }
    match ask_peers(state, key).await {
        Reply::Version(version) => {
            lock(&state.origins).record(Instant::now(), key, &version);
            (Some(version), Evidence::Peer)
        }
        Reply::Unreachable | Reply::Unknown => only_version(state, job).await,
    }
}

/// Returns the version of the service, if no stream of another one can be left.
///
/// The stream began before the caller came back, at an upstream that was listed by then. So a copy
/// of the store as of now shows its version too, which one of a moment ago may lack: that version
/// may have joined since, and this host been cut off or suspended.
async fn only_version(state: &Arc<State>, job: &Job) -> (Option<ident::Version>, Evidence) {
    let lookback = job.route.timeout * LOOKBACK_FACTOR;
    let now = boot::Instant::now();
    let find = || {
        let view = state.view();
        let version = view.only_version(now, &job.service, lookback);
        version.cloned()
    };
    let nothing = (None, Evidence::Nothing);
    if find().is_none() || !reader::confirm(state, now).await {
        return nothing;
    }
    find().map_or(nothing, |version| (Some(version), Evidence::OnlyVersion))
}

/// What other hosts know of a stream.
#[derive(Debug)]
enum Reply {
    /// The version that began it.
    Version(ident::Version),
    /// All hosts that might know were asked, and none does.
    Unknown,
    /// A host that might know can't be reached.
    Unreachable,
}

/// Asks the hosts that may have been told of a stream which version began it.
async fn ask_peers(state: &State, key: u64) -> Reply {
    let hosts = {
        let peers = lock(&state.peers);
        origin::witness_candidates(key, peers.addressable(Instant::now()))
    };
    let port = state.options.host.peer.port();
    let replies = hosts.into_iter().map(|host| async move {
        let address = SocketAddr::from((host, port));
        let reply: Result<Option<ident::Version>, _> = follow::call(address, PATH, &key).await;
        match reply {
            Ok(Some(version)) => Reply::Version(version),
            Ok(None) => Reply::Unknown,
            Err(lost) => {
                info!(%host, %lost, "peers: can't ask a host for the version of a stream");
                Reply::Unreachable
            }
        }
    });
    let mut replies: FuturesUnordered<_> = replies.collect();
    let all = async {
        let mut result = Reply::Unknown;
        while let Some(reply) = replies.next().await {
            match reply {
                Reply::Version(_) => return reply,
                Reply::Unreachable => result = reply,
                Reply::Unknown => {}
            }
        }
        result
    };
    timeout(ASK_TIMEOUT, all)
        .await
        .unwrap_or(Reply::Unreachable)
}
