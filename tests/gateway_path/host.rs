//! Gateway in the test's process, with a store in memory that contains a route table and
//! a few upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use masticmoor::boot;
use masticmoor::gateway::State;
use masticmoor::gateway::headers::Names;
use masticmoor::gateway::headers::Segment;
use masticmoor::gateway::serve;
use masticmoor::gateway::source::Delta;
use masticmoor::gateway::source::Entry;
use masticmoor::gateway::source::Fault;
use masticmoor::gateway::source::Snapshot;
use masticmoor::gateway::source::Source;
use masticmoor::gateway::table;
use masticmoor::gateway::table::Kind;
use masticmoor::gateway::table::Table;
use masticmoor::gateway::upstream::Upstream as Listed;
use masticmoor::lock::lock;
use masticmoor::mirror::Event;
use masticmoor::mirror::Item;
use masticmoor::options::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::TIMEOUT;
use crate::upstream::Upstream;

/// Settings of each gateway.
pub const SETTINGS: &str = r#"
[host]
name = "h1"
zone = "z1"
caller = "127.0.0.1:0"
peer = "127.0.0.1:0"
operator = "127.0.0.1:0"
[platform]
addresses = ["127.0.0.1:1"]
[gateway]
revocation_ms = 4000
"#;

/// Time after which a host that can't read the store refuses keys.
pub const MAX_KEY_AGE: Duration = Duration::from_millis(3_000);

/// Revision of the store in which the keys are revoked.
const REVOKED_REVISION: u64 = 2;

/// A running gateway.
pub struct Host {
    /// Address for callers.
    pub caller: SocketAddr,
    /// Address for other hosts.
    pub peer: SocketAddr,
    /// State of the gateway.
    pub state: Arc<State>,
    store: Arc<Store>,
}

/// State of the store and of the engines' caches.
#[derive(Default)]
struct Store {
    /// Whether calls get no response.
    is_silent: AtomicBool,
    /// Whether the route table was published again without keys.
    is_revoked: AtomicBool,
    changed: Notify,
    /// Cached prompt segments that engines list, by address.
    cached: Mutex<BTreeMap<SocketAddr, BTreeSet<u64>>>,
}

impl Host {
    /// Starts a gateway with one route of a kind to some upstreams, and waits until it
    /// is ready.
    pub async fn start(kind: Kind, upstreams: &[&Upstream]) -> Self {
        Self::start_with_cache(kind, upstreams, &[]).await
    }

    /// Starts a gateway as [`Self::start`] does, with some upstreams that list cached prompt
    /// segments.
    pub async fn start_with_cache(
        kind: Kind,
        upstreams: &[&Upstream],
        cached: &[(&Upstream, &[u64])],
    ) -> Self {
        let listed = upstreams.iter().map(|it| (it.id, it.address)).collect();
        let host = Self::run(Some(kind), listed).await;
        let cached = cached.iter().map(|(it, segments)| {
            let segments = segments.iter().copied().collect();
            (it.address, segments)
        });
        lock(&host.store.cached).extend(cached);
        let ready = async {
            while !host.is_ready() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, ready).await.unwrap();
        host
    }

    /// Starts a gateway whose store is empty.
    pub async fn start_empty() -> Self {
        Self::run(None, Vec::new()).await
    }

    async fn run(kind: Option<Kind>, listed: Vec<(&'static str, SocketAddr)>) -> Self {
        let store = Arc::new(Store::default());
        let mut options = Options::parse(SETTINGS).unwrap();
        // Any free port, since there are no other hosts.
        options.gateway.gossip_port = 0;
        let source = source(kind, listed, &store);
        let random = StdRng::seed_from_u64(1);
        let state = Arc::new(State::new(options, names(), source, random));
        let addresses = serve::start(&state).await.unwrap();
        Self {
            caller: addresses.caller,
            peer: addresses.peer,
            state,
            store,
        }
    }

    /// Returns whether the load balancer would send callers to this host.
    pub fn is_ready(&self) -> bool {
        self.state.is_ready(boot::Instant::now())
    }

    /// Returns how many leading segments of a prompt an upstream has cached, as far as the
    /// gateway knows.
    pub fn cached_prefix_len(&self, upstream: &Upstream, segments: &[u64]) -> usize {
        lock(&self.state.prefix_cache).prefix_len(Instant::now(), segments, &upstream.id.into())
    }

    /// Makes the store respond to no call from now on.
    pub fn silence_store(&self) {
        self.store.is_silent.store(true, Ordering::Relaxed);
    }

    /// Revokes all keys, and waits until the gateway has received the change.
    pub async fn revoke_keys(&self) {
        self.store.is_revoked.store(true, Ordering::Relaxed);
        self.store.changed.notify_waiters();
        let received = async {
            while lock(&self.state.mirror).revision() < REVOKED_REVISION {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, received).await.unwrap();
    }

    /// Shuts the gateway down, and returns how many requests were aborted.
    pub async fn drain(&self) -> usize {
        serve::drain(&self.state).await
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.state.stop.cancel();
    }
}

fn names() -> Names {
    let name = HeaderName::from_static;
    Names {
        attempt: name("x-attempt"),
        deadline: name("x-deadline"),
        key: name("x-key"),
        workspace: name("x-workspace"),
        expected: name("x-expected"),
        not_executed: name("x-not-executed"),
        receipt: name("x-receipt"),
        last_event: name("x-last"),
        origin: name("x-origin"),
        priority: name("x-priority"),
        fetch: name("x-fetch"),
        reserved: vec![name("x-reserved")],
        segments,
        rank: |priority| priority,
    }
}

/// Parses the segments of a prompt as a list of identifiers, each of a thousand tokens.
fn segments(headers: &HeaderMap) -> Vec<Segment> {
    let text = headers.get("x-parts").map(|it| it.to_str().unwrap());
    let names = text.unwrap_or_default().split(',');
    let ids = names.filter_map(|name| name.parse().ok());
    ids.map(|id| Segment { id, tokens: 1_000 }).collect()
}

fn source(
    kind: Option<Kind>,
    listed: Vec<(&'static str, SocketAddr)>,
    store: &Arc<Store>,
) -> Source {
    let table = kind.map(|_| ("table".to_owned(), item()));
    let upstreams = listed.iter().map(|(id, _)| (format!("u/{id}"), item()));
    let items: BTreeMap<String, Item> = table.into_iter().chain(upstreams).collect();
    Source {
        list: Box::new({
            let store = store.clone();
            move || {
                let snapshot = Snapshot {
                    items: items.clone(),
                    revision: 1,
                };
                let store = store.clone();
                Box::pin(async move {
                    respond(&store).await;
                    Ok::<_, Fault>(snapshot)
                })
            }
        }),
        watch: Box::new({
            let store = store.clone();
            move |revision, wait| {
                let store = store.clone();
                Box::pin(async move {
                    // Responds after a change as well as at the end of the wait time.
                    let _notified = timeout(wait, store.changed.notified()).await;
                    respond(&store).await;
                    Ok(delta(&store, revision))
                })
            }
        }),
        decode: Box::new(move |key, value| {
            let upstream = key.strip_prefix("u/");
            let entry = match (upstream, kind) {
                (Some(id), _) => {
                    let found = listed.iter().find(|(name, _)| *name == id);
                    found.map(|(id, address)| Entry::Upstream(upstream_entry(id, *address)))
                }
                (None, Some(kind)) => {
                    let keys = value.is_empty().then_some("k1");
                    Some(Entry::Table(Box::new(route_table(kind, keys))))
                }
                (None, None) => None,
            };
            Ok(entry)
        }),
        cached_segments: Box::new({
            let store = store.clone();
            move |address| {
                let cached = lock(&store.cached).get(&address).cloned();
                Box::pin(async move { cached.ok_or(Fault::Refused(404)) })
            }
        }),
    }
}

fn delta(store: &Store, revision: u64) -> Delta {
    match store.is_revoked.load(Ordering::Relaxed) && revision < REVOKED_REVISION {
        true => Delta {
            events: vec![Event {
                key: "table".to_owned(),
                value: Some(Bytes::from_static(b"without keys")),
                revision: REVOKED_REVISION,
            }],
            revision: REVOKED_REVISION,
        },
        false => Delta {
            events: Vec::new(),
            revision,
        },
    }
}

/// Returns once the store may respond; never if it is silent.
async fn respond(store: &Store) {
    if store.is_silent.load(Ordering::Relaxed) {
        std::future::pending::<()>().await;
    }
}

fn item() -> Item {
    Item {
        value: Bytes::new(),
        revision: 1,
    }
}

fn upstream_entry(id: &str, address: SocketAddr) -> Listed {
    Listed {
        id: id.into(),
        service: "desk".into(),
        version: "v1".into(),
        address,
        zone: "z1".into(),
        slots: 6,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: None,
    }
}

fn route_table(kind: Kind, key: Option<&str>) -> Table {
    let route = table::Route {
        name: "r1".to_owned(),
        host: "one.example".to_owned(),
        prefix: "/a/".to_owned(),
        kind,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(100),
        max_event_gap: Some(Duration::from_millis(100)),
        priority: 0,
        max_attempts: 2,
        is_public: false,
        is_sticky: kind.is_stream(),
        backends: vec![table::Backend {
            service: "desk".into(),
            weight: 1.0,
        }],
    };
    let workspace = table::Workspace {
        name: "school".into(),
        priority: None,
    };
    let keys = vec![(workspace, key.map(str::to_owned).into_iter().collect())];
    Table::new(
        1,
        table::Limits::default(),
        vec![route],
        Vec::new(),
        Some(keys),
    )
}
