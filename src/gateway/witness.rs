//! Connections that show whether a process that sends a response is alive after its end.
//!
//! The system closes all connections of a process that ends. One that was opened while a response
//! arrived, and is still open after it, belongs to the process that sent the response, whatever the
//! platform lists and whoever accepts connections at the address by then. Nothing is sent on it, and
//! all responses of an upstream that need one share it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::Weak;
use std::time::Duration;

use strum::Display;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::gateway::connection::Connection;
use crate::gateway::connection::Fault;
use crate::gateway::liveness::HOLD_TIME;
use crate::gateway::state::State;
use crate::lock::lock;
use crate::log::millis;

/// Interval at which the connection is replaced, as upstreams close idle ones. Shorter than the time
/// for which the pool keeps them.
const RENEWAL_INTERVAL: Duration = Duration::from_secs(2);

/// What a witness tells of the process that it is connected to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Status {
    /// Nothing: the connection was not open early enough.
    Missing,
    /// The process is alive.
    Open,
    /// The process has ended, or has closed the connection because it was idle.
    Closed,
}

/// The state of the connection.
#[derive(Debug, Default)]
enum Link {
    #[default]
    Opening,
    Open {
        connection: Connection,
        since: Instant,
    },
    Failed,
}

/// A connection to an upstream that is kept open until its last holder drops it.
#[derive(Debug, Default)]
pub struct Witness(Mutex<Link>);

impl Witness {
    /// Returns what the connection tells of the process that sent a response until `end`, some time
    /// after it. One that had just been opened by then may be to a later process: a host that was
    /// suspended reads the beginning and the end of a response at once.
    pub fn status(&self, end: Instant) -> Status {
        match &*lock(&self.0) {
            Link::Open { since, .. } if *since + HOLD_TIME > end => Status::Missing,
            Link::Open { connection, .. } if connection.is_open() => Status::Open,
            Link::Open { .. } => Status::Closed,
            Link::Opening | Link::Failed => Status::Missing,
        }
    }

    /// Records the result of opening the first connection, and returns whether there is one.
    fn begin(&self, opened: Result<Connection, Fault>, address: SocketAddr) -> bool {
        let link = match opened {
            Ok(connection) => Link::Open {
                connection,
                since: Instant::now(),
            },
            Err(fault) => {
                info!(%address, %fault, "upstream: can't open a connection beside a response");
                Link::Failed
            }
        };
        let is_open = matches!(link, Link::Open { .. });
        *lock(&self.0) = link;
        is_open
    }

    /// Replaces the connection by a later one, if both are open, and returns whether they are.
    fn replace(&self, next: Connection) -> bool {
        match &mut *lock(&self.0) {
            Link::Open { connection, .. } if connection.is_open() && next.is_open() => {
                *connection = next;
                true
            }
            Link::Open { .. } | Link::Opening | Link::Failed => false,
        }
    }

    /// Returns the token that is cancelled when the connection has ended.
    fn ended(&self) -> Option<CancellationToken> {
        match &*lock(&self.0) {
            Link::Open { connection, .. } => Some(connection.ended().clone()),
            Link::Opening | Link::Failed => None,
        }
    }

    /// Returns whether responses that begin now can use it.
    fn is_usable(&self) -> bool {
        match &*lock(&self.0) {
            Link::Opening => true,
            Link::Open { connection, .. } => connection.is_open(),
            Link::Failed => false,
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

/// Returns the witness of an upstream from which a response arrives. A new one is opened in the
/// background.
pub fn join(state: &Arc<State>, address: SocketAddr) -> Arc<Witness> {
    let witness = {
        let Table(witnesses) = &mut *lock(&state.witnesses);
        witnesses.retain(|_, it| it.strong_count() > 0);
        let known = witnesses.get(&address).and_then(Weak::upgrade);
        if let Some(known) = known.filter(|it| it.is_usable()) {
            return known;
        }
        let witness = Arc::new(Witness::default());
        witnesses.insert(address, Arc::downgrade(&witness));
        witness
    };
    tokio::spawn(open(state.clone(), address, Arc::downgrade(&witness)));
    witness
}

/// Opens the connection of a witness, and renews it until no response needs it any more.
async fn open(state: Arc<State>, address: SocketAddr, witness: Weak<Witness>) {
    let keep = async {
        let opened = state.pool.acquire(address, true).await;
        let Some(first) = witness.upgrade() else {
            return;
        };
        if first.begin(opened, address) {
            drop(first);
            renew(&state, address, &witness).await;
        }
    };
    // A host that stops needs no witness.
    let _stopped = state.stop.run_until_cancelled(keep).await;
}

/// Replaces the connection regularly. The next one is to the same process if the one before is still
/// open after it was accepted: no other process gets an address that one has.
async fn renew(state: &State, address: SocketAddr, witness: &Weak<Witness>) {
    let mut opened = Instant::now();
    loop {
        let Some(ended) = witness.upgrade().and_then(|it| it.ended()) else {
            return;
        };
        let has_ended = timeout(RENEWAL_INTERVAL, ended.cancelled()).await.is_ok();
        if witness.strong_count() == 0 {
            return;
        }
        if has_ended {
            info!(%address, age_ms = millis(opened.elapsed()),
                "upstream: connection beside responses has ended");
            return;
        }
        let next = state.pool.acquire(address, true).await;
        tokio::time::sleep(HOLD_TIME).await;
        let Some(witness) = witness.upgrade() else {
            return;
        };
        if let Ok(next) = next
            && witness.replace(next)
        {
            opened = Instant::now() - HOLD_TIME;
        }
    }
}
