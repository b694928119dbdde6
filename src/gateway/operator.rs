//! HTTP endpoints for the load balancer, for operators and for other hosts.
//!
//! Serves readiness, metrics, the store's items for followers, prompt placements for
//! hosts that start, and the versions that began streams.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio::time::timeout_at;
use tracing::info;
use tracing::warn;

use crate::boot;
use crate::gateway::accept::RETRY_AFTER_OTHER_HOST;
use crate::gateway::accept::header_text;
use crate::gateway::connection::set_tcp_options;
use crate::gateway::forward;
use crate::gateway::handoff::Handoff;
use crate::gateway::history;
use crate::gateway::intake::connections;
use crate::gateway::intake::connections::Excess;
use crate::gateway::listen;
use crate::gateway::listen::RequestGuard;
use crate::gateway::metrics;
use crate::gateway::metrics::Gauges;
use crate::gateway::refusal;
use crate::gateway::resume;
use crate::gateway::state::State;
use crate::gateway::stream::Payload;
use crate::gateway::table::Limits;
use crate::gateway::warmup;
use crate::lock::lock;
use crate::log::millis;
use crate::mirror::Position;
use crate::mirror::wire;
use crate::mirror::wire::Content;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::socket;
use crate::socket::Socket;

/// Maximum size of another host's request.
const MAX_REQUEST_BYTES: usize = 1_024;

/// Factor by which the head of a request that another host hands on may be longer than that of a
/// caller, since the host adds headers. The HTTP library's own limit is 400 KB for each connection.
const HEADER_FACTOR: usize = 2;

/// Maximum time that a follower waits for a change.
const MAX_WAIT: Duration = Duration::from_secs(5);

/// Delay after a failed accept.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time limit of a connection beyond the bound.
const REFUSE_TIMEOUT: Duration = Duration::from_secs(2);

/// Who may connect to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Audience {
    /// The load balancer and operators.
    Operators,
    /// Other hosts, which may hand requests on.
    Hosts,
}

/// Serves requests on a listener until the process stops.
pub async fn run(state: Arc<State>, listener: TcpListener, audience: Audience) {
    loop {
        let accepted = tokio::select! {
            () = state.stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                let lease = match audience {
                    Audience::Hosts => {
                        match listen::admit(&state, &state.hosts, listen::Audience::Hosts) {
                            Some(lease) => Some(Arc::new(lease)),
                            None => {
                                let max = state.intake_limits(0).hosts;
                                if let Some(excess) = Excess::new(&state.hosts, max) {
                                    tokio::spawn(refuse(state.clone(), stream, excess));
                                }
                                continue;
                            }
                        }
                    }
                    Audience::Operators => None,
                };
                if let Err(error) = set_tcp_options(&stream) {
                    warn!(%error, "operators: can't set TCP options");
                }
                let state = state.clone();
                let buffer = buffer_bytes(&state);
                let socket = Socket::new(stream, &socket::Guard::default());
                let socket = socket.with_lease(lease.clone());
                tokio::spawn(async move {
                    let service = service_fn(|request| {
                        let state = state.clone();
                        let lease = lease.clone();
                        async move { Ok::<_, Infallible>(serve(&state, request, lease).await) }
                    });
                    let connection = http1::Builder::new()
                        .max_buf_size(buffer)
                        .serve_connection(TokioIo::new(socket), service);
                    let closed = async {
                        match &lease {
                            Some(lease) => lease.closed().await,
                            None => std::future::pending().await,
                        }
                    };
                    let mut connection = std::pin::pin!(connection);
                    // Disconnects are not logged.
                    tokio::select! {
                        _ended = &mut connection => {}
                        () = closed => {
                            connection.as_mut().graceful_shutdown();
                            let _ended = timeout(listen::CLOSE_TIMEOUT, connection).await;
                        }
                    }
                });
            }
            Err(error) => {
                warn!(%error, "operators: can't accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Returns the size of the buffer for the head of a request.
fn buffer_bytes(state: &State) -> usize {
    let view = state.view();
    let header_bytes = view.route_table().map(|table| table.limits.header_bytes);
    let buffer = header_bytes.unwrap_or_else(|| Limits::default().header_bytes);
    let buffer = buffer.saturating_mul(HEADER_FACTOR);
    buffer.max(listen::MIN_BUFFER_BYTES)
}

/// Refuses the request of another host on a connection beyond the bound. If the connection were
/// closed at once, the other host couldn't tell whether the request that it wrote has run.
async fn refuse(state: Arc<State>, stream: TcpStream, excess: Excess) {
    if let Err(error) = set_tcp_options(&stream) {
        warn!(%error, "operators: can't set TCP options");
    }
    let service = service_fn(|request: Request<Incoming>| {
        let state = state.clone();
        async move { Ok::<_, Infallible>(refuse_request(&state, request).await) }
    });
    let connection = http1::Builder::new()
        .keep_alive(false)
        .max_buf_size(buffer_bytes(&state))
        .serve_connection(TokioIo::new(stream), service);
    // Disconnects are not logged.
    let _ended = timeout(REFUSE_TIMEOUT, connection).await;
    drop(excess);
}

/// Returns the response to a request for which there is no connection.
async fn refuse_request(state: &State, request: Request<Incoming>) -> Response<Payload> {
    let is_handoff = Handoff::of(request.headers()).is_some();
    let id = header_text(request.headers(), &state.names.attempt).unwrap_or_default();
    let id = id.to_owned();
    // A connection that is closed with unread bytes is reset, and the response is lost.
    let mut body = request.into_body();
    while let Some(Ok(_dropped)) = body.frame().await {}
    if !is_handoff {
        let response = respond(StatusCode::SERVICE_UNAVAILABLE, "no room\n");
        return response.map(|body| Payload::new(body.map_err(|never| match never {})));
    }
    // Hosts of earlier builds don't know `no-room`.
    let refusal = Refusal::not_run(Code::NotReady).with_retry_after(RETRY_AFTER_OTHER_HOST);
    state.meter.refused(refusal.code);
    info!(id, code = %refusal.code, "request: handed on beyond the bound on connections");
    let attempt = (!id.is_empty()).then_some((&state.names.attempt, id.as_str()));
    refusal::response(&refusal, attempt)
}

/// Serves a request. Only other hosts, whose connections have a `lease`, may hand requests on.
async fn serve(
    state: &Arc<State>,
    mut request: Request<Incoming>,
    lease: Option<Arc<connections::Lease>>,
) -> Response<Payload> {
    match (Handoff::of(request.headers()), lease) {
        (Some(handoff), Some(lease)) => {
            lease.wait(Instant::now());
            request.extensions_mut().insert(lease.clone());
            let guard = RequestGuard::new(state, lease);
            let response = forward::serve(state.clone(), request, Some(handoff)).await;
            guard.attach(response)
        }
        (_, lease) => {
            let is_open = lease.as_ref().is_none_or(|lease| lease.run());
            let response = match is_open {
                true => handle(state, request).await,
                false => respond(StatusCode::SERVICE_UNAVAILABLE, "no room\n"),
            };
            if let Some(lease) = &lease {
                lease.finish(Instant::now());
            }
            response.map(|body| Payload::new(body.map_err(|never| match never {})))
        }
    }
}

async fn handle(state: &Arc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let path = request.uri().path().to_owned();
    match (request.method(), path.as_str()) {
        (&Method::GET, path) if path == state.options.gateway.ready_path => {
            match state.is_ready(boot::Instant::now()) {
                true => respond(StatusCode::OK, "ready\n"),
                false => respond(StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
            }
        }
        (&Method::GET, wire::METRICS_PATH) => match state.meter.text(gauges(state)) {
            Ok(text) => respond(StatusCode::OK, text),
            Err(error) => respond(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
        },
        (&Method::POST, wire::PATH) => serve_follower(state, request).await,
        (&Method::POST, warmup::SNAPSHOT_PATH) => serve_placements(state),
        (&Method::POST, resume::PATH) => serve_origin(state, request).await,
        (&Method::POST, history::PATH) => serve_history(state),
        _ => respond(StatusCode::NOT_FOUND, "no such page\n"),
    }
}

fn gauges(state: &State) -> Gauges {
    let now = Instant::now();
    state.meter.set_queue_lengths(&state.queues.lengths());
    let view = state.view();
    Gauges {
        upstreams: view.upstreams(),
        hosts: lock(&state.peers).live(now).count() + 1,
        age: state.store_age(boot::Instant::now()),
        era: state.progress().position.era,
        retained: lock(&state.mirror).retained(),
        noticed: lock(&state.notices).len(),
        capacity: lock(&state.capacity).figures(now),
        load_age: lock(&state.loads).age(now),
        intake: intake(state),
        version: view.route_table().map_or(0, |table| table.version),
    }
}

fn intake(state: &State) -> metrics::Intake {
    let (bodies, body_bytes, evicted) = {
        let table = lock(&state.bodies);
        (table.count(), table.used(), table.evicted())
    };
    metrics::Intake {
        bodies,
        body_bytes,
        evicted,
        callers: lock(&state.callers).count(),
        hosts: lock(&state.hosts).count(),
    }
}

/// Returns the items after the follower's position, once there are any or its wait time
/// is over.
async fn serve_follower(state: &Arc<State>, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let started = Instant::now();
    let request: wire::Request = match decode(request).await {
        Ok(request) => request,
        Err(response) => return response,
    };
    let is_start = request.after == Position::default();
    if is_start && !lock(&state.copies).take(started) {
        return respond(StatusCode::SERVICE_UNAVAILABLE, "too many hosts start\n");
    }
    let wait = Duration::from_millis(request.wait_ms).min(MAX_WAIT);
    loop {
        let advanced = state.store_advanced.notified();
        if lock(&state.mirror).position() != request.after {
            break;
        }
        if timeout_at(started + wait, advanced).await.is_err() {
            break;
        }
    }
    let settling = lock(&state.outage).settling(boot::Instant::now());
    let reply = {
        let mirror = lock(&state.mirror);
        let Some(age) = mirror.age(boot::Instant::now()) else {
            return respond(StatusCode::SERVICE_UNAVAILABLE, "nothing known yet\n");
        };
        wire::Reply {
            position: mirror.position(),
            age_ms: millis(age),
            waited_ms: millis(started.elapsed()),
            settling_ms: millis(settling),
            facts: mirror.facts(boot::Instant::now()),
            content: match mirror.events_after(request.after) {
                Some(events) => Content::Changes(events),
                None => Content::Full(mirror.stored().clone()),
            },
        }
    };
    respond_encoded(&reply)
}

/// Returns which version began a stream, if this host knows.
async fn serve_origin(state: &State, request: Request<Incoming>) -> Response<Full<Bytes>> {
    let key: u64 = match decode(request).await {
        Ok(key) => key,
        Err(response) => return response,
    };
    let origins = lock(&state.origins);
    respond_encoded(&origins.version(Instant::now(), key))
}

/// Returns which versions were listed lately, for a host that starts.
fn serve_history(state: &State) -> Response<Full<Bytes>> {
    respond_encoded(&history::own(state))
}

/// Decodes another host's request. Fails with the response to an invalid one.
async fn decode<T: DeserializeOwned>(
    request: Request<Incoming>,
) -> Result<T, Response<Full<Bytes>>> {
    let body = Limited::new(request.into_body(), MAX_REQUEST_BYTES);
    match body.collect().await {
        Ok(body) => rmp_serde::from_slice(&body.to_bytes())
            .map_err(|error| respond(StatusCode::BAD_REQUEST, error.to_string())),
        Err(error) => Err(respond(StatusCode::BAD_REQUEST, error.to_string())),
    }
}

/// Returns which upstreams hold which prompts, for a host that starts.
fn serve_placements(state: &State) -> Response<Full<Bytes>> {
    respond_encoded(&lock(&state.prefix_cache).snapshot(Instant::now()))
}

fn respond_encoded<T: Serialize>(reply: &T) -> Response<Full<Bytes>> {
    match wire::encode(reply) {
        Ok(bytes) => respond(StatusCode::OK, bytes),
        Err(error) => respond(StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    }
}

fn respond(status: StatusCode, body: impl Into<Bytes>) -> Response<Full<Bytes>> {
    let mut response = Response::new(Full::new(body.into()));
    *response.status_mut() = status;
    response
}
