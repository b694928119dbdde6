//! The queues of a host, and the wait of a request in them.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::gateway::admit::Estimate;
use crate::gateway::admit::queue::Entry;
use crate::gateway::admit::queue::Position;
use crate::gateway::admit::retry::Places;
use crate::gateway::admit::retry::Schedule;
use crate::gateway::admit::turn::Line;
use crate::gateway::admit::turn::Role;
use crate::gateway::admit::turn::Waiter;
use crate::ident;
use crate::lock::lock;
use crate::policy::fair;

/// Maximum time between two passes. Needed because reports from other hosts don't wake waiting
/// requests.
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// Maximum number of requests that wait at a host. One more of a workspace without any may wait.
const MAX_REQUESTS: usize = 1_024;

/// Maximum size of their bodies.
const MAX_BYTES: usize = 16 << 20;

/// Why a request doesn't wait, or waits no more.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Reason {
    /// As many requests or bytes wait as may.
    Full,
    /// As many requests of its workspace wait as may.
    WorkspaceFull,
    /// It isn't expected to begin within the time that its caller has left.
    TooLate,
    /// It has waited for as long as it may.
    TimedOut,
    /// Its deadline has passed.
    Expired,
    /// All upstreams rest or are at their limits for longer than it may wait.
    Limited,
}

/// A request that has to wait.
#[derive(Clone, Debug)]
pub struct Request {
    /// Service that runs it.
    pub service: ident::Service,
    /// Its priority; 0 is the most urgent.
    pub priority: u8,
    /// Its workspace, with an empty name if the route is public.
    pub workspace: ident::Workspace,
    /// Identifies the request and its workspace, if the caller returns.
    pub fingerprint: u64,
    /// When its response is due.
    pub due: Instant,
    /// When its caller's time ends.
    pub deadline: Instant,
    /// Size of its body.
    pub bytes: usize,
    /// Whether it has conditions of its own, such as the version that began a stream.
    pub is_specific: bool,
}

/// The queues of a host, one for each service.
#[derive(Debug, Default)]
pub struct Queues {
    inner: Mutex<Inner>,
}

#[derive(Debug, Default)]
struct Inner {
    lines: BTreeMap<ident::Service, Line>,
    schedules: BTreeMap<ident::Service, Schedule>,
    places: Places,
    requests: usize,
    bytes: usize,
}

/// Number of requests that wait for a service with a priority.
pub type Length = (ident::Service, u8, usize);

impl Queues {
    /// Returns whether no request waits for a service, so that a new one overtakes none.
    pub fn is_idle(&self, service: &ident::Service) -> bool {
        let inner = lock(&self.inner);
        inner.requests == 0
            || inner
                .lines
                .get(service)
                .is_none_or(|line| line.queue().is_empty())
    }

    /// Returns the number of waiting requests by service and priority.
    pub fn lengths(&self) -> Vec<Length> {
        let inner = lock(&self.inner);
        let lines = inner.lines.iter().flat_map(|(service, line)| {
            let lengths = line.queue().lengths();
            lengths.map(|(priority, length)| (service.clone(), priority, length))
        });
        lines.collect()
    }

    /// Queues a request. Fails with the reason if it must not wait. The due time of one that was
    /// refused before is the one that it had then.
    pub fn join(self: &Arc<Self>, now: Instant, request: Request) -> Result<Ticket, Reason> {
        let mut inner = lock(&self.inner);
        let Inner {
            lines,
            places,
            requests,
            bytes,
            ..
        } = &mut *inner;
        let line = match lines.get_mut(&request.service) {
            Some(line) => line,
            None => lines.entry(request.service.clone()).or_default(),
        };
        match line
            .queue()
            .check_room(request.priority, &request.workspace)
        {
            Err(fair::Full::Workspace) => return Err(Reason::WorkspaceFull),
            Err(fair::Full::Queue) => return Err(Reason::Full),
            Ok(()) => {}
        }
        // The first request always has room, however large its body is.
        if *requests >= MAX_REQUESTS || *requests > 0 && *bytes + request.bytes > MAX_BYTES {
            return Err(Reason::Full);
        }
        let expected = line.expected(now, request.priority, &request.workspace);
        if expected.is_some_and(|it| it.is_reliable && now + it.wait > request.deadline) {
            return Err(Reason::TooLate);
        }
        let due = places.take(now, request.fingerprint).unwrap_or(request.due);
        *requests += 1;
        *bytes += request.bytes;
        let wake = Arc::new(Notify::new());
        let entry = Entry {
            priority: request.priority,
            workspace: request.workspace.clone(),
            due,
            ticket: Waiter {
                wake: wake.clone(),
                is_specific: request.is_specific,
                not_before: now,
                bytes: request.bytes,
                pass: 0,
            },
        };
        let position = line.push(now, entry);
        drop(inner);
        Ok(Ticket {
            queues: Arc::clone(self),
            service: request.service,
            position,
            due,
            wake,
        })
    }

    /// Returns the time after which the caller of a request is to return that is refused, and
    /// keeps its place. `draw` is uniform in `0..1`.
    pub fn refuse(&self, now: Instant, request: &Request, draw: f64) -> Duration {
        let mut inner = lock(&self.inner);
        let line = inner.lines.get(&request.service);
        let expected =
            line.and_then(|line| line.expected(now, request.priority, &request.workspace));
        let left = request.deadline.saturating_duration_since(now);
        let schedule = inner.schedules.entry(request.service.clone()).or_default();
        let retry_after = schedule.book(now, expected, left, draw);
        let returns = now + retry_after;
        inner
            .places
            .keep(now, request.fingerprint, request.due, returns);
        retry_after
    }

    fn with_line<T>(
        &self,
        service: &ident::Service,
        change: impl FnOnce(&mut Line) -> T,
    ) -> Option<T> {
        lock(&self.inner).lines.get_mut(service).map(change)
    }
}

/// The place of a request in a queue. Dropping it removes the request, and its turn goes to the
/// next one.
#[derive(Debug)]
pub struct Ticket {
    queues: Arc<Queues>,
    service: ident::Service,
    position: Position,
    due: Instant,
    wake: Arc<Notify>,
}

impl Ticket {
    /// Returns when the request is due.
    pub fn due(&self) -> Instant {
        self.due
    }

    /// Waits until it is the request's turn to look for an upstream. Returns `false` if it is not
    /// until `limit`. `changed` is notified when capacity changes.
    pub async fn turn(&mut self, changed: &Notify, limit: Instant) -> bool {
        loop {
            let change = changed.notified();
            let line = |change: &mut dyn FnMut(&mut Line)| {
                self.queues.with_line(&self.service, change);
            };
            let mut role = Role::Wait;
            line(&mut |line| role = line.role(&self.position));
            let now = Instant::now();
            match role {
                Role::Turn => return true,
                _ if now >= limit => return false,
                Role::Wait => {
                    // Whether woken or timed out, the request sees what it has to do.
                    let _woken = timeout_at(limit, self.wake.notified()).await;
                }
                Role::Watch => {
                    let next_look = limit.min(now + POLL_INTERVAL);
                    tokio::select! {
                        () = self.wake.notified() => {}
                        _ = timeout_at(next_look, change) => {
                            line(&mut |line| line.look(Instant::now()));
                        }
                    }
                }
            }
        }
    }

    /// Records that the request has found an upstream.
    pub fn grant(self, now: Instant) {
        let mut inner = lock(&self.queues.inner);
        inner.leave(&self, |line| line.grant(now, &self.position));
    }

    /// Ends the request's turn: it can't get an upstream now, nor before `not_before`.
    pub fn fail(&mut self, now: Instant, not_before: Instant) {
        self.queues.with_line(&self.service, |line| {
            line.fail(now, &self.position, not_before)
        });
    }

    /// Returns how much longer the request is expected to wait.
    pub fn expected(&self, now: Instant) -> Option<Estimate> {
        let line = |line: &mut Line| line.expected_more(now, &self.position);
        self.queues.with_line(&self.service, line).flatten()
    }
}

impl Inner {
    /// Lets a request leave its queue, if it is in it.
    fn leave(&mut self, ticket: &Ticket, change: impl FnOnce(&mut Line)) {
        let Some(line) = self.lines.get_mut(&ticket.service) else {
            return;
        };
        if let Some(waiter) = line.queue().get(&ticket.position) {
            self.bytes -= waiter.bytes;
            self.requests -= 1;
            change(line);
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        let now = Instant::now();
        let mut inner = lock(&self.queues.inner);
        inner.leave(self, |line| {
            line.remove(now, &self.position);
        });
    }
}
