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
use tracing::info;

use crate::gateway::connection::Connection;
use crate::gateway::state::State;
use crate::lock::lock;

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
    /// Returns what the connection tells of the process that sent a response until `end`. A
    /// connection that wasn't open for `lead` by then may be to a later process: a host that was
    /// suspended reads the beginning and the end of a response at once.
    pub fn status(&self, end: Instant, lead: Duration) -> Status {
        match &*lock(&self.0) {
            Link::Open { since, .. } if *since + lead > end => Status::Missing,
            Link::Open { connection, .. } if connection.is_open() => Status::Open,
            Link::Open { .. } => Status::Closed,
            Link::Opening | Link::Failed => Status::Missing,
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

/// Opens the connection of a witness, unless no response needs it any more.
async fn open(state: Arc<State>, address: SocketAddr, witness: Weak<Witness>) {
    let opening = state.pool.acquire(address, true);
    let Some(result) = state.stop.run_until_cancelled(opening).await else {
        return;
    };
    let Some(witness) = witness.upgrade() else {
        return;
    };
    let link = match result {
        Ok(connection) => Link::Open {
            connection,
            since: Instant::now(),
        },
        Err(fault) => {
            info!(%address, %fault, "upstream: can't open a connection beside a response");
            Link::Failed
        }
    };
    *lock(&witness.0) = link;
}
