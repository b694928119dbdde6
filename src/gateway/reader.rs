//! Keeps the mirror of the platform's store up to date.
//!
//! In a small fleet every host reads the store itself. In a large one a few
//! hosts of each zone do, chosen by rendezvous hashing over those that live, and
//! the others follow them. A host that can't reach its source follows any host
//! that can.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;
use tracing::info;
use tracing::warn;
use xxhash_rust::xxh3::xxh3_64;

use crate::boot;
use crate::gateway::connection::harden;
use crate::gateway::peers;
use crate::gateway::source::Fault;
use crate::gateway::state::State;
use crate::gateway::view;
use crate::lock::lock;
use crate::log::millis;
use crate::mirror;
use crate::mirror::wire;
use crate::mirror::wire::Content;

/// The longest that a watch on the store waits; it bounds the age of what is
/// known, which operators bound to some seconds.
const WATCH: Duration = Duration::from_millis(1_500);

/// How long an answer of the store may take beyond the wait asked for.
const STORE_PATIENCE: Duration = Duration::from_millis(400);

/// The longest that a full read of the store may take.
const LIST_PATIENCE: Duration = Duration::from_millis(3_000);

/// The longest that a follower asks to wait.
const FOLLOW: Duration = Duration::from_millis(1_000);

/// How long an answer to a follower may take beyond the wait asked for.
const FOLLOW_PATIENCE: Duration = Duration::from_millis(400);

/// Hosts up to which all read the store.
const SMALL_FLEET: usize = 16;

/// The age of what a host holds from which on it isn't followed.
const STALE: Duration = Duration::from_millis(2_200);

/// Time between two looks whether this host fell behind others.
const CATCH_UP: Duration = Duration::from_millis(300);

/// How long a host that heard of a later revision waits for it on its usual way.
const CATCH_UP_PAUSE: Duration = Duration::from_millis(150);

/// The least time between two watches in a large fleet: many changes come in
/// quick succession, and each call has its price.
const WATCH_PAUSE: Duration = Duration::from_millis(250);

/// Hosts of each zone that read the store in a larger fleet.
const READERS: usize = 1;

/// The pause after a failed read.
const RETRY_PAUSE: Duration = Duration::from_millis(150);

/// Silence of the store from which on entries of upstreams may have lapsed: they
/// do after three heartbeats of theirs.
const OUTAGE: Duration = Duration::from_millis(1_200);

/// The longest answer to a follower, in bytes.
const REPLY_BYTES: usize = 16 << 20;

/// Why another host can't be followed.
#[derive(Debug, thiserror::Error)]
enum Lost {
    #[error("no answer within {0:?}")]
    Silent(Duration),
    #[error("no connection: {0}")]
    Connect(#[from] std::io::Error),
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
    #[error("answer broke off: {0}")]
    Cut(#[source] Box<dyn std::error::Error + Send + Sync>),
    #[error("it refused with status {0}")]
    Refused(http::StatusCode),
    #[error("question can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("answer {0}")]
    Form(#[from] wire::Fault),
    #[error("what it holds is {0:?} old")]
    Stale(Duration),
}

/// Whether the store was away, as entries of live upstreams lapse meanwhile.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outage {
    since: Option<boot::Instant>,
    restored_by: Option<boot::Instant>,
}

impl Outage {
    /// Records that a call which began at a moment failed.
    pub fn begin(&mut self, at: boot::Instant) {
        self.since.get_or_insert(at);
    }

    /// Records that the store answered, and tells whether it had been away.
    pub fn end(&mut self, now: boot::Instant) -> bool {
        let since = self.since.take();
        let was_away = since.is_some_and(|since| now.since(since) > OUTAGE);
        if was_away {
            self.restored_by = Some(now + view::RESTORE_WINDOW);
        }
        was_away
    }

    /// Records that another host knows what the store holds: no entry lapsed but
    /// for an outage that the host saw the end of.
    pub fn pass(&mut self, now: boot::Instant, settling: Duration) {
        self.since = None;
        let until = now + settling;
        self.restored_by = self.restored_by.max(Some(until));
    }

    /// Returns how much longer lapsed entries may be restored.
    pub fn settling(&self, now: boot::Instant) -> Duration {
        self.restored_by.map_or(Duration::ZERO, |by| by.since(now))
    }
}

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
        let heard = tokio::select! {
            () = state.stop.cancelled() => return,
            () = state.behind.notified() => true,
            () = tokio::time::sleep(CATCH_UP) => false,
        };
        if heard {
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
    let own = rank(state.options.gateway.link_mbps, &state.address);
    let zone = &state.options.host.zone;
    let near = peers.live(now).filter(|(_, peer)| peer.zone == *zone);
    let before = near.filter(|(address, peer)| rank(peer.link_mbps, address) > own);
    before.count() < READERS
}

/// Orders the hosts of a zone: those with the fastest links read the store.
fn rank(link_mbps: u32, address: &Ipv4Addr) -> (u32, u64) {
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
            true => self.list(state, as_of).await,
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
                lock(&state.outage).begin(as_of);
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

    async fn list(&self, state: &Arc<State>, as_of: boot::Instant) -> Result<(), Fault> {
        let read = timeout(LIST_PATIENCE, (state.source.list)()).await;
        let whole = read.unwrap_or(Err(Fault::Silent(LIST_PATIENCE)))?;
        regained(state);
        adopt(state, as_of, |mirror| {
            mirror.replace(whole.items, whole.revision, as_of)
        });
        Ok(())
    }
}

async fn watch(state: &Arc<State>, revision: u64, as_of: boot::Instant) -> Result<(), Fault> {
    let limit = WATCH + STORE_PATIENCE;
    let read = timeout(limit, (state.source.watch)(revision, WATCH)).await;
    let delta = read.unwrap_or(Err(Fault::Silent(limit)))?;
    regained(state);
    // The store waited that long before it found nothing.
    let now = boot::Instant::now();
    let as_of = match delta.events.is_empty() && now.since(as_of) >= WATCH {
        true => as_of + WATCH,
        false => as_of,
    };
    adopt(state, as_of, |mirror| {
        mirror.apply(delta.events, delta.revision, as_of)
    });
    Ok(())
}

fn regained(state: &State) {
    let now = boot::Instant::now();
    if lock(&state.outage).end(now) {
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
        None => Err(Lost::Refused(http::StatusCode::SERVICE_UNAVAILABLE)),
    };
    if let Err(lost) = followed {
        info!(leader = leader.map(|it| it.to_string()), %lost, "peers: can't follow");
        store.is_behind = true;
        store.step(state).await;
    }
}

/// Asks the host that knows most, as far as it was heard, this zone's first.
async fn follow_any(state: &Arc<State>) {
    let now = Instant::now();
    let zone = &state.options.host.zone;
    let own = lock(&state.mirror).revision();
    let leader = {
        let peers = lock(&state.peers);
        let live = peers.live(now).filter_map(|(address, peer)| {
            let age = peer.age(now)?;
            let is_useful = age < STALE || peer.revision > own;
            is_useful.then_some((address, peer, age))
        });
        let best = live.max_by_key(|(_, peer, age)| {
            (peer.revision, peer.zone == *zone, std::cmp::Reverse(*age))
        });
        best.map(|(address, _, _)| *address)
    };
    if let Some(leader) = leader
        && let Err(lost) = follow(state, leader, Duration::ZERO).await
    {
        info!(%leader, %lost, "peers: can't follow");
    }
}

/// Asks a host for what it holds, and adopts it.
async fn follow(state: &Arc<State>, leader: Ipv4Addr, wait: Duration) -> Result<(), Lost> {
    let as_of = boot::Instant::now();
    let after = lock(&state.mirror).revision();
    let limit = wait + FOLLOW_PATIENCE;
    let address = SocketAddr::from((leader, state.options.host.peer.port()));
    let asked = timeout(limit, ask(address, after, wait)).await;
    let reply = asked.map_err(|_| Lost::Silent(limit))??;
    // The reply was made this long after the question left, at the earliest.
    let made = as_of + Duration::from_millis(reply.waited_ms);
    let age = Duration::from_millis(reply.age_ms);
    let as_of = made.before(age);
    if age < OUTAGE {
        let settling = Duration::from_millis(reply.settling_ms);
        lock(&state.outage).pass(boot::Instant::now(), settling);
    }
    adopt(state, as_of, |mirror| match reply.content {
        Content::Changes(events) => mirror.apply(events, reply.revision, as_of),
        Content::Whole(items) => mirror.replace(items, reply.revision, as_of),
    });
    match age > STALE {
        true => Err(Lost::Stale(age)),
        false => Ok(()),
    }
}

async fn ask(address: SocketAddr, after: u64, wait: Duration) -> Result<wire::Reply, Lost> {
    let wait_ms = millis(wait);
    let question = rmp_serde::to_vec(&wire::Ask { after, wait_ms })?;
    let stream = TcpStream::connect(address).await?;
    harden(&stream)?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::post(wire::PATH)
        .header(http::header::HOST, address.to_string())
        .body(Full::new(Bytes::from(question)))
        .map_err(|error| Lost::Cut(error.into()))?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        let status = response.status();
        let body = Limited::new(response.into_body(), REPLY_BYTES).collect();
        match status.is_success() {
            true => Ok(body.await.map_err(Lost::Cut)?.to_bytes()),
            false => Err(Lost::Refused(status)),
        }
    };
    let bytes = tokio::select! {
        bytes = exchange => bytes?,
        ended = connection => {
            ended?;
            return Err(Lost::Refused(http::StatusCode::SERVICE_UNAVAILABLE));
        }
    };
    Ok(wire::Reply::decode(&bytes)?)
}

/// Changes the mirror and then the view.
fn adopt(
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
            version = view.table().map(|table| table.version),
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
            lock(&state.health).forget(&id);
            lock(&state.warm).forget(&id);
        }
        return;
    };
    match (state.source.decode)(key, value) {
        Ok(Some(entry)) => {
            if let Some(id) = view.insert(now, key, entry) {
                info!(upstream = %id, "upstream: started anew");
                lock(&state.health).forget(&id);
                lock(&state.warm).forget(&id);
            }
        }
        Ok(None) => {}
        Err(error) => {
            warn!(key, revision = event.revision, %error, "view: item can't be used");
            view.spoil(key);
        }
    }
}
