//! Starts the tasks of a host, serves until a signal arrives, and shuts down.

use std::net::SocketAddr;
use std::sync::Arc;

use poem::Endpoint;
use poem::Server;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::task::JoinHandle;
use tokio::time::Instant;

use crate::daemon::accept::NoDelay;
use crate::daemon::config;
use crate::daemon::heartbeat;
use crate::daemon::meter;
use crate::daemon::operator;
use crate::daemon::peer;
use crate::daemon::shutdown;
use crate::entry::listen;
use crate::options::Options;
use crate::peer::server;
use crate::state::State;
use crate::token;

/// Why a host can't start.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// A listening socket can't be bound.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why the bind failed.
        source: std::io::Error,
    },
    /// The host name doesn't fit into a token.
    #[error("can't issue tokens: {0}")]
    Name(#[from] token::Fault),
    /// The StatsD client can't be set up.
    #[error(transparent)]
    Metric(#[from] crate::meter::statsd::Error),
    /// The handlers for the signals that end the process can't be installed.
    #[error("can't install signal handlers: {0}")]
    Signal(#[source] std::io::Error),
    /// A listener can't be handed to the HTTP server.
    #[error("can't serve HTTP on the listener: {0}")]
    Server(#[source] std::io::Error),
}

/// The listening sockets of a host.
pub struct Sockets {
    /// Accepts callers.
    pub caller: TcpListener,
    /// Accepts connections of other hosts.
    pub peer: TcpListener,
    /// Sends and receives heartbeats.
    pub heartbeat: UdpSocket,
    /// Accepts operators and the load balancer.
    pub operator: TcpListener,
}

impl Sockets {
    /// Binds the sockets to the addresses in the settings.
    pub async fn open(options: &Options) -> Result<Self, Fault> {
        let host = &options.host;
        Ok(Self {
            caller: listen(host.caller).await?,
            peer: listen(host.peer).await?,
            heartbeat: UdpSocket::bind(host.peer).await.map_err(|source| {
                let address = host.peer;
                Fault::Listen { address, source }
            })?,
            operator: listen(host.operator).await?,
        })
    }
}

async fn listen(address: SocketAddr) -> Result<TcpListener, Fault> {
    TcpListener::bind(address)
        .await
        .map_err(|source| Fault::Listen { address, source })
}

/// A running host.
pub struct Host {
    /// The state shared by its tasks.
    pub state: Arc<State>,
    heartbeat: Arc<UdpSocket>,
    /// The caller listener; it ends once every response has been sent.
    callers: JoinHandle<()>,
}

impl Host {
    /// Starts the tasks of a host. Fails if the host name doesn't fit into a token,
    /// or a listener or the StatsD client can't be set up.
    pub fn start(options: Options, sockets: Sockets, random: &mut StdRng) -> Result<Self, Fault> {
        let state = Arc::new(State::new(Instant::now(), options, random)?);
        tracing::info!(own = %state.incarnation, zone = %state.options.host.zone, "daemon: started");
        let heartbeat = Arc::new(sockets.heartbeat);
        start_tasks(&state, &heartbeat);
        if let Some(client) = meter::client(&state.options.metric)? {
            let send = meter::send(state.clone(), client);
            tokio::spawn(config::run_until_stopped(state.clone(), send));
        }
        let callers = start_listeners(&state, sockets.caller, sockets.peer, sockets.operator)?;
        Ok(Self {
            state,
            heartbeat,
            callers,
        })
    }

    /// Shuts down once all requests in progress have finished, or as soon as
    /// `forced` completes.
    pub async fn shutdown(self, forced: impl Future<Output = ()>) -> shutdown::Report {
        let report = shutdown::run(&self.state, &self.heartbeat, self.callers, forced).await;
        self.state.stop.cancel();
        report
    }
}

/// Serves until a signal arrives, then shuts down; a second signal ends the
/// shutdown at once. Returns how many requests were aborted.
pub async fn run(options: Options) -> Result<shutdown::Report, Fault> {
    let sockets = Sockets::open(&options).await?;
    let mut signals = shutdown::Signals::new().map_err(Fault::Signal)?;
    let random = &mut StdRng::from_rng(&mut rand::rng());
    let host = Host::start(options, sockets, random)?;
    signals.next().await;
    Ok(host.shutdown(signals.next()).await)
}

fn start_tasks(state: &Arc<State>, socket: &Arc<UdpSocket>) {
    let spawn = |task: futures_util::future::BoxFuture<'static, ()>| {
        tokio::spawn(config::run_until_stopped(state.clone(), task));
    };
    spawn(Box::pin(heartbeat::send(state.clone(), socket.clone())));
    spawn(Box::pin(heartbeat::receive(state.clone(), socket.clone())));
    spawn(Box::pin(heartbeat::tick(state.clone())));
    spawn(Box::pin(config::watch_all(state.clone())));
    spawn(Box::pin(config::poll_hosts(state.clone())));
    spawn(Box::pin(config::pull_from_peers(state.clone())));
    spawn(Box::pin(meter::rerank_rows(state.clone())));
    spawn(Box::pin(shutdown::sweep_tokens(state.clone())));
}

fn start_listeners(
    state: &Arc<State>,
    callers: TcpListener,
    peers: TcpListener,
    operators: TcpListener,
) -> Result<JoinHandle<()>, Fault> {
    let service = Arc::new(peer::service(state));
    tokio::spawn(server::run(peers, service, state.stop.clone()));
    listen_http(state, operators, operator::routes(state.clone()))?;
    Ok(tokio::spawn(listen::run(state.clone(), callers)))
}

fn listen_http<E>(state: &Arc<State>, listener: TcpListener, endpoint: E) -> Result<(), Fault>
where
    E: poem::IntoEndpoint + Send + 'static,
    E::Endpoint: Endpoint + 'static,
{
    let acceptor = NoDelay::new(listener).map_err(Fault::Server)?;
    let stopped = state.stop.clone();
    let served = Server::new_with_acceptor(acceptor).run_with_graceful_shutdown(
        endpoint,
        async move { stopped.cancelled().await },
        None,
    );
    tokio::spawn(async move {
        if let Err(error) = served.await {
            tracing::error!(%error, "daemon: operator listener failed");
        }
    });
    Ok(())
}
