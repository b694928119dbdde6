//! One connection of a stand-in. Control requests are answered here; all others
//! go to the handler, with the faults of the current plan applied.

use std::convert::Infallible;
use std::future::Future;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio_util::sync::CancellationToken;
use tracing::debug;

use super::EXCHANGE;
use super::Shared;
use super::reply;
use super::reply::Body;
use super::socket::Flags;
use super::socket::Socket;
use crate::answer;
use crate::fault::Command;
use crate::fault::Plan;
use crate::fault::Reachability;
use crate::fault::Reset;
use crate::journal::Run;
use crate::journal::Running;
use crate::time::sleep;

/// Id of the exchange in a response with a foreign exchange.
const FOREIGN_EXCHANGE: HeaderValue = HeaderValue::from_static("foreign-exchange");

/// Serves one connection until it closes or the token is cancelled.
pub(super) async fn serve<H, F>(
    socket: Socket,
    shared: Shared,
    handler: H,
    connections: CancellationToken,
) where
    H: Fn(Request<Bytes>, Running) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let flags = socket.flags();
    let service = service_fn(move |request| {
        let response = respond(request, shared.clone(), handler.clone(), Arc::clone(&flags));
        async move { Ok::<_, Infallible>(response.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .serve_connection(TokioIo::new(socket), service);
    tokio::select! {
        () = connections.cancelled() => (),
        result = connection => if let Err(error) = result {
            debug!(%error, "server: connection ended");
        },
    }
}

async fn respond<H, F>(
    request: Request<Incoming>,
    shared: Shared,
    handler: H,
    flags: Arc<Flags>,
) -> Response<Body>
where
    H: Fn(Request<Bytes>, Running) -> F,
    F: Future<Output = Response<Body>>,
{
    let (parts, body) = request.into_parts();
    let Ok(body) = body.collect().await else {
        return reply::empty(StatusCode::BAD_REQUEST);
    };
    let request = Request::from_parts(parts, body.to_bytes());
    match control_response(&request, &shared) {
        Some(response) => response,
        None => respond_with_faults(request, shared, handler, flags).await,
    }
}

fn control_response(request: &Request<Bytes>, shared: &Shared) -> Option<Response<Body>> {
    match (request.method(), request.uri().path()) {
        (&Method::GET, "/standin/journal") => {
            Some(reply::json(StatusCode::OK, &shared.journal.snapshot()))
        }
        (&Method::POST, "/standin/fault") => Some(execute(request.body(), shared)),
        _ => None,
    }
}

fn execute(body: &[u8], shared: &Shared) -> Response<Body> {
    match serde_json::from_slice::<Command>(body) {
        Ok(command) => {
            shared.fault.execute(command);
            reply::empty(StatusCode::NO_CONTENT)
        }
        Err(error) => {
            let text = Bytes::from(error.to_string());
            reply::bytes_as(StatusCode::BAD_REQUEST, "text/plain", text)
        }
    }
}

/// Runs the handler and applies the faults of the plan.
async fn respond_with_faults<H, F>(
    request: Request<Bytes>,
    shared: Shared,
    handler: H,
    flags: Arc<Flags>,
) -> Response<Body>
where
    H: Fn(Request<Bytes>, Running) -> F,
    F: Future<Output = Response<Body>>,
{
    let plan = shared.fault.next();
    if has_crash_marker(&plan, request.body()) {
        return crash(&plan, &shared).await;
    }
    if plan.reset == Some(Reset::BeforeRun) {
        flags.reset();
        return reply::empty(StatusCode::OK);
    }
    let exchange = request.headers().get(EXCHANGE).cloned();
    let running = shared.journal.begin(describe(&request));
    let mut response = handler(request, running).await;
    sleep(Duration::from_millis(plan.late_ms)).await;
    if let Some(exchange) = exchange {
        let response_exchange = if plan.foreign {
            FOREIGN_EXCHANGE
        } else {
            exchange
        };
        response.headers_mut().insert(EXCHANGE, response_exchange);
    }
    apply_faults(response, &plan, &flags).await
}

async fn apply_faults(response: Response<Body>, plan: &Plan, flags: &Flags) -> Response<Body> {
    match plan.reset {
        Some(Reset::AfterFirst) => reply::abort_after_first_chunk(response),
        Some(Reset::BeforeRun | Reset::AfterRun) => {
            flags.reset();
            response
        }
        None if plan.truncated => reply::truncate(response).await,
        None if plan.duplicated => reply::duplicate(response).await,
        None => response,
    }
}

fn has_crash_marker(plan: &Plan, body: &[u8]) -> bool {
    plan.marker.as_deref().is_some_and(|marker| {
        !marker.is_empty()
            && body
                .windows(marker.len())
                .any(|window| window == marker.as_bytes())
    })
}

async fn crash(plan: &Plan, shared: &Shared) -> Response<Body> {
    shared.journal.record_crash();
    let duration = Duration::from_millis(plan.crash_ms);
    shared.fault.limit(Reachability::Down, duration);
    std::future::pending().await
}

fn describe(request: &Request<Bytes>) -> Run {
    let exchange = request.headers().get(EXCHANGE);
    Run {
        call: format!("{} {}", request.method(), request.uri().path()),
        exchange: exchange.and_then(|id| id.to_str().ok()).map(str::to_owned),
        fingerprint: answer::fingerprint(request.body()),
        end: None,
    }
}
