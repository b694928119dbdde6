//! A model engine: chat completions with a prefix cache, a warm-up after a cold
//! start, and a load report that lags. An overload during warm-up crashes it.

pub mod chat;

mod cache;
mod job;
mod load;
mod work;

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::journal::Running;
use crate::server;
use crate::server::Shared;
use crate::server::reply;
use crate::server::reply::Body;
use work::Engine;

/// Options of an engine.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The name of the engine.
    pub name: String,
    /// The model that it serves.
    pub model: String,
    /// How many requests run at a time; others wait.
    pub slots: u32,
    /// How many requests it can take when cold; each answer raises the number.
    pub cold_slots: u32,
    /// How many answers make it warm.
    pub warm_after: u32,
    /// How long it is down after a crash because of overload.
    pub crash_downtime: Duration,
    /// Prefill time of a thousand uncached prompt tokens.
    pub prefill_per_1k: Duration,
    /// Decode time of each token of the answer.
    pub token_time: Duration,
    /// Capacity of the prefix cache, in tokens.
    pub cache_tokens: u64,
    /// Age of the load that is reported.
    pub load_lag: Duration,
}

impl Default for Options {
    fn default() -> Self {
        Self {
            name: "engine".to_owned(),
            model: "assistant".to_owned(),
            slots: 8,
            cold_slots: 2,
            warm_after: 8,
            crash_downtime: Duration::from_secs(2),
            prefill_per_1k: Duration::from_millis(20),
            token_time: Duration::from_millis(1),
            cache_tokens: 200_000,
            load_lag: Duration::from_millis(500),
        }
    }
}

/// Handle to a running engine. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    /// The faults and the journal.
    pub shared: Shared,
    warmup: Arc<work::Warmup>,
}

impl Handle {
    /// Makes the engine cold, with an empty prefix cache.
    pub fn restart_cold(&self) {
        self.warmup.restart_cold();
    }
}

/// Runs an engine until the token is cancelled.
pub async fn run(
    listener: TcpListener,
    options: Options,
    handle: Handle,
    token: CancellationToken,
) -> Result<(), server::Error> {
    let shared = handle.shared.clone();
    let engine = Arc::new(Engine::new(options, handle));
    let sampling = tokio::spawn(load::sample(Arc::clone(&engine), token.clone()));
    let handler = move |request, running| route(Arc::clone(&engine), request, running);
    let result = server::run(listener, shared, handler, token).await;
    sampling.abort();
    result
}

async fn route(engine: Arc<Engine>, request: Request<Bytes>, running: Running) -> Response<Body> {
    let path = request.uri().path();
    let response = match (request.method(), path) {
        (&Method::POST, "/v1/chat/completions") => {
            return engine.complete(request.into_body(), running).await;
        }
        (&Method::GET, "/v1/models") => reply::json(StatusCode::OK, &models(engine.options())),
        (&Method::GET, "/load") => reply::json(StatusCode::OK, &engine.reported_load()),
        (&Method::POST, "/standin/chill") => {
            engine.restart_cold();
            reply::empty(StatusCode::NO_CONTENT)
        }
        _ => reply::empty(StatusCode::NOT_FOUND),
    };
    running.done();
    response
}

fn models(options: &Options) -> serde_json::Value {
    json!({
        "object": "list",
        "data": [{"id": options.model, "object": "model", "owned_by": options.name}],
    })
}
