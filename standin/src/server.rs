//! HTTP/1 server of the stand-ins with fault injection. It applies the faults
//! of a [`fault::Handle`] and records executions in a [`Journal`].

pub mod reply;
pub mod socket;

mod connection;

use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tracing::warn;

use crate::fault;
use crate::fault::Reachability;
use crate::journal::Journal;
use crate::journal::Running;
use reply::Body;

/// Header with the id of an exchange, in requests and responses.
pub const EXCHANGE: &str = "masticmoor-exchange";

/// Delay before another attempt to bind the address.
const REBIND_DELAY: Duration = Duration::from_millis(20);

/// Why a server could not run.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The local address of the listener can't be determined.
    #[error("local address of the listener can't be determined")]
    Address(#[source] io::Error),
}

/// State of a server that its user shares.
#[derive(Clone, Debug, Default)]
pub struct Shared {
    /// The faults to inject.
    pub fault: fault::Handle,
    /// The record of executions.
    pub journal: Journal,
}

/// Serves a listener until the token is cancelled. The listener is closed while
/// the server is not reachable, and the same address is bound again afterwards.
pub async fn run<H, F>(
    listener: TcpListener,
    shared: Shared,
    handler: H,
    token: CancellationToken,
) -> Result<(), Error>
where
    H: Fn(Request<Bytes>, Running) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    let address = listener.local_addr().map_err(Error::Address)?;
    let mut reachability = shared.fault.watch();
    let mut listener = Some(listener);
    let mut connections = token.child_token();
    while !token.is_cancelled() {
        let current = *reachability.borrow_and_update();
        match (current, listener.take()) {
            (Reachability::Up, Some(bound)) => {
                shared.fault.record_applied(current);
                accept(&bound, &shared, &handler, &connections, &mut reachability).await;
                listener = Some(bound);
            }
            (Reachability::Up, None) => listener = bind(address).await,
            (Reachability::Refusing, closed) => {
                drop(closed);
                shared.fault.record_applied(current);
                wait_for_change(&mut reachability, &token).await;
            }
            (Reachability::Down, closed) => {
                drop(closed);
                connections.cancel();
                connections = token.child_token();
                shared.fault.record_applied(current);
                wait_for_change(&mut reachability, &token).await;
            }
        }
    }
    Ok(())
}

/// Accepts connections until the reachability changes or the token is cancelled.
async fn accept<H, F>(
    listener: &TcpListener,
    shared: &Shared,
    handler: &H,
    connections: &CancellationToken,
    reachability: &mut watch::Receiver<Reachability>,
) where
    H: Fn(Request<Bytes>, Running) -> F + Clone + Send + Sync + 'static,
    F: Future<Output = Response<Body>> + Send + 'static,
{
    loop {
        let accepted = tokio::select! {
            () = connections.cancelled() => return,
            _ = reachability.changed() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                disable_nagle(&stream);
                let socket = shared.fault.sockets().add(stream);
                let serve =
                    connection::serve(socket, shared.clone(), handler.clone(), connections.clone());
                tokio::spawn(serve);
            }
            Err(error) => warn!(%error, "server: failed to accept a connection"),
        }
    }
}

/// Disables Nagle's algorithm, which would delay small chunks of a stream.
fn disable_nagle(stream: &TcpStream) {
    if let Err(error) = stream.set_nodelay(true) {
        warn!(%error, "server: failed to set TCP_NODELAY");
    }
}

async fn bind(address: SocketAddr) -> Option<TcpListener> {
    match TcpListener::bind(address).await {
        Ok(listener) => Some(listener),
        Err(error) => {
            warn!(%error, %address, "server: failed to bind the address, retrying");
            tokio::time::sleep(REBIND_DELAY).await;
            None
        }
    }
}

async fn wait_for_change(
    reachability: &mut watch::Receiver<Reachability>,
    token: &CancellationToken,
) {
    tokio::select! {
        () = token.cancelled() => (),
        _ = reachability.changed() => (),
    }
}
