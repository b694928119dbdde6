//! The load tool: callers with mixed traffic that check every answer.

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

/// How the callers behave.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// Where calls are sent, each to any of them.
    pub entries: Vec<SocketAddr>,
    /// Whether these are upstreams, which know nothing of tokens and outcomes.
    pub direct: bool,
    /// How the calls come.
    pub pace: Pace,
    /// How long new calls are made.
    pub lasts: Duration,
    /// How many calls of each kind.
    pub mix: Mix,
    /// The workspaces, by turns.
    pub workspaces: Vec<String>,
    /// The model that chats ask for.
    pub model: String,
    /// How long one attempt may take.
    pub timeout: Duration,
    /// The upstreams whose journals are audited in the end.
    pub journals: Vec<SocketAddr>,
    /// What chance begins with.
    pub seed: u64,
}

/// How calls come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Pace {
    /// So many callers, each with one call at a time.
    Closed(u32),
    /// So many calls a second, whether or not they are answered.
    Open(NonZeroU32),
}

/// What the callers share.
#[derive(Debug)]
struct Fleet {
    policy: Policy,
    traffic: Traffic,
    tally: Tally,
}

/// Runs the callers until their time is up or the token is cancelled.
pub async fn run(options: &Options, token: CancellationToken) -> Result<Report, CreationError> {
    let pool = Arc::new(Pool::new(options.timeout));
    let fleet = Arc::new(Fleet {
        policy: Policy::new(options, Arc::clone(&pool)),
        traffic: Traffic::new(options),
        tally: Tally::new()?,
    });
    let began = Instant::now();
    let until = began + options.lasts;
    match options.pace {
        Pace::Closed(callers) => closed(&fleet, callers, until, &token).await,
        Pace::Open(rate) => open(&fleet, rate, until, &token).await,
    }
    let spent = began.elapsed();
    let audit = Audit::read(&pool, &options.journals).await;
    Ok(fleet.tally.report(spent, &audit))
}

async fn closed(fleet: &Arc<Fleet>, callers: u32, until: Instant, token: &CancellationToken) {
    let mut tasks = JoinSet::new();
    for _ in 0..callers {
        let fleet = Arc::clone(fleet);
        let token = token.clone();
        tasks.spawn(async move {
            while Instant::now() < until && !token.is_cancelled() {
                fleet.one(Instant::now()).await;
            }
        });
    }
    finish(tasks, token).await;
}

async fn open(fleet: &Arc<Fleet>, rate: NonZeroU32, until: Instant, token: &CancellationToken) {
    let mut tasks = JoinSet::new();
    let mut ticks = tokio::time::interval(Duration::from_secs(1) / rate.get());
    ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
    while Instant::now() < until && !token.is_cancelled() {
        let due = ticks.tick().await;
        let fleet = Arc::clone(fleet);
        tasks.spawn(async move { fleet.one(due).await });
        while tasks.try_join_next().is_some() {}
    }
    finish(tasks, token).await;
}

/// Waits for the calls under way, unless the token is cancelled.
async fn finish(mut tasks: JoinSet<()>, token: &CancellationToken) {
    tokio::select! {
        () = token.cancelled() => tasks.abort_all(),
        () = async { while tasks.join_next().await.is_some() {} } => (),
    }
}

impl Fleet {
    /// Makes one call that was due at a time.
    async fn one(&self, due: Instant) {
        let call = self.traffic.next();
        let ending = self.policy.complete(&call).await;
        self.tally.add(&call, &ending, due.elapsed());
        self.traffic.ended(call, &ending);
    }
}
