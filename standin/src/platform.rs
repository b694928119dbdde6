//! The platform: a read-only configuration service, whose values can be read
//! and watched, and the list of hosts. It can serve stale values and be slow.

pub mod fault;
pub mod hosts;

mod files;
mod store;

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderValue;
use http::Method;
use http::Request;
use http::Response;
use http::StatusCode;
use serde::Deserialize;
use serde::Serialize;
use tokio::net::TcpListener;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::journal::Running;
use crate::server;
use crate::server::Shared;
use crate::server::reply;
use crate::server::reply::Body;
use crate::sync::lock;
use crate::time::sleep;
use fault::Plan;
use hosts::Host;
use store::Store;
use store::Value;

/// Header with the revision of a value.
pub const REVISION: &str = "revision";
/// Maximum duration of a watch.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Options of a platform.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Options {
    /// A directory whose files are published, and again whenever they change.
    pub dir: Option<PathBuf>,
}

/// Number of calls of each kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Calls {
    /// Reads of a value.
    pub reads: u64,
    /// Watches of a value.
    pub watches: u64,
    /// Watches that are waiting now.
    pub waiting: u64,
    /// Reads of the list of hosts.
    pub hosts: u64,
}

/// Handle to a running platform. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    /// The faults that all stand-ins support, and the journal.
    pub shared: Shared,
    inner: Arc<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    store: Mutex<Store>,
    plan: Mutex<Plan>,
    changed: watch::Sender<u64>,
    calls: Mutex<Calls>,
    read_count: AtomicU64,
}

impl Handle {
    /// Publishes a value under a key.
    pub fn publish(&self, key: &str, text: &str) {
        lock(&self.inner.store).publish(key, text);
        self.inner.changed.send_modify(|count| *count += 1);
    }

    /// Publishes the list of hosts.
    pub fn publish_hosts(&self, hosts: Vec<Host>) {
        lock(&self.inner.store).hosts = hosts;
    }

    /// Sets the faults of the platform and wakes all watches.
    pub fn set_plan(&self, plan: Plan) {
        *lock(&self.inner.plan) = plan;
        self.inner.changed.send_modify(|count| *count += 1);
    }

    /// Returns the number of calls of each kind.
    pub fn calls(&self) -> Calls {
        *lock(&self.inner.calls)
    }

    /// Returns the value that the replica of the next read has.
    fn value(&self, key: &str) -> Option<Value> {
        let read_count = self.inner.read_count.fetch_add(1, Ordering::AcqRel);
        let age = lock(&self.inner.plan).age(read_count);
        lock(&self.inner.store).value(key, age)
    }

    fn count(&self, change: impl FnOnce(&mut Calls)) {
        change(&mut lock(&self.inner.calls));
    }
}

/// Runs a platform until the token is cancelled.
pub async fn run(
    listener: TcpListener,
    options: Options,
    handle: Handle,
    token: CancellationToken,
) -> Result<(), server::Error> {
    if let Some(dir) = options.dir {
        let modified = files::read(&dir, &handle).await;
        tokio::spawn(files::watch(dir, modified, handle.clone(), token.clone()));
    }
    let shared = handle.shared.clone();
    let handler = move |request, running| route(handle.clone(), request, running);
    server::run(listener, shared, handler, token).await
}

async fn route(handle: Handle, request: Request<Bytes>, running: Running) -> Response<Body> {
    let slow_ms = lock(&handle.inner.plan).slow_ms;
    sleep(Duration::from_millis(slow_ms)).await;
    let path = request.uri().path();
    let response = match (request.method(), path, path.strip_prefix("/v1/values/")) {
        (&Method::GET, _, Some(key)) => value(&handle, key, request.uri().query()).await,
        (&Method::GET, "/v1/hosts", _) => {
            handle.count(|calls| calls.hosts += 1);
            reply::json(StatusCode::OK, &lock(&handle.inner.store).hosts)
        }
        (&Method::GET, "/standin/calls", _) => reply::json(StatusCode::OK, &handle.calls()),
        (&Method::POST, "/standin/platform", _) => set_plan(&handle, request.body()),
        _ => reply::empty(StatusCode::NOT_FOUND),
    };
    running.done();
    response
}

fn set_plan(handle: &Handle, body: &[u8]) -> Response<Body> {
    match serde_json::from_slice(body) {
        Ok(plan) => {
            handle.set_plan(plan);
            reply::empty(StatusCode::NO_CONTENT)
        }
        Err(error) => {
            let text = Bytes::from(error.to_string());
            reply::bytes_as(StatusCode::BAD_REQUEST, "text/plain", text)
        }
    }
}

async fn value(handle: &Handle, key: &str, query: Option<&str>) -> Response<Body> {
    match (query_number(query, "after"), query_number(query, "wait_ms")) {
        (Some(after), wait_ms) => {
            let wait = Duration::from_millis(wait_ms.unwrap_or(0)).min(MAX_WAIT);
            watch_value(handle, key, after, wait).await
        }
        (None, _) => {
            handle.count(|calls| calls.reads += 1);
            match handle.value(key) {
                Some(value) => value_response(value),
                None => reply::empty(StatusCode::NOT_FOUND),
            }
        }
    }
}

/// Waits for a revision greater than `after`. Responds with status 304 if there
/// is none in time.
async fn watch_value(handle: &Handle, key: &str, after: u64, wait: Duration) -> Response<Body> {
    handle.count(|calls| calls.watches += 1);
    let _waiting = Waiting::new(handle);
    let mut changed = handle.inner.changed.subscribe();
    let deadline = Instant::now() + wait;
    loop {
        changed.mark_unchanged();
        match handle.value(key) {
            Some(value) if value.revision > after => return value_response(value),
            _ => (),
        }
        match tokio::time::timeout_at(deadline, changed.changed()).await {
            Ok(Ok(())) => (),
            _ => return reply::empty(StatusCode::NOT_MODIFIED),
        }
    }
}

/// Counts one waiting watch until it is dropped.
struct Waiting(Handle);

impl Waiting {
    fn new(handle: &Handle) -> Self {
        handle.count(|calls| calls.waiting += 1);
        Self(handle.clone())
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        self.0.count(|calls| calls.waiting -= 1);
    }
}

fn value_response(value: Value) -> Response<Body> {
    let mut response = reply::bytes_as(StatusCode::OK, "application/toml", value.text);
    let revision = HeaderValue::from(value.revision);
    response.headers_mut().insert(REVISION, revision);
    response
}

fn query_number(query: Option<&str>, name: &str) -> Option<u64> {
    query?
        .split('&')
        .filter_map(|pair| pair.split_once('='))
        .find(|(key, _)| *key == name)
        .and_then(|(_, value)| value.parse().ok())
}
