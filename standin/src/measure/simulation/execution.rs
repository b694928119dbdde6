//! Execution of a request at an upstream: start, end, and the permits of the
//! admission schedulers.

use std::time::Duration;

use masticmoor::home::admission::End;
use masticmoor::home::admission::Permit;
use masticmoor::home::admission::Resolution;
use masticmoor::ident;
use rand::RngExt;

use super::Event;
use super::Pending;
use super::Simulation;
use super::fault;
use crate::measure::engine::Start;
use crate::measure::plan;

/// Delay of a cache event.
const CACHE_EVENT_LAG: Duration = Duration::from_secs(2);

/// Probability that a cache event is lost.
const CACHE_EVENT_LOSS: f64 = 0.05;

impl Simulation {
    /// Starts a request at an upstream, and retries it if that fails.
    pub(super) fn execute(&mut self, id: usize, upstream: ident::Upstream, permit: Option<Permit>) {
        self.record_skew(&upstream);
        self.sequence += 1;
        let execution = self.sequence;
        let request = self.requests.get(id);
        let engine = self.engines.get_mut(&upstream);
        let pending = self.pending.get_mut(&id);
        let (Some(request), Some(engine), Some(pending)) = (request, engine, pending) else {
            return;
        };
        pending.attempts += 1;
        pending.only_warm = false;
        pending.execution = execution;
        match engine.start(id, request) {
            Start::Running(run) => {
                pending.running = Some((upstream, permit, run));
                self.schedule(run.total, Event::Finish(id, execution));
            }
            Start::Refused => {
                self.record_failure(id, &upstream);
                self.complete(permit, End::Failed);
                self.retry(id, true);
            }
            Start::Crashed(lost) => {
                self.results.counts_mut(self.results.phase()).crashes += 1;
                self.complete(permit, End::Lost);
                self.fail_running(&upstream, lost);
                self.schedule(
                    fault::RESTART_TIME,
                    Event::Step(plan::Step::Restart(upstream)),
                );
            }
        }
    }

    /// Ends a request with its answer, unless another execution has begun.
    pub(super) fn finish(&mut self, id: usize, execution: u64) {
        let Some(pending) = self.pending.remove(&id) else {
            return;
        };
        let Pending {
            running: Some((upstream, permit, run)),
            ..
        } = pending
        else {
            self.pending.insert(id, pending);
            return;
        };
        if pending.execution != execution {
            let running = Some((upstream, permit, run));
            self.pending.insert(id, Pending { running, ..pending });
            return;
        }
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.finish(id);
        }
        if let Some(request) = self.requests.get(id) {
            let waited = self.now - run.total + run.first_byte - pending.arrived;
            self.results
                .record_answer(pending.phase, request, run.reused, waited);
            let key = request.key;
            if !self.rng.random_bool(CACHE_EVENT_LOSS) {
                self.schedule(CACHE_EVENT_LAG, Event::Cached(key, upstream));
            }
        }
        let first_byte = run.first_byte;
        self.complete(permit, End::Answered { first_byte });
    }

    /// Returns a permit, if there is one, to the scheduler that issued it.
    pub(super) fn complete(&mut self, permit: Option<Permit>, end: End) {
        if let Some(permit) = permit {
            let resolutions = self.schedulers.complete(self.now, permit, end);
            self.apply_resolutions(resolutions);
        }
    }

    /// Executes, routes anew or refuses requests that waited at a scheduler.
    pub(super) fn apply_resolutions(&mut self, resolutions: Vec<(usize, Resolution)>) {
        for (id, resolution) in resolutions {
            match resolution {
                Resolution::Admit(permit) => self.schedule(Duration::ZERO, Event::Run(id, permit)),
                Resolution::Refuse(_) if self.waits_only_for_warm(id) => self.route(id),
                Resolution::Refuse(_) => self.refuse(id),
            }
        }
    }
}
