//! Gateway in the test's process, with a store in memory that contains a route table and
//! a few upstreams.

use std::collections::BTreeMap;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::net::UdpSocket;
use std::sync::Arc;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use masticmoor::boot;
use masticmoor::gateway::State;
use masticmoor::gateway::headers::Names;
use masticmoor::gateway::headers::Notice;
use masticmoor::gateway::headers::Segment;
use masticmoor::gateway::serve;
use masticmoor::gateway::table::Kind;
use masticmoor::gateway::upstream::Upstream as Listed;
use masticmoor::lock::lock;
use masticmoor::mirror::Event;
use masticmoor::options::Options;
use masticmoor::policy::quarantine;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::TIMEOUT;
use crate::link::Links;
use crate::store::Store;
use crate::store::last_revision;
use crate::store::listed;
use crate::store::position;
use crate::store::source;
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
        let options = Options::parse(SETTINGS).unwrap();
        let host = Self::run(options, Some(kind), listed(upstreams), Arc::default()).await;
        let cached = cached.iter().map(|(it, segments)| {
            let segments = segments.iter().copied().collect();
            (it.address, segments)
        });
        lock(&host.store.cached).extend(cached);
        host.ready().await;
        host
    }

    /// Starts a gateway as [`Self::start`] does, whose route lets a request run at three upstreams.
    pub async fn start_with_three_attempts(kind: Kind, upstreams: &[&Upstream]) -> Self {
        let options = Options::parse(SETTINGS).unwrap();
        let store = Store {
            extra_attempts: 1,
            ..Store::default()
        };
        let host = Self::run(options, Some(kind), listed(upstreams), Arc::new(store)).await;
        host.ready().await;
        host
    }

    /// Starts gateways that know each other, each on a loopback address of its own.
    pub async fn start_fleet(count: u8, kind: Kind, upstreams: &[&Upstream]) -> Vec<Self> {
        let network = Network::free();
        let mut fleet = Vec::new();
        for number in 1..=count {
            fleet.push(Self::join(network, number, kind, upstreams, Arc::default()).await);
        }
        Self::acquaint(&fleet).await;
        fleet
    }

    /// Starts all gateways of a fleet for the first time.
    pub async fn start_first_fleet(count: u8, kind: Kind, upstreams: &[&Upstream]) -> Vec<Self> {
        let network = Network::free();
        let mut fleet = Vec::new();
        for number in 1..=count {
            let mut options = network.options(number);
            options.gateway.first_start = true;
            let listed = listed(upstreams);
            fleet.push(Self::run(options, Some(kind), listed, Arc::default()).await);
        }
        Self::acquaint(&fleet).await;
        fleet
    }

    /// Returns how often the gateway has read all items of the store, and how often it has watched
    /// it.
    pub fn store_calls(&self) -> (usize, usize) {
        let count = |calls: &AtomicUsize| calls.load(Ordering::Relaxed);
        (count(&self.store.lists), count(&self.store.watches))
    }

    /// Starts gateways as [`Self::start_fleet`] does, each with paths of its own to the upstreams.
    pub async fn start_linked_fleet(
        count: u8,
        kind: Kind,
        upstreams: &[&Upstream],
    ) -> (Vec<Self>, Vec<Links>) {
        let network = Network::free();
        let (mut fleet, mut paths) = (Vec::new(), Vec::new());
        for number in 1..=count {
            let links = Links::open(upstreams.iter().map(|it| it.address)).await;
            let linked = upstreams.iter().zip(links.addresses());
            let linked: Vec<_> = linked.map(|(it, address)| it.behind(address)).collect();
            let linked: Vec<_> = linked.iter().collect();
            fleet.push(Self::join(network, number, kind, &linked, Arc::default()).await);
            paths.push(links);
        }
        Self::acquaint(&fleet).await;
        (fleet, paths)
    }

    /// Waits until all gateways of a fleet are ready and know each other.
    async fn acquaint(fleet: &[Self]) {
        for host in fleet {
            host.ready().await;
        }
        let acquainted = async {
            let others = fleet.len() - 1;
            let knows_all =
                |host: &Self| lock(&host.state.peers).live(Instant::now()).count() == others;
            while !fleet.iter().all(knows_all) {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, acquainted).await.unwrap();
    }

    /// Starts a gateway beside others of a network, with a store that may already have come
    /// back older.
    async fn join(
        network: Network,
        number: u8,
        kind: Kind,
        upstreams: &[&Upstream],
        store: Arc<Store>,
    ) -> Self {
        let options = network.options(number);
        Self::run(options, Some(kind), listed(upstreams), store).await
    }

    /// Starts two gateways, the second after the store that both read has come back older:
    /// it has lost a revocation of all keys, which the first gateway knows. The first one
    /// reads the new era unless it is cut off from the store.
    pub async fn start_around_restored_store(
        kind: Kind,
        upstreams: &[&Upstream],
        is_cut_off: bool,
    ) -> [Self; 2] {
        let network = Network::free();
        let first = Self::join(network, 1, kind, upstreams, Arc::default()).await;
        first.ready().await;
        first.revoke_keys().await;
        match is_cut_off {
            true => first.silence_store(),
            false => first.restore_store(),
        }
        let restored = Store {
            era: AtomicU64::new(1),
            ..Store::default()
        };
        let second = Self::join(network, 2, kind, upstreams, Arc::new(restored)).await;
        [first, second]
    }

    /// Stops all tasks of the gateway, as if its process were killed.
    pub async fn kill(&self) {
        self.state.stop.cancel();
        let is_gone = async {
            while TcpStream::connect(self.peer).await.is_ok() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, is_gone).await.unwrap();
    }

    async fn ready(&self) {
        let ready = async {
            while !self.is_ready() {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        timeout(TIMEOUT, ready).await.unwrap();
    }

    /// Starts a gateway whose store is empty.
    pub async fn start_empty() -> Self {
        let options = Options::parse(SETTINGS).unwrap();
        Self::run(options, None, BTreeMap::new(), Arc::default()).await
    }

    async fn run(
        mut options: Options,
        kind: Option<Kind>,
        listed: BTreeMap<String, Listed>,
        store: Arc<Store>,
    ) -> Self {
        *lock(&store.upstreams) = listed;
        if options.peer.seeds.is_empty() {
            // Any free port, since there are no other hosts.
            options.gateway.gossip_port = 0;
        }
        let source = source(kind, &store);
        // The identifiers of hosts that know each other differ.
        let seed = match options.host.caller.ip() {
            IpAddr::V4(address) => u64::from(u32::from(address)),
            IpAddr::V6(_) => 1,
        };
        let random = StdRng::seed_from_u64(seed);
        let state = Arc::new(State::new(options, names(), source, random));
        let addresses = serve::start(&state).await.unwrap();
        Self {
            caller: addresses.caller,
            peer: addresses.peer,
            state,
            store,
        }
    }

    /// Returns the address to which other hosts send datagrams.
    pub fn gossip(&self) -> SocketAddr {
        SocketAddr::new(self.peer.ip(), self.state.options.gateway.gossip_port)
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

    /// Records crashes of engines, by requests of several workspaces with a segment, as
    /// another host would report them.
    pub fn refuse_segment(&self, segment: u64, ages_ms: &[u64]) {
        let crashes = ages_ms.iter().zip(0..).flat_map(|(age_ms, number)| {
            (0..2).map(move |other| quarantine::Crash {
                upstream: format!("lost-{number}").as_str().into(),
                workspace: number * 2 + other,
                age_ms: *age_ms - u64::from(other) * 400,
                run_ms: 10,
            })
        });
        let report = quarantine::Report {
            segment,
            crashes: crashes.collect(),
            answer_age_ms: None,
        };
        lock(&self.state.quarantine).merge(Instant::now(), &report);
    }

    /// Makes the store respond to no call from now on.
    pub fn silence_store(&self) {
        self.store.is_silent.store(true, Ordering::Relaxed);
    }

    /// Revokes all keys, and waits until the gateway has received the change.
    pub async fn revoke_keys(&self) {
        let without_keys = Some(Bytes::from_static(b"2 without keys"));
        self.publish([("table".to_owned(), without_keys)]).await;
    }

    /// Publishes a version of the route table that differs from the first one in nothing
    /// else, and waits until the gateway has received the change.
    pub async fn publish_version(&self, version: u64) {
        let value = Bytes::from(version.to_string());
        self.publish([("table".to_owned(), Some(value))]).await;
    }

    /// Makes the store come back as it was at the start, in a new era.
    pub fn restore_store(&self) {
        lock(&self.store.changes).clear();
        self.store.era.fetch_add(1, Ordering::Relaxed);
        self.store.changed.notify_waiters();
    }

    /// Returns the version of the route table in effect.
    pub fn table_version(&self) -> u64 {
        self.state.progress().table_version
    }

    /// Replaces all upstreams in the store, and waits until the gateway has received the
    /// change.
    pub async fn replace_upstreams(&self, upstreams: &[&Upstream]) {
        let new = listed(upstreams);
        let old = std::mem::replace(&mut *lock(&self.store.upstreams), new.clone());
        let deleted = old.into_keys().filter(|key| !new.contains_key(key));
        let deleted = deleted.map(|key| (key, None));
        let added = new.keys().map(|key| (key.clone(), Some(Bytes::new())));
        self.publish(added.chain(deleted)).await;
    }

    /// Adds an upstream to the store of a gateway whose watches hang, which therefore doesn't see
    /// it.
    pub async fn add_upstream_unseen(&self, upstream: &Upstream) {
        self.store.is_watch_silent.store(true, Ordering::Relaxed);
        // Ends the watch that is waiting.
        self.store.changed.notify_waiters();
        tokio::time::sleep(Duration::from_millis(20)).await;
        let mut changes = lock(&self.store.changes);
        for (key, entry) in listed(&[upstream]) {
            let revision = last_revision(&changes) + 1;
            lock(&self.store.upstreams).insert(key.clone(), entry);
            changes.push(Event {
                key,
                // Differs from that of an earlier entry.
                value: Some(Bytes::from(revision.to_string())),
                revision,
            });
        }
    }

    /// Kills the gateway with a number in its fleet, and starts it again with other upstreams.
    pub async fn restart(&self, number: u8, kind: Kind, upstreams: &[&Upstream]) -> Self {
        self.kill().await;
        let IpAddr::V4(address) = self.peer.ip() else {
            panic!("not an IPv4 address");
        };
        let [a, b, c, _] = address.octets();
        let network = Network {
            prefix: [a, b, c],
            port: self.peer.port(),
        };
        let host = Self::join(network, number, kind, upstreams, Arc::default()).await;
        host.ready().await;
        host
    }

    /// Publishes changes of the store's items, and waits until the gateway has received
    /// them.
    async fn publish(&self, items: impl IntoIterator<Item = (String, Option<Bytes>)>) {
        let position = {
            let mut changes = lock(&self.store.changes);
            for (key, value) in items {
                let revision = last_revision(&changes) + 1;
                changes.push(Event {
                    key,
                    value,
                    revision,
                });
            }
            position(&self.store, &changes)
        };
        self.store.changed.notify_waiters();
        let received = async {
            while lock(&self.state.mirror).position() < position {
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
        notice,
        rank: |priority| priority,
    }
}

/// Returns what an upstream announces.
fn notice(headers: &HeaderMap) -> Notice {
    Notice {
        is_leaving: headers.contains_key("x-leaving"),
        limit: headers
            .get("x-limit")
            .map(|value| value.to_str().unwrap().parse().unwrap()),
        rejection_limit: headers
            .get("x-brittle")
            .map(|value| value.to_str().unwrap().parse().unwrap()),
        rest: headers.get(http::header::RETRY_AFTER).map(|value| {
            let seconds = value.to_str().unwrap().parse().unwrap();
            Duration::from_secs_f64(seconds)
        }),
        ..Notice::default()
    }
}

/// Parses the segments of a prompt as a list of identifiers, each of a thousand tokens.
fn segments(headers: &HeaderMap) -> Vec<Segment> {
    let text = headers.get("x-parts").map(|it| it.to_str().unwrap());
    let names = text.unwrap_or_default().split(',');
    let ids = names.filter_map(|name| name.parse().ok());
    ids.map(|id| Segment { id, tokens: 1_000 }).collect()
}

/// Loopback addresses of gateways that know each other.
#[derive(Clone, Copy, Debug)]
struct Network {
    /// The first three bytes of the addresses.
    prefix: [u8; 3],
    /// Port for datagrams and for other hosts.
    port: u16,
}

impl Network {
    /// Returns the settings of a gateway. The first one is the seed.
    fn options(self, number: u8) -> Options {
        let [a, b, c] = self.prefix;
        let ip = Ipv4Addr::new(a, b, c, number);
        let text = SETTINGS.replace("127.0.0.1:0", &format!("{ip}:0"));
        let mut options = Options::parse(&text).unwrap();
        options.host.peer.set_port(self.port);
        options.gateway.gossip_port = self.port;
        options.peer.seeds = vec![SocketAddr::from(([a, b, c, 1], self.port))];
        options
    }

    /// Returns a network with a port that is free on one of its addresses. Concurrent tests
    /// use different networks.
    fn free() -> Self {
        static NETWORKS: AtomicU8 = AtomicU8::new(1);
        let [low, high, ..] = std::process::id().to_le_bytes();
        let prefix = [
            127,
            low.max(1),
            high ^ NETWORKS.fetch_add(1, Ordering::Relaxed),
        ];
        let [a, b, c] = prefix;
        let socket = UdpSocket::bind((Ipv4Addr::new(a, b, c, 1), 0)).unwrap();
        let port = socket.local_addr().unwrap().port();
        Self { prefix, port }
    }
}
