//! Starts all tasks of a host and ends them.

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

use crate::daemon::accept::Prompt;
use crate::daemon::beat;
use crate::daemon::config;
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
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The name of the host doesn't fit into a token.
    #[error("host name: {0}")]
    Name(#[from] token::Fault),
    /// Metrics can't be sent.
    #[error(transparent)]
    Metric(#[from] crate::meter::statsd::Fault),
    /// The signals that end the process can't be waited for.
    #[error("can't wait for signals: {0}")]
    Signal(#[source] std::io::Error),
    /// A listener ended.
    #[error("listener ended: {0}")]
    Server(#[source] std::io::Error),
}

/// The sockets of a host.
pub struct Sockets {
    /// Takes callers.
    pub caller: TcpListener,
    /// Takes frames of other hosts.
    pub peer: TcpListener,
    /// Takes heartbeats.
    pub beat: UdpSocket,
    /// Takes operators.
    pub operator: TcpListener,
}

impl Sockets {
    /// Opens the sockets that the settings name.
    pub async fn open(options: &Options) -> Result<Self, Fault> {
        let host = &options.host;
        Ok(Self {
            caller: listen(host.caller).await?,
            peer: listen(host.peer).await?,
            beat: UdpSocket::bind(host.peer).await.map_err(|source| {
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

/// A host that serves.
pub struct Host {
    /// What its tasks share.
    pub state: Arc<State>,
    beat: Arc<UdpSocket>,
    /// Ends once every caller has what it was answered.
    callers: JoinHandle<()>,
}

impl Host {
    /// Starts all tasks of a host.
    pub fn start(options: Options, sockets: Sockets, random: &mut StdRng) -> Result<Self, Fault> {
        let state = Arc::new(State::new(Instant::now(), options, random)?);
        tracing::info!(own = %state.own, zone = %state.options.host.zone, "daemon: started");
        let beat = Arc::new(sockets.beat);
        start_tasks(&state, &beat);
        if let Some(client) = meter::client(&state.options.metric)? {
            let send = meter::send(state.clone(), client);
            tokio::spawn(config::until_stop(state.clone(), send));
        }
        let callers = start_listeners(&state, sockets.caller, sockets.peer, sockets.operator)?;
        Ok(Self {
            state,
            beat,
            callers,
        })
    }

    /// Finishes what is under way, then ends. When `forced` is done, it ends
    /// at once.
    pub async fn shutdown(self, forced: impl Future<Output = ()>) -> shutdown::Report {
        let report = shutdown::run(&self.state, &self.beat, self.callers, forced).await;
        self.state.stop.cancel();
        report
    }
}

/// Serves until a signal ends the process; returns whether all that was under
/// way was finished.
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
        tokio::spawn(config::until_stop(state.clone(), task));
    };
    spawn(Box::pin(beat::send(state.clone(), socket.clone())));
    spawn(Box::pin(beat::hear(state.clone(), socket.clone())));
    spawn(Box::pin(beat::tick(state.clone())));
    spawn(Box::pin(config::watch_all(state.clone())));
    spawn(Box::pin(config::list(state.clone())));
    spawn(Box::pin(config::pull(state.clone())));
    spawn(Box::pin(meter::roll(state.clone())));
    spawn(Box::pin(shutdown::sweep(state.clone())));
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
    let acceptor = Prompt::new(listener).map_err(Fault::Server)?;
    let stopped = state.stop.clone();
    let served = Server::new_with_acceptor(acceptor).run_with_graceful_shutdown(
        endpoint,
        async move { stopped.cancelled().await },
        None,
    );
    tokio::spawn(async move {
        if let Err(error) = served.await {
            tracing::error!(%error, "daemon: listener ended");
        }
    });
    Ok(())
}
