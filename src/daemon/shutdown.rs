//! Shuts a host down without aborting a request: it reports that it is not ready,
//! hands its upstreams over to other homes, stops accepting callers once the load
//! balancer has noticed, finishes the requests in progress, and honours its
//! tokens until they expire.
//!
//! A host that issued no token within the last token lifetime has none to wait
//! for. Any other waits until its unused tokens expire: if it ended earlier, a
//! caller that then uses its token would get an unknown outcome although nothing
//! ran. Until then, other entries relay such requests to it.

use std::sync::Arc;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::signal::unix::Signal;
use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio::task::JoinHandle;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::daemon::heartbeat;
use crate::daemon::home;
use crate::lock::lock;
use crate::state::State;

/// How often old tokens are removed from the ledger.
const SWEEP_PERIOD: Duration = Duration::from_secs(1);

/// How often a shutdown checks whether all requests have finished.
const WAIT_PERIOD: Duration = Duration::from_millis(50);

/// How long the load balancer may take to notice that a host is not ready.
const BALANCER_DELAY: Duration = Duration::from_secs(3);

/// The signals that end a process.
pub struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    /// Installs the signal handlers.
    pub fn new() -> Result<Self, std::io::Error> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    /// Waits for the next signal.
    pub async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

/// The result of a shutdown.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Report {
    /// The number of requests aborted.
    pub aborted: usize,
    /// Whether a second signal ended the shutdown early.
    pub forced: bool,
}

/// Stops accepting work and waits until all requests in progress have finished,
/// `forced` completes, or the drain limit of the settings has passed.
pub async fn run(
    state: &Arc<State>,
    socket: &UdpSocket,
    callers: JoinHandle<()>,
    forced: impl Future<Output = ()>,
) -> Report {
    tracing::info!(under_way = state.tasks.len(), "daemon: shutdown began");
    state.draining.cancel();
    state.issuer.close();
    lock(&state.view).drain();
    home::reconcile(state);
    heartbeat::send_once(state, socket, false).await;
    let forced = tokio::select! {
        () = drain(state, callers) => false,
        () = forced => true,
        () = sleep(state.options.drain.limit) => false,
    };
    heartbeat::send_once(state, socket, true).await;
    let cut = state.tasks.len();
    tracing::info!(cut, forced, "daemon: shutdown ended");
    Report {
        aborted: cut,
        forced,
    }
}

/// Waits until no request is in progress and no token can be used any more.
async fn drain(state: &State, callers: JoinHandle<()>) {
    sleep(BALANCER_DELAY).await;
    state.intake_closed.cancel();
    if let Err(fault) = callers.await {
        tracing::error!(%fault, "daemon: caller listener failed");
    }
    while !state.tasks.is_empty() || !state.issuer.is_drained(Instant::now()) {
        sleep(WAIT_PERIOD).await;
    }
}

/// Removes old tokens from the ledger at regular intervals.
pub async fn sweep_tokens(state: Arc<State>) {
    loop {
        sleep(SWEEP_PERIOD).await;
        state.issuer.sweep(Instant::now());
    }
}
