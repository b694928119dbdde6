//! What a host that starts learns of the upstreams' caches.
//!
//! Answers the load after restarts: a host that doesn't know where prompts are held
//! has them read again. It asks a host that knows; where all have just
//! started, one of them asks the engines themselves, a probe each.

use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use tokio::time::Instant;
use tokio::time::timeout;
use tracing::info;

use crate::boot;
use crate::gateway::follow;
use crate::gateway::prefix_cache::Snapshot;
use crate::gateway::source;
use crate::gateway::state::State;
use crate::gateway::upstream::Record;
use crate::lock::lock;
use crate::log::millis;

/// The path at which a host tells which upstreams hold which prompts.
pub const SNAPSHOT_PATH: &str = "/prompts";

/// How long the first of the hosts that are live looks for others that know: they
/// send messages several times in that time.
const PEERS_FOR: Duration = Duration::from_millis(200);

/// How long the others look, as the first is asking the engines meanwhile.
const FIRST_FOR: Duration = Duration::from_millis(800);

/// The most engines that each host asks: where there are more, hosts are many, too,
/// and as all start together they don't know yet how many.
const ENGINES: usize = 32;

/// Time between two looks.
const LOOK_AGAIN: Duration = Duration::from_millis(20);

/// The longest that an answer may take.
const PATIENCE: Duration = Duration::from_millis(500);

/// Learns once what other hosts or the engines know.
pub async fn run(state: Arc<State>) {
    let informed = async {
        if !state.options.gateway.first_start && !learn_from_any(&state).await {
            learn_from_engines(&state).await;
        }
    };
    tokio::select! {
        () = state.stop.cancelled() => {}
        () = informed => {
            state.is_informed.store(true, Ordering::Relaxed);
            state.gossip_urgent.notify_one();
        }
    }
}

/// Asks hosts that know until one answers, and tells whether one did.
async fn learn_from_any(state: &Arc<State>) -> bool {
    let began = Instant::now();
    let mut asked = BTreeSet::new();
    loop {
        let now = Instant::now();
        let zone = &state.options.host.zone;
        let (peer, is_first) = {
            let peers = lock(&state.peers);
            let is_first = peers.live(now).all(|(peer, _)| state.address < *peer);
            (peers.informed_peer(now, zone, &asked), is_first)
        };
        let look_for = match is_first {
            true => PEERS_FOR,
            false => FIRST_FOR,
        };
        let is_over = now.duration_since(began) >= look_for;
        match peer {
            Some(peer) => {
                asked.insert(peer);
                if learn_from(state, peer).await {
                    return true;
                }
            }
            None if is_over && lock(&state.view).route_table().is_some() => return false,
            None => tokio::time::sleep(LOOK_AGAIN).await,
        }
    }
}

/// Asks another host, and tells whether it answered.
async fn learn_from(state: &State, peer: Ipv4Addr) -> bool {
    let address = SocketAddr::from((peer, state.options.host.peer.port()));
    match fetch(address).await {
        Ok(snapshot) => {
            let parts = snapshot.used.len();
            let engines = snapshot.listed.len();
            info!(%peer, parts, engines, "prompts: learned from a host");
            lock(&state.prefix_cache).merge(Instant::now(), snapshot);
            true
        }
        Err(lost) => {
            info!(%peer, %lost, "prompts: not learned from a host");
            false
        }
    }
}

/// Asks a host which upstreams hold which prompts.
pub async fn fetch(address: SocketAddr) -> Result<Snapshot, follow::Fault> {
    let asked = timeout(PATIENCE, follow::call(address, SNAPSHOT_PATH, &())).await;
    asked.map_err(|_| follow::Fault::Timeout(PATIENCE))?
}

/// Asks all engines at once, where they are few.
async fn learn_from_engines(state: &State) {
    let engines: Vec<Arc<Record>> = {
        let view = state.view();
        let table = view.route_table().cloned();
        let usable = view.usable(boot::Instant::now());
        let engines = usable.filter(|record| {
            let service = &record.upstream.service;
            table.as_ref().is_some_and(|table| table.is_sticky(service))
        });
        engines.cloned().collect()
    };
    match engines.len() <= ENGINES {
        true => drop(join_all(engines.iter().map(|engine| list(state, engine))).await),
        false => info!(engines = engines.len(), "prompts: too many engines to ask"),
    }
}

async fn list(state: &State, engine: &Record) {
    let began = Instant::now();
    let upstream = &engine.upstream;
    let asked = timeout(PATIENCE, (state.source.cached_segments)(upstream.address)).await;
    match asked.unwrap_or(Err(source::Fault::Timeout(PATIENCE))) {
        Ok(parts) => {
            let now = Instant::now();
            let took_ms = millis(now.duration_since(began));
            info!(upstream = %upstream.id, parts = parts.len(), took_ms, "prompts: learned from an engine");
            lock(&state.prefix_cache).record_listing(now, &upstream.id, parts);
        }
        Err(fault) => {
            info!(upstream = %upstream.id, %fault, "prompts: not learned from an engine");
        }
    }
}
