//! Hands requests on to another host of the fleet.
//!
//! A host that can connect to no upstream of a service, or has no share of their slots, forwards
//! its callers' requests to a host that can serve them. That host treats them like those of its own
//! callers: it checks route and key, chooses the upstream and keeps to all limits. It never hands
//! them on again, so there are no loops. A connection between the two that breaks leaves the outcome
//! unknown, as one to an upstream does.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::boot;
use crate::entry::problem::Problem;
use crate::framing;
use crate::framing::Framing;
use crate::gateway::accept::header_text;
use crate::gateway::attempt;
use crate::gateway::attempt::Attempt;
use crate::gateway::attempt::Exchange;
use crate::gateway::attempt::History;
use crate::gateway::connection::Fault;
use crate::gateway::job::Job;
use crate::gateway::liveness;
use crate::gateway::rejections;
use crate::gateway::state::State;
use crate::gateway::upstream::Record;
use crate::gateway::upstream::Upstream;
use crate::ident;
use crate::lock::lock;
use crate::log::ROUTINE;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Outcome;
use crate::outcome::Refusal;

/// Header of a request that a host hands on: the number of times that it may have run already.
pub const HEADER: HeaderName = HeaderName::from_static("masticmoor-handoff");

/// Header with a version: of a request, the one that began its stream; of a response, that of the
/// upstream that sent it.
pub const VERSION: HeaderName = HeaderName::from_static("masticmoor-version");

/// Header of the response to such a request: the upstream that sent it.
const UPSTREAM: HeaderName = HeaderName::from_static("masticmoor-upstream");

/// Maximum number of hosts to which a request is handed.
const MAX_HOSTS: usize = 3;

/// Number of upstreams whose slots are looked up for hosts that share them.
const MAX_SHARED: usize = 4;

/// Maximum size of a refusal.
const MAX_REFUSAL_BYTES: usize = 4 << 10;

/// What the host that hands a request on states about it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Handoff {
    /// Number of times that the request may have run already.
    pub runs: u32,
    /// Version of the upstream that began the stream, if the caller has events of it.
    pub version: Option<ident::Version>,
}

impl Handoff {
    /// Returns what the headers of another host's request state; `None` if it isn't handed on.
    pub fn of(headers: &HeaderMap) -> Option<Self> {
        let runs = header_text(headers, &HEADER)?.parse().ok()?;
        let version = header_text(headers, &VERSION).map(ident::Version::from);
        Some(Self { runs, version })
    }
}

/// Why a request that was handed on got no usable response.
enum Loss {
    /// The other host can't have read any of the request.
    Unsent(Fault),
    /// The other host refused it.
    Refused(Refusal),
    /// The request may have run.
    Unknown(Code),
}

/// Returns a host that is to send a request in place of this one; `None` if this host reaches the
/// service's upstreams, or no other one is known to.
pub fn host(state: &State, job: &Job, history: &History) -> Option<Ipv4Addr> {
    let is_own = job.handoff.is_none() && history.tried_hosts.len() < MAX_HOSTS;
    if !is_own || !lock(&state.reach).is_lost(&job.service) {
        return None;
    }
    let draw = state.random_fraction();
    let zone = &state.options.host.zone;
    let peers = lock(&state.peers);
    peers.substitute(
        Instant::now(),
        zone,
        &job.service,
        &history.tried_hosts,
        draw,
    )
}

/// Returns a host that has a share of the slots of one of a service's brittle upstreams, to send a
/// request in place of this one, which has none; `None` if no such host is known.
pub fn sharer(state: &State, job: &Job, history: &History) -> Option<Ipv4Addr> {
    if job.handoff.is_some() || history.tried_hosts.len() >= MAX_HOSTS {
        return None;
    }
    let now = Instant::now();
    let view = state.view();
    let usable: Vec<_> = view
        .usable(boot::Instant::now())
        .filter(|record| record.upstream.service == job.service)
        .collect();
    let draw = (state.random_fraction() * usable.len() as f64) as usize;
    let few = usable
        .iter()
        .cycle()
        .skip(draw)
        .take(usable.len().min(MAX_SHARED));
    let peers = lock(&state.peers);
    let hosts = few.flat_map(|record| {
        let chosen = rejections::chosen_hosts(record.upstream.slots);
        peers.first_hosts(now, &record.upstream, chosen)
    });
    let hosts = hosts.filter(|host| {
        !history.tried_hosts.contains(host) && peers.can_serve(now, host, &job.service)
    });
    let hosts: Vec<_> = hosts.collect();
    let index = (state.random_fraction() * hosts.len() as f64) as usize;
    hosts.get(index).copied()
}

/// Names the upstream that sent a response, for the host that handed the request on.
pub fn mark(parts: &mut Parts, upstream: &Upstream) {
    let mut set = |name: HeaderName, text: &str| {
        if let Ok(value) = HeaderValue::try_from(text) {
            parts.headers.insert(name, value);
        }
    };
    set(UPSTREAM, upstream.id.as_str());
    set(VERSION, upstream.version.as_str());
}

/// Hands a request to a host, and waits for the head of the response.
///
/// Fails with the refusal for the caller if the request must not be sent again.
pub async fn send(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    host: Ipv4Addr,
    last_event: Option<u64>,
) -> Result<Attempt, Refusal> {
    info!(target: ROUTINE, id = job.id, %host, service = %job.service, last_event,
        waited_ms = millis(job.arrived.elapsed()), "request: handed to another host");
    history.host = Some(host);
    match exchange(state, job, history, host, last_event).await {
        Ok(exchange) => {
            state.meter.handed_on("answered");
            Ok(Attempt::Begun(Box::new(exchange)))
        }
        Err(Loss::Unsent(fault)) => {
            info!(id = job.id, %host, %fault, "request: not handed to a host");
            state.meter.handed_on("unsent");
            history.tried_hosts.push(host);
            Ok(Attempt::Failed(None))
        }
        Err(Loss::Refused(refusal)) => {
            info!(id = job.id, %host, code = %refusal.code, outcome = %refusal.outcome,
                "request: refused by the host that it was handed to");
            state.meter.handed_on("refused");
            history.tried_hosts.push(host);
            match refusal.outcome {
                Outcome::NotRun if concerns_host(state, job, refusal.code) => {
                    Ok(Attempt::Failed(None))
                }
                Outcome::NotRun if history.runs > 0 => Err(Refusal::unknown(Code::UpstreamLost)),
                Outcome::NotRun | Outcome::Unknown | Outcome::Answered => Err(refusal),
            }
        }
        Err(Loss::Unknown(code)) => {
            info!(id = job.id, %host, %code, "request: lost at the host that it was handed to");
            state.meter.handed_on("lost");
            state.meter.lost(code);
            history.tried_hosts.push(host);
            attempt::check_repeat(state, job, history, code)?;
            Ok(Attempt::Failed(None))
        }
    }
}

/// Returns whether a host refuses requests with a code because of its own state, so that another
/// one may serve them: also if its share of the upstreams' slots is used, where that was the reason
/// to hand the request on.
fn concerns_host(state: &State, job: &Job, code: Code) -> bool {
    match code {
        Code::ConnectFailed
        | Code::NotReady
        | Code::KeysStale
        | Code::ShuttingDown
        | Code::NoRoom => true,
        Code::Full => !lock(&state.reach).is_lost(&job.service),
        _ => false,
    }
}

async fn exchange(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    host: Ipv4Addr,
    last_event: Option<u64>,
) -> Result<Exchange, Loss> {
    let address = SocketAddr::from((host, state.options.host.peer.port()));
    let is_fresh = !job.route.kind.is_repeatable() || history.sends > 0;
    let connection = state.pool.acquire(address, is_fresh).await;
    let mut connection = connection.map_err(Loss::Unsent)?;
    let sent = Instant::now();
    let sent_at = boot::Instant::now();
    // The connection took up the rest of the time, or the host was suspended meanwhile.
    if sent >= job.deadline {
        return Err(Loss::Unsent(Fault::Unsent));
    }
    let handoff = Handoff {
        runs: history.runs,
        version: history.version.clone(),
    };
    let request = job.handoff_request(&state.names, sent, &handoff, last_event);
    history.begin(sent);
    let response = match timeout_at(job.deadline, connection.send(request)).await {
        Ok(Ok(response)) => response,
        Ok(Err(Fault::Broken(error))) => {
            info!(id = job.id, %host, %error, "request: connection to a host broke");
            return Err(Loss::Unknown(Code::HostLost));
        }
        Ok(Err(fault)) => {
            history.undo();
            return Err(Loss::Unsent(fault));
        }
        Err(_) => return Err(Loss::Unknown(Code::FirstByteTimeout)),
    };
    let (mut parts, body) = response.into_parts();
    if !framing::is_final(parts.status.as_u16()) {
        info!(id = job.id, %host, status = parts.status.as_u16(),
            "request: response without a valid status");
        return Err(Loss::Unknown(Code::HostLost));
    }
    let echoed = header_text(&parts.headers, &state.names.attempt);
    if echoed.unwrap_or_default() != job.id {
        return Err(Loss::Unknown(Code::ForeignAnswer));
    }
    let Some(record) = take_mark(&mut parts, job, address) else {
        let refusal = read_refusal(job, body).await;
        let refusal = refusal.ok_or(Loss::Unknown(Code::HostLost))?;
        if refusal.outcome == Outcome::NotRun {
            history.runs -= 1;
        }
        state.release_connection(connection, 0);
        return Err(Loss::Refused(refusal));
    };
    if let Some(listed) = state.view().upstream(&record.upstream.id) {
        attempt::record_statement(state, job, &listed.upstream, sent, &parts);
    }
    let framing = Framing::of(&parts.headers, &body);
    history.framing = Some(framing);
    Ok(Exchange {
        parts,
        body,
        framing,
        connection,
        record,
        lease: None,
        sent,
        watch: liveness::Watch::start(state, address, framing, sent_at),
    })
}

/// Removes what a host states about the upstream from the headers of a response, and returns the
/// upstream; `None` if the response is the host's own.
fn take_mark(parts: &mut Parts, job: &Job, address: SocketAddr) -> Option<Arc<Record>> {
    let mut take = |name: HeaderName| {
        let value = parts.headers.remove(name)?;
        Some(value.to_str().ok()?.to_owned())
    };
    let (id, version) = (take(UPSTREAM), take(VERSION));
    let upstream = Upstream {
        id: id?.as_str().into(),
        service: job.service.clone(),
        version: version?.as_str().into(),
        address,
        zone: "".into(),
        slots: 0,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: None,
    };
    Some(Arc::new(Record {
        upstream,
        cold_until: boot::Instant::now(),
        expires_at: None,
    }))
}

/// Reads the refusal of another host; `None` if the response isn't one.
async fn read_refusal(job: &Job, body: Incoming) -> Option<Refusal> {
    let body = Limited::new(body, MAX_REFUSAL_BYTES).collect();
    let body = timeout_at(job.deadline, body).await.ok()?.ok()?;
    let problem: Problem = serde_json::from_slice(&body.to_bytes()).ok()?;
    Some(problem.refusal())
}
