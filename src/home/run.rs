//! Runs a call at an upstream that this host is home of.

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
use crate::home::answer::Answer;
use crate::home::connection;
use crate::home::desk;
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

/// Runs a call and sends the frames of its answer. If the channel closes,
/// nobody wants the answer any more and the upstream's work is cancelled.
pub async fn run(state: Arc<State>, run: Run, out: mpsc::Sender<Frame>) {
    let closed = out.clone();
    let served = tokio::select! {
        served = serve(&state, &run, &out) => served,
        () = closed.closed() => return,
    };
    if let Err(refusal) = served {
        tracing::debug!(upstream = %run.upstream, %refusal, "home: call refused");
        // Fails only if nobody wants to know.
        let _ = out.send(Frame::Refused(refusal)).await;
    }
}

async fn serve(state: &Arc<State>, run: &Run, out: &mpsc::Sender<Frame>) -> Result<(), Refusal> {
    let began = Instant::now();
    let deadline = began + run.call.time_left();
    admit(state, run)?;
    let ask = ask(state, run, deadline);
    let _turn = turn(state, run, ask.deadline).await?;
    let mut slot = Slot::take(state, &run.upstream, ask).await?;
    // While it waited the zone may have been taken out, or the process slept.
    let spec = admit(state, run)?;
    let waited = began.elapsed();
    let sent = Instant::now();
    let (response, lease) = dispatch(state, run, &spec, deadline, &mut slot).await?;
    let first_byte = sent.elapsed();
    let answer = Answer::new(run, response, state.options.upstream.between_frames);
    let head = Head {
        waited_us: u64::try_from(waited.as_micros()).unwrap_or(u64::MAX),
        ..answer
            .head()
            .inspect_err(|_| slot.set_end(desk::End::Failed))?
    };
    let passed = match answer.pass_on(head, deadline, out).await {
        Err(refusal) => Err(told_apart(state, &spec, refusal).await),
        passed => passed,
    };
    match &passed {
        Ok(at_rest) => {
            if *at_rest {
                lease.release();
            }
            slot.set_end(desk::End::Answered { first_byte });
            lock(&state.crashes).absolve(run.call.fingerprint);
        }
        Err(refusal) => end_badly(state, run, &mut slot, refusal.code),
    }
    passed.map(|_| ())
}

/// Checks that the call may run here at all.
fn admit(state: &State, run: &Run) -> Result<upstream::Spec, Refusal> {
    let now = Instant::now();
    let plan = state.plan();
    let admits = lock(&state.view).admits(now);
    let own = &state.incarnation;
    let is_meant = run.home == own.host && run.start.is_none_or(|start| start == own.start);
    let quarantined = {
        let mut strikes = lock(&state.crashes);
        for upstream in &run.lost {
            strikes.record(now, run.call.fingerprint, upstream);
        }
        strikes.refused(now, run.call.fingerprint)
    };
    match plan.register.upstreams.get(&run.upstream) {
        _ if !is_meant || !admits => Err(Refusal::not_run(Code::NotHome)),
        _ if !plan.in_service(&run.upstream) => Err(Refusal::not_run(Code::NoUpstream)),
        _ if let Some(left) = quarantined => Err(Refusal::not_run(Code::Quarantined).after(left)),
        Some(spec) => Ok(spec.clone()),
        None => Err(Refusal::not_run(Code::NoUpstream)),
    }
}

/// Waits until no other suspect runs at the upstream, if this call is one.
async fn turn(
    state: &State,
    run: &Run,
    deadline: Instant,
) -> Result<Option<suspect::Turn>, Refusal> {
    let fingerprint = run.call.fingerprint;
    if !lock(&state.crashes).is_suspect(Instant::now(), fingerprint) {
        return Ok(None);
    }
    let turn = state.suspects.turn(&run.upstream, run.bypass, deadline);
    let turn = turn.await?;
    // Another copy of the call may have run while this one waited.
    match lock(&state.crashes).refused(Instant::now(), fingerprint) {
        Some(left) => Err(Refusal::not_run(Code::Quarantined).after(left)),
        None => Ok(Some(turn)),
    }
}

fn ask(state: &State, run: &Run, deadline: Instant) -> desk::Ask {
    let asked = Duration::from_millis(run.wait_ms);
    let wait = Instant::now() + asked.min(state.options.queue.wait);
    desk::Ask {
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
        Ok(Ok(answer)) => return Ok(answer),
        Ok(Err(fault)) => fault,
        Err(_) => connection::Fault::FirstByte,
    };
    tracing::info!(upstream = %run.upstream, %fault, "home: no answer");
    let refusal = match fault {
        _ if fault.is_unsent() => Refusal::not_run(Code::ConnectFailed),
        connection::Fault::FirstByte => Refusal::unknown(Code::FirstByteTimeout),
        _ => told_apart(state, spec, Refusal::unknown(Code::UpstreamLost)).await,
    };
    end_badly(state, run, slot, refusal.code);
    Err(refusal)
}

/// Tells an upstream that went down from a connection that broke: the one
/// takes no connections just after.
async fn told_apart(state: &State, spec: &upstream::Spec, refusal: Refusal) -> Refusal {
    let broke = matches!(refusal.code, Code::UpstreamLost | Code::AnswerCut);
    match broke && !state.connections.is_up(spec.address).await {
        true => Refusal {
            code: Code::UpstreamCrashed,
            ..refusal
        },
        false => refusal,
    }
}

/// Notes an upstream that failed a call: for its ramp, and against the call
/// if the upstream was lost with it.
fn end_badly(state: &State, run: &Run, slot: &mut Slot, code: Code) {
    let end = match code {
        Code::UpstreamFailed | Code::ForeignAnswer => desk::End::Failed,
        Code::CallerGone => desk::End::Cancelled,
        _ => desk::End::Lost,
    };
    slot.set_end(end);
    if code.is_loss() {
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
    header::put_back(&run.call.headers, request.headers_mut());
    Ok(request)
}

/// Orders what this home sends after what earlier configurations sent.
fn fencing(state: &State) -> String {
    let plan = state.plan();
    let revision = plan.register.revision.max(plan.rules.revision);
    format!("{}-{:016x}", revision.0, state.incarnation.start)
}

/// Tells whether an upstream echoed the exchange that it was sent, or none.
pub(super) fn is_ours(exchange: Exchange, response: &Response<Incoming>) -> bool {
    response
        .headers()
        .get(header::EXCHANGE)
        .is_none_or(|echo| echo.as_bytes() == exchange.to_string().as_bytes())
}
