//! The listener for callers.

use std::convert::Infallible;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tracing::warn;

use crate::gateway::connection::harden;
use crate::gateway::forward;
use crate::gateway::state::State;
use crate::gateway::table::Limits;

/// The least buffer for headers that the HTTP library takes, in bytes.
const LEAST_BUFFER: usize = 8_192;

/// How much longer a resting connection is kept than callers are told, so that
/// none is closed while a request is on its way.
const IDLE_MARGIN: u32 = 2;

/// The pause after a failure to accept, as when descriptors run out.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Accepts callers until the host leaves. Those that had connected by then are
/// still served.
pub async fn run(state: Arc<State>, listener: TcpListener) {
    loop {
        let accepted = tokio::select! {
            biased;
            accepted = listener.accept() => accepted,
            () = state.closing.cancelled() => return,
        };
        match accepted {
            Ok((stream, _)) => {
                let open = Open::new(&state);
                let state = state.clone();
                tokio::spawn(async move {
                    serve(state, stream).await;
                    drop(open);
                });
            }
            Err(error) => {
                warn!(%error, "callers: can't accept a connection");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
}

async fn serve(state: Arc<State>, stream: TcpStream) {
    if let Err(error) = harden(&stream) {
        warn!(%error, "callers: connection without probes");
    }
    let limits = state
        .view()
        .route_table()
        .map_or_else(Limits::default, |table| table.limits.clone());
    let service = {
        let state = state.clone();
        service_fn(move |request| {
            let state = state.clone();
            async move {
                let active = Active::new(&state);
                let response = forward::serve(state.clone(), request).await;
                Ok::<_, Infallible>(active.attach(response))
            }
        })
    };
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle_timeout * IDLE_MARGIN)
        .max_buf_size(limits.header_bytes.max(LEAST_BUFFER))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = &mut connection => ended,
        () = state.closing.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    // Callers that leave, and answers that were cut, end here; both are logged
    // with their request.
    drop(ended);
}

/// Counts a connection until this is dropped.
struct Open {
    state: Arc<State>,
}

impl Open {
    fn new(state: &Arc<State>) -> Self {
        state.connections.fetch_add(1, Ordering::Relaxed);
        Self {
            state: state.clone(),
        }
    }
}

impl Drop for Open {
    fn drop(&mut self) {
        self.state.connections.fetch_sub(1, Ordering::Relaxed);
    }
}

/// Counts a request as under way until its answer was handed over.
struct Active {
    state: Arc<State>,
}

impl Active {
    fn new(state: &Arc<State>) -> Self {
        state.active.fetch_add(1, Ordering::Relaxed);
        Self {
            state: state.clone(),
        }
    }

    /// Ties the count to the end of the answer's body.
    fn attach(
        self,
        response: http::Response<crate::gateway::stream::Payload>,
    ) -> http::Response<crate::gateway::stream::Payload> {
        use http_body_util::BodyExt;
        response.map(|body| {
            let held = self;
            body.map_frame(move |frame| {
                let _count = &held;
                frame
            })
            .boxed_unsync()
        })
    }
}

impl Drop for Active {
    fn drop(&mut self) {
        self.state.active.fetch_sub(1, Ordering::Relaxed);
    }
}
