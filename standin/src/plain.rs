//! A plain service: lookup of seats, purchase of tickets, a load report, and an
//! echo of any other request. Purchases are recorded in the journal.

use std::sync::Arc;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde_json::json;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::answer::Purchase;
use crate::answer::Receipt;
use crate::answer::Seat;
use crate::journal::Running;
use crate::server;
use crate::server::Shared;
use crate::server::reply;
use crate::server::reply::Body;
use crate::time::sleep;

/// Options of a plain service.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Options {
    /// The name of the instance.
    pub name: String,
    /// Duration of each call.
    pub work_time: Duration,
}

/// One instance of the service.
#[derive(Debug)]
struct Service {
    options: Options,
    shared: Shared,
    running: AtomicU64,
}

/// Runs a plain service until the token is cancelled.
pub async fn run(
    listener: TcpListener,
    options: Options,
    shared: Shared,
    token: CancellationToken,
) -> Result<(), server::Error> {
    let service = Arc::new(Service {
        options,
        shared: shared.clone(),
        running: AtomicU64::new(0),
    });
    let handler = move |request, running| route(Arc::clone(&service), request, running);
    server::run(listener, shared, handler, token).await
}

async fn route(service: Arc<Service>, request: Request<Bytes>, running: Running) -> Response<Body> {
    service.running.fetch_add(1, Ordering::AcqRel);
    let response = service.call(&request).await;
    service.running.fetch_sub(1, Ordering::AcqRel);
    running.done();
    response
}

impl Service {
    async fn call(&self, request: &Request<Bytes>) -> Response<Body> {
        let path = request.uri().path();
        match (request.method(), path, path.strip_prefix("/tickets/seats/")) {
            (&Method::POST, "/tickets/buy", _) => self.buy(request.body()).await,
            (&Method::GET, _, Some(seat)) => self.look_up(seat).await,
            (&Method::GET, "/load", _) => self.load(),
            _ => self.echo(request).await,
        }
    }

    async fn buy(&self, body: &[u8]) -> Response<Body> {
        let Ok(purchase) = serde_json::from_slice::<Purchase>(body) else {
            return reply::empty(StatusCode::BAD_REQUEST);
        };
        self.shared.journal.record_purchase(&purchase.id);
        sleep(self.options.work_time).await;
        reply::json(StatusCode::OK, &Receipt::of(&purchase, body))
    }

    async fn look_up(&self, seat: &str) -> Response<Body> {
        sleep(self.options.work_time).await;
        match seat.parse() {
            Ok(seat) => reply::json(StatusCode::OK, &Seat::of(seat)),
            Err(_) => reply::empty(StatusCode::NOT_FOUND),
        }
    }

    fn load(&self) -> Response<Body> {
        let running = self.running.load(Ordering::Acquire).saturating_sub(1);
        reply::json(StatusCode::OK, &json!({"running": running, "queued": 0}))
    }

    async fn echo(&self, request: &Request<Bytes>) -> Response<Body> {
        sleep(self.options.work_time).await;
        let body = request.body().clone();
        reply::bytes_as(StatusCode::OK, "application/octet-stream", body)
    }
}
