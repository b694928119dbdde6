//! Listener for callers.
//!
//! Accepts connections, serves HTTP/1 on them, and counts connections and requests so
//! that a shutdown can wait for them.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::Ordering;
use std::time::Duration;

use http::Request;
use http::Response;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tracing::warn;

use crate::gateway::connection::set_tcp_options;
use crate::gateway::forward;
use crate::gateway::intake::connections;
use crate::gateway::state::State;
use crate::gateway::stream::Payload;
use crate::gateway::table::Limits;
use crate::lock::lock;
use crate::socket;
use crate::socket::Socket;

/// Minimum size of the header buffer that hyper accepts.
pub const MIN_BUFFER_BYTES: usize = 8_192;

/// Factor by which idle connections are kept longer than the published idle time-out,
/// so that none is closed while a request is on its way.
const IDLE_TIMEOUT_FACTOR: u32 = 2;

/// Delay after a failed accept, for example when file descriptors run out.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Time for the last bytes of a response on a connection that is closed to make room for another.
pub const CLOSE_TIMEOUT: Duration = Duration::from_millis(250);

/// Accepts callers' connections until idle connections are to be closed.
/// Connections that are open by then are still served.
pub async fn run(state: Arc<State>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = state.closing.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let Some(lease) = admit(&state, &state.callers, Audience::Callers) else {
                    continue;
                };
                let guard = ConnectionGuard::new(&state);
                let state = state.clone();
                tokio::spawn(async move {
                    serve(state, stream, Arc::new(lease)).await;
                    drop(guard);
                });
            }
            Err(error) => {
                warn!(%error, "callers: can't accept a connection");
                tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            }
        }
    }
}

/// Who opens the connections that are bounded together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Audience {
    /// Callers.
    Callers,
    /// Other hosts.
    Hosts,
}

/// Counts a new connection if there is room for it.
pub fn admit(
    state: &State,
    table: &Arc<Mutex<connections::Table>>,
    audience: Audience,
) -> Option<connections::Lease> {
    let now = Instant::now();
    // The size of bodies doesn't matter for connections.
    let limits = state.intake_limits(0);
    let max = match audience {
        Audience::Callers => limits.callers,
        Audience::Hosts => limits.hosts,
    };
    let (lease, shed) = connections::Lease::new(table, now, max);
    if let Some(shed) = shed {
        state.meter.shed(audience.into(), shed.into());
    }
    let unlogged = lock(table).take_unlogged(now);
    if let Some(count) = unlogged {
        let audience: &str = audience.into();
        warn!(
            audience,
            count, max, "connections: no room, some are closed or refused"
        );
    }
    lease
}

async fn serve(state: Arc<State>, stream: TcpStream, lease: Arc<connections::Lease>) {
    if let Err(error) = set_tcp_options(&stream) {
        warn!(%error, "callers: can't set TCP options");
    }
    let limits = state
        .view()
        .route_table()
        .map_or_else(Limits::default, |table| table.limits.clone());
    let guard = socket::Guard::default();
    let socket = Socket::new(stream, &guard).with_lease(Some(lease.clone()));
    let service = {
        let state = state.clone();
        let guard = guard.clone();
        let lease = lease.clone();
        service_fn(move |mut request: Request<Incoming>| {
            guard.record_request(request.version());
            lease.wait(Instant::now());
            request.extensions_mut().insert(lease.clone());
            let state = state.clone();
            let lease = lease.clone();
            async move {
                let guard = RequestGuard::new(&state, lease);
                let response = forward::serve(state.clone(), request, None).await;
                Ok::<_, Infallible>(guard.attach(response))
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout * IDLE_TIMEOUT_FACTOR)
        .max_buf_size(limits.header_bytes.max(MIN_BUFFER_BYTES))
        .serve_connection(TokioIo::new(socket), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = state.closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
        () = lease.closed() => {
            connection.as_mut().graceful_shutdown();
            match timeout(CLOSE_TIMEOUT, connection).await {
                Ok(ended) => ended,
                Err(_) => return guard.record_failure(),
            }
        }
    };
    // A caller that disconnects and a response that ends early are errors here; the
    // handler of the request has logged both.
    if ended.is_err() {
        guard.record_failure();
    }
}

/// Counts a connection as open until it is dropped.
struct ConnectionGuard {
    state: Arc<State>,
}

impl ConnectionGuard {
    fn new(state: &Arc<State>) -> Self {
        state.connections.fetch_add(1, Ordering::Relaxed);
        Self {
            state: state.clone(),
        }
    }
}

impl Drop for ConnectionGuard {
    fn drop(&mut self) {
        self.state.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as in flight until it is dropped.
pub struct RequestGuard {
    state: Arc<State>,
    lease: Arc<connections::Lease>,
}

impl RequestGuard {
    /// Begins to count a request on a connection.
    pub fn new(state: &Arc<State>, lease: Arc<connections::Lease>) -> Self {
        state.active.fetch_add(1, Ordering::Relaxed);
        Self {
            state: state.clone(),
            lease,
        }
    }

    /// Keeps the request counted until its response body is dropped.
    pub fn attach(self, response: Response<Payload>) -> Response<Payload> {
        response.map(|body| {
            let guard = self;
            body.map_frame(move |frame| {
                let _guard = &guard;
                frame
            })
            .boxed_unsync()
        })
    }
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.state.active.fetch_sub(1, Ordering::Relaxed);
        self.lease.finish(Instant::now());
    }
}
