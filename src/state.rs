//! The tables that the tasks of one host share.
//!
//! Tasks run on the runtime's pool of workers. A task that holds one of these
//! locks takes only ones further down, and holds none across an await:
//!
//! 1. `refresh`: held while a new plan is worked out and put in force
//! 2. `plan`: the register and the rules in force
//! 3. `store`: the published values
//! 4. `parsed`: the values last checked, ready for use
//! 5. `held`: what the store holds, in a few bytes
//! 6. `view`: which hosts are live
//! 7. `gate`: whether this host may act on the values
//! 8. `calls`: the budget of calls to the platform
//! 9. `heard`: when the platform answered last
//! 10. `rounds`: the last start of each upstream
//! 11. `desk`: what runs at the upstreams that this host is home of
//! 12. `loads`: what other homes told of their upstreams
//! 13. `failed`: upstreams that failed a moment ago
//! 14. `strikes`: requests that crashed upstreams
//! 15. `retry`: the budget for retries
//! 16. `quota`: tokens that workspaces asked for ahead
//! 17. `meter`: what the host has measured
//! 18. the suspects', the issuer's, the links' and the connections' own

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::Ordering;
use std::time::Duration;

use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::sync::Semaphore;
use tokio::sync::oneshot;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

use crate::config::budget::Budget;
use crate::config::gate::Gate;
use crate::config::store::Store;
use crate::config::value;
use crate::config::watch;
use crate::home::admission;
use crate::home::connection;
use crate::home::suspect;
use crate::ident;
use crate::lock::lock;
use crate::member::held::Held;
use crate::member::incarnation::Incarnation;
use crate::member::timing::Timing;
use crate::member::view::View;
use crate::meter;
use crate::options::Options;
use crate::peer::cut;
use crate::peer::frame::Exchange;
use crate::peer::link;
use crate::plan::Plan;
use crate::policy::crash;
use crate::policy::fair;
use crate::policy::load;
use crate::policy::quota;
use crate::policy::ramp;
use crate::policy::retry;
use crate::token;
use crate::token::Issuer;

/// The most requests with strikes that are remembered.
const STRIKES: usize = 4_096;

/// The part of a host's tokens that one workspace may ask for ahead within the
/// lifetime of a token is one in this many.
const WORKSPACES_AHEAD: usize = 100;

/// How long an upstream that failed is tried last.
pub const FAILED_FOR: Duration = Duration::from_secs(2);

/// The frame around a body: the longest frame taken beyond the longest body.
const FRAME_OVERHEAD_BYTES: usize = 1 << 20;

/// What wakes a request that waits for its turn.
pub type Ticket = oneshot::Sender<admission::Resolution>;

/// Everything that the tasks of one host share.
pub struct State {
    /// The settings.
    pub options: Options,
    /// This run of the process.
    pub own: Incarnation,
    /// Held while a new plan is worked out, so that none is put in force after
    /// a later one.
    pub refresh: Mutex<()>,
    /// The register and the rules in force.
    plan: Mutex<Arc<Plan>>,
    /// The published values.
    pub store: Mutex<Store>,
    /// The values last checked, ready for use.
    pub parsed: Mutex<value::Cache>,
    /// What the store holds, in a few bytes.
    pub held: Mutex<Held>,
    /// Whether this host may act on the values.
    pub gate: Mutex<Gate>,
    /// The budget of calls to the platform.
    pub calls: Mutex<Budget>,
    /// Which hosts are live.
    pub view: Mutex<View>,
    /// What runs at the upstreams that this host is home of.
    pub desk: Mutex<admission::Scheduler<Ticket>>,
    /// The start of each upstream that the rules told of last.
    pub rounds: Mutex<BTreeMap<ident::Upstream, u64>>,
    /// What other homes told of their upstreams.
    pub loads: Mutex<BTreeMap<ident::Upstream, load::Report>>,
    /// Requests that crashed upstreams.
    pub strikes: Mutex<crash::Table>,
    /// The turns of requests that an upstream was lost with.
    pub suspects: suspect::Table,
    /// The budget for retries.
    pub retry: Mutex<retry::Budget>,
    /// Tokens that workspaces asked for ahead.
    pub quota: Mutex<quota::Table>,
    /// When upstreams failed last.
    pub failed: Mutex<BTreeMap<ident::Upstream, Instant>>,
    /// What the host has measured.
    pub meter: Mutex<meter::Table>,
    /// When the platform answered last.
    pub heard: Mutex<Option<Instant>>,
    /// When this run of the process began.
    pub started: Instant,
    /// The tokens of this host.
    pub issuer: Issuer,
    /// Cuts made by hand.
    pub cuts: cut::Set,
    /// Connections to other hosts.
    pub links: link::Links,
    /// Connections to upstreams.
    pub pool: Arc<connection::Pool>,
    /// One permit for each request of a caller that may be under way.
    pub callers: Arc<Semaphore>,
    /// The tasks that a shutdown waits for.
    pub tasks: TaskTracker,
    /// Notified when this host's own standing changed.
    pub stood: Notify,
    /// Cancelled when a shutdown begins.
    pub draining: CancellationToken,
    /// Cancelled when no more requests of callers are taken.
    pub closed: CancellationToken,
    /// Cancelled when the process ends.
    pub stop: CancellationToken,
    exchanges: AtomicU64,
}

impl State {
    /// Returns the tables of a host that knows nothing yet.
    pub fn new(now: Instant, options: Options, random: &mut StdRng) -> Result<Self, token::Fault> {
        let stop = CancellationToken::new();
        let own = Incarnation::new(options.host.name.clone(), random);
        let cuts = cut::Set::default();
        let key = token::Key::new(random);
        let timing = Timing {
            beat: options.peer.beat,
            lease: options.peer.lease,
            long_lease: options.peer.long_lease,
        };
        let ledger = token::Ledger::new(now, own.host.clone(), own.start, key, ledger(&options))?;
        Ok(Self {
            refresh: Mutex::default(),
            plan: Mutex::default(),
            store: Mutex::new(Store::new(now)),
            parsed: Mutex::default(),
            held: Mutex::default(),
            gate: Mutex::new(Gate::new(now, timing.settle() * 2)),
            calls: Mutex::new(Budget::new(
                now,
                options.platform.calls_per_second,
                watch::CALLS_BURST,
            )),
            view: Mutex::new(View::new(now, own.clone(), timing)),
            desk: Mutex::new(admission::Scheduler::new(desk_limits(&options))),
            rounds: Mutex::default(),
            loads: Mutex::default(),
            strikes: Mutex::new(crash::Table::new(crash::Limits {
                upstreams: options.strike.limit as usize,
                retention: options.strike.quarantine,
                max_requests: STRIKES,
            })),
            suspects: suspect::Table::default(),
            retry: Mutex::new(retry::Budget::new(
                options.retry.budget,
                options.retry.burst,
            )),
            quota: Mutex::new(quota::Table::new(quota::Limits {
                max_tokens: options.token.count.div_ceil(WORKSPACES_AHEAD),
                period: options.token.lifetime,
            })),
            failed: Mutex::default(),
            meter: Mutex::new(meter::Table::new(now, meter_limits(&options))),
            heard: Mutex::default(),
            started: now,
            issuer: Issuer::new(ledger),
            links: link::Links::new(
                link::Timing {
                    connect: options.peer.hop_timeout,
                    ping: options.peer.ping,
                    ping_timeout: options.peer.ping_timeout,
                    frame_bytes: frame_bytes(&options),
                },
                cuts.clone(),
            ),
            cuts,
            pool: Arc::new(connection::Pool::new(connection::Timing {
                connect_timeout: options.upstream.connect_timeout,
                first_byte_timeout: options.upstream.first_byte,
                max_idle: options.upstream.idle,
            })),
            callers: Arc::new(Semaphore::new(options.caller.concurrent)),
            tasks: TaskTracker::new(),
            stood: Notify::new(),
            draining: CancellationToken::new(),
            closed: stop.child_token(),
            stop,
            exchanges: AtomicU64::new(0),
            own,
            options,
        })
    }

    /// Returns the register and the rules in force.
    pub fn plan(&self) -> Arc<Plan> {
        lock(&self.plan).clone()
    }

    /// Puts a new plan in force.
    pub fn set_plan(&self, plan: Plan) {
        *lock(&self.plan) = Arc::new(plan);
    }

    /// Returns a new exchange.
    pub fn exchange(&self) -> Exchange {
        Exchange {
            start: self.own.start,
            sequence: self.exchanges.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Notes that an upstream failed just now.
    pub fn note_failed(&self, now: Instant, upstream: &ident::Upstream) {
        let mut failed = lock(&self.failed);
        failed.retain(|_, at| now.duration_since(*at) < FAILED_FOR);
        failed.insert(upstream.clone(), now);
    }
}

/// Returns the longest frame that a host with these settings takes, in bytes.
pub fn frame_bytes(options: &Options) -> usize {
    options.caller.body_bytes + options.caller.header_bytes + FRAME_OVERHEAD_BYTES
}

fn ledger(options: &Options) -> token::Limits {
    token::Limits {
        lifetime: options.token.lifetime,
        count: options.token.count,
        kept_bytes: options.token.kept_bytes,
        kept_answer_bytes: options.token.kept_answer_bytes,
        ..token::Limits::default()
    }
}

fn meter_limits(options: &Options) -> meter::Limits {
    meter::Limits {
        rows: options.metric.workspaces,
        ..meter::Limits::default()
    }
}

fn desk_limits(options: &Options) -> admission::Limits {
    admission::Limits {
        queue: fair::Limits {
            total: options.queue.length,
            workspace: options.queue.workspace_length,
            ..fair::Limits::default()
        },
        ramp: ramp::Limits {
            failure_threshold: options.upstream.silent_errors,
            ..ramp::Limits::default()
        },
        predecessor_lease: options.peer.lease,
        ..admission::Limits::default()
    }
}
