//! Keeps the mirror of the platform's store up to date.
//!
//! In a small fleet every host reads the store itself. In a large one a few
//! hosts of each zone do, chosen by rendezvous hashing over those that live, and
//! the others follow them. A host that can't reach its source follows any host
//! that can.

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use futures_util::StreamExt;
use futures_util::stream::FuturesUnordered;
use tokio::time::Instant;
use tokio::time::timeout;
use tracing::info;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::boot;
use crate::gateway::follow;
use crate::gateway::follow::STALE;
use crate::gateway::follow::follow;
use crate::gateway::follow::follow_any;
use crate::gateway::peers;
use crate::gateway::source::Fault;
use crate::gateway::source::Source;
use crate::gateway::source::Whole;
use crate::gateway::state::State;
use crate::gateway::view;
use crate::lock::lock;
use crate::log::millis;
use crate::mirror;

/// The longest that a watch on the store waits; it bounds the age of what is
/// known, which operators bound to some seconds.
const WATCH: Duration = Duration::from_millis(1_500);

/// The same for every second host. Changes wake the watches of all hosts at once, so
/// that all would know the store as of the same moment when it falls silent; those
/// that know it best pass that on.
const SHORT_WATCH: Duration = Duration::from_millis(700);

/// How long an answer of the store may take beyond the wait asked for.
const STORE_PATIENCE: Duration = Duration::from_millis(400);

/// The longest that a full read of the store may take.
const LIST_PATIENCE: Duration = Duration::from_millis(3_000);

/// The time after which another full read begins beside one that has no answer: a
/// store that was silent never answers calls made then, but new ones at once.
const LIST_AGAIN: Duration = Duration::from_millis(500);

/// The longest that a follower asks to wait.
const FOLLOW: Duration = Duration::from_millis(1_000);

/// Hosts up to which all read the store.
const SMALL_FLEET: usize = 16;

/// Time between two looks whether this host fell behind others.
const CATCH_UP: Duration = Duration::from_millis(300);

/// How long a host that learns of a later revision waits for its regular source.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(150);

/// The least time between two watches in a large fleet: many changes come in
/// quick succession, and each call has its price.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Hosts of each zone that read the store in a larger fleet.
const READERS: usize = 1;

/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Reads the store, or follows a host that does, until the process stops.
pub async fn run(state: Arc<State>) {
    let mut store = Store::default();
    loop {
        let step = async {
            match reads_store(&state) {
                true => store.step(&state).await,
                false => follow_near(&state, &mut store).await,
            }
        };
        tokio::select! {
            () = state.stop.cancelled() => return,
            () = step => {}
        }
    }
}

/// Follows other hosts while this one lags behind them, whatever its usual way
/// does, until the process stops.
pub async fn catch_up(state: Arc<State>) {
    loop {
        let is_notified = tokio::select! {
            () = state.stop.cancelled() => return,
            () = state.behind.notified() => true,
            () = tokio::time::sleep(CATCH_UP) => false,
        };
        if is_notified {
            tokio::time::sleep(CATCH_UP_PAUSE).await;
        }
        let now = Instant::now();
        let revision = lock(&state.mirror).revision();
        let is_behind = lock(&state.peers)
            .live(now)
            .any(|(_, peer)| peer.revision > revision);
        let is_old = state
            .age(boot::Instant::now())
            .is_none_or(|age| age > STALE);
        if is_behind || is_old {
            follow_any(&state).await;
        }
    }
}

/// Tells whether the fleet is large, so that only some hosts read the store.
pub fn is_large(peers: &peers::Table, now: Instant) -> bool {
    peers.sharing(now) > SMALL_FLEET
}

/// Tells whether this host reads the store itself.
fn reads_store(state: &State) -> bool {
    let now = Instant::now();
    let peers = lock(&state.peers);
    if !is_large(&peers, now) {
        return true;
    }
    let own = rank(state.bounds().link_mbps, &state.address);
    let zone = &state.options.host.zone;
    let near = peers.live(now).filter(|(_, peer)| peer.zone == *zone);
    let before = near.filter(|(address, peer)| rank(peer.link_mbps, address) > own);
    before.count() < READERS
}

/// Orders the hosts of a zone: those with the fastest links read the store.
pub fn rank(link_mbps: u32, address: &Ipv4Addr) -> (u32, u64) {
    (link_mbps, xxh3_64(&address.octets()))
}

/// Reading the store itself.
#[derive(Debug, Default)]
struct Store {
    /// Whether the store's history was lost, or nothing was read yet.
    is_behind: bool,
    failures: u32,
}

impl Store {
    async fn step(&mut self, state: &Arc<State>) {
        let revision = lock(&state.mirror).revision();
        let as_of = boot::Instant::now();
        let result = match revision == 0 || self.is_behind {
            true => list(state).await,
            false => watch(state, revision, as_of).await,
        };
        match result {
            Ok(()) => {
                if is_large(&lock(&state.peers), Instant::now()) {
                    tokio::time::sleep(WATCH_PAUSE).await;
                }
                state.meter.read("ok");
                if self.failures > 0 {
                    info!(failures = self.failures, "store: regained");
                }
                self.failures = 0;
                self.is_behind = false;
            }
            Err(Fault::HistoryGone) => {
                state.meter.read("history-gone");
                info!(revision, "store: history gone, reading all items");
                self.is_behind = true;
            }
            Err(fault) => {
                state.meter.read("failed");
                lock(&state.outage).record_failure(as_of);
                if self.failures == 0 {
                    warn!(%fault, revision, "store: lost");
                }
                self.failures = self.failures.saturating_add(1);
                // A watch may hang while reads are answered, and a read tells at
                // once how things stand.
                let is_first = !self.is_behind;
                self.is_behind = true;
                if !is_first {
                    follow_any(state).await;
                    tokio::time::sleep(RETRY_PAUSE).await;
                }
            }
        }
    }
}

async fn list(state: &Arc<State>) -> Result<(), Fault> {
    let (as_of, whole) = read_all(&state.source).await?;
    regained(state);
    adopt(state, as_of, |mirror| {
        mirror.replace(whole.items, whole.revision, as_of)
    });
    Ok(())
}

/// Reads all items, and returns them with the start of the read that was answered.
/// Begins the read anew beside one that gets no answer.
pub async fn read_all(source: &Source) -> Result<(boot::Instant, Whole), Fault> {
    let mut reads = FuturesUnordered::new();
    let any_answer = async {
        loop {
            let as_of = boot::Instant::now();
            let read = (source.list)();
            reads.push(async move { Ok((as_of, read.await?)) });
            let answer = timeout(LIST_AGAIN, reads.next()).await;
            if let Ok(Some(answer)) = answer {
                return answer;
            }
        }
    };
    let answer = timeout(LIST_PATIENCE, any_answer).await;
    answer.unwrap_or(Err(Fault::Silent(LIST_PATIENCE)))
}

/// Returns how long a host's watches wait. Addresses in a zone follow each other.
pub fn watch_wait(address: Ipv4Addr) -> Duration {
    match u32::from(address).is_multiple_of(2) {
        true => SHORT_WATCH,
        false => WATCH,
    }
}

async fn watch(state: &Arc<State>, revision: u64, as_of: boot::Instant) -> Result<(), Fault> {
    let wait = watch_wait(state.address);
    let limit = wait + STORE_PATIENCE;
    let read = timeout(limit, (state.source.watch)(revision, wait)).await;
    let delta = read.unwrap_or(Err(Fault::Silent(limit)))?;
    regained(state);
    // The store waited that long before it found nothing.
    let now = boot::Instant::now();
    let as_of = match delta.events.is_empty() && now.since(as_of) >= wait {
        true => as_of + wait,
        false => as_of,
    };
    adopt(state, as_of, |mirror| {
        mirror.apply(delta.events, delta.revision, as_of)
    });
    Ok(())
}

fn regained(state: &State) {
    let now = boot::Instant::now();
    if lock(&state.outage).record_answer(now) {
        info!(
            window_ms = millis(view::RESTORE_WINDOW),
            "store: back, lapsed upstreams stay in use for a while"
        );
    }
}

/// Follows a reader of this zone, or reads the store if there is none.
async fn follow_near(state: &Arc<State>, store: &mut Store) {
    let now = Instant::now();
    let zone = state.options.host.zone.clone();
    let leader = {
        let peers = lock(&state.peers);
        let near = peers.live(now).filter(|(_, peer)| peer.zone == zone);
        let leader = near.max_by_key(|(address, peer)| rank(peer.link_mbps, address));
        leader.map(|(address, _)| *address)
    };
    let followed = match leader {
        Some(leader) => follow(state, leader, FOLLOW).await,
        None => Err(follow::Fault::Refused(
            http::StatusCode::SERVICE_UNAVAILABLE,
        )),
    };
    if let Err(lost) = followed {
        info!(leader = leader.map(|it| it.to_string()), %lost, "peers: can't follow");
        store.is_behind = true;
        store.step(state).await;
    }
}

/// Changes the mirror and then the view.
pub fn adopt(
    state: &State,
    as_of: boot::Instant,
    change: impl FnOnce(&mut mirror::Table) -> Vec<mirror::Event>,
) {
    let now = boot::Instant::now();
    let (changes, revision) = {
        let mut mirror = lock(&state.mirror);
        let before = mirror.revision();
        let changes = change(&mut mirror);
        let moved = mirror.revision() != before;
        (changes, moved.then(|| mirror.revision()))
    };
    let age = now.since(as_of);
    if !changes.is_empty() {
        let restored_by = now + lock(&state.outage).settling(now);
        let mut view = lock(&state.view);
        let view = Arc::make_mut(&mut view);
        for event in &changes {
            apply(state, view, now, event, restored_by);
        }
        info!(
            changes = changes.len(),
            revision,
            age_ms = millis(age),
            version = view.route_table().map(|table| table.version),
            upstreams = view.upstreams(),
            "view: changed"
        );
        state.changed.notify_waiters();
    }
    if revision.is_some() {
        state.moved.notify_waiters();
    }
}

fn apply(
    state: &State,
    view: &mut view::View,
    now: boot::Instant,
    event: &mirror::Event,
    restored_by: boot::Instant,
) {
    let key = event.key.as_str();
    let Some(value) = &event.value else {
        info!(key, revision = event.revision, "view: item gone");
        if let Some(id) = view.remove(now, key, restored_by) {
            lock(&state.health).remove(&id);
            lock(&state.prefix_cache).remove(&id);
        }
        return;
    };
    match (state.source.decode)(key, value) {
        Ok(Some(entry)) => {
            if let Some(id) = view.insert(now, key, entry) {
                info!(upstream = %id, "upstream: started anew");
                lock(&state.health).remove(&id);
                lock(&state.prefix_cache).remove(&id);
            }
        }
        Ok(None) => {}
        Err(error) => {
            warn!(key, revision = event.revision, %error, "view: item can't be used");
            view.invalidate(key);
        }
    }
}
