//! Runs a call at an upstream of which this host is home: admission, dispatch,
//! and the response back to the entry.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::timeout_at;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::entry::header;
use crate::home::admission;
use crate::home::connection;
use crate::home::forward::Forwarder;
use crate::home::segment;
use crate::home::slot::Slot;
use crate::home::suspect;
use crate::ident;
use crate::lock::lock;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::frame::Exchange;
use crate::peer::frame::Frame;
use crate::peer::frame::Head;
use crate::peer::frame::Run;
use crate::policy::quarantine::Verdict;
use crate::policy::rank;
use crate::register::upstream;
use crate::state::State;

/// Runs a call and sends the frames of its response. If the receiver closes the
/// channel, the call is cancelled at the upstream.
pub async fn run(state: Arc<State>, run: Run, out: mpsc::Sender<Frame>) {
    let closed = out.clone();
    let served = tokio::select! {
        served = serve(&state, &run, &out) => served,
        () = closed.closed() => return,
    };
    if let Err(refusal) = served {
        tracing::debug!(upstream = %run.upstream, %refusal, "home: call refused");
        // Fails only if the receiver is gone.
        let _ = out.send(Frame::Refused(refusal)).await;
    }
}

async fn serve(state: &Arc<State>, run: &Run, out: &mpsc::Sender<Frame>) -> Result<(), Refusal> {
    let started = Instant::now();
    let deadline = started + run.call.time_left();
    admit(state, run)?;
    let request = admission_request(state, run, deadline);
    let segments = segment::of(&run.call);
    check_segments(state, run, &segments)?;
    let _permit = acquire_serial(state, run, request.deadline).await?;
    let mut slot = Slot::acquire(state, &run.upstream, request).await?;
    // While the call waited, the zone may have been drained, or the process
    // suspended.
    let spec = admit(state, run)?;
    if check_segments(state, run, &segments)? == Verdict::Trial {
        lock(&state.quarantine).begin_trial(Instant::now(), &segments);
    }
    let waited = started.elapsed();
    let sent = Instant::now();
    let dispatched = dispatch(state, run, &spec, deadline, &mut slot).await;
    let (response, lease) =
        dispatched.inspect_err(|it| record_crash(state, run, &segments, it.code, sent))?;
    let first_byte = sent.elapsed();
    let forwarder = Forwarder::new(run, response, state.options.upstream.between_frames);
    let head = Head {
        waited_us: u64::try_from(waited.as_micros()).unwrap_or(u64::MAX),
        ..forwarder
            .head()
            .inspect_err(|_| slot.set_end(admission::End::Failed))?
    };
    let forwarded = match forwarder.forward(head, deadline, out).await {
        Err(refusal) => Err(classify_loss(state, &spec, refusal).await),
        forwarded => forwarded,
    };
    match &forwarded {
        Ok(is_idle) => {
            if *is_idle {
                lease.release();
            }
            slot.set_end(admission::End::Answered { first_byte });
            lock(&state.crashes).clear(Instant::now(), run.call.fingerprint);
            lock(&state.quarantine).record_answer(Instant::now(), &segments);
        }
        Err(refusal) => {
            record_failure(state, run, &mut slot, refusal.code);
            record_crash(state, run, &segments, refusal.code, sent);
        }
    }
    forwarded.map(|_| ())
}

/// Checks that the call may run at its upstream: this host is home, the
/// upstream is in service, and the call is not quarantined. Records the
/// upstreams that earlier attempts at the call lost.
fn admit(state: &State, run: &Run) -> Result<upstream::Spec, Refusal> {
    let now = Instant::now();
    let plan = state.plan();
    let admits = lock(&state.view).admits(now);
    let incarnation = &state.incarnation;
    let is_addressee =
        run.home == incarnation.host && run.start.is_none_or(|start| start == incarnation.start);
    let quarantined = {
        let mut crashes = lock(&state.crashes);
        for upstream in &run.lost {
            crashes.record(now, run.call.fingerprint, upstream);
        }
        crashes.refused(now, run.call.fingerprint)
    };
    match plan.register.upstreams.get(&run.upstream) {
        _ if !is_addressee || !admits => Err(Refusal::not_run(Code::NotHome)),
        _ if !plan.in_service(&run.upstream) => Err(Refusal::not_run(Code::NoUpstream)),
        _ if let Some(left) = quarantined => {
            Err(Refusal::not_run(Code::Quarantined).with_retry_after(left))
        }
        Some(spec) => Ok(spec.clone()),
        None => Err(Refusal::not_run(Code::NoUpstream)),
    }
}

/// Checks that no message of the chat is refused because it has crashed several upstreams.
fn check_segments(state: &State, run: &Run, segments: &[u64]) -> Result<Verdict, Refusal> {
    let now = Instant::now();
    if !lock(&state.quarantine).contains(segments) {
        return Ok(Verdict::Allowed);
    }
    let own = &state.incarnation.host;
    let hosts: Vec<_> = lock(&state.view)
        .live(&state.options.host.zone)
        .cloned()
        .collect();
    let rank = |segment: u64| {
        let score = |host: &ident::Host| xxh3_64_with_seed(host.as_str().as_bytes(), segment);
        let ahead = hosts.iter().filter(|host| score(host) > score(own));
        ahead.count()
    };
    let workspace = workspace_hash(run);
    let verdict = lock(&state.quarantine).check(now, segments, workspace, rank);
    match verdict {
        Verdict::Allowed | Verdict::Trial => Ok(verdict),
        Verdict::Refused { segment, left } => {
            tracing::info!(upstream = %run.upstream, segment = format!("{segment:x}"),
                left_ms = millis(left), "home: message crashed several upstreams");
            Err(Refusal::not_run(Code::Quarantined).with_retry_after(left))
        }
    }
}

/// Records that a call's upstream crashed before the call had its answer, which any message
/// of the chat may have caused.
fn record_crash(state: &State, run: &Run, segments: &[u64], code: Code, sent: Instant) {
    if code.is_crash() && !segments.is_empty() {
        let now = Instant::now();
        let workspace = workspace_hash(run);
        let accused =
            lock(&state.quarantine).record_crash(now, segments, workspace, &run.upstream, sent);
        tracing::info!(upstream = %run.upstream, accused = accused.len(),
            run_ms = millis(now.duration_since(sent)), "home: upstream crashed");
    }
}

fn workspace_hash(run: &Run) -> u32 {
    let hash = xxh3_64(run.call.workspace.as_str().as_bytes());
    u32::try_from(hash >> 32).unwrap_or_default()
}

/// Waits until no other suspect request runs at the upstream, if this call is
/// suspect.
async fn acquire_serial(
    state: &State,
    run: &Run,
    deadline: Instant,
) -> Result<Option<suspect::Permit>, Refusal> {
    let fingerprint = run.call.fingerprint;
    if !lock(&state.crashes).is_suspect(Instant::now(), fingerprint) {
        return Ok(None);
    }
    let permit = state.suspects.acquire(&run.upstream, run.bypass, deadline);
    let permit = permit.await?;
    // Another copy of the call may have run while this one waited.
    match lock(&state.crashes).refused(Instant::now(), fingerprint) {
        Some(left) => Err(Refusal::not_run(Code::Quarantined).with_retry_after(left)),
        None => Ok(Some(permit)),
    }
}

fn admission_request(state: &State, run: &Run, deadline: Instant) -> admission::Request {
    let limit = Duration::from_millis(run.wait_ms);
    let wait = Instant::now() + limit.min(state.options.queue.wait);
    admission::Request {
        workspace: run.call.workspace.clone(),
        weight: state.plan().register.weight(&run.call.workspace),
        class: run.call.class,
        deadline: deadline.min(wait),
        chat: rank::key(&run.call.workspace, &run.call.chat),
        only_warm: run.only_warm,
        bypass: run.bypass,
    }
}

async fn dispatch(
    state: &Arc<State>,
    run: &Run,
    spec: &upstream::Spec,
    deadline: Instant,
    slot: &mut Slot,
) -> Result<(Response<Incoming>, connection::Lease), Refusal> {
    let request = request(state, run, spec)?;
    let send = state
        .connections
        .send(spec.address, request, run.call.idempotent);
    let sent = timeout_at(deadline, send).await;
    let fault = match sent {
        Ok(Ok(response)) => return Ok(response),
        Ok(Err(fault)) => fault,
        Err(_) => connection::Fault::FirstByte,
    };
    tracing::info!(upstream = %run.upstream, %fault, "home: no response from upstream");
    let refusal = match fault {
        _ if fault.is_unsent() => Refusal::not_run(Code::ConnectFailed),
        connection::Fault::FirstByte => Refusal::unknown(Code::FirstByteTimeout),
        _ => classify_loss(state, spec, Refusal::unknown(Code::UpstreamLost)).await,
    };
    record_failure(state, run, slot, refusal.code);
    Err(refusal)
}

/// Distinguishes a crash of the upstream from a lost connection: an upstream
/// that has just crashed accepts no connections.
async fn classify_loss(state: &State, spec: &upstream::Spec, refusal: Refusal) -> Refusal {
    let is_broken = matches!(refusal.code, Code::UpstreamLost | Code::AnswerCut);
    match is_broken && !state.connections.accepts_connections(spec.address).await {
        true => Refusal {
            code: Code::UpstreamCrashed,
            ..refusal
        },
        false => refusal,
    }
}

/// Records a failed call for the ramp of its upstream, and against the call if
/// the upstream was lost while it ran.
fn record_failure(state: &State, run: &Run, slot: &mut Slot, code: Code) {
    let end = match code {
        Code::UpstreamFailed | Code::ForeignAnswer => admission::End::Failed,
        Code::CallerGone => admission::End::Cancelled,
        _ => admission::End::Lost,
    };
    slot.set_end(end);
    if code.is_crash() {
        let now = Instant::now();
        lock(&state.crashes).record(now, run.call.fingerprint, &run.upstream);
    }
}

fn request(
    state: &State,
    run: &Run,
    spec: &upstream::Spec,
) -> Result<Request<Full<Bytes>>, Refusal> {
    let mut request = Request::builder()
        .method(run.call.method.as_str())
        .uri(run.call.path.as_str())
        .header(http::header::HOST, spec.address.to_string())
        .header(header::EXCHANGE, run.exchange.to_string())
        .header(header::FENCING, fencing(state))
        .body(Full::new(run.call.body.clone()))
        .map_err(|_| Refusal::not_run(Code::BadRequest))?;
    header::restore(&run.call.headers, request.headers_mut());
    Ok(request)
}

/// Returns the fencing value. It orders requests after all requests sent under
/// earlier configurations.
fn fencing(state: &State) -> String {
    let plan = state.plan();
    let revision = plan.register.revision.max(plan.rules.revision);
    format!("{}-{:016x}", revision.0, state.incarnation.start)
}

/// Returns whether a response echoes the exchange of its request, or none.
pub(super) fn matches_exchange(exchange: Exchange, response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(header::EXCHANGE)
        .is_none_or(|echo| echo.as_bytes() == exchange.to_string().as_bytes())
}
