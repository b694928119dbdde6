//! Connections that show whether a process that sends a response is alive after its end.
//!
//! The system closes all connections of a process that ends. One that was opened while a response
//! arrived, and is still open after it, belongs to the process that sent the response, whatever the
//! platform lists and whoever accepts connections at the address by then. Nothing is sent on it, and
//! all responses of an upstream that need one share it.
//!
//! Upstreams close idle connections, too. So there are two, opened at different times, and each that
//! ends is followed by another while the other one is open: they form a chain to the same process.

pub mod chain;
pub mod schedule;

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
use tracing::info;

use crate::gateway::connection::Connection;
use crate::gateway::connection::Fault;
use crate::gateway::connection::Pool;
use crate::gateway::liveness::HOLD_TIME;
use crate::gateway::state::State;
use crate::gateway::witness::chain::Chain;
use crate::gateway::witness::chain::Link;
use crate::gateway::witness::chain::Proof;
use crate::gateway::witness::schedule::Schedule;
use crate::lock::lock;
use crate::log::millis;

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

/// The connections to an upstream beside its responses, kept until the last response has ended.
#[derive(Debug, Default)]
pub struct Witness(Mutex<Chain>);

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
            self.wait_until_due().await;
            if self.witness.strong_count() == 0 {
                return;
            }
            let (opened, connection) = self.open(pool).await;
            let Some(witness) = self.witness.upgrade() else {
                return;
            };
            let mut chain = lock(&witness.0);
            let opening = connection.map(|it| chain.extend(opened, it));
            self.links = chain.links();
            let is_open = matches!(opening, Ok(true));
            if self.schedule.record_opening(Instant::now(), is_open) {
                let fault = opening.err().map(tracing::field::display);
                info!(address = %self.address, fault,
                    "upstream: can't open a connection beside a response");
            }
        }
    }

    /// Waits until a connection is to be opened.
    async fn wait_until_due(&mut self) {
        loop {
            let due = self.schedule.due(Instant::now(), &self.links);
            let wait = async {
                match due {
                    Some(due) => sleep_until(due).await,
                    None => std::future::pending().await,
                }
            };
            if self.watch_during(wait).await.is_some() {
                return;
            }
        }
    }

    /// Opens a connection, and returns it after the [`HOLD_TIME`] with the time when it was opened.
    async fn open(&mut self, pool: &Pool) -> (Instant, Result<Connection, Fault>) {
        let address = self.address;
        let mut opening = std::pin::pin!(async {
            let connection = pool.acquire(address, true).await;
            let opened = Instant::now();
            sleep(HOLD_TIME).await;
            (opened, connection)
        });
        loop {
            if let Some(opened) = self.watch_during(opening.as_mut()).await {
                return opened;
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
