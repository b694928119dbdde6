//! Sending a request until an upstream begins to answer it: places, retries, and
//! what a lost answer means.

use std::sync::Arc;
use std::time::Duration;

use http::header;
use http::response::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::gateway::accept;
use crate::gateway::accept::RETRY_AFTER_NO_UPSTREAM;
use crate::gateway::accept::RETRY_AFTER_OTHER_HOST;
use crate::gateway::accept::header_text;
use crate::gateway::connection::Connection;
use crate::gateway::connection::Fault;
use crate::gateway::health::Observation;
use crate::gateway::job::Job;
use crate::gateway::selection::Lease;
use crate::gateway::selection::Selection;
use crate::gateway::state::State;
use crate::ident;
use crate::lock::lock;
use crate::log::CALM;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// Connections that may fail before a request is given up; nothing was sent.
const UNSENT_TRIES: u32 = 4;

/// Rejections by full upstreams before a request is given up.
const REJECTED_TRIES: u32 = 4;

/// When to come back while all upstreams are full.
const COME_BACK_FULL: Duration = Duration::from_millis(400);

/// The part of the objective that a repeatable plain request waits for an answer
/// before another upstream is asked.
const PATIENCE_PLAIN: f64 = 0.8;

/// The part of the objective that a request waits for a place.
const PATIENCE_PLACE: f64 = 0.5;

/// Waiting requests look again this often, as what others tell wakes nobody.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// What happened to a request so far.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Upstreams that had it.
    pub tried: Vec<ident::Upstream>,
    /// Times it was sent.
    pub sends: u32,
    /// Times it may have run.
    pub runs: u32,
    unsent: u32,
    rejected: u32,
}

/// The head of an answer, and the way to its body.
pub struct Exchange {
    /// The head.
    pub parts: Parts,
    /// The body.
    pub body: Incoming,
    /// The connection that it comes by.
    pub connection: Connection,
    /// The place at the upstream.
    pub lease: Lease,
    /// When the request was sent.
    pub sent: Instant,
}

/// How a send failed.
enum Loss {
    /// No byte left, or could have been read.
    Unsent(Fault),
    /// The upstream says that it ran nothing.
    Rejected(http::StatusCode),
    /// It may have run.
    Unknown(Code),
    /// It took long, and a place elsewhere was taken for it.
    Moved(Lease),
}

/// Sends a request until an upstream begins to answer it.
///
/// `next` is a place that was taken for it already.
pub async fn send(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    mut next: Option<Lease>,
    last_event: Option<u64>,
) -> Result<Exchange, Refusal> {
    loop {
        let lease = match next.take() {
            Some(lease) => lease,
            None => place(state, job, history).await?,
        };
        recheck(state, job, history)?;
        let upstream = lease.record.upstream.id.clone();
        let now = Instant::now();
        let condition = lease.condition;
        info!(target: CALM, id = job.id, %upstream, prompt = format!("{:x}", job.prompt.key), shared_tokens = job.prompt.tokens, load = condition.load, candidates = condition.candidates,
            usage = %condition.status, cold = condition.is_cold, warm = condition.is_holder, holder = lease.holder.as_ref().map(|it| it.upstream.id.as_str()), last_event,
            waited_ms = millis(now.duration_since(job.arrived)), "request: sent");
        match exchange(state, job, history, lease, last_event).await {
            Ok(answer) => return Ok(answer),
            Err(Loss::Unsent(fault)) => {
                info!(id = job.id, %upstream, %fault, "request: not sent");
                if matches!(fault, Fault::Connect(_)) {
                    record_observation(state, &upstream, Observation::Unreachable);
                }
                history.tried.push(upstream);
                history.unsent += 1;
                if history.unsent >= UNSENT_TRIES {
                    return Err(given_up(
                        history,
                        Code::ConnectFailed,
                        RETRY_AFTER_NO_UPSTREAM,
                    ));
                }
            }
            Err(Loss::Rejected(status)) => {
                info!(id = job.id, %upstream, status = status.as_u16(), "request: rejected");
                history.tried.push(upstream);
                history.rejected += 1;
                let spent = history.rejected >= REJECTED_TRIES || !may_retry(state, job);
                if spent {
                    return Err(given_up(history, Code::Full, COME_BACK_FULL));
                }
            }
            Err(Loss::Unknown(code)) => handle_loss(state, job, history, &upstream, code)?,
            Err(Loss::Moved(lease)) => {
                record_move(state, job, history, &upstream, Code::FirstByteTimeout);
                next = Some(lease);
            }
        }
    }
}

/// Records that a request was taken away from an upstream that was slow.
pub fn record_move(
    state: &State,
    job: &Job,
    history: &mut History,
    upstream: &ident::Upstream,
    code: Code,
) {
    info!(id = job.id, %upstream, %code, sends = history.sends, "request: moved");
    state.meter.lost(code);
    record_observation(state, upstream, Observation::Lost);
    history.tried.push(upstream.clone());
}

/// Takes a place elsewhere for a request that waits for a slow upstream, if there
/// is one and the request may be sent again. Until then it stays where it is.
pub fn reserve(
    state: &Arc<State>,
    job: &Job,
    history: &History,
    upstream: &ident::Upstream,
) -> Option<Lease> {
    let repeatable = job.route.kind.is_repeatable() && history.runs < job.route.max_attempts;
    let is_late = Instant::now() >= job.deadline;
    if !repeatable || is_late || recheck(state, job, history).is_err() {
        return None;
    }
    let mut tried = history.tried.clone();
    tried.push(upstream.clone());
    let lease = match state.choose(job, &tried) {
        Selection::Selected(lease) if !tried.contains(&lease.record.upstream.id) => lease,
        Selection::Selected(_) | Selection::Wait(_) | Selection::NoUpstream => return None,
    };
    may_retry(state, job).then_some(lease)
}

/// Records that an upstream was lost with a request that may have run, and
/// decides whether the request may be sent again.
pub fn handle_loss(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    upstream: &ident::Upstream,
    code: Code,
) -> Result<(), Refusal> {
    let now = Instant::now();
    info!(id = job.id, %upstream, %code, sends = history.sends, "request: lost");
    state.meter.lost(code);
    record_observation(state, upstream, Observation::Lost);
    if matches!(code, Code::UpstreamLost | Code::AnswerCut) {
        lock(&state.crashes).record(now, job.fingerprint, upstream);
    }
    history.tried.push(upstream.clone());
    let is_late = now >= job.deadline;
    let repeatable = job.route.kind.is_repeatable() && history.runs < job.route.max_attempts;
    match repeatable && !is_late && may_retry(state, job) {
        true => Ok(()),
        false => Err(Refusal::unknown(code)),
    }
}

/// Records what became of a request at an upstream, and tells other hosts soon if
/// the upstream became suspect by it.
pub fn record_observation(state: &State, upstream: &ident::Upstream, sign: Observation) {
    let now = Instant::now();
    if lock(&state.health).record(now, upstream, sign) {
        let score = lock(&state.health).score(upstream);
        info!(%upstream, %sign, score, "upstream: suspect");
        state.gossip_urgent.notify_one();
    }
}

/// Takes a retry from this host's share, if there is one.
fn may_retry(state: &State, job: &Job) -> bool {
    let now = Instant::now();
    let hosts = lock(&state.peers).sharer_count(now);
    let limits = state.live_options().retries();
    let granted = lock(&state.retry_budget).spend(now, &job.service, &limits, hosts);
    if !granted {
        info!(id = job.id, service = %job.service, hosts, "request: no retry left in the budget");
    }
    granted
}

/// Returns the refusal of a request that is given up: it has not run, unless a
/// lost upstream may have run it.
fn given_up(history: &History, code: Code, come_back: Duration) -> Refusal {
    match history.runs {
        0 => Refusal::not_run(code).after(come_back),
        _ => Refusal::unknown(Code::UpstreamLost),
    }
}

/// Checks again what may have changed while the request waited.
fn recheck(state: &State, job: &Job, history: &History) -> Result<(), Refusal> {
    let view = state.view();
    let Some(table) = view.route_table() else {
        return Err(given_up(history, Code::NotReady, RETRY_AFTER_OTHER_HOST));
    };
    let path = job.uri.path();
    let checked = accept::authorize(state, table, &job.host, path, job.key.as_deref());
    match checked {
        Ok(_) => Ok(()),
        Err(_) if history.runs > 0 => Err(Refusal::unknown(Code::UpstreamLost)),
        Err(refusal) => Err(refusal),
    }
}

/// Waits for a place at an upstream.
async fn place(state: &Arc<State>, job: &Job, history: &History) -> Result<Lease, Refusal> {
    let give_up = Instant::now() + job.route.objective.mul_f64(PATIENCE_PLACE);
    let give_up = give_up.min(job.deadline);
    loop {
        let changed = state.capacity_changed.notified();
        let summary = match state.choose(job, &history.tried) {
            Selection::Selected(lease) => return Ok(lease),
            Selection::NoUpstream => {
                return Err(given_up(history, Code::NoUpstream, RETRY_AFTER_NO_UPSTREAM));
            }
            Selection::Wait(summary) => summary,
        };
        let now = Instant::now();
        if now >= give_up {
            info!(id = job.id, service = %job.service, usable = summary.usable, down = summary.down,
                suspect = summary.suspect, cold = summary.cold, load = summary.load, slots = summary.slots,
                "request: no place");
            return Err(given_up(history, Code::Full, COME_BACK_FULL));
        }
        let look = give_up.min(now + LOOK_AGAIN);
        // Either way the request looks again.
        let _woken = timeout_at(look, changed).await;
    }
}

/// Returns until when a try may take: a repeatable request goes elsewhere in
/// time, unless it has no try left.
fn try_limit(job: &Job, history: &History, sent: Instant) -> Instant {
    let has_other = job.route.kind.is_repeatable() && history.runs < job.route.max_attempts;
    match has_other {
        true if job.route.kind.is_stream() => job.deadline.min(sent + job.route.objective),
        true => {
            let patience = job.route.objective.mul_f64(PATIENCE_PLAIN);
            job.deadline.min(sent + patience)
        }
        false => job.deadline,
    }
}

/// Sends a request to one upstream and waits for the head of the answer.
async fn exchange(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    lease: Lease,
    last_event: Option<u64>,
) -> Result<Exchange, Loss> {
    let names = &state.names;
    let upstream = &lease.record.upstream;
    let is_fresh = !job.route.kind.is_repeatable() || history.sends > 0;
    let connection = state.pool.acquire(upstream.address, is_fresh).await;
    let mut connection = connection.map_err(Loss::Unsent)?;
    let sent = Instant::now();
    let last_event = last_event.or(job.last_event);
    let holder = lease.holder.as_ref().map(|it| it.upstream.address);
    let request = job.request(names, sent, &upstream.id, holder, last_event);
    history.sends += 1;
    history.runs += 1;
    let limit = try_limit(job, history, sent);
    let answer = {
        let mut sending = std::pin::pin!(connection.send(request));
        match timeout_at(limit, &mut sending).await {
            Ok(answer) => Ok(answer),
            Err(elapsed) if limit >= job.deadline => Err(elapsed),
            Err(_) => {
                if let Some(lease) = reserve(state, job, history, &upstream.id) {
                    return Err(Loss::Moved(lease));
                }
                timeout_at(job.deadline, sending).await
            }
        }
    };
    let response = match answer {
        Ok(Ok(response)) => response,
        Ok(Err(Fault::Broken(error))) => {
            info!(id = job.id, upstream = %upstream.id, %error, "request: connection broke");
            return Err(Loss::Unknown(Code::UpstreamLost));
        }
        Ok(Err(fault)) => {
            history.sends -= 1;
            history.runs -= 1;
            return Err(Loss::Unsent(fault));
        }
        Err(_) => return Err(Loss::Unknown(Code::FirstByteTimeout)),
    };
    let (parts, body) = response.into_parts();
    let echoed = header_text(&parts.headers, &names.attempt);
    let refused = parts.headers.contains_key(&names.not_executed)
        || parts.status == http::StatusCode::MISDIRECTED_REQUEST;
    if echoed.is_some_and(|echoed| echoed != job.id) {
        return Err(Loss::Unknown(Code::ForeignAnswer));
    }
    if refused {
        history.runs -= 1;
        return Err(Loss::Rejected(parts.status));
    }
    let is_own = echoed.is_some() && parts.headers.contains_key(&names.receipt);
    let is_encoded = parts.headers.contains_key(header::CONTENT_ENCODING);
    if parts.status.is_success() && (!is_own || is_encoded) {
        return Err(Loss::Unknown(Code::ForeignAnswer));
    }
    Ok(Exchange {
        parts,
        body,
        connection,
        lease,
        sent,
    })
}
