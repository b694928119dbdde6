//! The tables that the tasks of a gateway share.
//!
//! A task that holds one of these locks takes only ones further down, and holds
//! none across an await:
//!
//! 1. `mirror`: the store's items
//! 2. `view`: what the items mean
//! 3. `peers`: which other hosts there are
//! 4. `health`: what became of requests at upstreams
//! 5. `loads`: requests under way
//! 6. `cold_starts`: starts at cold upstreams
//! 7. `prefix_cache`: where prompts were sent
//! 8. `retry_budget`: the budget for retries
//! 9. `strikes`: requests that crashed upstreams
//! 10. `bounds`: the settings in force
//! 11. `meter`: counters and histograms, and the connections' own

use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::time::Duration;

use rand::RngExt;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio_util::sync::CancellationToken;

use crate::boot;
use crate::gateway::cold_start;
use crate::gateway::connection;
use crate::gateway::health;
use crate::gateway::load;
use crate::gateway::measure;
use crate::gateway::names::Names;
use crate::gateway::outage;
use crate::gateway::peers;
use crate::gateway::prefix_cache;
use crate::gateway::retry_budget;
use crate::gateway::source::Source;
use crate::gateway::view::View;
use crate::lock::lock;
use crate::mirror;
use crate::options;
use crate::options::Options;
use crate::policy::strike;

/// Upstreams lost with a request before it is refused: users allow three.
const STRIKES: usize = 3;

/// How long strikes are kept.
const STRIKES_FOR: Duration = Duration::from_secs(60);

/// The most requests with strikes that are remembered.
const STRUCK_REQUESTS: usize = 4_096;

/// Everything that the tasks of a gateway share.
pub struct State {
    /// The settings as they were at the start.
    pub options: Options,
    /// Those of the gateway that are in force.
    pub bounds: Mutex<Arc<options::Gateway>>,
    /// This run of the process.
    pub process: u64,
    /// The address at which other hosts know this one.
    pub address: Ipv4Addr,
    /// The platform's headers.
    pub names: Names,
    /// The way to the platform's store.
    pub source: Source,
    /// The store's items.
    pub mirror: Mutex<mirror::Table>,
    /// What the items mean.
    pub view: Mutex<Arc<View>>,
    /// Which other hosts there are.
    pub peers: Mutex<peers::Table>,
    /// What became of requests at upstreams.
    pub health: Mutex<health::Table>,
    /// Requests under way.
    pub loads: Mutex<load::Table>,
    /// Starts at cold upstreams.
    pub cold_starts: Mutex<cold_start::Table>,
    /// Where prompts were sent.
    pub prefix_cache: Mutex<prefix_cache::Table>,
    /// The budget for retries.
    pub retry_budget: Mutex<retry_budget::Table>,
    /// Requests that crashed upstreams.
    pub strikes: Mutex<strike::Table>,
    /// Counters and histograms.
    pub meter: measure::Meter,
    /// Connections to upstreams.
    pub pool: connection::Pool,
    /// Since when the store didn't answer, and what follows from its return.
    pub outage: Mutex<outage::Outage>,
    /// Notified when a place became free or the view changed.
    pub changed: Notify,
    /// Notified when the mirror moved on.
    pub moved: Notify,
    /// Notified when another host holds a later revision of the store.
    pub behind: Notify,
    /// Notified when other hosts should hear of something at once.
    pub urgent: Notify,
    /// Requests of callers under way.
    pub active: AtomicUsize,
    /// Whether this host knows which upstreams hold which prompts.
    pub is_informed: AtomicBool,
    /// Connections of callers.
    pub connections: AtomicUsize,
    /// Cancelled when a shutdown begins.
    pub draining: CancellationToken,
    /// Cancelled when idle connections of callers are to be closed.
    pub closing: CancellationToken,
    /// Cancelled when the process ends.
    pub stop: CancellationToken,
    random: Mutex<StdRng>,
}

/// Returns the hosts that settings name to begin with.
pub fn seeds(options: &Options) -> Vec<Ipv4Addr> {
    let seeds = options.peer.seeds.iter().map(|seed| seed.ip());
    let seeds = seeds.filter_map(|address| match address {
        std::net::IpAddr::V4(address) => Some(address),
        std::net::IpAddr::V6(_) => None,
    });
    seeds.collect()
}

impl State {
    /// Returns the tables of a host that knows nothing yet.
    pub fn new(options: Options, names: Names, source: Source, mut random: StdRng) -> Self {
        let address = match options.host.caller.ip() {
            std::net::IpAddr::V4(address) => address,
            std::net::IpAddr::V6(_) => Ipv4Addr::UNSPECIFIED,
        };
        let peers = peers::Table::new(address, seeds(&options));
        Self {
            bounds: Mutex::new(Arc::new(options.gateway.clone())),
            process: random.random(),
            address,
            names,
            source,
            mirror: Mutex::default(),
            view: Mutex::default(),
            peers: Mutex::new(peers),
            health: Mutex::default(),
            loads: Mutex::default(),
            cold_starts: Mutex::default(),
            prefix_cache: Mutex::default(),
            retry_budget: Mutex::default(),
            strikes: Mutex::new(strike::Table::new(strike::Limits {
                upstreams: STRIKES,
                keep: STRIKES_FOR,
                most: STRUCK_REQUESTS,
            })),
            meter: measure::Meter::new(),
            pool: connection::Pool::default(),
            outage: Mutex::default(),
            changed: Notify::new(),
            moved: Notify::new(),
            behind: Notify::new(),
            urgent: Notify::new(),
            active: AtomicUsize::new(0),
            is_informed: AtomicBool::new(false),
            connections: AtomicUsize::new(0),
            draining: CancellationToken::new(),
            closing: CancellationToken::new(),
            stop: CancellationToken::new(),
            random: Mutex::new(random),
            options,
        }
    }

    /// Returns the settings of the gateway that are in force.
    pub fn bounds(&self) -> Arc<options::Gateway> {
        lock(&self.bounds).clone()
    }

    /// Returns what the store's items mean.
    pub fn view(&self) -> Arc<View> {
        lock(&self.view).clone()
    }

    /// Returns how long ago the store is known to have held what this host
    /// holds.
    pub fn age(&self, now: boot::Instant) -> Option<Duration> {
        lock(&self.mirror).age(now)
    }

    /// Tells whether keys can be vouched for: none was taken away longer ago
    /// than operators allow without this host knowing.
    pub fn vouches_for_keys(&self, now: boot::Instant) -> bool {
        let age = self.age(now);
        age.is_some_and(|age| age < self.bounds().key_age())
    }

    /// Tells whether the balancer should send callers here.
    pub fn is_ready(&self, now: boot::Instant) -> bool {
        let has_table = lock(&self.view).route_table().is_some();
        has_table && self.vouches_for_keys(now) && !self.draining.is_cancelled()
    }

    /// Draws a number that is even in 0..1.
    pub fn draw(&self) -> f64 {
        lock(&self.random).random()
    }
}
