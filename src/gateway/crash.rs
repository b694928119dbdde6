//! Attributes crashes of upstreams to prompt segments.
//!
//! A lost request accuses its segments only if the upstream's process has ended: a host
//! finds that its port refuses connections. Connections that are reset or cut accuse
//! none.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tracing::info;

use crate::gateway::attempt::History;
use crate::gateway::attempt::record_observation;
use crate::gateway::connection::Fault;
use crate::gateway::health::Observation;
use crate::gateway::job::Job;
use crate::gateway::job::segment_list;
use crate::gateway::origin;
use crate::gateway::reach;
use crate::gateway::state::State;
use crate::ident;
use crate::lock::lock;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::policy::quarantine::Verdict;

/// Events after which a response counts as begun. Before that, a request whose engine
/// crashes may have caused the crash.
const BEGUN_EVENTS: u64 = 3;

/// Time limit for the connection that tells whether an upstream's process has ended.
const PROBE_TIMEOUT: Duration = Duration::from_millis(100);

/// Interval at which the results of probes of other upstreams are awaited.
const PROBE_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Checks whether a request may be sent, as its prompt's segments are known here. Fails with
/// a refusal if one of them has crashed several upstreams.
pub fn check(state: &State, job: &Job, history: &History) -> Result<Verdict, Refusal> {
    let now = Instant::now();
    if !lock(&state.quarantine).contains(&job.segments) {
        return Ok(Verdict::Allowed);
    }
    let hosts: Vec<_> = {
        let peers = lock(&state.peers);
        peers.live(now).map(|(address, _)| *address).collect()
    };
    let rank = |segment: u64| {
        let own = origin::score(segment, state.address);
        let ahead = hosts.iter().map(|host| origin::score(segment, *host));
        ahead.filter(|score| *score > own).count()
    };
    let verdict = lock(&state.quarantine).check(now, &job.segments, job.workspace_hash(), rank);
    match verdict {
        Verdict::Allowed | Verdict::Trial => Ok(verdict),
        Verdict::Refused { segment, left } => {
            info!(
                id = job.id,
                segment = format!("{segment:x}"),
                left_ms = millis(left),
                runs = history.runs,
                "request: prompt segment crashed several upstreams"
            );
            Err(refusal(history, left))
        }
    }
}

/// Returns the refusal of a request that would crash another upstream.
fn refusal(history: &History, left: Duration) -> Refusal {
    match history.runs {
        0 => Refusal::not_run(Code::CrashedRepeatedly).with_retry_after(left),
        _ => Refusal::unknown(Code::UpstreamCrashed),
    }
}

/// Checks a request as [`check`] does, and its own crashes, immediately before it is sent. Others
/// may have sent the same request while it waited.
pub fn check_before_send(state: &State, job: &Job, history: &History) -> Result<(), Refusal> {
    let refused = lock(&state.crashes).refused(Instant::now(), job.fingerprint);
    if let Some(left) = refused {
        info!(
            id = job.id,
            fingerprint = job.fingerprint,
            left_ms = millis(left),
            runs = history.runs,
            "request: crashed several upstreams"
        );
        return Err(refusal(history, left));
    }
    if check(state, job, history)? == Verdict::Trial {
        info!(id = job.id, "request: sent to try a refused prompt segment");
        lock(&state.quarantine).begin_trial(Instant::now(), &job.segments);
    }
    Ok(())
}

/// Records that a response to the request began or was complete, which clears its
/// prompt's segments.
pub fn record_answer(state: &State, job: &Job) {
    let has_cleared = lock(&state.quarantine).record_answer(Instant::now(), &job.segments);
    if has_cleared {
        info!(
            id = job.id,
            segments = segment_list(&job.segments),
            "request: prompt segments cleared"
        );
        state.gossip_urgent.notify_one();
    }
}

/// Records that events of a response were forwarded, `before` of them earlier ones.
pub fn record_events(state: &State, job: &Job, before: u64, events: u64) {
    if before < BEGUN_EVENTS && events >= BEGUN_EVENTS {
        record_answer(state, job);
    }
}

/// Accuses the segments of a lost request's prompt if its upstream has crashed before
/// the response began. Returns whether the request must not be sent again, as it would
/// probably crash another upstream.
pub async fn record_loss(
    state: &State,
    job: &Job,
    history: &History,
    upstream: &ident::Upstream,
) -> bool {
    let has_begun = history.events >= BEGUN_EVENTS || job.last_event.is_some();
    let Some(sent_at) = history
        .sent_at
        .filter(|_| !has_begun && !job.segments.is_empty())
    else {
        return false;
    };
    let address = state
        .view()
        .upstream(upstream)
        .map(|it| it.upstream.address);
    let has_crashed = match address {
        Some(address) => refuses_connections(address).await,
        None => false,
    };
    if !has_crashed {
        return false;
    }
    record_observation(state, upstream, Observation::Unreachable);
    if is_partitioned(state, job, upstream).await {
        info!(id = job.id, %upstream, "request: upstream may be sound, others can't be reached either");
        return false;
    }
    let now = Instant::now();
    let workspace = job.workspace_hash();
    let (accused, is_suspect) = {
        let mut quarantine = lock(&state.quarantine);
        let accused = quarantine.record_crash(now, &job.segments, workspace, upstream, sent_at);
        (
            accused,
            quarantine.is_suspect(now, &job.segments, workspace),
        )
    };
    info!(id = job.id, %upstream, accused = segment_list(&accused), is_suspect,
        run_ms = millis(now.duration_since(sent_at)), "request: upstream crashed");
    state.gossip_urgent.notify_one();
    is_suspect
}

/// Records that an upstream refuses connections, and returns whether this host can't connect to the
/// others of its service either. A partition may refuse connections as a crash does.
async fn is_partitioned(state: &State, job: &Job, upstream: &ident::Upstream) -> bool {
    let view = state.view();
    let Some(record) = view.upstream(upstream) else {
        return false;
    };
    let refused = Fault::Connect(io::ErrorKind::ConnectionRefused.into());
    reach::record(state, &record.upstream, Err(&refused));
    let until = Instant::now() + PROBE_TIMEOUT;
    // Others are being probed.
    while lock(&state.reach).is_in_doubt(upstream) && Instant::now() < until {
        tokio::time::sleep(PROBE_POLL_INTERVAL).await;
    }
    let has_others = view.listed(&job.service).nth(1).is_some();
    has_others && lock(&state.reach).is_lost(&job.service)
}

/// Returns whether nothing listens at an address. `false` if the address doesn't respond:
/// the network may have failed.
async fn refuses_connections(address: SocketAddr) -> bool {
    match timeout(PROBE_TIMEOUT, TcpStream::connect(address)).await {
        Ok(Err(error)) => error.kind() == io::ErrorKind::ConnectionRefused,
        Ok(Ok(_)) | Err(_) => false,
    }
}
