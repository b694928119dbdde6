//! Connections that are known to be to one process, and the responses that are known to come from it.

use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::gateway::connection::Connection;

/// Time between two arrivals on the connection of a response that show that its process was alive
/// after a chain began. What a network path held up arrives at once.
const MIN_ARRIVAL_SPAN: Duration = Duration::from_millis(100);

/// Time that the reader of a response waits for bytes that have just arrived. Others may have been
/// buffered for long, as its caller reads slowly.
const MIN_ARRIVAL_WAIT: Duration = Duration::from_millis(10);

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
pub struct Chain {
    /// Number of the chain. Another one begins when all connections of the one before have ended.
    pub number: u64,
    /// When its first connection was opened; `None` before the first chain.
    pub since: Option<Instant>,
    connections: Vec<(Instant, Connection)>,
}

impl Chain {
    /// Returns whether a connection is open.
    pub fn is_open(&self) -> bool {
        let mut connections = self.connections.iter();
        connections.any(|(_, connection)| connection.is_open())
    }

    /// Adds a connection that was opened a [`HOLD_TIME`] ago, and returns whether it is still open. It
    /// is to the same process as one that is open by now: no other process gets an address that one
    /// has.
    ///
    /// [`HOLD_TIME`]: crate::gateway::liveness::HOLD_TIME
    pub fn extend(&mut self, opened: Instant, connection: Connection) -> bool {
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

    /// Returns its connections.
    pub fn links(&self) -> Vec<Link> {
        let connections = self.connections.iter();
        let links = connections.map(|(opened, connection)| Link {
            opened: *opened,
            ended: connection.ended().clone(),
        });
        links.collect()
    }
}

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
