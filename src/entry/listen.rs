//! Accepts the connections of callers and serves HTTP on them.

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use http::uri::Scheme;
use hyper::body::Incoming;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::server::conn::auto;
use poem::Addr;
use poem::web::LocalAddr;
use poem::web::RemoteAddr;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::task::TaskTracker;

use crate::entry::caller;
use crate::socket;
use crate::socket::Socket;
use crate::state::State;

/// The pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(10);

/// Accepts connections until the host takes no more callers, then waits until
/// each has its complete response.
///
/// `poem`'s own server is not used: it polls a connection again after the body
/// of a response failed, which sends the end marker of the body, so that a
/// truncated response looks complete.
pub async fn run(state: Arc<State>, listener: TcpListener) {
    let connections = TaskTracker::new();
    loop {
        let accepted = tokio::select! {
            () = state.intake_closed.cancelled() => break,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, remote_address)) => {
                connections.spawn(serve(state.clone(), stream, remote_address));
            }
            Err(error) => {
                tracing::warn!(%error, "entry: accept failed");
                tokio::time::sleep(ACCEPT_PAUSE).await;
            }
        }
    }
    drop(listener);
    connections.close();
    connections.wait().await;
}

async fn serve(state: Arc<State>, stream: TcpStream, remote_address: SocketAddr) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "entry: setting TCP_NODELAY failed");
    }
    let local_address = stream.local_addr().unwrap_or(state.options.host.caller);
    let closed = state.intake_closed.clone();
    let guard = socket::Guard::default();
    let socket = Socket::new(stream, &guard);
    let requests = guard.clone();
    let service = service_fn(move |request: http::Request<Incoming>| {
        requests.record_request(request.version());
        let state = state.clone();
        let local = LocalAddr(Addr::SocketAddr(local_address));
        let remote = RemoteAddr(Addr::SocketAddr(remote_address));
        let request = poem::Request::from((request, local, remote, Scheme::HTTP));
        async move {
            let response = caller::handle(state, request).await;
            Ok::<http::Response<_>, Infallible>(response.into())
        }
    });
    let builder = auto::Builder::new(TokioExecutor::new());
    let mut connection = std::pin::pin!(builder.serve_connection(TokioIo::new(socket), service));
    let served = tokio::select! {
        served = connection.as_mut() => served,
        () = closed.cancelled() => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    if let Err(error) = served {
        tracing::debug!(%error, "entry: connection failed");
        guard.record_failure();
    }
}
