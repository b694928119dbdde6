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

use crate::entry::header;
use crate::home::admission;
use crate::home::connection;
use crate::home::forward::Forwarder;
use crate::home::slot::Slot;
use crate::home::suspect;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::frame::Exchange;
use crate::peer::frame::Frame;
use crate::peer::frame::Head;
use crate::peer::frame::Run;
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
    let _permit = acquire_serial(state, run, request.deadline).await?;
    let mut slot = Slot::acquire(state, &run.upstream, request).await?;
    // While the call waited, the zone may have been drained, or the process
    // suspended.
    let spec = admit(state, run)?;
    let waited = started.elapsed();
    let sent = Instant::now();
    let (response, lease) = dispatch(state, run, &spec, deadline, &mut slot).await?;
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
            lock(&state.crashes).clear(run.call.fingerprint);
        }
        Err(refusal) => record_failure(state, run, &mut slot, refusal.code),
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
