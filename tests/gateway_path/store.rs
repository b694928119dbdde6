//! Store in memory that contains a route table and a few upstreams.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
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
use masticmoor::mirror::Position;
use masticmoor::mirror::Stamp;
use masticmoor::mirror::stamp::Writer;
use tokio::sync::Notify;
use tokio::time::timeout;

use crate::upstream::Upstream;

/// Revision of the store at the start.
const FIRST_REVISION: u64 = 1;

/// State of the store and of the engines' caches.
#[derive(Default)]
pub struct Store {
    /// Whether calls get no response.
    pub is_silent: AtomicBool,
    /// Number of full reads.
    pub lists: AtomicUsize,
    /// Number of watches.
    pub watches: AtomicUsize,
    /// Whether watches get no response, while reads do.
    pub is_watch_silent: AtomicBool,
    /// Era, which rises when the store comes back from its first copy.
    pub era: AtomicU64,
    /// Upstreams by key, including those that were deleted since.
    pub upstreams: Mutex<BTreeMap<String, Listed>>,
    /// Changes after the first revision.
    pub changes: Mutex<Vec<Event>>,
    pub changed: Notify,
    /// Cached prompt segments that engines list, by address.
    pub cached: Mutex<BTreeMap<SocketAddr, BTreeSet<u64>>>,
    /// Number of upstreams beyond two at which the route lets a request run.
    pub extra_attempts: u32,
}

/// Returns access to a store with a route of a kind, if it has a route table.
pub fn source(kind: Option<Kind>, store: &Arc<Store>) -> Source {
    let table = kind.map(|_| ("table".to_owned(), item()));
    let upstreams = lock(&store.upstreams).clone().into_keys();
    let upstreams = upstreams.map(|key| (key, item()));
    let items: BTreeMap<String, Item> = table.into_iter().chain(upstreams).collect();
    Source {
        list: Box::new({
            let store = store.clone();
            move || {
                let (store, mut items) = (store.clone(), items.clone());
                store.lists.fetch_add(1, Ordering::Relaxed);
                Box::pin(async move {
                    respond(&store).await;
                    let changes = lock(&store.changes).clone();
                    for Event {
                        key,
                        revision,
                        value,
                    } in &changes
                    {
                        match value.clone() {
                            Some(value) => {
                                let revision = *revision;
                                items.insert(key.clone(), Item { value, revision });
                            }
                            None => drop(items.remove(key)),
                        }
                    }
                    let position = position(&store, &changes);
                    Ok::<_, Fault>(Snapshot { items, position })
                })
            }
        }),
        watch: Box::new({
            let store = store.clone();
            move |revision, wait| {
                let store = store.clone();
                store.watches.fetch_add(1, Ordering::Relaxed);
                Box::pin(async move {
                    // Responds after a change as well as at the end of the wait time.
                    let _notified = timeout(wait, store.changed.notified()).await;
                    respond(&store).await;
                    if store.is_watch_silent.load(Ordering::Relaxed) {
                        std::future::pending::<()>().await;
                    }
                    delta(&store, revision)
                })
            }
        }),
        decode: Box::new({
            let store = store.clone();
            move |key, value| {
                let upstream = lock(&store.upstreams).get(key).cloned();
                let attempts = 2 + store.extra_attempts;
                let table = kind.map(|kind| route_table(kind, value, attempts));
                let table = table.map(|table| Entry::Table(Box::new(table)));
                Ok(upstream.map(Entry::Upstream).or(table))
            }
        }),
        stamp: |key, value| {
            (key == "table").then(|| Stamp {
                writer: Writer::Operator,
                started_ms: 0,
                sequence: Some(table_version(value)),
            })
        },
        cached_segments: Box::new({
            let store = store.clone();
            move |address| {
                let cached = lock(&store.cached).get(&address).cloned();
                Box::pin(async move { cached.ok_or(Fault::Refused(404)) })
            }
        }),
    }
}

/// Returns the revision after some changes.
pub fn last_revision(changes: &[Event]) -> u64 {
    changes.last().map_or(FIRST_REVISION, |it| it.revision)
}

/// Returns the store's position after some changes in the current era.
pub fn position(store: &Store, changes: &[Event]) -> Position {
    Position {
        era: store.era.load(Ordering::Relaxed),
        revision: last_revision(changes),
    }
}

fn delta(store: &Store, after: u64) -> Result<Delta, Fault> {
    let changes = lock(&store.changes);
    if after > last_revision(&changes) {
        return Err(Fault::HistoryGone);
    }
    let events = changes.iter().filter(|event| event.revision > after);
    Ok(Delta {
        events: events.cloned().collect(),
        position: position(store, &changes),
    })
}

/// Returns the version of a route table by its item's value: a number, or nothing for the
/// first one.
fn table_version(value: &[u8]) -> u64 {
    let text = std::str::from_utf8(value).unwrap();
    let number = text.split(' ').next().unwrap();
    number.parse().unwrap_or(1)
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

/// Returns the store's entries of some upstreams, by key.
pub fn listed(upstreams: &[&Upstream]) -> BTreeMap<String, Listed> {
    let entries = upstreams.iter().map(|upstream| {
        let entry = Listed {
            id: upstream.id.into(),
            service: "desk".into(),
            version: upstream.version.into(),
            address: upstream.address,
            zone: "z1".into(),
            slots: 6,
            is_draining: false,
            cold_left: Duration::ZERO,
            started_ms: upstream.started_ms,
        };
        (format!("u/{}", upstream.id), entry)
    });
    entries.collect()
}

/// Keys and their workspaces.
const KEYS: [(&str, &str); 2] = [("k1", "school"), ("k2", "club")];

fn route_table(kind: Kind, value: &[u8], max_attempts: u32) -> Table {
    let has_keys = !value.ends_with(b"without keys");
    let route = table::Route {
        name: "r1".to_owned(),
        host: "one.example".to_owned(),
        prefix: "/a/".to_owned(),
        kind,
        timeout: Duration::from_secs(5),
        objective: Duration::from_millis(100),
        max_event_gap: Some(Duration::from_millis(100)),
        priority: 0,
        max_attempts,
        is_public: false,
        is_sticky: kind.is_stream(),
        backends: vec![table::Backend {
            service: "desk".into(),
            weight: 1.0,
        }],
    };
    let keys = KEYS.map(|(key, workspace)| {
        let workspace = table::Workspace {
            name: workspace.into(),
            priority: None,
        };
        let keys = has_keys.then(|| key.to_owned());
        (workspace, keys.into_iter().collect())
    });
    Table::new(
        table_version(value),
        table::Limits::default(),
        vec![route],
        Vec::new(),
        Some(keys.into()),
    )
}
