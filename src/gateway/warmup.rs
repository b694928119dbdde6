//! Fills the prefix cache index of a host that starts.
//!
//! Without the index, a host sends prompts to engines that have to prefill them
//! again. It fetches a snapshot from a host that has the index. Where all hosts have
//! just started, one of them queries the engines instead, one request each.

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

/// Path at which a host serves a snapshot of its index.
pub const SNAPSHOT_PATH: &str = "/prompts";

/// How long the live host with the lowest address looks for a host that has the
/// index. Hosts send several messages in that time.
const FIRST_HOST_WAIT: Duration = Duration::from_millis(200);

/// How long the other hosts look, as the first one queries the engines meanwhile.
const OTHER_HOSTS_WAIT: Duration = Duration::from_millis(800);

/// Maximum number of engines that a host queries. Where there are more, there are
/// many hosts as well, which start together and don't know yet how many they are.
const MAX_ENGINES: usize = 32;

/// Interval at which a host looks for one that has the index.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Time limit for the response of a host or an engine.
const REQUEST_TIMEOUT: Duration = Duration::from_millis(500);

/// Fills the index once, from another host or else from the engines, and marks this
/// host as informed. Skips both if the settings declare a first start.
pub async fn run(state: Arc<State>) {
    let filled = async {
        if !state.options.gateway.first_start && !fetch_from_any(&state).await {
            query_engines(&state).await;
        }
    };
    tokio::select! {
        () = state.stop.cancelled() => {}
        () = filled => {
            state.is_informed.store(true, Ordering::Relaxed);
            state.gossip_urgent.notify_one();
        }
    }
}

/// Fetches the index from one host after another until one responds, and returns whether
/// one did.
async fn fetch_from_any(state: &Arc<State>) -> bool {
    let started = Instant::now();
    let mut asked = BTreeSet::new();
    loop {
        let now = Instant::now();
        let zone = &state.options.host.zone;
        let (peer, is_first) = {
            let peers = lock(&state.peers);
            let is_first = peers.live(now).all(|(peer, _)| state.address < *peer);
            (peers.informed_peer(now, zone, &asked), is_first)
        };
        let wait = match is_first {
            true => FIRST_HOST_WAIT,
            false => OTHER_HOSTS_WAIT,
        };
        let is_late = now.duration_since(started) >= wait;
        match peer {
            Some(peer) => {
                asked.insert(peer);
                if merge_from(state, peer).await {
                    return true;
                }
            }
            None if is_late && lock(&state.view).route_table().is_some() => return false,
            None => tokio::time::sleep(POLL_INTERVAL).await,
        }
    }
}

/// Merges another host's snapshot, and returns whether the host responded.
async fn merge_from(state: &State, peer: Ipv4Addr) -> bool {
    let address = SocketAddr::from((peer, state.options.host.peer.port()));
    match fetch(address).await {
        Ok(snapshot) => {
            let parts = snapshot.used.len();
            let engines = snapshot.listed.len();
            info!(%peer, parts, engines, "prompts: index fetched from a host");
            lock(&state.prefix_cache).merge(Instant::now(), snapshot);
            true
        }
        Err(lost) => {
            info!(%peer, %lost, "prompts: index not fetched from a host");
            false
        }
    }
}

/// Fetches the snapshot of a host.
pub async fn fetch(address: SocketAddr) -> Result<Snapshot, follow::Fault> {
    let response = timeout(REQUEST_TIMEOUT, follow::call(address, SNAPSHOT_PATH, &())).await;
    response.map_err(|_| follow::Fault::Timeout(REQUEST_TIMEOUT))?
}

/// Queries all engines concurrently, unless there are more than `MAX_ENGINES`.
async fn query_engines(state: &State) {
    let engines: Vec<Arc<Record>> = {
        let view = state.view();
        let table = view.route_table().cloned();
        let usable = view.usable(boot::Instant::now());
        let engines = usable.filter(|record| {
            let service = &record.upstream.service;
            let is_engine = table.as_ref().is_some_and(|table| table.is_sticky(service));
            is_engine && !lock(&state.notices).is_leaving(&record.upstream)
        });
        engines.cloned().collect()
    };
    match engines.len() <= MAX_ENGINES {
        true => drop(join_all(engines.iter().map(|engine| query_engine(state, engine))).await),
        false => info!(
            engines = engines.len(),
            "prompts: too many engines to query"
        ),
    }
}

/// Records the segments that an engine reports to hold.
async fn query_engine(state: &State, engine: &Record) {
    let started = Instant::now();
    let upstream = &engine.upstream;
    let response = timeout(
        REQUEST_TIMEOUT,
        (state.source.cached_segments)(upstream.address),
    )
    .await;
    match response.unwrap_or(Err(source::Fault::Timeout(REQUEST_TIMEOUT))) {
        Ok(segments) => {
            let now = Instant::now();
            let took_ms = millis(now.duration_since(started));
            info!(upstream = %upstream.id, parts = segments.len(), took_ms, "prompts: segments listed by an engine");
            lock(&state.prefix_cache).record_listing(now, &upstream.id, segments);
        }
        Err(fault) => {
            info!(upstream = %upstream.id, %fault, "prompts: segments not listed by an engine");
        }
    }
}
