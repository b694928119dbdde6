//! Which waiting request looks for an upstream, and when.
//!
//! The first request looks at each change of capacity, and regularly, as reports of other hosts
//! change capacity too. A pass begins with it. A request that finds an upstream leaves, and the
//! next one has its turn; one that finds none lets the next few try, as the choice may depend on
//! the request.

use std::sync::Arc;

use tokio::sync::Notify;
use tokio::time::Instant;

use crate::gateway::admit::Estimate;
use crate::gateway::admit::estimate::Drain;
use crate::gateway::admit::queue::Entry;
use crate::gateway::admit::queue::Position;
use crate::gateway::admit::queue::Queue;
use crate::ident;

/// Number of requests without conditions of their own that find no upstream before a pass ends.
/// They could take the same ones, but for those that are probed.
const MAX_FAILURES: u32 = 3;

/// Number of requests that find no upstream before a pass ends.
const MAX_TRIES: u32 = 12;

/// A waiting request.
#[derive(Clone, Debug)]
pub struct Waiter {
    /// Notified when the request has its turn, or has become the first.
    pub wake: Arc<Notify>,
    /// Whether it has conditions of its own, such as the version that began a stream.
    pub is_specific: bool,
    /// Until when it can't get an upstream.
    pub not_before: Instant,
    /// Size of its body.
    pub bytes: usize,
    /// The last pass in which it looked.
    pub pass: u64,
}

/// What a waiting request has to do.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It looks for an upstream now.
    Turn,
    /// It is the first, and begins a pass when capacity changes.
    Watch,
    /// It waits to be woken.
    Wait,
}

/// The requests that wait for one service.
#[derive(Clone, Debug, Default)]
pub struct Line {
    queue: Queue<Waiter>,
    drain: Drain,
    /// The request that has its turn.
    holder: Option<Position>,
    /// The first request, once it was woken as such.
    watcher: Option<Position>,
    /// Number of waiting requests without conditions of their own.
    general: usize,
    pass: u64,
    failures: u32,
    tries: u32,
    /// Whether capacity changed during the pass.
    has_changed: bool,
}

impl Line {
    /// Returns the requests.
    pub fn queue(&self) -> &Queue<Waiter> {
        &self.queue
    }

    /// Queues a request. One that is the first looks at once, and so does one behind requests
    /// with conditions of their own only.
    pub fn push(&mut self, now: Instant, entry: Entry<Waiter>) -> Position {
        let is_behind_specific = self.general == 0;
        self.general += usize::from(!entry.ticket.is_specific);
        let position = self.queue.push(entry);
        let is_first = self.queue.next(|_| true).as_ref() == Some(&position);
        if is_first || is_behind_specific {
            self.look(now);
        }
        self.settle(now);
        position
    }

    /// Returns what a request has to do.
    pub fn role(&self, position: &Position) -> Role {
        match (&self.holder, &self.watcher) {
            (Some(holder), _) if holder == position => Role::Turn,
            (_, Some(watcher)) if watcher == position => Role::Watch,
            _ => Role::Wait,
        }
    }

    /// Begins a pass, or lets another one follow the present one.
    pub fn look(&mut self, now: Instant) {
        if self.holder.is_some() {
            self.has_changed = true;
            return;
        }
        self.has_changed = false;
        self.pass += 1;
        self.failures = 0;
        self.tries = 0;
        self.advance(now);
    }

    /// Removes a request that has found an upstream, and gives the next one its turn.
    pub fn grant(&mut self, now: Instant, position: &Position) {
        if let Some(waiter) = self.queue.take(position) {
            self.drain.record(now, position.priority());
            self.leave(now, position, &waiter);
        }
    }

    /// Ends the turn of a request that has found no upstream, and can't get one before
    /// `not_before`.
    pub fn fail(&mut self, now: Instant, position: &Position, not_before: Instant) {
        if self.holder.as_ref() != Some(position) {
            return;
        }
        if let Some(waiter) = self.queue.get_mut(position) {
            waiter.not_before = not_before;
            self.failures += u32::from(!waiter.is_specific);
        }
        self.tries += 1;
        self.advance(now);
        self.settle(now);
    }

    /// Removes a request that waits no more. Its turn goes to the next one.
    pub fn remove(&mut self, now: Instant, position: &Position) -> Option<Waiter> {
        let waiter = self.queue.remove(position)?;
        self.leave(now, position, &waiter);
        Some(waiter)
    }

    /// Returns the expected wait of a new request.
    pub fn expected(
        &self,
        now: Instant,
        priority: u8,
        workspace: &ident::Workspace,
    ) -> Option<Estimate> {
        let ahead = self.queue.serves_until(priority, workspace);
        self.drain.estimate(now, priority, ahead)
    }

    /// Returns how much longer a queued request is expected to wait.
    pub fn expected_more(&self, now: Instant, position: &Position) -> Option<Estimate> {
        let ahead = self.queue.serves_until_queued(position);
        self.drain.estimate(now, position.priority(), ahead)
    }

    fn leave(&mut self, now: Instant, position: &Position, waiter: &Waiter) {
        self.general -= usize::from(!waiter.is_specific);
        if self.holder.as_ref() == Some(position) {
            self.advance(now);
        }
        self.settle(now);
    }

    /// Gives the next request its turn, or ends the pass.
    fn advance(&mut self, now: Instant) {
        self.holder = None;
        if self.failures < MAX_FAILURES && self.tries < MAX_TRIES {
            let pass = self.pass;
            let fits = |waiter: &Waiter| waiter.pass != pass && waiter.not_before <= now;
            self.holder = self.queue.next(fits);
        }
        let holder = self.holder.as_ref();
        match holder.and_then(|holder| self.queue.get_mut(holder)) {
            Some(waiter) => {
                waiter.pass = self.pass;
                waiter.wake.notify_one();
            }
            None if self.has_changed => self.look(now),
            None => {}
        }
    }

    /// Wakes the first request if it has become that, so that one request always watches.
    fn settle(&mut self, now: Instant) {
        self.drain
            .set_busy(now, self.queue.lengths().map(|(priority, _)| priority));
        let first = self.queue.next(|_| true);
        if first != self.watcher {
            let waiter = first.as_ref().and_then(|first| self.queue.get(first));
            if let Some(waiter) = waiter {
                waiter.wake.notify_one();
            }
            self.watcher = first;
        }
    }
}
