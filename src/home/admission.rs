//! Admission at one home: what runs at its upstreams, what is queued for them,
//! and what is admitted next. Each admitted request holds a [`Permit`], which
//! is returned exactly once.

mod gate;
mod message;

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::policy::fair;
use crate::policy::load;
use crate::policy::ramp;
use crate::register::upstream::Pool;
use crate::rules;

use gate::Gate;

pub use message::Decision;
pub use message::End;
pub use message::Permit;
pub use message::Position;
pub use message::Request;
pub use message::Resolution;
pub use message::Takeover;

/// The limits of admission.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How far the load of an upstream may exceed the mean.
    pub load: rules::Load,
    /// The bounds of the queue of each upstream.
    pub queue: fair::Limits,
    /// How upstreams turn cold and warm again.
    pub ramp: ramp::Limits,
    /// How long samples of the other homes' mean load are kept; the lowest of
    /// them is used.
    pub mean_window: Duration,
    /// The maximum number of chats that are recorded as cached at one upstream.
    pub cached_chats: usize,
    /// How long a silent predecessor is assumed to run its share.
    pub predecessor_lease: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            load: rules::Load::default(),
            queue: fair::Limits::default(),
            ramp: ramp::Limits::default(),
            mean_window: Duration::from_secs(3),
            cached_chats: 4096,
            predecessor_lease: Duration::from_secs(3),
        }
    }
}

/// Admits requests to the upstreams of one home. `T` identifies a queued
/// request to its owner.
#[derive(Debug)]
pub struct Scheduler<T> {
    limits: Limits,
    gates: BTreeMap<ident::Upstream, Gate<T>>,
    /// The mean load at the other homes, by pool.
    others: BTreeMap<Pool, load::Minimum>,
    serial: u64,
}

impl<T> Scheduler<T> {
    /// Creates a scheduler without upstreams.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            gates: BTreeMap::new(),
            others: BTreeMap::new(),
            serial: 0,
        }
    }

    /// Changes the limits on load.
    pub fn set_load(&mut self, load: rules::Load) {
        self.limits.load = load;
    }

    /// Takes over an upstream. An upstream that is already open only gets the
    /// new slots and pools; a released one that still runs requests is
    /// reopened.
    pub fn take_over(&mut self, now: Instant, takeover: Takeover) {
        let limits = self.limits;
        let upstream = takeover.upstream.clone();
        match self.gates.get_mut(&upstream) {
            Some(gate) => gate.retake(&limits, now, takeover),
            None => {
                let gate = Gate::new(&limits, now, takeover);
                self.gates.insert(upstream, gate);
            }
        }
    }

    /// Releases an upstream: nothing more is admitted there, and the queued
    /// requests are returned. Running requests stay counted until they end.
    pub fn release(&mut self, upstream: &ident::Upstream) -> Vec<T> {
        let Some(gate) = self.gates.get_mut(upstream) else {
            return Vec::new();
        };
        let waiting = gate.close();
        self.forget_idle(upstream);
        waiting
    }

    /// Admits, queues or refuses a request for an upstream.
    pub fn submit(
        &mut self,
        now: Instant,
        upstream: &ident::Upstream,
        request: Request,
        ticket: T,
    ) -> Decision<T> {
        let bound = self.bound(upstream);
        let Some(gate) = self.gates.get_mut(upstream).filter(|gate| gate.is_open()) else {
            return Decision::Refuse(ticket, Refusal::not_run(Code::NotHome));
        };
        if request.only_warm && !gate.has_cached(request.chat) {
            return Decision::Refuse(ticket, Refusal::not_run(Code::Full));
        }
        if gate.admits_now(now, bound) {
            let permit = gate.start(now, request.chat, &mut self.serial);
            return Decision::Admit(ticket, permit);
        }
        match gate.queue_refusal(now, &request) {
            Some(refusal) => Decision::Refuse(ticket, refusal),
            None => Decision::Queue(Position {
                upstream: upstream.clone(),
                position: gate.enqueue(now, request, ticket),
            }),
        }
    }

    /// Returns a permit and resolves the queued requests that can go ahead.
    pub fn complete(&mut self, now: Instant, permit: Permit, end: End) -> Vec<(T, Resolution)> {
        let Some(gate) = self.gates.get_mut(&permit.upstream) else {
            return Vec::new();
        };
        gate.end(now, permit.serial, end);
        let resolved = self.resolve(now, &permit.upstream);
        self.forget_idle(&permit.upstream);
        resolved
    }

    /// Ends waits that timed out and resolves the queued requests that can go
    /// ahead.
    pub fn tick(&mut self, now: Instant) -> Vec<(T, Resolution)> {
        let upstreams: Vec<ident::Upstream> = self.gates.keys().cloned().collect();
        upstreams
            .iter()
            .flat_map(|upstream| self.resolve(now, upstream))
            .collect()
    }

    /// Removes a queued request whose caller is gone. `None` if it was resolved
    /// already; its resolution must then be handled.
    pub fn cancel(&mut self, position: &Position) -> Option<T> {
        self.gates
            .get_mut(&position.upstream)?
            .cancel(&position.position)
    }

    /// Restarts the ramp of an upstream that was restarted or was silent.
    pub fn restart_ramp(&mut self, upstream: &ident::Upstream) {
        if let Some(gate) = self.gates.get_mut(upstream) {
            gate.restart_ramp();
        }
    }

    /// Updates how many requests the predecessor of an upstream may still run.
    /// The share only falls, and its lease starts again.
    pub fn update_predecessor(&mut self, now: Instant, upstream: &ident::Upstream, share: u32) {
        if let Some(gate) = self.gates.get_mut(upstream) {
            gate.set_share(now + self.limits.predecessor_lease, share);
        }
    }

    /// Records that the predecessor of an upstream runs nothing there any more.
    pub fn clear_predecessor(&mut self, upstream: &ident::Upstream) {
        if let Some(gate) = self.gates.get_mut(upstream) {
            gate.clear_share();
        }
    }

    /// Adds a sample of the other homes' load in a pool. It affects queued
    /// requests at the next tick.
    pub fn record_remote_mean(&mut self, now: Instant, pool: &Pool, others: load::Mean) {
        let minimum = self.others.entry(pool.clone()).or_default();
        minimum.add(now, others, self.limits.mean_window);
    }

    /// Returns this home's load in a pool, to report to the other homes.
    pub fn local_mean(&self, pool: &Pool) -> load::Mean {
        let gates = self.gates.values();
        let own = gates.filter(|gate| gate.is_counted() && gate.pools().contains(pool));
        own.fold(load::Mean::default(), |mean, gate| {
            mean.plus(load::Mean {
                sum: u64::from(gate.inflight()),
                count: 1,
            })
        })
    }

    /// Returns the load of an upstream, including one that was released and
    /// still runs requests.
    pub fn load(&self, upstream: &ident::Upstream) -> Option<load::Report> {
        let bound = self.bound(upstream);
        self.gates.get(upstream).map(|gate| gate.report(bound))
    }

    /// Returns whether no predecessor is counted at any upstream.
    pub fn is_settled(&self, now: Instant) -> bool {
        self.gates.values().all(|gate| gate.is_settled(now))
    }

    /// Returns the loads of all upstreams, including released ones that still
    /// run requests.
    pub fn reports(&self) -> impl Iterator<Item = (&ident::Upstream, load::Report)> {
        self.gates.iter().map(|(upstream, gate)| {
            let bound = self.bound(upstream);
            (upstream, gate.report(bound))
        })
    }

    /// Returns the upstreams that are open.
    pub fn upstreams(&self) -> impl Iterator<Item = &ident::Upstream> {
        let open = self.gates.iter().filter(|it| it.1.is_open());
        open.map(|(upstream, _)| upstream)
    }

    /// Returns how many requests an upstream may run given the mean load of its
    /// pools, the busiest one if there are several. Rounding down leaves a
    /// margin for a mean that falls before it is reported.
    fn bound(&self, upstream: &ident::Upstream) -> u32 {
        let load = self.limits.load;
        let pools = self.gates.get(upstream).map_or(&[][..], Gate::pools);
        let multiples = pools.iter().map(|pool| {
            let others = self.others.get(pool).map(load::Minimum::get);
            let others = others.unwrap_or_default();
            self.local_mean(pool).plus(others).times_down(load.multiple)
        });
        multiples.max().unwrap_or(0).max(load.floor)
    }

    fn resolve(&mut self, now: Instant, upstream: &ident::Upstream) -> Vec<(T, Resolution)> {
        let mut resolved = Vec::new();
        loop {
            let bound = self.bound(upstream);
            let gate = self.gates.get_mut(upstream);
            match gate.and_then(|gate| gate.next(now, bound, &mut self.serial)) {
                Some(next) => resolved.push(next),
                None => return resolved,
            }
        }
    }

    /// Forgets a released upstream once nothing runs there.
    fn forget_idle(&mut self, upstream: &ident::Upstream) {
        let idle = |gate: &Gate<T>| !gate.is_open() && gate.inflight() == 0;
        if self.gates.get(upstream).is_some_and(idle) {
            self.gates.remove(upstream);
        }
    }
}
