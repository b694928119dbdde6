//! Admission to one upstream: its ramp, running requests, queue and
//! predecessor.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use super::End;
use super::Limits;
use super::Permit;
use super::Request;
use super::Resolution;
use super::Takeover;
use crate::ident;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::policy::fair;
use crate::policy::load;
use crate::policy::ramp;
use crate::policy::recent;
use crate::register::upstream::Pool;

/// The weight of the newest service time in its moving mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Admits requests to one upstream.
#[derive(Debug)]
pub(super) struct Gate<T> {
    upstream: ident::Upstream,
    pools: Vec<Pool>,
    open: bool,
    /// Whether the last request failed.
    failing: bool,
    ramp: ramp::Ramp,
    running: BTreeMap<u64, Run>,
    queue: fair::Queue<Queued<T>>,
    /// The chats answered since the last cold start.
    chats: recent::Set,
    predecessor: Option<Predecessor>,
    /// The moving mean of the time that requests run.
    service_time: Option<Duration>,
}

/// A running request.
#[derive(Clone, Copy, Debug)]
struct Run {
    started: Instant,
    epoch: u64,
    chat: u64,
}

/// A queued request.
#[derive(Debug)]
struct Queued<T> {
    chat: u64,
    ticket: T,
}

/// What the previous home may still run at the upstream.
#[derive(Clone, Copy, Debug)]
struct Predecessor {
    share: u32,
    until: Instant,
}

impl<T> Gate<T> {
    pub(super) fn new(limits: &Limits, now: Instant, takeover: Takeover) -> Self {
        let Takeover {
            upstream,
            pools,
            slots,
            cold_slots,
            start,
            predecessor_share,
        } = takeover;
        Self {
            upstream,
            pools,
            open: true,
            failing: false,
            ramp: ramp::Ramp::new(limits.ramp, slots, cold_slots, start),
            running: BTreeMap::new(),
            queue: fair::Queue::new(limits.queue),
            chats: recent::Set::new(limits.cached_chats),
            predecessor: Predecessor::new(predecessor_share, now + limits.predecessor_lease),
            service_time: None,
        }
    }

    /// Takes the upstream over again. Running requests stay counted, but don't
    /// affect the new ramp.
    pub(super) fn retake(&mut self, limits: &Limits, now: Instant, takeover: Takeover) {
        if self.open {
            self.pools = takeover.pools;
            self.ramp.resize(takeover.slots, takeover.cold_slots);
            return;
        }
        let running = std::mem::take(&mut self.running);
        let epoch = self.ramp.epoch() + 1;
        *self = Self::new(limits, now, takeover);
        self.ramp.set_epoch(epoch);
        self.running = running;
    }

    /// Closes the gate and returns the queued tickets.
    pub(super) fn close(&mut self) -> Vec<T> {
        self.open = false;
        self.queue.drain().map(|queued| queued.ticket).collect()
    }

    pub(super) fn is_open(&self) -> bool {
        self.open
    }

    pub(super) fn pools(&self) -> &[Pool] {
        &self.pools
    }

    pub(super) fn inflight(&self) -> u32 {
        u32::try_from(self.running.len()).unwrap_or(u32::MAX)
    }

    /// Returns whether the upstream counts in the mean. An upstream that is
    /// down must not lower the cap of the upstreams that take over its
    /// requests.
    pub(super) fn is_counted(&self) -> bool {
        self.open && (!self.failing || !self.running.is_empty())
    }

    /// Returns whether a request may be admitted at once without overtaking
    /// queued requests.
    pub(super) fn admits_now(&self, now: Instant, bound: u32) -> bool {
        self.queue.is_empty() && self.has_room(now, bound)
    }

    /// Returns whether a chat was answered here since the last cold start.
    pub(super) fn has_cached(&self, chat: u64) -> bool {
        self.chats.contains(chat)
    }

    /// Counts a request as running and returns its permit.
    pub(super) fn start(&mut self, now: Instant, chat: u64, serial: &mut u64) -> Permit {
        *serial += 1;
        let run = Run {
            started: now,
            epoch: self.ramp.epoch(),
            chat,
        };
        self.running.insert(*serial, run);
        Permit {
            upstream: self.upstream.clone(),
            serial: *serial,
        }
    }

    /// Returns why a request can't be queued, or `None` if it can.
    pub(super) fn queue_refusal(&self, now: Instant, request: &Request) -> Option<Refusal> {
        let wait = self.expected_wait(request);
        let code = match self.queue.check_room(&request.workspace) {
            Err(fair::Full::Workspace) => Code::WorkspaceFull,
            Err(fair::Full::Queue) => Code::Full,
            Ok(()) if request.bypass || now + wait >= request.deadline => Code::Full,
            Ok(()) => return None,
        };
        Some(Refusal::not_run(code).with_retry_after(wait))
    }

    /// Queues a request.
    pub(super) fn enqueue(&mut self, now: Instant, request: Request, ticket: T) -> fair::Position {
        let item = fair::Item {
            workspace: request.workspace,
            deadline: request.deadline,
            ticket: Queued {
                chat: request.chat,
                ticket,
            },
        };
        self.queue.push(now, request.weight, request.class, item)
    }

    pub(super) fn cancel(&mut self, position: &fair::Position) -> Option<T> {
        self.queue.remove(position).map(|item| item.ticket.ticket)
    }

    /// Records the end of a request. A request that is not counted as running
    /// is ignored.
    pub(super) fn end(&mut self, now: Instant, serial: u64, end: End) {
        let Some(run) = self.running.remove(&serial) else {
            return;
        };
        let epoch = self.ramp.epoch();
        let current = run.epoch == epoch;
        match end {
            End::Answered { .. } => self.failing = false,
            End::Failed | End::Lost => self.failing = true,
            End::Cancelled => {}
        }
        match end {
            End::Answered { first_byte } => {
                self.record_service_time(now - run.started);
                if current {
                    self.chats.insert(run.chat);
                    self.ramp.record_answer(first_byte);
                }
            }
            End::Failed | End::Lost if current => self.ramp.record_failure(),
            End::Failed | End::Lost | End::Cancelled => {}
        }
        if self.ramp.epoch() != epoch {
            self.chats.clear();
        }
    }

    /// Returns the next request that leaves the queue, because its wait timed
    /// out or because it is admitted.
    pub(super) fn next(
        &mut self,
        now: Instant,
        bound: u32,
        serial: &mut u64,
    ) -> Option<(T, Resolution)> {
        if let Some(item) = self.queue.pop_expired(now) {
            let refusal =
                Refusal::not_run(Code::QueueTimeout).with_retry_after(self.dequeue_interval());
            return Some((item.ticket.ticket, Resolution::Refuse(refusal)));
        }
        match self.has_room(now, bound) {
            true => {
                let Queued { chat, ticket } = self.queue.pop()?.ticket;
                Some((ticket, Resolution::Admit(self.start(now, chat, serial))))
            }
            false => None,
        }
    }

    pub(super) fn is_settled(&self, now: Instant) -> bool {
        self.predecessor
            .is_none_or(|predecessor| predecessor.until <= now)
    }

    pub(super) fn restart_ramp(&mut self) {
        self.ramp.reset();
        self.failing = false;
        self.chats.clear();
    }

    pub(super) fn set_share(&mut self, until: Instant, share: u32) {
        if let Some(old) = self.predecessor {
            self.predecessor = Predecessor::new(old.share.min(share), until);
        }
    }

    pub(super) fn clear_share(&mut self) {
        self.predecessor = None;
    }

    pub(super) fn report(&self, bound: u32) -> load::Report {
        load::Report {
            inflight: self.inflight(),
            queued: u32::try_from(self.queue.len()).unwrap_or(u32::MAX),
            cap: self.cap(bound),
            allowance: self.ramp.allowance(),
        }
    }

    fn cap(&self, bound: u32) -> u32 {
        match self.open {
            true => bound.min(self.ramp.allowance()),
            false => 0,
        }
    }

    fn has_room(&self, now: Instant, bound: u32) -> bool {
        let share = match self.predecessor {
            Some(predecessor) if predecessor.until > now => predecessor.share,
            _ => 0,
        };
        self.inflight().saturating_add(share) < self.cap(bound)
    }

    /// Returns how long a new request would wait, estimated from the mean
    /// service time.
    fn expected_wait(&self, request: &Request) -> Duration {
        let dequeues = self
            .queue
            .dequeues_until(&request.workspace, request.weight);
        self.dequeue_interval()
            .saturating_mul(u32::try_from(dequeues).unwrap_or(u32::MAX))
    }

    /// Returns the mean time between two requests that leave the queue.
    fn dequeue_interval(&self) -> Duration {
        let concurrency = self.inflight().max(1);
        self.service_time.unwrap_or_default() / concurrency
    }

    fn record_service_time(&mut self, elapsed: Duration) {
        let mean = self.service_time.unwrap_or(elapsed);
        self.service_time = Some(mean.mul_f64(1.0 - MEAN_WEIGHT) + elapsed.mul_f64(MEAN_WEIGHT));
    }
}

impl Predecessor {
    fn new(share: u32, until: Instant) -> Option<Self> {
        (share > 0).then_some(Self { share, until })
    }
}
