//! Handler for callers' requests.
//!
//! Validates a request through [`accept`], sends it through
//! [`attempt`](crate::gateway::attempt) and returns the upstream's response, or a
//! refusal. Streams are handled by [`stream`].

use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::framing;
use crate::gateway::accept::RETRY_AFTER_OTHER_HOST;
use crate::gateway::accept::accept;
use crate::gateway::accept::header_text;
use crate::gateway::attempt::Exchange;
use crate::gateway::attempt::History;
use crate::gateway::attempt::Target;
use crate::gateway::attempt::handle_loss;
use crate::gateway::attempt::record_observation;
use crate::gateway::attempt::reserve;
use crate::gateway::attempt::send;
use crate::gateway::crash;
use crate::gateway::handoff::Handoff;
use crate::gateway::health::Observation;
use crate::gateway::job::Job;
use crate::gateway::liveness;
use crate::gateway::refusal;
use crate::gateway::refusal::promises_not_run;
use crate::gateway::state::State;
use crate::gateway::stream;
use crate::gateway::stream::Payload;
use crate::ident;
use crate::lock::lock;
use crate::log::ROUTINE;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// Serves the request of a caller, or one that another host hands on. Failures are returned as
/// refusals.
pub async fn serve(
    state: Arc<State>,
    request: Request<Incoming>,
    handoff: Option<Handoff>,
) -> Response<Payload> {
    let arrived = Instant::now();
    let id = header_text(request.headers(), &state.names.attempt).unwrap_or_default();
    let id = id.to_owned();
    let accepted = state
        .aborting
        .run_until_cancelled(accept(&state, request, arrived, &id, handoff));
    let mut closes = false;
    let accepted = accepted.await;
    let result = match accepted.unwrap_or_else(|| Err(shutting_down().into())) {
        Ok(job) if may_outlive(&state, &job) => Err(shutting_down()),
        Ok(job) => {
            let result = state.aborting.run_until_cancelled(run(&state, job)).await;
            result.unwrap_or(Err(Refusal::unknown(Code::HostStopped)))
        }
        Err(rejection) => {
            closes |= rejection.is_unread;
            Err(rejection.refusal)
        }
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            let elapsed = arrived.elapsed();
            state.meter.refused(refusal.code);
            info!(id, code = %refusal.code, outcome = %refusal.outcome,
                retry_after_ms = refusal.retry_after_ms, after_ms = millis(elapsed),
                "request: refused");
            let attempt = (!id.is_empty()).then_some((&state.names.attempt, id.as_str()));
            refusal::response(&refusal, attempt)
        }
    };
    if closes || state.draining.is_cancelled() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

/// Returns the refusal of a request that another host is to serve, as this one shuts down.
fn shutting_down() -> Refusal {
    Refusal::not_run(Code::ShuttingDown).with_retry_after(RETRY_AFTER_OTHER_HOST)
}

/// Returns whether a request that came late in a shutdown may still run when the host exits.
fn may_outlive(state: &State, job: &Job) -> bool {
    let aborts_at = state.aborts_at.get();
    state.closing.is_cancelled() && aborts_at.is_some_and(|at| job.deadline > *at)
}

async fn run(state: &Arc<State>, job: Job) -> Result<Response<Payload>, Refusal> {
    let job = Arc::new(job);
    match job.route.kind.is_stream() {
        true => stream::run(state, job).await,
        false => serve_buffered(state, &job).await,
    }
}

/// Serves a request whose response is forwarded once it is complete.
///
/// The response of an upstream that fails the request is kept while another upstream is
/// tried, and is returned if that one gives no response.
async fn serve_buffered(state: &Arc<State>, job: &Job) -> Result<Response<Payload>, Refusal> {
    let mut history = History::new(job, None);
    let mut next = None;
    let mut failure = None;
    loop {
        let result = send_until_complete(state, job, &mut history, next.take()).await;
        let (parts, body) = match (result, failure.take()) {
            (Ok((upstream, parts, body)), None) if is_failure(parts.status) => {
                if let Some(target) = reserve(state, job, &history, &upstream) {
                    info!(id = job.id, %upstream, status = parts.status.as_u16(),
                        "request: failed, trying another upstream");
                    history.tried.push(upstream);
                    failure = Some((parts, body));
                    next = Some(target);
                    continue;
                }
                (parts, body)
            }
            (Ok((_, parts, body)), _) => (parts, body),
            (Err(_), Some(failure)) => failure,
            (Err(refusal), None) => return Err(refusal),
        };
        return complete_response(state, job, &history, parts, body);
    }
}

/// Returns whether an upstream failed a request that it may have run, by the status of its response.
pub fn is_failure(status: StatusCode) -> bool {
    status.is_server_error() || promises_not_run(status)
}

/// Returns the first response that was received completely, and its upstream.
async fn send_until_complete(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    mut next: Option<Target>,
) -> Result<(ident::Upstream, Parts, Bytes), Refusal> {
    loop {
        let exchange = send(state, job, history, next.take(), None).await?;
        let upstream = exchange.record.upstream.id.clone();
        match collect(state, job, exchange).await {
            Ok((parts, body)) => return Ok((upstream, parts, body)),
            Err(code) => handle_loss(state, job, history, &upstream, code).await?,
        }
    }
}

/// Records a complete response of an upstream and returns it for the caller.
///
/// Fails if its status promises that the request has not run: an upstream that rejects a request
/// says so otherwise, so the outcome of this one is unknown.
pub fn complete_response(
    state: &State,
    job: &Job,
    history: &History,
    parts: Parts,
    body: Bytes,
) -> Result<Response<Payload>, Refusal> {
    if promises_not_run(parts.status) {
        info!(
            id = job.id,
            status = parts.status.as_u16(),
            sends = history.sends,
            "request: failed with the status of a rejection"
        );
        return Err(Refusal::unknown(Code::UpstreamFailed));
    }
    let elapsed = job.arrived.elapsed();
    state.meter.answered(job.route.kind, elapsed);
    let framing = history.framing.map(tracing::field::display);
    info!(target: ROUTINE, id = job.id, kind = %job.route.kind, status = parts.status.as_u16(), framing,
        sends = history.sends, after_ms = millis(elapsed), "request: answered");
    let body = Full::from(body).map_err(|never| match never {});
    Ok(response_with_body(&parts, Payload::new(body)))
}

/// Returns a response for the caller with the status and end-to-end headers of an
/// upstream's response and the given body.
pub fn response_with_body(parts: &Parts, body: Payload) -> Response<Payload> {
    let mut response = Response::new(body);
    *response.status_mut() = parts.status;
    let headers = response.headers_mut();
    for (name, value) in &parts.headers {
        let is_hop = name == header::CONNECTION
            || name == header::TRANSFER_ENCODING
            || name == header::CONTENT_LENGTH
            || name.as_str() == "keep-alive";
        if !is_hop {
            headers.append(name.clone(), value.clone());
        }
    }
    response
}

/// Reads a response to the end, records its result and returns the connection to the
/// pool.
///
/// Fails with the code of the loss if the response is too large, ends early by its framing
/// or its content, may have been cut by a crash, or isn't complete by the deadline.
pub async fn collect(
    state: &Arc<State>,
    job: &Job,
    exchange: Exchange,
) -> Result<(Parts, Bytes), Code> {
    let Exchange {
        parts,
        body,
        framing,
        connection,
        record,
        lease,
        sent: _,
        watch,
    } = exchange;
    // Buffered, so that a truncated response can be retried.
    let body = match timeout_at(job.deadline, state.buffers.read(body)).await {
        Ok(result) => result?,
        Err(_) => return Err(Code::StreamTimeout),
    };
    if !framing::is_complete(framing, &parts.headers, &body) {
        info!(id = job.id, %framing, bytes = body.len(), "request: body ended before its content");
        return Err(Code::AnswerCut);
    }
    if framing::may_be_cut(framing, &parts.headers, &body) {
        let sender = liveness::Sender {
            record: &record,
            connection: &connection,
            watch: &watch,
            is_own: lease.is_some(),
        };
        liveness::confirm(state, job, &sender).await?;
    }
    let now = Instant::now();
    state.release_connection(connection, record.upstream.slots);
    let observation = match is_failure(parts.status) {
        true => Observation::Failed,
        false => Observation::Answered,
    };
    if lease.is_some() {
        record_observation(state, &record.upstream.id, observation);
    }
    if parts.status.is_success() {
        lock(&state.crashes).clear(now, job.fingerprint);
        crash::record_answer(state, job);
    }
    Ok((parts, body))
}
