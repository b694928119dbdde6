//! One request of a caller, from its headers to its end.

use std::sync::Arc;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::header;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::gateway::accept::accept;
use crate::gateway::accept::text;
use crate::gateway::attempt::Exchange;
use crate::gateway::attempt::History;
use crate::gateway::attempt::handle_loss;
use crate::gateway::attempt::record_observation;
use crate::gateway::attempt::reserve;
use crate::gateway::attempt::send;
use crate::gateway::health::Observation;
use crate::gateway::job::Job;
use crate::gateway::refusal;
use crate::gateway::selection::Lease;
use crate::gateway::state::State;
use crate::gateway::stream;
use crate::gateway::stream::Payload;
use crate::ident;
use crate::lock::lock;
use crate::log::CALM;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// The longest answer of a plain service that is held until it is complete; so
/// that one that breaks off can be asked for again.
const HELD_BYTES: usize = 8 << 20;

/// Serves a request of a caller.
pub async fn serve(state: Arc<State>, request: Request<Incoming>) -> Response<Payload> {
    let arrived = Instant::now();
    let id = text(request.headers(), &state.names.attempt).unwrap_or_default();
    let id = id.to_owned();
    let result = match accept(&state, request, arrived, &id).await {
        Ok(job) => run(&state, job).await,
        Err(refusal) => Err(refusal),
    };
    let mut response = match result {
        Ok(response) => response,
        Err(refusal) => {
            let wait = arrived.elapsed();
            state.meter.refused(refusal.code);
            info!(id, code = %refusal.code, outcome = %refusal.outcome,
                retry_after_ms = refusal.retry_after_ms, after_ms = millis(wait),
                "request: refused");
            let attempt = (!id.is_empty()).then_some((&state.names.attempt, id.as_str()));
            refusal::response(&refusal, attempt)
        }
    };
    if state.draining.is_cancelled() {
        let close = http::HeaderValue::from_static("close");
        response.headers_mut().insert(header::CONNECTION, close);
    }
    response
}

async fn run(state: &Arc<State>, job: Job) -> Result<Response<Payload>, Refusal> {
    let job = Arc::new(job);
    match job.route.kind.is_stream() {
        true => stream::run(state, job).await,
        false => plain(state, &job).await,
    }
}

/// Serves a request whose answer is passed on when it is complete. A failure that
/// an upstream answered is kept while another one is asked.
async fn plain(state: &Arc<State>, job: &Job) -> Result<Response<Payload>, Refusal> {
    let mut history = History::default();
    let mut next = None;
    let mut failure = None;
    loop {
        let done = complete(state, job, &mut history, next.take()).await;
        let (parts, body) = match (done, failure.take()) {
            (Ok((upstream, parts, body)), None) if parts.status.is_server_error() => {
                if let Some(lease) = reserve(state, job, &history, &upstream) {
                    info!(id = job.id, %upstream, status = parts.status.as_u16(),
                        "request: failed, trying another upstream");
                    history.tried.push(upstream);
                    failure = Some((parts, body));
                    next = Some(lease);
                    continue;
                }
                (parts, body)
            }
            (Ok((_, parts, body)), _) => (parts, body),
            (Err(_), Some(failure)) => failure,
            (Err(refusal), None) => return Err(refusal),
        };
        return Ok(whole(state, job, &history, parts, body));
    }
}

/// Returns the first answer that came to its end, and the upstream that gave it.
async fn complete(
    state: &Arc<State>,
    job: &Job,
    history: &mut History,
    mut next: Option<Lease>,
) -> Result<(ident::Upstream, Parts, Bytes), Refusal> {
    loop {
        let answer = send(state, job, history, next.take(), None).await?;
        let upstream = answer.lease.record.upstream.id.clone();
        match collect(state, job, answer).await {
            Ok((parts, body)) => return Ok((upstream, parts, body)),
            Err(code) => handle_loss(state, job, history, &upstream, code)?,
        }
    }
}

/// Returns a complete answer of an upstream.
pub fn whole(
    state: &State,
    job: &Job,
    history: &History,
    parts: Parts,
    body: Bytes,
) -> Response<Payload> {
    let took = job.arrived.elapsed();
    state.meter.answered(job.route.kind, took);
    info!(target: CALM, id = job.id, kind = %job.route.kind, status = parts.status.as_u16(),
        sends = history.sends, after_ms = millis(took), "request: answered");
    let body = Full::from(body).map_err(|never| match never {});
    head(&parts, Payload::new(body))
}

/// Returns the head of an upstream's answer for the caller, with a body.
pub fn head(parts: &Parts, body: Payload) -> Response<Payload> {
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

/// Reads an answer to its end, and keeps its connection.
pub async fn collect(
    state: &Arc<State>,
    job: &Job,
    answer: Exchange,
) -> Result<(Parts, Bytes), Code> {
    let Exchange {
        parts,
        body,
        connection,
        lease,
        sent: _,
    } = answer;
    let body = Limited::new(body, HELD_BYTES).collect();
    let body = match timeout_at(job.deadline, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => return Err(Code::AnswerTooLarge),
        Ok(Err(_)) => return Err(Code::AnswerCut),
        Err(_) => return Err(Code::StreamTimeout),
    };
    let now = Instant::now();
    state.pool.put(now, connection);
    let id = &lease.record.upstream.id;
    let observation = match parts.status.is_server_error() {
        true => Observation::Failed,
        false => Observation::Answered,
    };
    record_observation(state, id, observation);
    if parts.status.is_success() {
        lock(&state.strikes).absolve(job.fingerprint);
    }
    Ok((parts, body))
}
