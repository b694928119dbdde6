//! Starts a gateway and takes it down again.

use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::UdpSocket;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::time::Instant;
use tracing::info;

use crate::gateway::gossip;
use crate::gateway::listen;
use crate::gateway::names::Names;
use crate::gateway::operator;
use crate::gateway::reader;
use crate::gateway::reload;
use crate::gateway::source::Source;
use crate::gateway::state::State;
use crate::gateway::warmup;
use crate::log;
use crate::log::millis;
use crate::options::Options;

/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// Time between two lines on what the log dropped.
const REPORT: Duration = Duration::from_secs(5);

/// Time between two looks at idle connections.
const SWEEP: Duration = Duration::from_secs(1);

/// How long a host that leaves still takes new connections: the balancer asks
/// every second and drops a host after two misses.
const LINGER: Duration = Duration::from_millis(2_800);

/// What is left of the grace period when the last requests are cut.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Time between two looks whether all requests have ended.
const DRAIN_LOOK: Duration = Duration::from_millis(50);

/// Why a gateway can't start.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// An address can't be listened on.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address.
        address: SocketAddr,
        /// What the system said.
        source: io::Error,
    },
    /// Signals can't be received.
    #[error("can't receive signals: {0}")]
    Signal(#[source] io::Error),
}

/// Runs a gateway until it is told to stop. Returns how many requests were cut.
/// `settings` is the file that `options` were read from.
pub async fn run(
    options: Options,
    mut settings: reload::File,
    names: Names,
    source: Source,
    budget: &log::Budget,
) -> Result<usize, Fault> {
    let random = StdRng::from_rng(&mut rand::rng());
    let state = Arc::new(State::new(options, names, source, random));
    let mut terminate = signal(SignalKind::terminate()).map_err(Fault::Signal)?;
    let mut hangup = signal(SignalKind::hangup()).map_err(Fault::Signal)?;
    start(&state).await?;
    let host = &state.options.host;
    info!(host = %host.name, zone = %host.zone, process = state.process, "gateway: started");
    let mut report = tokio::time::interval(REPORT);
    let mut look = tokio::time::interval(reload::LOOK);
    loop {
        tokio::select! {
            _ = report.tick() => budget.report(),
            _ = terminate.recv() => break,
            _ = hangup.recv() => settings.look(&state),
            _ = look.tick() => settings.look(&state),
        }
    }
    Ok(drain(&state).await)
}

/// Where a gateway listens.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bound {
    /// For callers.
    pub caller: SocketAddr,
    /// For the balancer and operators.
    pub operator: SocketAddr,
    /// For other hosts.
    pub peer: SocketAddr,
}

/// Starts the tasks of a gateway.
pub async fn start(state: &Arc<State>) -> Result<Bound, Fault> {
    let host = &state.options.host;
    let (callers, caller) = listen(host.caller)?;
    let (operators, operator) = listen(host.operator)?;
    let (peers, peer) = listen(host.peer)?;
    let address = SocketAddr::new(host.caller.ip(), state.options.gateway.gossip_port);
    let socket = UdpSocket::bind(address).await;
    let socket = socket.map_err(|source| Fault::Listen { address, source })?;
    tokio::spawn(listen::run(state.clone(), callers));
    tokio::spawn(operator::run(state.clone(), operators));
    tokio::spawn(operator::run(state.clone(), peers));
    tokio::spawn(gossip::run(state.clone(), socket));
    tokio::spawn(reader::run(state.clone()));
    tokio::spawn(reader::catch_up(state.clone()));
    tokio::spawn(warmup::run(state.clone()));
    tokio::spawn(sweep(state.clone()));
    Ok(Bound {
        caller,
        operator,
        peer,
    })
}

/// Lets the balancer look elsewhere, ends what is under way, and stops.
pub async fn drain(state: &Arc<State>) -> usize {
    let began = Instant::now();
    let active = || state.active.load(Ordering::Relaxed);
    let connections = || state.connections.load(Ordering::Relaxed);
    info!(active = active(), "gateway: leaving");
    state.draining.cancel();
    state.urgent.notify_one();
    tokio::time::sleep(LINGER).await;
    state.closing.cancel();
    let grace = state.bounds().grace.saturating_sub(GRACE_MARGIN);
    // A new connection may carry a request that wasn't read yet.
    while connections() > 0 && began.elapsed() < grace {
        tokio::time::sleep(DRAIN_LOOK).await;
    }
    // The last bytes of answers leave before the process does.
    tokio::time::sleep(DRAIN_LOOK).await;
    let cut = active();
    info!(cut, took_ms = millis(began.elapsed()), "gateway: stopped");
    state.stop.cancel();
    cut
}

async fn sweep(state: Arc<State>) {
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return,
            () = tokio::time::sleep(SWEEP) => state.pool.sweep(Instant::now()),
        }
    }
}

fn listen(address: SocketAddr) -> Result<(TcpListener, SocketAddr), Fault> {
    let open = || {
        let socket = match address {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        let listener = socket.listen(BACKLOG)?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    open().map_err(|source| Fault::Listen { address, source })
}
