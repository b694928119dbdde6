//! The state shared by all tasks of one host, and the order of its locks.
//!
//! Tasks run on the runtime's worker threads. A task that holds one of these
//! locks may only take locks further down the list, and holds none across an
//! await:
//!
//! 1. `refresh`: held while a new plan is built and applied
//! 2. `plan`: the applied register and rules
//! 3. `store`: the published values
//! 4. `parsed`: the parsed form of the values last checked
//! 5. `config`: a short summary of the store
//! 6. `view`: which hosts are live
//! 7. `gate`: whether this host may act on the values
//! 8. `call_budget`: the budget of calls to the platform
//! 9. `platform_last_seen`: when the platform last answered
//! 10. `restarts`: the last restart of each upstream
//! 11. `scheduler`: requests at the upstreams that this host is home of
//! 12. `remote_loads`: upstream loads reported by other homes
//! 13. `recent_failures`: upstreams that failed recently
//! 14. `crashes`: requests that crashed upstreams
//! 15. `quarantine`: messages of chats that crashed upstreams
//! 16. `retry_budget`: the budget for retries
//! 17. `quota`: tokens requested in advance by each workspace
//! 18. `meter`: the measurements of the host
//! 19. the internal locks of the suspects, the issuer, the peers and the
//!     connections

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

use crate::config::startup::Gate;
use crate::config::store::Store;
use crate::config::token_bucket::TokenBucket;
use crate::config::value;
use crate::config::watch;
use crate::home::admission;
use crate::home::connection;
use crate::home::suspect;
use crate::ident;
use crate::lock::lock;
use crate::member::config_state::ConfigState;
use crate::member::incarnation::Incarnation;
use crate::member::timing::Timing;
use crate::member::view::View;
use crate::meter;
use crate::options::Options;
use crate::peer::client;
use crate::peer::frame::Exchange;
use crate::peer::partition;
use crate::plan::Plan;
use crate::policy::crash;
use crate::policy::fair;
use crate::policy::load;
use crate::policy::quarantine;
use crate::policy::quota;
use crate::policy::ramp;
use crate::policy::retry;
use crate::token;
use crate::token::Issuer;

/// The maximum number of requests whose crashes are remembered.
const MAX_CRASH_RECORDS: usize = 4_096;

/// The token capacity of a host divided by the number of tokens that one
/// workspace may request in advance within the lifetime of a token.
const WORKSPACE_TOKEN_DIVISOR: usize = 100;

/// How long an upstream is left out of the selection after a failure, unless no
/// other is left.
pub const FAILURE_PENALTY: Duration = Duration::from_secs(2);

/// How much longer a frame may be than the longest body and headers in it, in
/// bytes.
const FRAME_OVERHEAD_BYTES: usize = 1 << 20;

/// Delivers the resolution to a queued request.
pub type ResolutionSender = oneshot::Sender<admission::Resolution>;

/// The state shared by all tasks of one host.
pub struct State {
    /// The settings of the host.
    pub options: Options,
    /// This run of the process.
    pub incarnation: Incarnation,
    /// Held while a new plan is built and applied, so that an older plan never
    /// replaces a newer one.
    pub refresh: Mutex<()>,
    /// The applied register and rules.
    plan: Mutex<Arc<Plan>>,
    /// The published values.
    pub store: Mutex<Store>,
    /// The parsed form of the values last checked.
    pub parsed: Mutex<value::Cache>,
    /// A short summary of the store: its revisions and a hash.
    pub config: Mutex<ConfigState>,
    /// Whether this host may act on the published values yet.
    pub gate: Mutex<Gate>,
    /// The budget of calls to the platform.
    pub call_budget: Mutex<TokenBucket>,
    /// Which hosts are live.
    pub view: Mutex<View>,
    /// Admits requests to the upstreams that this host is home of.
    pub scheduler: Mutex<admission::Scheduler<ResolutionSender>>,
    /// The last restart number of each upstream that the rules listed.
    pub restarts: Mutex<BTreeMap<ident::Upstream, u64>>,
    /// Upstream loads reported by other homes.
    pub remote_loads: Mutex<BTreeMap<ident::Upstream, load::Report>>,
    /// Requests that crashed upstreams.
    pub crashes: Mutex<crash::Table>,
    /// Messages of chats that crashed upstreams.
    pub quarantine: Mutex<quarantine::Table>,
    /// Makes requests that crashed an upstream run one at a time at each
    /// upstream.
    pub suspects: suspect::Table,
    /// The budget for retries.
    pub retry_budget: Mutex<retry::Budget>,
    /// Tokens requested in advance by each workspace.
    pub quota: Mutex<quota::Table>,
    /// When each upstream last failed.
    pub recent_failures: Mutex<BTreeMap<ident::Upstream, Instant>>,
    /// The measurements of the host.
    pub meter: Mutex<meter::Table>,
    /// When the platform last answered.
    pub platform_last_seen: Mutex<Option<Instant>>,
    /// When this process started.
    pub started: Instant,
    /// Issues the execution tokens of this host and decides on their use.
    pub issuer: Issuer,
    /// Peers cut off by hand, for drills and tests of network partitions.
    pub partition: partition::Partition,
    /// The connections to other hosts.
    pub peers: client::Client,
    /// The connections to upstreams.
    pub connections: Arc<connection::Pool>,
    /// One permit for each caller request that may be in progress.
    pub request_permits: Arc<Semaphore>,
    /// The tasks that a shutdown waits for.
    pub tasks: TaskTracker,
    /// Notified when this host's own health changes.
    pub health_changed: Notify,
    /// Cancelled when a shutdown begins.
    pub draining: CancellationToken,
    /// Cancelled when no more caller requests are accepted.
    pub intake_closed: CancellationToken,
    /// Cancelled when the process ends.
    pub stop: CancellationToken,
    exchanges: AtomicU64,
}

impl State {
    /// Returns the initial state of a host. Fails if the host's name doesn't fit
    /// into a token.
    pub fn new(now: Instant, options: Options, random: &mut StdRng) -> Result<Self, token::Fault> {
        let stop = CancellationToken::new();
        let incarnation = Incarnation::new(options.host.name.clone(), random);
        let partition = partition::Partition::default();
        let key = token::Key::new(random);
        let timing = Timing {
            heartbeat: options.peer.beat,
            lease: options.peer.lease,
            zone_lease: options.peer.long_lease,
        };
        let ledger = token::Ledger::new(
            now,
            incarnation.host.clone(),
            incarnation.start,
            key,
            token_limits(&options),
        )?;
        Ok(Self {
            refresh: Mutex::default(),
            plan: Mutex::default(),
            store: Mutex::new(Store::new(now)),
            parsed: Mutex::default(),
            config: Mutex::default(),
            gate: Mutex::new(Gate::new(now, timing.settling_time() * 2)),
            call_budget: Mutex::new(TokenBucket::new(
                now,
                options.platform.calls_per_second,
                watch::CALL_BURST,
            )),
            view: Mutex::new(View::new(now, incarnation.clone(), timing)),
            scheduler: Mutex::new(admission::Scheduler::new(admission_limits(&options))),
            restarts: Mutex::default(),
            remote_loads: Mutex::default(),
            quarantine: Mutex::new(quarantine::Table::new(quarantine::Limits::default())),
            crashes: Mutex::new(crash::Table::new(crash::Limits {
                upstreams: options.strike.limit as usize,
                retention: options.strike.quarantine,
                max_requests: MAX_CRASH_RECORDS,
            })),
            suspects: suspect::Table::default(),
            retry_budget: Mutex::new(retry::Budget::new(
                options.retry.budget,
                options.retry.burst,
            )),
            quota: Mutex::new(quota::Table::new(quota::Limits {
                max_tokens: options.token.count.div_ceil(WORKSPACE_TOKEN_DIVISOR),
                period: options.token.lifetime,
            })),
            recent_failures: Mutex::default(),
            meter: Mutex::new(meter::Table::new(now, meter_limits(&options))),
            platform_last_seen: Mutex::default(),
            started: now,
            issuer: Issuer::new(ledger),
            peers: client::Client::new(
                client::Timing {
                    connect: options.peer.hop_timeout,
                    ping: options.peer.ping,
                    ping_timeout: options.peer.ping_timeout,
                    frame_bytes: max_frame_bytes(&options),
                },
                partition.clone(),
            ),
            partition,
            connections: Arc::new(connection::Pool::new(connection::Timing {
                connect_timeout: options.upstream.connect_timeout,
                first_byte_timeout: options.upstream.first_byte,
                max_idle: options.upstream.idle,
            })),
            request_permits: Arc::new(Semaphore::new(options.caller.concurrent)),
            tasks: TaskTracker::new(),
            health_changed: Notify::new(),
            draining: CancellationToken::new(),
            intake_closed: stop.child_token(),
            stop,
            exchanges: AtomicU64::new(0),
            incarnation,
            options,
        })
    }

    /// Returns the applied register and rules.
    pub fn plan(&self) -> Arc<Plan> {
        lock(&self.plan).clone()
    }

    /// Replaces the applied plan.
    pub fn set_plan(&self, plan: Plan) {
        *lock(&self.plan) = Arc::new(plan);
    }

    /// Returns an exchange id that this process has not used yet.
    pub fn next_exchange(&self) -> Exchange {
        Exchange {
            start: self.incarnation.start,
            sequence: self.exchanges.fetch_add(1, Ordering::Relaxed),
        }
    }

    /// Records that an upstream failed at `now`.
    pub fn record_failure(&self, now: Instant, upstream: &ident::Upstream) {
        let mut failures = lock(&self.recent_failures);
        failures.retain(|_, at| now.duration_since(*at) < FAILURE_PENALTY);
        failures.insert(upstream.clone(), now);
    }
}

/// Returns the length of the longest frame that a host with these settings
/// accepts, in bytes.
pub fn max_frame_bytes(options: &Options) -> usize {
    options.caller.body_bytes + options.caller.header_bytes + FRAME_OVERHEAD_BYTES
}

fn token_limits(options: &Options) -> token::Limits {
    token::Limits {
        lifetime: options.token.lifetime,
        capacity: options.token.count,
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

fn admission_limits(options: &Options) -> admission::Limits {
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
