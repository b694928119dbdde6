//! Load generator: concurrent callers send mixed traffic and check every
//! response. After the run, the journals of the upstreams are compared with
//! the results that the callers saw.

pub mod audit;
pub mod call;
pub mod check;
pub mod completion;
pub mod mix;
pub mod policy;
pub mod pool;
pub mod protocol;
pub mod table;
pub mod tally;
pub mod traffic;

use std::net::SocketAddr;
use std::num::NonZeroU32;
use std::sync::Arc;
use std::time::Duration;

use hdrhistogram::CreationError;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use audit::Audit;
use mix::Mix;
use policy::Policy;
use pool::Pool;
use tally::Report;
use tally::Tally;
use traffic::Traffic;

/// The parameters of a run.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The addresses that calls are sent to; each call picks one at random.
    pub entries: Vec<SocketAddr>,
    /// Whether the entries are upstreams, which send no tokens or outcomes.
    pub direct: bool,
    /// How calls are scheduled.
    pub pace: Pace,
    /// How long new calls are started.
    pub duration: Duration,
    /// The proportions of the kinds of calls.
    pub mix: Mix,
    /// The workspaces, used in rotation.
    pub workspaces: Vec<String>,
    /// The model that chats request.
    pub model: String,
    /// The time limit of one attempt.
    pub timeout: Duration,
    /// The upstreams whose journals are audited after the run.
    pub journals: Vec<SocketAddr>,
    /// The seed of the random number generators.
    pub seed: u64,
}

/// How calls are scheduled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// Closed loop: this many callers, each with one call at a time.
    Closed(u32),
    /// Open loop: this many calls per second, regardless of responses.
    Open(NonZeroU32),
}

/// The state that all callers share.
#[derive(Debug)]
struct Callers {
    policy: Policy,
    traffic: Traffic,
    tally: Tally,
}

/// Runs the callers until the duration has passed or the token is cancelled.
pub async fn run(options: &Options, token: CancellationToken) -> Result<Report, CreationError> {
    let pool = Arc::new(Pool::new(options.timeout));
    let callers = Arc::new(Callers {
        policy: Policy::new(options, Arc::clone(&pool)),
        traffic: Traffic::new(options),
        tally: Tally::new()?,
    });
    let started = Instant::now();
    let deadline = started + options.duration;
    match options.pace {
        Pace::Closed(count) => run_closed(&callers, count, deadline, &token).await,
        Pace::Open(rate) => run_open(&callers, rate, deadline, &token).await,
    }
    let elapsed = started.elapsed();
    let audit = Audit::read(&pool, &options.journals).await;
    Ok(callers.tally.report(elapsed, &audit))
}

async fn run_closed(
    callers: &Arc<Callers>,
    count: u32,
    deadline: Instant,
    token: &CancellationToken,
) {
    let mut tasks = JoinSet::new();
    for _ in 0..count {
        let callers = Arc::clone(callers);
        let token = token.clone();
        tasks.spawn(async move {
            while Instant::now() < deadline && !token.is_cancelled() {
                callers.run_call(Instant::now()).await;
            }
        });
    }
    drain(tasks, token).await;
}

async fn run_open(
    callers: &Arc<Callers>,
    rate: NonZeroU32,
    deadline: Instant,
    token: &CancellationToken,
) {
    let mut tasks = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate.get());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    while Instant::now() < deadline && !token.is_cancelled() {
        let due = ticks.tick().await;
        let callers = Arc::clone(callers);
        tasks.spawn(async move { callers.run_call(due).await });
        while tasks.try_join_next().is_some() {}
    }
    drain(tasks, token).await;
}

/// Waits for the calls in flight; aborts them if the token is cancelled.
async fn drain(mut tasks: JoinSet<()>, token: &CancellationToken) {
    tokio::select! {
        () = token.cancelled() => tasks.abort_all(),
        () = async { while tasks.join_next().await.is_some() {} } => (),
    }
}

impl Callers {
    /// Makes one call; its latency counts from the time it was due.
    async fn run_call(&self, due: Instant) {
        let call = self.traffic.next();
        let completion = self.policy.complete(&call).await;
        self.tally.add(&call, &completion, due.elapsed());
        self.traffic.record_completion(call, &completion);
    }
}
