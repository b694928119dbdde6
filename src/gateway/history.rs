//! Which versions of services were listed lately, for a host that starts.
//!
//! A host that has just started can't tell whether the version that it sees is the only one that
//! can have begun a stream: upstreams of another one may have left before. It asks hosts that have
//! been up for longer.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::timeout;
use tracing::info;

use crate::boot;
use crate::gateway::follow;
use crate::gateway::state::State;
use crate::ident;
use crate::lock::lock;
use crate::log::millis;
use crate::mirror::Position;

/// Path at which a host serves its history.
pub const PATH: &str = "/versions";

/// Time after a start in which a host looks for others that have been up for longer. Later, most
/// hosts that it finds have started with it.
const SEARCH_TIME: Duration = Duration::from_secs(6);

/// Interval at which it looks.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for the reply of a host.
const REPLY_TIMEOUT: Duration = Duration::from_millis(300);

/// Maximum number of hosts that are asked.
const MAX_ASKED: usize = 8;

/// Time that a history covers from which on no other host is asked. Streams that callers may resume
/// are younger.
const LONG_HISTORY: Duration = Duration::from_secs(60);

/// The versions that were listed since some time, as a host knows.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct History {
    /// Time in which the host has missed no change of the store, in milliseconds.
    pub covered_ms: u64,
    /// Position of its copy of the store.
    pub position: Position,
    /// The versions that were listed in that time, and some that were before.
    pub versions: Vec<Version>,
}

/// A version of a service.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// The service.
    pub service: ident::Service,
    /// The version of its software.
    pub version: ident::Version,
    /// Time since an upstream of the version was last listed, in milliseconds.
    pub since_ms: u64,
}

/// Extends the history of a host that starts by that of others.
pub async fn run(state: Arc<State>) {
    if state.options.gateway.first_start {
        return;
    }
    tokio::select! {
        () = state.stop.cancelled() => {}
        () = learn(&state) => {}
    }
}

async fn learn(state: &State) {
    let started = Instant::now();
    let mut asked = BTreeSet::new();
    while started.elapsed() < SEARCH_TIME && asked.len() < MAX_ASKED {
        let is_empty = state.view().covered(boot::Instant::now()).is_zero();
        let host = {
            let peers = lock(&state.peers);
            let now = Instant::now();
            peers.settled_peer(now, &state.options.host.zone, &asked)
        };
        let Some(host) = host.filter(|_| !is_empty) else {
            tokio::time::sleep(POLL_INTERVAL).await;
            continue;
        };
        asked.insert(host);
        if extend_from(state, host).await >= LONG_HISTORY {
            return;
        }
    }
}

/// Adds the history of a host to this one's, and returns how long this one's is.
async fn extend_from(state: &State, host: Ipv4Addr) -> Duration {
    let address = SocketAddr::from((host, state.options.host.peer.port()));
    let reply = timeout(REPLY_TIMEOUT, follow::call(address, PATH, &())).await;
    let reply: Result<History, _> = reply.unwrap_or(Err(follow::Fault::Timeout(REPLY_TIMEOUT)));
    let now = boot::Instant::now();
    match reply {
        Ok(history) => {
            let (is_extended, covered) = {
                let mut view = lock(&state.view);
                let view = Arc::make_mut(&mut view);
                (view.extend_history(now, &history), view.covered(now))
            };
            info!(%host, is_extended, covered_ms = millis(covered), versions = history.versions.len(), "view: asked a host for earlier versions");
            covered
        }
        Err(lost) => {
            info!(%host, %lost, "view: can't ask a host for earlier versions");
            Duration::ZERO
        }
    }
}

/// Returns this host's history.
pub fn own(state: &State) -> History {
    // The view may be ahead of the position, never behind.
    let position = lock(&state.mirror).position();
    state.view().history(boot::Instant::now(), position)
}
