//! Connections that show whether a process that sends a response is alive after its end.
//!
//! The system closes all connections of a process that ends. One that was opened while a response
//! arrived, and is still open after it, belongs to the process that sent the response, whatever the
//! platform lists and whoever accepts connections at the address by then. Nothing is sent on it, and
//! all responses of an upstream that need one share it.
//!
//! Upstreams close idle connections, too. So there are two, opened at different times, and each that
//! ends is followed by another while the other one is open: they form a chain to the same process.

use std::cmp::Ordering;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use futures_util::future::select_all;
use strum::Display;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::gateway::connection::Connection;
use crate::gateway::connection::Pool;
use crate::gateway::liveness::HOLD_TIME;
use crate::gateway::state::State;
use crate::lock::lock;
use crate::log::millis;

/// Number of connections in a chain, beside one that is about to be closed.
const LINKS: usize = 2;

/// Time between the first two connections of a chain. It is broken by an upstream that closes idle
/// connections sooner than this and a [`HOLD_TIME`].
const FIRST_STAGGER: Duration = Duration::from_millis(150);

/// Minimum time between two connections of a chain.
const MIN_STAGGER: Duration = Duration::from_millis(75);

/// Time before a connection that failed is tried again, doubled with each further failure.
const RETRY_TIME: Duration = Duration::from_millis(150);

/// Maximum time before a connection that failed is tried again.
const MAX_RETRY_TIME: Duration = Duration::from_secs(2);

/// Time between two arrivals on the connection of a response that show that its process was alive
/// after a chain began. What a network path held up arrives at once.
const MIN_ARRIVAL_SPAN: Duration = Duration::from_millis(100);

/// Time that the reader of a response waits for bytes that have just arrived. Others may have been
/// buffered for long, as its caller reads slowly.
const MIN_ARRIVAL_WAIT: Duration = Duration::from_millis(10);

/// What a witness tells of the process that it is connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// Nothing: no connection was open early enough.
    Missing,
    /// The process is alive.
    Open,
    /// All connections have ended: the process has, or has closed them faster than they were
    /// replaced.
    Closed,
}

/// A connection in a chain.
#[derive(Clone, Debug)]
pub struct Link {
    /// When it was opened.
    pub opened: Instant,
    /// Cancelled when it has ended.
    pub ended: CancellationToken,
}

/// Connections each of which was opened while the one before it was open, so that all are to the same
/// process.
#[derive(Debug, Default)]
struct Chain {
    /// Number of the chain. Another one begins when all connections of the one before have ended.
    number: u64,
    /// When its first connection was opened; `None` before the first chain.
    since: Option<Instant>,
    connections: Vec<(Instant, Connection)>,
}

impl Chain {
    fn is_open(&self) -> bool {
        let mut connections = self.connections.iter();
        connections.any(|(_, connection)| connection.is_open())
    }

    /// Adds a connection that was opened a [`HOLD_TIME`] ago, and returns whether it is still open. It
    /// is to the same process as one that is open by now: no other process gets an address that one
    /// has.
    fn extend(&mut self, opened: Instant, connection: Connection) -> bool {
        self.connections.retain(|(_, it)| it.is_open());
        if !connection.is_open() {
            return false;
        }
        if self.connections.is_empty() {
            self.number += 1;
            self.since = Some(opened);
        }
        self.connections.push((opened, connection));
        true
    }

    fn links(&self) -> Vec<Link> {
        let connections = self.connections.iter();
        let links = connections.map(|(opened, connection)| Link {
            opened: *opened,
            ended: connection.ended().clone(),
        });
        links.collect()
    }
}

/// The connections to an upstream beside its responses, kept until the last response has ended.
#[derive(Debug, Default)]
pub struct Witness(Mutex<Chain>);

/// Which chain is known to be connected to the process that sends a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Proof {
    /// Number of the chain.
    pub chain: u64,
    /// A later chain, and when bytes of the response arrived first while it was open.
    later: Option<(u64, Instant)>,
}

impl Proof {
    /// Returns the proof of a response that begins while a chain with this number is open, or is
    /// about to be.
    pub fn new(chain: u64) -> Self {
        Self { chain, later: None }
    }

    /// Records that bytes of the response arrived after a wait, while a chain was the latest.
    pub fn record_arrival(&mut self, now: Instant, waited: Duration, latest: u64) {
        match self.later {
            _ if latest <= self.chain || waited < MIN_ARRIVAL_WAIT => {}
            Some((chain, first)) if chain == latest => {
                if now.duration_since(first) >= MIN_ARRIVAL_SPAN {
                    *self = Self::new(latest);
                }
            }
            Some(_) | None => self.later = Some((latest, now)),
        }
    }
}

/// A response's share of a witness.
#[derive(Clone, Debug)]
pub struct Share {
    witness: Arc<Witness>,
    proof: Proof,
}

impl Share {
    /// Records that bytes of the response arrived, for which its reader waited.
    pub fn record_arrival(&mut self, now: Instant, waited: Duration) {
        let latest = lock(&self.witness.0).number;
        self.proof.record_arrival(now, waited, latest);
    }

    /// Returns what the connections tell of the process that sent the response until `end`, some time
    /// after it. A chain that had just begun by then may be to a later process: a host that was
    /// suspended reads the beginning and the end of a response at once.
    pub fn status(&self, end: Instant) -> Status {
        let chain = lock(&self.witness.0);
        let is_early = chain.since.is_some_and(|since| since + HOLD_TIME <= end);
        match chain.number.cmp(&self.proof.chain) {
            Ordering::Less => Status::Missing,
            Ordering::Equal if !is_early => Status::Missing,
            Ordering::Equal if chain.is_open() => Status::Open,
            Ordering::Equal | Ordering::Greater => Status::Closed,
        }
    }
}

/// The witnesses in use, by the upstream's address.
#[derive(Debug, Default)]
pub struct Table(BTreeMap<SocketAddr, Weak<Witness>>);

impl Table {
    /// Returns whether no response needs a witness.
    pub fn is_empty(&self) -> bool {
        let mut all = self.0.values();
        all.all(|it| it.strong_count() == 0)
    }
}

/// Returns a share of the witness of an upstream from which a response arrives. Connections are
/// opened in the background.
pub fn join(state: &Arc<State>, address: SocketAddr) -> Share {
    let (witness, is_new) = {
        let Table(witnesses) = &mut *lock(&state.witnesses);
        witnesses.retain(|_, it| it.strong_count() > 0);
        match witnesses.get(&address).and_then(Weak::upgrade) {
            Some(witness) => (witness, false),
            None => {
                let witness = Arc::new(Witness::default());
                witnesses.insert(address, Arc::downgrade(&witness));
                (witness, true)
            }
        }
    };
    if is_new {
        tokio::spawn(run(state.clone(), address, Arc::downgrade(&witness)));
    }
    let proof = {
        let chain = lock(&witness.0);
        Proof::new(chain.number + u64::from(!chain.is_open()))
    };
    Share { witness, proof }
}

/// Keeps connections for a witness until no response needs it any more.
async fn run(state: Arc<State>, address: SocketAddr, witness: Weak<Witness>) {
    let mut keeper = Keeper {
        address,
        witness,
        schedule: Schedule::default(),
        links: Vec::new(),
    };
    // A host that stops needs no witness.
    let _stopped = state
        .stop
        .run_until_cancelled(keeper.run(&state.pool))
        .await;
}

/// Opens the connections of a witness.
struct Keeper {
    address: SocketAddr,
    witness: Weak<Witness>,
    schedule: Schedule,
    /// The connections that haven't ended.
    links: Vec<Link>,
}

impl Keeper {
    async fn run(&mut self, pool: &Pool) {
        loop {
            loop {
                let due = self.schedule.due(Instant::now(), &self.links);
                let wait = async {
                    match due {
                        Some(due) => sleep_until(due).await,
                        None => std::future::pending().await,
                    }
                };
                if self.watch_during(wait).await.is_some() {
                    break;
                }
            }
            let address = self.address;
            let mut opening = std::pin::pin!(async {
                let connection = pool.acquire(address, true).await;
                let opened = Instant::now();
                sleep(HOLD_TIME).await;
                (opened, connection)
            });
            let (opened, connection) = loop {
                if let Some(result) = self.watch_during(opening.as_mut()).await {
                    break result;
                }
            };
            let Some(witness) = self.witness.upgrade() else {
                return;
            };
            let mut chain = lock(&witness.0);
            let opening = connection.map(|it| chain.extend(opened, it));
            self.links = chain.links();
            if self
                .schedule
                .record_opening(Instant::now(), matches!(opening, Ok(true)))
            {
                let fault = opening.err().map(tracing::field::display);
                info!(%address, fault, "upstream: can't open a connection beside a response");
            }
        }
    }

    /// Returns the result of a task; `None` if a connection has ended before.
    async fn watch_during<T>(&mut self, task: impl Future<Output = T>) -> Option<T> {
        if self.links.is_empty() {
            return Some(task.await);
        }
        let ended = select_all(self.links.iter().map(|it| Box::pin(it.ended.cancelled())));
        let index = tokio::select! {
            result = task => return Some(result),
            ((), index, _) = ended => index,
        };
        let age = self.links.swap_remove(index).opened.elapsed();
        self.schedule.record_end(age);
        if self.links.is_empty() && self.witness.strong_count() > 0 {
            let (address, age_ms) = (self.address, millis(age));
            info!(%address, age_ms, "upstream: connections beside responses have ended");
        }
        None
    }
}

/// When the connections of a witness are opened.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    /// How long the connection lived that ended last.
    lifetime: Option<Duration>,
    /// Number of connections in a row that couldn't be opened.
    failures: u32,
    /// When the next one may be opened after a failure.
    retry_at: Option<Instant>,
}

impl Schedule {
    /// Records whether a connection could be opened, and returns whether this one is the first that
    /// couldn't.
    pub fn record_opening(&mut self, now: Instant, is_open: bool) -> bool {
        if is_open {
            (self.failures, self.retry_at) = (0, None);
            return false;
        }
        let pause = RETRY_TIME.saturating_mul(2u32.saturating_pow(self.failures));
        self.retry_at = Some(now + pause.min(MAX_RETRY_TIME));
        self.failures = self.failures.saturating_add(1);
        self.failures == 1
    }

    /// Records that a connection has ended at an age.
    pub fn record_end(&mut self, age: Duration) {
        self.lifetime = Some(age);
    }

    /// Returns when the next connection is due beside open ones; `None` while there are enough. The
    /// times at which an upstream closes two of them as idle are kept apart by half of their lifetime.
    pub fn due(&self, now: Instant, open: &[Link]) -> Option<Instant> {
        let stagger = self
            .lifetime
            .map_or(FIRST_STAGGER, |it| (it / 2).max(MIN_STAGGER));
        let youngest = open.iter().map(|link| link.opened).max();
        let due = match youngest {
            None => now,
            Some(_) if open.len() >= LINKS => return None,
            Some(opened) => opened + stagger,
        };
        Some(self.retry_at.map_or(due, |at| at.max(due)))
    }
}
