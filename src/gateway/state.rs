//! State that the tasks of a gateway share.
//!
//! Lock order: a task that holds one of these locks may only acquire locks further
//! down the list, and no lock is held across an await:
//!
//! 1. `mirror`: the store's items
//! 2. `view`: the decoded items
//! 3. `peers`: the other hosts of the fleet
//! 4. `health`: health of upstreams
//! 5. `notices`: what upstreams announce
//! 6. `reach`: services that this host can't connect to
//! 7. `loads`: requests in flight
//! 8. `capacity`: what upstreams can take
//! 9. `cold_starts`: requests started at cold upstreams
//! 10. `prefix_cache`: upstreams that hold prompts
//! 11. `retry_budget`: the retry budget
//! 12. `crashes`: requests that crashed upstreams
//! 13. `quarantine`: prompt segments that crashed upstreams
//! 14. `origins`: versions that began streams
//! 15. `copies`: copies of the store that were given to others
//! 16. `live_options`: the gateway settings in effect
//! 17. `queues`: requests that wait, locked within its methods
//! 18. `bodies`: bodies of requests
//! 19. `callers`, `hosts`: connections
//! 20. `witnesses`, `pulse`: liveness of upstreams and of this host
//! 21. `meter`: metrics, and the locks of the connection pool

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use nix::sys::resource::Resource;
use nix::sys::resource::getrlimit;
use rand::RngExt;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tracing::warn;

use crate::boot;
use crate::gateway::admit;
use crate::gateway::buffer;
use crate::gateway::capacity;
use crate::gateway::cold_start;
use crate::gateway::connection;
use crate::gateway::follow;
use crate::gateway::headers::Names;
use crate::gateway::health;
use crate::gateway::intake;
use crate::gateway::load;
use crate::gateway::metrics;
use crate::gateway::notice;
use crate::gateway::origin;
use crate::gateway::outage;
use crate::gateway::peers;
use crate::gateway::prefix_cache;
use crate::gateway::pulse::Pulse;
use crate::gateway::reach;
use crate::gateway::retry_budget;
use crate::gateway::source::Source;
use crate::gateway::view::View;
use crate::gateway::witness;
use crate::lock::lock;
use crate::mirror;
use crate::options;
use crate::options::Options;
use crate::policy::crash;
use crate::policy::quarantine;

/// Number of upstreams that a request may crash before it is refused. The users'
/// requirements allow three.
const MAX_CRASHES: usize = 3;

/// How long a crash counts against a request.
const CRASH_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of requests for which crashes are recorded.
const MAX_TRACKED_REQUESTS: usize = 4_096;

/// State shared by the tasks of a gateway.
pub struct State {
    /// Settings at start.
    pub options: Options,
    /// Gateway settings in effect.
    pub live_options: Mutex<Arc<options::Gateway>>,
    /// Random identifier of this run of the process.
    pub process: u64,
    /// Address under which other hosts know this one.
    pub address: Ipv4Addr,
    /// Names of the platform's headers.
    pub names: Names,
    /// Access to the platform's store and engines.
    pub source: Source,
    /// The store's items.
    pub mirror: Mutex<mirror::Table>,
    /// The decoded items.
    pub view: Mutex<Arc<View>>,
    /// The other hosts of the fleet.
    pub peers: Mutex<peers::Table>,
    /// Health of upstreams.
    pub health: Mutex<health::Table>,
    /// What upstreams announce of themselves.
    pub notices: Mutex<notice::Table>,
    /// Services that this host can't connect to.
    pub reach: Mutex<reach::Table>,
    /// Requests in flight by upstream.
    pub loads: Mutex<load::Table>,
    /// What upstreams can take at present.
    pub capacity: Mutex<capacity::Table>,
    /// Requests started at cold upstreams.
    pub cold_starts: Mutex<cold_start::Table>,
    /// Upstreams that hold prompts.
    pub prefix_cache: Mutex<prefix_cache::Table>,
    /// The retry budget.
    pub retry_budget: Mutex<retry_budget::Table>,
    /// Requests that crashed upstreams.
    pub crashes: Mutex<crash::Table>,
    /// Prompt segments that crashed upstreams.
    pub quarantine: Mutex<quarantine::Table>,
    /// Versions that began streams.
    pub origins: Mutex<origin::Table>,
    /// Requests that wait for an upstream with spare capacity.
    pub queues: Arc<admit::Queues>,
    /// Counters, gauges and histograms.
    pub meter: metrics::Meter,
    /// Connections to upstreams.
    pub pool: connection::Pool,
    /// Connections that show whether upstreams are alive.
    pub witnesses: Mutex<witness::Table>,
    /// When tasks of this host ran.
    pub pulse: Mutex<Pulse>,
    /// Memory for responses that are buffered.
    pub buffers: buffer::Budget,
    /// Bodies of requests.
    pub bodies: Arc<Mutex<intake::bodies::Table>>,
    /// Connections of callers.
    pub callers: Arc<Mutex<intake::connections::Table>>,
    /// Connections of other hosts.
    pub hosts: Arc<Mutex<intake::connections::Table>>,
    /// Descriptors that the system lets this process open.
    pub system_fds: u64,
    /// Outage of the store, and the recovery period after it.
    pub outage: Mutex<outage::Outage>,
    /// Copies of the store that this host gave to others that started.
    pub copies: Mutex<follow::Copies>,
    /// Held by the task that reads the store to confirm this host's copy.
    pub confirming: tokio::sync::Mutex<()>,
    /// Notified when a slot became free or the view changed.
    pub capacity_changed: Notify,
    /// Notified when the mirror's position advanced.
    pub store_advanced: Notify,
    /// Notified when another host knows more of the store.
    pub store_behind: Notify,
    /// Notified when a gossip message should be sent without delay.
    pub gossip_urgent: Notify,
    /// Notified when a connection to an upstream could not be opened.
    pub reach_doubted: Notify,
    /// Notified when a version that began a stream is to be told to other hosts.
    pub origin_recorded: Notify,
    /// Callers' requests in flight.
    pub active: AtomicUsize,
    /// Whether this host knows which upstreams hold which prompts.
    pub is_informed: AtomicBool,
    /// Whether this host has compared its route table with those of others since its start.
    pub has_joined: AtomicBool,
    /// Open connections from callers.
    pub connections: AtomicUsize,
    /// Cancelled when shutdown begins.
    pub draining: CancellationToken,
    /// Cancelled when idle connections from callers are to be closed.
    pub closing: CancellationToken,
    /// Cancelled when requests that still run are aborted, shortly before the process exits.
    pub aborting: CancellationToken,
    /// When they are, once the shutdown has begun.
    pub aborts_at: OnceLock<Instant>,
    /// Cancelled when the process ends.
    pub stop: CancellationToken,
    random: Mutex<StdRng>,
}

/// Returns the IPv4 addresses of the seed hosts in the settings.
pub fn seeds(options: &Options) -> Vec<Ipv4Addr> {
    let seeds = options.peer.seeds.iter().map(|seed| seed.ip());
    let seeds = seeds.filter_map(|address| match address {
        std::net::IpAddr::V4(address) => Some(address),
        std::net::IpAddr::V6(_) => None,
    });
    seeds.collect()
}

/// Returns the number of descriptors that the system lets this process open.
fn system_fds() -> u64 {
    match getrlimit(Resource::RLIMIT_NOFILE) {
        Ok((soft, _)) => soft,
        Err(error) => {
            warn!(%error, "gateway: can't read the limit of descriptors");
            u64::MAX
        }
    }
}

impl State {
    /// Creates the state of a host that has not read the store yet.
    pub fn new(options: Options, names: Names, source: Source, mut random: StdRng) -> Self {
        let address = match options.host.caller.ip() {
            std::net::IpAddr::V4(address) => address,
            std::net::IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        let peers = peers::Table::new(address, seeds(&options));
        Self {
            live_options: Mutex::new(Arc::new(options.gateway.clone())),
            process: random.random(),
            address,
            names,
            source,
            mirror: Mutex::default(),
            view: Mutex::default(),
            peers: Mutex::new(peers),
            health: Mutex::default(),
            notices: Mutex::default(),
            reach: Mutex::default(),
            loads: Mutex::default(),
            capacity: Mutex::default(),
            cold_starts: Mutex::default(),
            prefix_cache: Mutex::default(),
            retry_budget: Mutex::default(),
            crashes: Mutex::new(crash::Table::new(crash::Limits {
                upstreams: MAX_CRASHES,
                retention: CRASH_RETENTION,
                max_requests: MAX_TRACKED_REQUESTS,
            })),
            quarantine: Mutex::new(quarantine::Table::new(quarantine::Limits::default())),
            origins: Mutex::default(),
            queues: Arc::default(),
            meter: metrics::Meter::new(),
            pool: connection::Pool::default(),
            witnesses: Mutex::default(),
            pulse: Mutex::new(Pulse::new(boot::Instant::now())),
            buffers: buffer::Budget::default(),
            bodies: Arc::default(),
            callers: Arc::default(),
            hosts: Arc::default(),
            system_fds: system_fds(),
            outage: Mutex::default(),
            copies: Mutex::default(),
            confirming: tokio::sync::Mutex::default(),
            capacity_changed: Notify::new(),
            store_advanced: Notify::new(),
            store_behind: Notify::new(),
            gossip_urgent: Notify::new(),
            reach_doubted: Notify::new(),
            origin_recorded: Notify::new(),
            active: AtomicUsize::new(0),
            is_informed: AtomicBool::new(false),
            has_joined: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            aborting: CancellationToken::new(),
            aborts_at: OnceLock::new(),
            stop: CancellationToken::new(),
            random: Mutex::new(random),
            options,
        }
    }

    /// Returns the gateway settings in effect.
    pub fn live_options(&self) -> Arc<options::Gateway> {
        lock(&self.live_options).clone()
    }

    /// Returns the bounds on what callers send, whose bodies may have `max_body` bytes.
    pub fn intake_limits(&self, max_body: usize) -> intake::Limits {
        intake::Limits::new(&self.live_options(), self.system_fds, max_body)
    }

    /// Returns the decoded items of the store.
    pub fn view(&self) -> Arc<View> {
        lock(&self.view).clone()
    }

    /// Returns the age of this host's copy of the store; `None` before the first
    /// read.
    pub fn store_age(&self, now: boot::Instant) -> Option<Duration> {
        lock(&self.mirror).age(now)
    }

    /// Returns how far this host's knowledge of the store has come.
    pub fn progress(&self) -> peers::Progress {
        let position = lock(&self.mirror).position();
        let table_version = self.view().route_table().map(|table| table.version);
        peers::Progress {
            position,
            table_version: table_version.unwrap_or_default(),
        }
    }

    /// Returns whether this host's copy of the store is recent enough to authorize
    /// requests by their keys, and as late as those of other hosts at its start. Operators
    /// bound how long a revoked key may still work.
    pub fn has_fresh_keys(&self, now: boot::Instant) -> bool {
        let age = self.store_age(now);
        let is_recent = age.is_some_and(|age| age < self.live_options().key_age());
        is_recent && self.has_joined.load(Ordering::Relaxed)
    }

    /// Returns whether the load balancer should send callers to this host.
    pub fn is_ready(&self, now: boot::Instant) -> bool {
        let has_table = lock(&self.view).route_table().is_some();
        has_table && self.has_fresh_keys(now) && !self.draining.is_cancelled()
    }

    /// Returns a connection to the pool, to an upstream with this many slots, or to another host,
    /// which has none. The last response on it must have been read to the end.
    pub fn release_connection(&self, connection: connection::Connection, slots: u32) {
        let now = Instant::now();
        let hosts = lock(&self.peers).fleet_size(now);
        let limit = connection::idle_limit(slots, hosts);
        self.pool.release(now, connection, limit);
    }

    /// Returns a uniformly distributed random number in `0..1`.
    pub fn random_fraction(&self) -> f64 {
        lock(&self.random).random()
    }
}
