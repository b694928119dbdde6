//! First copy of the store of a host that starts.
//!
//! Each read of the store has a cost, and hundreds of hosts may start in a day, or at once. A host
//! that starts copies the store from another one if it can.

use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use tokio::time::timeout;
use tracing::info;

use crate::gateway::follow;
use crate::gateway::follow::MAX_AGE;
use crate::gateway::follow::follow;
use crate::gateway::reader::FOLLOW_WAIT;
use crate::gateway::reader::is_large_fleet;
use crate::gateway::state;
use crate::gateway::state::State;
use crate::lock::lock;
use crate::mirror::Position;

/// Time after a start in which a host follows any other, until it knows how large the fleet is.
const START_TIME: Duration = Duration::from_secs(2);

/// Time limit for the first copy of a host that starts. After it, the host reads the store.
const START_TIMEOUT: Duration = Duration::from_millis(100);

/// Maximum delay until a host asks again at the first start of all, when few hosts have a copy.
const FIRST_START_DELAY: Duration = Duration::from_millis(200);

/// Copies the store from other hosts when this one starts, until it knows whether the fleet is so
/// large that few read the store, and others of its zone. Returns early if none can be followed.
///
/// At the first start of all there are no callers yet, and the seeds alone read the store.
pub async fn copy(state: &Arc<State>) {
    let first_start = state.options.gateway.first_start;
    let local = state.address;
    let seeds = state::seeds(&state.options);
    let others: Vec<_> = seeds.iter().filter(|it| **it != local).copied().collect();
    let reads_first = first_start && seeds.contains(&local);
    if others.is_empty() || reads_first {
        return;
    }
    let started = Instant::now();
    let mut source = None;
    while started.elapsed() < START_TIME {
        let has_copy = lock(&state.mirror).position() != Position::default();
        let known = {
            let now = Instant::now();
            let peers = lock(&state.peers);
            let zone = &state.options.host.zone;
            let is_zone_known = peers.live(now).any(|(_, peer)| peer.zone == *zone);
            if has_copy && is_zone_known && is_large_fleet(&peers, now) {
                return;
            }
            peers.any_source(now, zone, MAX_AGE, state.random_fraction())
        };
        let index = (state.random_fraction() * others.len() as f64) as usize;
        let Some(leader) = source.or(known).or(others.get(index).copied()) else {
            return;
        };
        let left = START_TIME.saturating_sub(started.elapsed());
        let followed = match has_copy {
            true => follow(state, leader, FOLLOW_WAIT.min(left)).await,
            false => timeout(START_TIMEOUT, follow(state, leader, Duration::ZERO))
                .await
                .unwrap_or(Err(follow::Fault::Timeout(START_TIMEOUT))),
        };
        match followed {
            Ok(()) => source = Some(leader),
            Err(lost) => {
                info!(%leader, %lost, "peers: can't copy the store from a host");
                if !first_start {
                    return;
                }
                source = None;
                tokio::time::sleep(FIRST_START_DELAY.mul_f64(state.random_fraction())).await;
            }
        }
    }
}
