//! Connections of callers or of other hosts, which are bounded in number.
//!
//! Where there is no room for a new one, the connection that has waited longest for a request, or
//! whose body is furthest behind, is closed. One whose request runs never is.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::gateway::intake::STALL_TIME;
use crate::gateway::intake::pace::Progress;
use crate::lock::lock;

/// Minimum time between two log lines about connections that were closed or refused.
const LOG_INTERVAL: Duration = Duration::from_secs(1);

/// Connections that are closing may exceed the bound by one part in this number of it.
const CLOSING_SHARE: usize = 8;

type Id = u64;

/// Why a connection has to be closed for the sake of the bound.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Shed {
    /// An older one that stalled was closed.
    Closed,
    /// The new one was refused, as none had stalled.
    Refused,
}

/// Open connections.
#[derive(Debug, Default)]
pub struct Table {
    next: Id,
    open: BTreeMap<Id, Connection>,
    /// Number beyond the bound, whose requests are refused.
    excess: usize,
    /// Number closed or refused since the last log line.
    unlogged: u64,
    logged: Option<Instant>,
}

#[derive(Debug)]
struct Connection {
    /// When it may be closed to make room for another; `None` while a request runs.
    stalls_at: Option<Instant>,
    /// Whether the last response may not have been written yet.
    is_unflushed: bool,
    /// Cancelled when it is chosen for closing. It counts until its lease is dropped.
    closed: CancellationToken,
}

impl Connection {
    fn is_closing(&self) -> bool {
        self.closed.is_cancelled()
    }

    /// Returns from when on it may be closed to make room for another.
    fn closable_at(&self) -> Option<Instant> {
        match self.is_unflushed || self.is_closing() {
            true => None,
            false => self.stalls_at,
        }
    }
}

/// An open connection, which counts until it is dropped.
#[derive(Debug)]
pub struct Lease {
    table: Arc<Mutex<Table>>,
    id: Id,
    closed: CancellationToken,
    /// As in the table, which is not locked for flushes that change nothing.
    is_unflushed: AtomicBool,
}

impl Table {
    /// Returns the number of open connections, also of those that are closing or beyond the bound.
    pub fn count(&self) -> usize {
        self.open.len() + self.excess
    }

    /// Returns how many connections were closed or refused since this was returned last, at most
    /// once in a while.
    pub fn take_unlogged(&mut self, now: Instant) -> Option<u64> {
        let is_due = self
            .logged
            .is_none_or(|at| now.duration_since(at) >= LOG_INTERVAL);
        if self.unlogged == 0 || !is_due {
            return None;
        }
        self.logged = Some(now);
        Some(std::mem::take(&mut self.unlogged))
    }

    /// Makes room for a connection. Returns what had to be done for it, if anything.
    ///
    /// A connection that closes holds its descriptor for up to 250 ms more, so the number of these
    /// is bounded as well.
    fn make_room(&mut self, now: Instant, max: usize) -> Option<Shed> {
        if self.open.len() < max {
            return None;
        }
        let closing = self.open.values().filter(|it| it.is_closing()).count();
        let max_closing = (max / CLOSING_SHARE).max(1);
        let has_place = self.open.len() < max + max_closing;
        if has_place && self.open.len() - closing < max {
            return None;
        }
        self.unlogged += 1;
        let stalled = self.open.iter().filter_map(|(id, connection)| {
            let at = connection.closable_at()?;
            (at <= now).then_some((at, *id))
        });
        let chosen = stalled.min().filter(|_| has_place);
        match chosen.and_then(|(_, id)| self.open.get(&id)) {
            Some(connection) => {
                connection.closed.cancel();
                Some(Shed::Closed)
            }
            None => Some(Shed::Refused),
        }
    }
}

impl Lease {
    /// Counts a new connection if there is room for it. Also returns what had to be done for the
    /// bound of `max` connections.
    pub fn new(
        table: &Arc<Mutex<Table>>,
        now: Instant,
        max: usize,
    ) -> (Option<Self>, Option<Shed>) {
        let mut connections = lock(table);
        let shed = connections.make_room(now, max);
        if shed == Some(Shed::Refused) {
            return (None, shed);
        }
        let closed = CancellationToken::new();
        let id = connections.next;
        connections.next += 1;
        let connection = Connection {
            stalls_at: Some(now + STALL_TIME),
            is_unflushed: false,
            closed: closed.clone(),
        };
        connections.open.insert(id, connection);
        let lease = Self {
            table: table.clone(),
            id,
            closed,
            is_unflushed: AtomicBool::new(false),
        };
        (Some(lease), shed)
    }

    /// Records that the head of a request arrived: the caller is waited for from now on.
    pub fn wait(&self, now: Instant) {
        self.progress(&Progress::new(now));
    }

    /// Records how far the body of a request has arrived.
    pub fn progress(&self, progress: &Progress) {
        let _is_open = self.set(Some(progress.stalls_at()));
    }

    /// Records that a request runs. Returns whether the connection is still open: if it has been
    /// chosen for closing, its requests must not start.
    #[must_use = "a request must not start on a connection that closes"]
    pub fn run(&self) -> bool {
        self.set(None)
    }

    /// Records that a request ended. Its caller is waited for once the response has been written:
    /// the HTTP library drops the body of a response when it has buffered the end of it.
    pub fn finish(&self, now: Instant) {
        let mut table = lock(&self.table);
        if let Some(connection) = table.open.get_mut(&self.id) {
            connection.stalls_at = Some(now + STALL_TIME);
            connection.is_unflushed = true;
            self.is_unflushed.store(true, Ordering::Relaxed);
        }
    }

    /// Records that everything that was buffered for the connection has been written.
    pub fn flush(&self, now: Instant) {
        if !self.is_unflushed.swap(false, Ordering::Relaxed) {
            return;
        }
        if let Some(connection) = lock(&self.table).open.get_mut(&self.id) {
            connection.is_unflushed = false;
            // The next request may run already.
            connection.stalls_at = connection.stalls_at.map(|_| now + STALL_TIME);
        }
    }

    /// Waits until the connection is to be closed to make room for another.
    pub async fn closed(&self) {
        self.closed.cancelled().await;
    }

    /// Returns whether the connection is still open.
    fn set(&self, stalls_at: Option<Instant>) -> bool {
        match lock(&self.table).open.get_mut(&self.id) {
            Some(connection) if !connection.is_closing() => {
                connection.stalls_at = stalls_at;
                true
            }
            Some(_) | None => false,
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        lock(&self.table).open.remove(&self.id);
    }
}

/// A connection beyond the bound, whose requests are refused. It counts until it is dropped.
#[derive(Debug)]
pub struct Excess {
    table: Arc<Mutex<Table>>,
}

impl Excess {
    /// Counts a connection beyond the bound of `max`, if there are fewer than twice that in total.
    pub fn new(table: &Arc<Mutex<Table>>, max: usize) -> Option<Self> {
        let mut connections = lock(table);
        if connections.count() >= max.saturating_mul(2) {
            return None;
        }
        connections.excess += 1;
        let table = table.clone();
        Some(Self { table })
    }
}

impl Drop for Excess {
    fn drop(&mut self) {
        lock(&self.table).excess -= 1;
    }
}
