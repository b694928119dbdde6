//! Start, main loop and graceful shutdown of a gateway.
//!
//! Binds the listeners, spawns the gateway's tasks, reloads settings on SIGHUP or
//! when their file changes, and drains requests on SIGTERM.

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
use crate::gateway::headers::Names;
use crate::gateway::history;
use crate::gateway::intake::RECEIVE_BUFFER_BYTES;
use crate::gateway::listen;
use crate::gateway::operator;
use crate::gateway::operator::Audience;
use crate::gateway::reach;
use crate::gateway::reader;
use crate::gateway::reload;
use crate::gateway::source::Source;
use crate::gateway::state::State;
use crate::gateway::warmup;
use crate::log;
use crate::log::millis;
use crate::options::Options;

/// Length of the queue of connections that have not been accepted yet.
const LISTEN_BACKLOG: u32 = 1_024;

/// Interval between reports of dropped log lines.
const DROP_REPORT_INTERVAL: Duration = Duration::from_secs(5);

/// Interval between sweeps of the connection pool.
const POOL_SWEEP_INTERVAL: Duration = Duration::from_secs(1);

/// How long a draining host still accepts connections. The load balancer checks
/// readiness every second and removes a host after two failed checks.
const DEREGISTRATION_DELAY: Duration = Duration::from_millis(2_800);

/// Part of the grace period that is left when the remaining requests are aborted.
const GRACE_MARGIN: Duration = Duration::from_millis(300);

/// Interval between checks whether all connections have closed.
const DRAIN_POLL_INTERVAL: Duration = Duration::from_millis(50);

/// Reason why a gateway failed to start.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// A listener could not be opened.
    #[error("can't listen on {address}: {source}")]
    Listen {
        /// The address of the listener.
        address: SocketAddr,
        /// The error of the operating system.
        source: io::Error,
    },
    /// Signal handlers could not be installed.
    #[error("can't install signal handlers: {0}")]
    Signal(#[source] io::Error),
}

/// Runs a gateway until SIGTERM. Returns how many requests were aborted.
///
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
    let mut report = tokio::time::interval(DROP_REPORT_INTERVAL);
    let mut poll = tokio::time::interval(reload::POLL_INTERVAL);
    loop {
        tokio::select! {
            _ = report.tick() => budget.report(),
            _ = terminate.recv() => break,
            _ = hangup.recv() => settings.poll(&state),
            _ = poll.tick() => settings.poll(&state),
        }
    }
    Ok(drain(&state).await)
}

/// Addresses that the TCP listeners of a gateway are bound to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Addresses {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for the load balancer and operators.
    pub operator: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
}

/// Opens the listeners and spawns the tasks of a gateway.
pub async fn start(state: &Arc<State>) -> Result<Addresses, Fault> {
    let host = &state.options.host;
    let (callers, caller) = listen(host.caller)?;
    let (operators, operator) = listen(host.operator)?;
    let (peers, peer) = listen(host.peer)?;
    let address = SocketAddr::new(host.caller.ip(), state.options.gateway.gossip_port);
    let socket = UdpSocket::bind(address).await;
    let socket = socket.map_err(|source| Fault::Listen { address, source })?;
    tokio::spawn(listen::run(state.clone(), callers));
    let serve = |listener, audience| operator::run(state.clone(), listener, audience);
    tokio::spawn(serve(operators, Audience::Operators));
    tokio::spawn(serve(peers, Audience::Hosts));
    tokio::spawn(gossip::run(state.clone(), socket));
    tokio::spawn(reader::run(state.clone()));
    tokio::spawn(reader::catch_up(state.clone()));
    tokio::spawn(reader::join(state.clone()));
    tokio::spawn(warmup::run(state.clone()));
    tokio::spawn(history::run(state.clone()));
    tokio::spawn(reach::run(state.clone()));
    tokio::spawn(sweep(state.clone()));
    Ok(Addresses {
        caller,
        operator,
        peer,
    })
}

/// Drains requests in flight and stops the gateway's tasks.
///
/// Reports not ready first, so that the load balancer removes the host. Requests that are
/// still in flight at the end of the grace period are aborted with a refusal, streams without
/// their end; returns how many.
pub async fn drain(state: &Arc<State>) -> usize {
    let started = Instant::now();
    let active = || state.active.load(Ordering::Relaxed);
    let connections = || state.connections.load(Ordering::Relaxed);
    info!(active = active(), "gateway: shutting down");
    let grace = state.live_options().grace.saturating_sub(GRACE_MARGIN);
    let aborts_at = *state.aborts_at.get_or_init(|| started + grace);
    state.draining.cancel();
    state.gossip_urgent.notify_one();
    tokio::time::sleep(DEREGISTRATION_DELAY).await;
    state.closing.cancel();
    // Connections of callers are counted, as a new one may carry a request that has not been
    // read yet. Requests that other hosts hand on have none.
    while (connections() > 0 || active() > 0) && Instant::now() < aborts_at {
        tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    }
    let cut = active();
    state.aborting.cancel();
    // Lets the last response bytes be sent before the process exits.
    tokio::time::sleep(DRAIN_POLL_INTERVAL).await;
    info!(cut, took_ms = millis(started.elapsed()), "gateway: stopped");
    state.stop.cancel();
    cut
}

async fn sweep(state: Arc<State>) {
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return,
            () = tokio::time::sleep(POOL_SWEEP_INTERVAL) => state.pool.sweep(Instant::now()),
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
        // Accepted connections inherit it.
        socket.set_recv_buffer_size(RECEIVE_BUFFER_BYTES)?;
        socket.bind(address)?;
        let listener = socket.listen(LISTEN_BACKLOG)?;
        let bound = listener.local_addr()?;
        Ok((listener, bound))
    };
    open().map_err(|source| Fault::Listen { address, source })
}
