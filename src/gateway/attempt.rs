//! Sends a request to upstreams until one of them begins to respond.
//!
//! Waits for an upstream with spare capacity, retries within the retry budget, and
//! decides what a lost attempt means for the caller.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use http::header;
use http::response::Parts;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;
use tracing::warn;

use crate::boot;
use crate::framing;
use crate::framing::Framing;
use crate::gateway::accept;
use crate::gateway::accept::RETRY_AFTER_NO_UPSTREAM;
use crate::gateway::accept::RETRY_AFTER_OTHER_HOST;
use crate::gateway::accept::header_text;
use crate::gateway::admit;
use crate::gateway::admit::wait::Reason;
use crate::gateway::admit::wait::Ticket;
use crate::gateway::capacity;
use crate::gateway::capacity::Sample;
use crate::gateway::connection::Connection;
use crate::gateway::connection::Fault;
use crate::gateway::crash;
use crate::gateway::handoff;
use crate::gateway::headers::Notice;
use crate::gateway::health::Observation;
use crate::gateway::job::Job;
use crate::gateway::job::segment_list;
use crate::gateway::liveness;
use crate::gateway::reach;
use crate::gateway::rejections;
use crate::gateway::selection::Lease;
use crate::gateway::selection::Selection;
use crate::gateway::selection::Summary;
use crate::gateway::state::State;
use crate::gateway::upstream::Record;
use crate::gateway::upstream::Upstream;
use crate::ident;
use crate::lock::lock;
use crate::log::ROUTINE;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// Attempts that may fail before anything is sent. Then the request is refused.
const MAX_UNSENT: u32 = 4;

/// Attempts that upstreams may reject without running the request. Then the request
/// is refused.
const MAX_REJECTED: u32 = 4;

/// Retry-After while all upstreams are at capacity.
const RETRY_AFTER_FULL: Duration = Duration::from_millis(400);

/// Fraction of the route's objective after which a repeatable plain request without
/// a response is moved to another upstream.
const MOVE_AFTER_FRACTION: f64 = 0.8;

/// Fraction of the route's objective that a request waits for an upstream with spare
/// capacity.
const QUEUE_FRACTION: f64 = 0.5;

/// Interval at which a waiting request looks for an upstream again. Needed
/// because reports from other hosts don't wake waiting requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The attempts of a request so far.
#[derive(Clone, Debug, Default)]
pub struct History {
    /// Upstreams that were tried without success.
    pub tried: Vec<ident::Upstream>,
    /// Number of times it was sent.
    pub sends: u32,
    /// Number of times it may have run.
    pub runs: u32,
    /// Number of times it may have run before another host handed it to this one.
    earlier_runs: u32,
    /// Number of attempts that failed before the request was sent.
    unsent: u32,
    /// Number of attempts that an upstream rejected without running the request.
    rejected: u32,
    /// Framing of the last response that began.
    pub framing: Option<Framing>,
    /// When it was last sent.
    pub sent_at: Option<Instant>,
    /// Number of events forwarded to the caller.
    pub events: u64,
    /// Version of the upstream that sent the events which the caller has. No other
    /// version may continue the stream.
    pub version: Option<ident::Version>,
    /// Host to which it was handed last; `None` if it was last sent to an upstream.
    pub host: Option<Ipv4Addr>,
    /// Hosts to which it was handed without success.
    pub tried_hosts: Vec<Ipv4Addr>,
}

impl History {
    /// Returns the history of a request that wasn't sent yet, whose stream continues at
    /// `version` if the caller has events of it.
    pub fn new(job: &Job, version: Option<ident::Version>) -> Self {
        Self {
            version,
            earlier_runs: job.handoff.as_ref().map_or(0, |it| it.runs),
            ..Self::default()
        }
    }

    /// Returns whether the request may run at one more upstream.
    pub fn may_run_again(&self, job: &Job) -> bool {
        let runs = self.runs + self.earlier_runs;
        job.route.kind.is_repeatable() && runs < job.route.max_attempts
    }

    /// Returns whether the request has not been sent, nor tried to be.
    fn is_new(&self) -> bool {
        self.sends == 0 && self.unsent == 0 && self.tried_hosts.is_empty()
    }

    /// Counts that the request is sent now.
    pub fn begin(&mut self, now: Instant) {
        self.sends += 1;
        self.runs += 1;
        self.framing = None;
        self.sent_at = Some(now);
    }

    /// Takes back that the request was sent.
    pub fn undo(&mut self) {
        self.sends -= 1;
        self.runs -= 1;
    }
}

/// Where a request is sent next.
pub enum Target {
    /// An upstream, at which the request is counted.
    Upstream(Box<Lease>),
    /// Another host, since this one can't serve the request.
    Host(Ipv4Addr),
}

/// Result of one attempt.
pub enum Attempt {
    /// A response has begun.
    Begun(Box<Exchange>),
    /// There is no usable response, and the request may be sent again: to this target, if one was
    /// reserved.
    Failed(Option<Target>),
}

/// A request sent to an upstream whose response has begun.
pub struct Exchange {
    /// Head of the response.
    pub parts: Parts,
    /// Body of the response, yet to be read.
    pub body: Incoming,
    /// What marks the end of the body.
    pub framing: Framing,
    /// Connection on which the body arrives.
    pub connection: Connection,
    /// The upstream.
    pub record: Arc<Record>,
    /// Counts the request at the upstream; `None` if another host sent it and counts it.
    pub lease: Option<Lease>,
    /// When the request was sent.
    pub sent: Instant,
    /// Tells at the end of the body whether the upstream's process is alive.
    pub watch: liveness::Watch,
}

/// Why an attempt gave no usable response.
enum Loss {
    /// The upstream can't have read any of the request.
    Unsent(Fault),
    /// The upstream states that it did not run the request.
    Rejected(http::StatusCode),
    /// The upstream may have run the request.
    Unknown(Code),
    /// The upstream was slow, and another target was reserved for the request.
    Moved(Target),
}

/// Sends a request to upstreams until one of them begins to respond.
///
/// The first attempt uses the target `next`, if one was reserved already. A stream is
/// resumed after `last_event`. Returns the refusal for the caller once the request
/// must not be sent again.
pub async fn send(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    mut next: Option<Target>,
    last_event: Option<u64>,
) -> Result<Exchange, Refusal> {
    let last_event = last_event.or(job.last_event);
    loop {
        let target = match next.take() {
            Some(target) => target,
            None => wait_for_target(state, job, history).await?,
        };
        // The host may have been suspended while the request waited.
        if Instant::now() >= job.deadline {
            return Err(abandon(history, Code::QueueTimeout, RETRY_AFTER_OTHER_HOST));
        }
        reauthorize(state, job, history)?;
        crash::check_before_send(state, job, history)?;
        let attempt = match target {
            Target::Upstream(lease) => {
                send_to_upstream(state, job, history, *lease, last_event).await?
            }
            Target::Host(host) => handoff::send(state, job, history, host, last_event).await?,
        };
        match attempt {
            Attempt::Begun(exchange) => return Ok(*exchange),
            Attempt::Failed(target) => next = target,
        }
    }
}

/// Sends a request to an upstream. Fails with the refusal for the caller if the request must not
/// be sent again.
async fn send_to_upstream(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    lease: Lease,
    last_event: Option<u64>,
) -> Result<Attempt, Refusal> {
    history.host = None;
    let upstream = lease.record.upstream.id.clone();
    let now = Instant::now();
    let condition = lease.condition;
    info!(target: ROUTINE, id = job.id, %upstream, version = %lease.record.upstream.version, prompt = format!("{:x}", job.prompt.key), shared_tokens = job.prompt.tokens, load = condition.load, unseen = tenths(condition.unseen), concurrency = tenths(condition.concurrency), slowdown = tenths(condition.slowdown), candidates = condition.candidates,
        usage = %condition.status, cold = condition.is_cold, warm = condition.is_holder, holder = lease.holder.as_ref().map(|it| it.upstream.id.as_str()), last_event, origin = job.origin,
        waited_ms = millis(now.duration_since(job.arrived)), "request: sent");
    match exchange(state, job, history, lease, last_event).await {
        Ok(exchange) => return Ok(Attempt::Begun(Box::new(exchange))),
        Err(Loss::Unsent(fault)) => {
            info!(id = job.id, %upstream, %fault, "request: not sent");
            if matches!(fault, Fault::Connect(_)) {
                record_observation(state, &upstream, Observation::Unreachable);
            }
            history.tried.push(upstream);
            history.unsent += 1;
            if history.unsent >= MAX_UNSENT {
                return Err(abandon(
                    history,
                    Code::ConnectFailed,
                    RETRY_AFTER_NO_UPSTREAM,
                ));
            }
        }
        Err(Loss::Rejected(status)) => {
            info!(id = job.id, %upstream, status = status.as_u16(), "request: rejected");
            if status == http::StatusCode::MISDIRECTED_REQUEST {
                // Running nothing, it would stay the least loaded candidate.
                record_observation(state, &upstream, Observation::Lost);
            }
            history.tried.push(upstream);
            history.rejected += 1;
            let is_final = history.rejected >= MAX_REJECTED || !may_retry(state, job);
            if is_final {
                return Err(abandon(history, Code::Full, RETRY_AFTER_FULL));
            }
        }
        Err(Loss::Unknown(code)) => {
            handle_loss(state, job, history, &upstream, code).await?;
        }
        Err(Loss::Moved(target)) => {
            record_move(state, job, history, &upstream, Code::FirstByteTimeout);
            return Ok(Attempt::Failed(Some(target)));
        }
    }
    Ok(Attempt::Failed(None))
}

/// Rounds a figure for the log.
fn tenths(figure: f64) -> f64 {
    (figure * 10.0).round() / 10.0
}

/// Records that a request was moved from a slow upstream to another one.
pub fn record_move(
    state: &State,
    job: &Job,
    history: &mut History,
    upstream: &ident::Upstream,
    code: Code,
) {
    info!(id = job.id, %upstream, %code, sends = history.sends, "request: moved to another upstream");
    state.meter.lost(code);
    record_observation(state, upstream, Observation::Lost);
    history.tried.push(upstream.clone());
}

/// Reserves another target for a request that waits for a slow upstream.
///
/// Returns `None`, and the request stays where it is, if the request must not be
/// sent again, no untried upstream is free or the retry budget is exhausted. A request that was
/// handed to another host is moved by that one.
pub fn reserve(
    state: &Arc<State>,
    job: &Job,
    history: &History,
    upstream: &ident::Upstream,
) -> Option<Target> {
    let may_repeat = history.may_run_again(job) && history.host.is_none();
    let is_late = Instant::now() >= job.deadline;
    if !may_repeat || is_late || reauthorize(state, job, history).is_err() {
        return None;
    }
    if let Some(host) = handoff::host(state, job, history) {
        return may_retry(state, job).then_some(Target::Host(host));
    }
    let mut tried = history.tried.clone();
    tried.push(upstream.clone());
    let lease = match state.choose(job, &tried, history.version.as_ref()) {
        Selection::Selected(lease) if !tried.contains(&lease.record.upstream.id) => lease,
        Selection::Selected(_)
        | Selection::Wait(_)
        | Selection::Later(_)
        | Selection::NoUpstream => return None,
    };
    may_retry(state, job).then(|| Target::Upstream(Box::new(lease)))
}

/// Records the loss of an attempt that may have run, and decides whether the request
/// may be sent again. Returns the refusal for the caller if not.
pub async fn handle_loss(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    upstream: &ident::Upstream,
    code: Code,
) -> Result<(), Refusal> {
    let now = Instant::now();
    let framing = history.framing.map(tracing::field::display);
    let host = history.host.map(tracing::field::display);
    info!(id = job.id, %upstream, host, %code, framing, events = history.events,
        segments = segment_list(&job.segments),
        sends = history.sends, "request: lost");
    state.meter.lost(code);
    match history.host {
        // The loss says nothing of the upstream.
        Some(host) => history.tried_hosts.push(host),
        None => {
            record_observation(state, upstream, Observation::Lost);
            if matches!(code, Code::UpstreamLost | Code::AnswerCut) {
                let is_refused = {
                    let mut crashes = lock(&state.crashes);
                    crashes.record(now, job.fingerprint, upstream);
                    crashes.refused(now, job.fingerprint).is_some()
                };
                if is_refused {
                    state.gossip_urgent.notify_one();
                }
                if crash::record_loss(state, job, history, upstream).await {
                    return Err(Refusal::unknown(Code::UpstreamCrashed));
                }
            }
            history.tried.push(upstream.clone());
        }
    }
    check_repeat(state, job, history, code)
}

/// Decides whether a request that may have run may be sent again, and spends a retry if so.
/// Returns the refusal for the caller if not.
pub fn check_repeat(
    state: &State,
    job: &Job,
    history: &History,
    code: Code,
) -> Result<(), Refusal> {
    let is_late = Instant::now() >= job.deadline;
    match history.may_run_again(job) && !is_late && may_retry(state, job) {
        true => Ok(()),
        false => Err(Refusal::unknown(code)),
    }
}

/// Records the outcome of a request at an upstream, and reports the upstream to
/// other hosts at once if this makes it suspect.
pub fn record_observation(state: &State, upstream: &ident::Upstream, sign: Observation) {
    let now = Instant::now();
    if lock(&state.health).record(now, upstream, sign) {
        let score = lock(&state.health).score(upstream);
        info!(%upstream, %sign, score, "upstream: suspect");
        state.gossip_urgent.notify_one();
    }
}

/// Records what an upstream announced of itself in the response to a request that was sent at
/// `sent`, and reports news to other hosts at once. Returns the announcement.
pub fn record_statement(
    state: &State,
    job: &Job,
    upstream: &Upstream,
    sent: Instant,
    response: &Parts,
) -> Notice {
    let notice = (state.names.notice)(&response.headers);
    for header in &notice.invalid {
        warn!(id = job.id, upstream = %upstream.id, %header, "upstream: unreadable header, ignored");
        state.meter.unreadable_header();
    }
    let now = Instant::now();
    if let Some(load) = notice.load {
        lock(&state.loads).record_statement(now, &upstream.id, load.requests());
        if let Some(slowdown) = load.slowdown {
            lock(&state.capacity).record(now, upstream, Sample::Stated(slowdown));
        }
    }
    let news = lock(&state.notices).record(now, sent, upstream, &notice);
    if news.is_leaving {
        info!(id = job.id, upstream = %upstream.id, is_draining = upstream.is_draining,
            "upstream: announces that it leaves");
        state.meter.noticed("leaving");
    }
    if news.is_limit_changed {
        info!(id = job.id, upstream = %upstream.id, limit = notice.limit,
            "upstream: limit changed");
        state.meter.noticed("limit");
    }
    if news.is_rejection_limit_changed {
        info!(id = job.id, upstream = %upstream.id, rejection_limit = notice.rejection_limit,
            "upstream: brittle");
        state.meter.noticed("brittle");
    }
    if news.is_any() {
        state.gossip_urgent.notify_one();
    }
    notice
}

/// Records what an upstream announced of itself and asked of this host in a response.
fn record_notice(state: &State, job: &Job, upstream: &Upstream, sent: Instant, response: &Parts) {
    let notice = record_statement(state, job, upstream, sent, response);
    let now = Instant::now();
    if response.status != http::StatusCode::SERVICE_UNAVAILABLE {
        return;
    }
    let asked = notice.rest;
    let pause = notice.rejection_limit.map(|limit| {
        let hosts = lock(&state.peers).fleet_size(now);
        rejections::pause(limit, hosts)
    });
    let Some(rest) = asked.max(pause) else {
        return;
    };
    if lock(&state.notices).record_rest(now, upstream, rest) {
        info!(id = job.id, upstream = %upstream.id, rest_ms = millis(rest),
            asked_ms = asked.map(millis), "upstream: gets no requests for a while");
        state.meter.noticed("rest");
    }
}

/// Spends a retry of this host's budget, and returns whether there was one left.
fn may_retry(state: &State, job: &Job) -> bool {
    let now = Instant::now();
    let hosts = lock(&state.peers).fleet_size(now);
    let limits = state.live_options().retries();
    let is_allowed = lock(&state.retry_budget).spend(now, &job.service, &limits, hosts);
    if !is_allowed {
        info!(id = job.id, service = %job.service, hosts, "request: retry budget exhausted");
    }
    is_allowed
}

/// Returns the refusal of a request that is not sent again. Its outcome is unknown if
/// a lost attempt may have run it; otherwise it has not run.
fn abandon(history: &History, code: Code, retry_after: Duration) -> Refusal {
    match history.runs {
        0 => Refusal::not_run(code).with_retry_after(retry_after),
        _ => Refusal::unknown(Code::UpstreamLost),
    }
}

/// Authorizes the request again, as keys and routes may have changed while it waited.
fn reauthorize(state: &State, job: &Job, history: &History) -> Result<(), Refusal> {
    let view = state.view();
    let Some(table) = view.route_table() else {
        return Err(abandon(history, Code::NotReady, RETRY_AFTER_OTHER_HOST));
    };
    let path = job.uri.path();
    let authorized = accept::authorize(state, table, &job.host, path, job.key.as_deref());
    match authorized {
        Ok(_) => Ok(()),
        Err(_) if history.runs > 0 => Err(Refusal::unknown(Code::UpstreamLost)),
        Err(refusal) => Err(refusal),
    }
}

/// Result of one look for an upstream.
enum Look {
    /// Where the request is sent.
    Target(Target),
    /// No upstream has spare capacity.
    Wait(Summary),
    /// None may get a request before this time has passed.
    Later(Duration),
}

/// Looks for an upstream and counts the request there, or for a host to hand the request to. Fails
/// with the refusal for the caller if there is none to wait for.
fn look(state: &Arc<State>, job: &Job, history: &History) -> Result<Look, Refusal> {
    if let Some(host) = handoff::host(state, job, history) {
        return Ok(Look::Target(Target::Host(host)));
    }
    if job.handoff.is_some() && lock(&state.reach).is_lost(&job.service) {
        return Err(abandon(
            history,
            Code::ConnectFailed,
            RETRY_AFTER_OTHER_HOST,
        ));
    }
    match state.choose(job, &history.tried, history.version.as_ref()) {
        Selection::Selected(lease) => Ok(Look::Target(Target::Upstream(Box::new(lease)))),
        Selection::NoUpstream => {
            let code = match &history.version {
                Some(_) => Code::VersionGone,
                None => Code::NoUpstream,
            };
            Err(abandon(history, code, RETRY_AFTER_NO_UPSTREAM))
        }
        // The host that handed the request on tries another one that has a share.
        Selection::Wait(summary) if job.handoff.is_some() && summary.has_no_room() => {
            Err(abandon(history, Code::Full, RETRY_AFTER_FULL))
        }
        Selection::Wait(summary) if summary.has_no_share() => {
            Ok(match handoff::sharer(state, job, history) {
                Some(host) => Look::Target(Target::Host(host)),
                None => Look::Wait(summary),
            })
        }
        Selection::Wait(summary) => Ok(Look::Wait(summary)),
        Selection::Later(left) => Ok(Look::Later(left)),
    }
}

/// Waits until an upstream can take the request and counts the request there, or until the request
/// has to be handed to another host.
///
/// A request that was sent before, or that another host hands on, has waited already, and doesn't
/// queue.
async fn wait_for_target(
    state: &Arc<State>,
    job: &Job,
    history: &History,
) -> Result<Target, Refusal> {
    match history.is_new() && job.handoff.is_none() {
        true => queue_for_target(state, job, history).await,
        false => poll_for_target(state, job, history).await,
    }
}

/// Looks for an upstream at once if no request waits for the service, and in the order of the
/// queue otherwise.
async fn queue_for_target(
    state: &Arc<State>,
    job: &Job,
    history: &History,
) -> Result<Target, Refusal> {
    // The caller of a stream that continues already counts a gap.
    let is_specific = history.version.is_some();
    if is_specific || state.queues.is_idle(&job.service) {
        if let Look::Target(target) = look(state, job, history)? {
            return Ok(target);
        }
    } else if let Some(host) = handoff::host(state, job, history) {
        return Ok(Target::Host(host));
    }
    let joined = Instant::now();
    let workspace = job.workspace.as_ref().map(|it| it.name.clone());
    let mut request = admit::wait::Request {
        service: job.service.clone(),
        priority: job.priority(),
        workspace: workspace.unwrap_or_else(|| "".into()),
        fingerprint: job.fingerprint,
        due: job.arrived + job.route.objective,
        deadline: job.deadline,
        bytes: job.body.len(),
        is_specific,
    };
    let mut ticket = match state.queues.join(joined, request.clone()) {
        Ok(ticket) => ticket,
        Err(reason) => return Err(refuse(state, job, &request, reason, None)),
    };
    request.due = ticket.due();
    let mut wait_until = job
        .deadline
        .min(joined + job.route.objective.mul_f64(QUEUE_FRACTION));
    let mut is_extended = false;
    let mut summary = None;
    let reason = loop {
        let has_turn = ticket.turn(&state.capacity_changed, wait_until).await;
        let now = Instant::now();
        if now >= job.deadline {
            break Reason::Expired;
        }
        if has_turn {
            match look(state, job, history)? {
                Look::Target(target) => {
                    ticket.grant(now);
                    state
                        .meter
                        .queued(job.route.kind, now.duration_since(joined));
                    return Ok(target);
                }
                Look::Wait(found) => {
                    summary = Some(found);
                    ticket.fail(now, now);
                }
                Look::Later(left) if now + left >= wait_until => {
                    info!(id = job.id, service = %job.service, left_ms = millis(left),
                        "request: all upstreams rest or are at their limits");
                    state.meter.queue_refused(Reason::Limited.into());
                    return Err(abandon(history, Code::Full, left));
                }
                Look::Later(left) => ticket.fail(now, now + left),
            }
        }
        if now < wait_until {
            continue;
        }
        let extended = joined + job.route.objective;
        if is_extended || !begins_by(state, job, &ticket, now, extended) {
            break Reason::TimedOut;
        }
        is_extended = true;
        wait_until = extended.min(job.deadline);
    };
    drop(ticket);
    Err(refuse(state, job, &request, reason, summary))
}

/// Returns whether a waiting request is expected to begin by a time, and then has time to run.
fn begins_by(state: &State, job: &Job, ticket: &Ticket, now: Instant, by: Instant) -> bool {
    let Some(expected) = ticket.expected(now) else {
        return false;
    };
    let takes = lock(&state.loads).duration(&job.service);
    let begins = now + expected.wait;
    begins <= by && begins + takes.unwrap_or(job.route.objective) <= job.deadline
}

/// Returns the refusal of a request that doesn't wait, or waits no more, and keeps its place for
/// when the caller returns.
fn refuse(
    state: &State,
    job: &Job,
    request: &admit::wait::Request,
    reason: Reason,
    summary: Option<Summary>,
) -> Refusal {
    let now = Instant::now();
    let retry_after = state.queues.refuse(now, request, state.random_fraction());
    let waited_ms = millis(now.duration_since(job.arrived));
    match summary {
        Some(summary) => {
            info!(id = job.id, service = %job.service, %reason, priority = request.priority, waited_ms,
                usable = summary.usable, down = summary.down, suspect = summary.suspect, cold = summary.cold,
                limited = summary.limited, brittle = summary.brittle, load = summary.load, slots = summary.slots,
                "request: timed out waiting for an upstream");
        }
        None => {
            info!(id = job.id, service = %job.service, %reason, priority = request.priority, waited_ms,
                "request: not served from the queue");
        }
    }
    state.meter.queue_refused(reason.into());
    let code = match reason {
        Reason::WorkspaceFull => Code::WorkspaceFull,
        Reason::Expired => Code::QueueTimeout,
        Reason::Full | Reason::TooLate | Reason::TimedOut | Reason::Limited => Code::Full,
    };
    Refusal::not_run(code).with_retry_after(retry_after)
}

/// Looks for an upstream at each change of capacity and regularly, independently of the queue.
async fn poll_for_target(
    state: &Arc<State>,
    job: &Job,
    history: &History,
) -> Result<Target, Refusal> {
    let wait_until = Instant::now() + job.route.objective.mul_f64(QUEUE_FRACTION);
    let wait_until = wait_until.min(job.deadline);
    loop {
        let changed = state.capacity_changed.notified();
        let summary = match look(state, job, history)? {
            Look::Target(target) => return Ok(target),
            Look::Wait(summary) => summary,
            Look::Later(left) => {
                let now = Instant::now();
                if now + left >= wait_until {
                    info!(id = job.id, service = %job.service, left_ms = millis(left),
                        "request: all upstreams rest or are at their limits");
                    return Err(abandon(history, Code::Full, left));
                }
                tokio::time::sleep(left).await;
                continue;
            }
        };
        let now = Instant::now();
        if now >= wait_until {
            info!(id = job.id, service = %job.service, usable = summary.usable, down = summary.down,
                suspect = summary.suspect, cold = summary.cold, limited = summary.limited, brittle = summary.brittle, load = summary.load, slots = summary.slots,
                "request: timed out waiting for an upstream");
            return Err(abandon(history, Code::Full, RETRY_AFTER_FULL));
        }
        let next_look = wait_until.min(now + POLL_INTERVAL);
        // Woken or timed out, the request looks for an upstream again.
        let _woken = timeout_at(next_look, changed).await;
    }
}

/// Returns until when to wait for a response before the request is moved to another
/// upstream: early enough to meet the route's objective there, or the request's
/// deadline if it must not be sent again.
fn move_at(job: &Job, history: &History, sent: Instant) -> Instant {
    match history.may_run_again(job) {
        true if job.route.kind.is_stream() => job.deadline.min(sent + job.route.objective),
        true => {
            let wait = job.route.objective.mul_f64(MOVE_AFTER_FRACTION);
            job.deadline.min(sent + wait)
        }
        false => job.deadline,
    }
}

/// Sends a request to one upstream and waits for the head of its response.
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
    match &connection {
        Ok(connection) if connection.is_reused => {}
        Ok(_) => reach::record(state, upstream, Ok(())),
        Err(fault) => reach::record(state, upstream, Err(fault)),
    }
    let mut connection = connection.map_err(Loss::Unsent)?;
    let sent = Instant::now();
    let sent_at = boot::Instant::now();
    // The connection took up the rest of the time, or the host was suspended meanwhile.
    if sent >= job.deadline {
        return Err(Loss::Unsent(Fault::Unsent));
    }
    let holder = lease.holder.as_ref().map(|it| it.upstream.address);
    let request = job.request(names, sent, &upstream.id, holder, last_event);
    history.begin(sent);
    let limit = move_at(job, history, sent);
    let result = {
        let mut sending = std::pin::pin!(connection.send(request));
        match timeout_at(limit, &mut sending).await {
            Ok(result) => Ok(result),
            Err(elapsed) if limit >= job.deadline => Err(elapsed),
            Err(_) => {
                if let Some(target) = reserve(state, job, history, &upstream.id) {
                    return Err(Loss::Moved(target));
                }
                timeout_at(job.deadline, sending).await
            }
        }
    };
    let response = match result {
        Ok(Ok(response)) => response,
        Ok(Err(Fault::Broken(error))) => {
            info!(id = job.id, upstream = %upstream.id, %error, "request: connection broke");
            return Err(Loss::Unknown(Code::UpstreamLost));
        }
        Ok(Err(fault)) => {
            history.undo();
            return Err(Loss::Unsent(fault));
        }
        Err(_) => return Err(Loss::Unknown(Code::FirstByteTimeout)),
    };
    let (mut parts, body) = response.into_parts();
    if !framing::is_final(parts.status.as_u16()) {
        info!(id = job.id, upstream = %upstream.id, status = parts.status.as_u16(),
            "request: response without a valid status");
        return Err(Loss::Unknown(Code::UpstreamFailed));
    }
    if job.handoff.is_some() {
        handoff::mark(&mut parts, upstream);
    }
    let framing = Framing::of(&parts.headers, &body);
    history.framing = Some(framing);
    let echoed = header_text(&parts.headers, &names.attempt);
    let not_executed = parts.headers.contains_key(&names.not_executed)
        || parts.status == http::StatusCode::MISDIRECTED_REQUEST;
    // A refusal that is left from an earlier request says nothing of this one.
    if echoed.unwrap_or_default() != job.id {
        return Err(Loss::Unknown(Code::ForeignAnswer));
    }
    // Another upstream has this one's address now, and speaks of itself.
    if parts.status != http::StatusCode::MISDIRECTED_REQUEST {
        record_notice(state, job, upstream, sent, &parts);
    }
    if not_executed {
        history.runs -= 1;
        return Err(Loss::Rejected(parts.status));
    }
    let is_genuine = parts.headers.contains_key(&names.receipt);
    let is_encoded = parts.headers.contains_key(header::CONTENT_ENCODING);
    if parts.status.is_success() && (!is_genuine || is_encoded) {
        return Err(Loss::Unknown(Code::ForeignAnswer));
    }
    if !job.route.kind.is_stream() {
        capacity::observe(state, job, upstream, sent.elapsed());
    }
    Ok(Exchange {
        parts,
        body,
        framing,
        connection,
        watch: liveness::Watch::start(state, upstream.address, framing, sent_at),
        record: Arc::clone(&lease.record),
        lease: Some(lease),
        sent,
    })
}
