//! The course of a request at its upstream.

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

/// How late a cache event arrives.
const CACHE_LAG: Duration = Duration::from_secs(2);

/// The part of cache events that never arrive.
const CACHE_GAPS: f64 = 0.05;

impl Simulation {
    pub(super) fn launch(
        &mut self,
        number: usize,
        upstream: ident::Upstream,
        permit: Option<Permit>,
    ) {
        self.measure_skew(&upstream);
        self.serial += 1;
        let launch = self.serial;
        let request = self.requests.get(number);
        let engine = self.engines.get_mut(&upstream);
        let pending = self.pending.get_mut(&number);
        let (Some(request), Some(engine), Some(pending)) = (request, engine, pending) else {
            return;
        };
        pending.attempts += 1;
        pending.asked_warm = false;
        pending.launch = launch;
        match engine.start(number, request) {
            Start::Runs(run) => {
                pending.running = Some((upstream, permit, run));
                self.after(run.total, Event::End(number, launch));
            }
            Start::Refused => {
                self.fail(number, &upstream);
                self.give_back(permit, End::Failed);
                self.again(number, true);
            }
            Start::Crashed(lost) => {
                self.results.at(self.results.phase()).crashes += 1;
                self.give_back(permit, End::Lost);
                self.lose(&upstream, lost);
                self.after(fault::RESTART, Event::Step(plan::Step::Revive(upstream)));
            }
        }
    }

    pub(super) fn end(&mut self, number: usize, launch: u64) {
        let Some(pending) = self.pending.remove(&number) else {
            return;
        };
        let Pending {
            running: Some((upstream, permit, run)),
            ..
        } = pending
        else {
            self.pending.insert(number, pending);
            return;
        };
        if pending.launch != launch {
            let running = Some((upstream, permit, run));
            self.pending.insert(number, Pending { running, ..pending });
            return;
        }
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.finish(number);
        }
        if let Some(request) = self.requests.get(number) {
            let waited = self.now - run.total + run.first_byte - pending.began;
            self.results
                .answered(pending.phase, request, run.reused, waited);
            let key = request.key;
            if !self.rng.random_bool(CACHE_GAPS) {
                self.after(CACHE_LAG, Event::Cached(key, upstream));
            }
        }
        let first_byte = run.first_byte;
        self.give_back(permit, End::Answered { first_byte });
    }

    pub(super) fn give_back(&mut self, permit: Option<Permit>, end: End) {
        if let Some(permit) = permit {
            let grants = self.schedulers.complete(self.now, permit, end);
            self.granted(grants);
        }
    }

    pub(super) fn granted(&mut self, grants: Vec<(usize, Resolution)>) {
        for (number, grant) in grants {
            match grant {
                Resolution::Admit(permit) => self.after(Duration::ZERO, Event::Go(number, permit)),
                Resolution::Refuse(_) if self.only_waited_for_warm(number) => self.route(number),
                Resolution::Refuse(_) => self.refuse(number),
            }
        }
    }
}
