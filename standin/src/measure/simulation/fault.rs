//! Faults and operations of a deployment: kills, restarts, new rules, and the
//! retries of lost requests.

use std::collections::BTreeSet;
use std::time::Duration;

use masticmoor::home::admission::End;
use masticmoor::ident;
use masticmoor::policy::ramp;
use masticmoor::rules::Rules;
use rand::RngExt;

use super::Event;
use super::MAX_ATTEMPTS;
use super::Simulation;
use crate::measure::plan::Phase;
use crate::measure::plan::Step;

/// Time from a crash because of overload to the restart.
pub const RESTART_TIME: Duration = Duration::from_secs(15);

/// Minimum and maximum delay until a host applies new rules.
const RULES_LAG_SECONDS: (f64, f64) = (0.5, 3.0);

impl Simulation {
    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::Phase(phase) => {
                self.is_platform_up = phase != Phase::Platform;
                self.results.begin_phase(phase);
            }
            Step::Kill(upstream) => self.kill(&upstream),
            Step::Restart(upstream) => self.restart(upstream),
            Step::Drain(zone) => {
                self.rules.draining.insert(zone);
                self.publish();
            }
            Step::StopZone(zone) => self.stop_zone(&zone),
            Step::StartZone(zone) => self.start_zone(&zone),
            Step::Undrain(zone) => {
                self.rules.draining.remove(&zone);
                self.publish();
            }
        }
    }

    /// Applies new rules at a host: it releases upstreams of drained zones, and
    /// takes over its own, cold, if it is in service.
    pub(super) fn apply_rules(&mut self, host: &ident::Host, rules: Rules) {
        let Some(entry) = self.entries.get_mut(host) else {
            return;
        };
        entry.apply_rules(&self.register, &rules);
        for zone in &rules.draining {
            for id in self.schedulers.release(&self.register, host, zone) {
                self.schedule(Duration::ZERO, Event::Route(id));
            }
        }
        if is_in_service(&self.entries, host, &rules) {
            let start = ramp::Start::Cold;
            self.schedulers
                .take_over(self.now, &self.register, &rules, host, start);
        }
    }

    /// Fails the requests that an upstream lost, and retries them where allowed.
    pub(super) fn fail_running(&mut self, upstream: &ident::Upstream, lost: BTreeSet<usize>) {
        for id in lost {
            let Some(pending) = self.pending.get_mut(&id) else {
                continue;
            };
            let running = pending.running.take();
            self.record_failure(id, upstream);
            if let Some((_, permit, _)) = running {
                self.complete(permit, End::Lost);
            }
            self.retry(id, false);
        }
    }

    /// Records a failure of an upstream at the entry host of a request.
    pub(super) fn record_failure(&mut self, id: usize, upstream: &ident::Upstream) {
        let pending = self.pending.get(&id);
        if let Some(entry) = pending.and_then(|it| self.entries.get_mut(&it.entry)) {
            entry.record_failure(self.now, upstream);
        }
    }

    /// Retries a request if that is safe and within the retry budget. Otherwise it
    /// counts as refused if it did not run, else as unknown.
    pub(super) fn retry(&mut self, id: usize, not_run: bool) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let idempotent = self.requests.get(id).is_some_and(|it| it.is_idempotent());
        let entry = self.entries.get_mut(&pending.entry);
        let is_in_budget = entry.is_some_and(|it| !it.alive || it.budget.try_spend());
        match not_run || idempotent {
            true if is_in_budget && pending.attempts < MAX_ATTEMPTS => {
                self.schedule(Duration::ZERO, Event::Route(id));
            }
            true if not_run => self.refuse(id),
            _ => {
                let phase = pending.phase;
                self.pending.remove(&id);
                self.results.counts_mut(phase).unknown += 1;
            }
        }
    }

    /// Returns a random live entry host, as a load balancer would.
    pub(super) fn live_entry(&mut self) -> ident::Host {
        let live: Vec<&ident::Host> = self
            .entries
            .iter()
            .filter(|it| it.1.alive)
            .map(|it| it.0)
            .collect();
        let index = self.rng.random_range(0..live.len().max(1));
        live.get(index)
            .map_or_else(|| "".into(), |it| (*it).clone())
    }

    fn kill(&mut self, upstream: &ident::Upstream) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            let lost = engine.kill();
            self.fail_running(upstream, lost);
        }
    }

    fn restart(&mut self, upstream: ident::Upstream) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.restart();
        }
        if self.is_platform_up {
            let wait = self.rules_lag();
            self.schedule(wait, Event::Started(upstream));
        }
    }

    fn stop_zone(&mut self, zone: &ident::Zone) {
        let hosts = self.entries.iter_mut().filter(|it| it.1.zone == *zone);
        for (host, entry) in hosts {
            entry.alive = false;
            self.schedulers.remove_host(host);
        }
        for upstream in self.upstreams_of(zone) {
            self.kill(&upstream);
        }
    }

    fn start_zone(&mut self, zone: &ident::Zone) {
        let hosts = self.entries.iter_mut().filter(|it| it.1.zone == *zone);
        for (host, entry) in hosts {
            entry.restart();
            self.schedulers.add_host(host);
        }
        for upstream in self.upstreams_of(zone) {
            if let Some(engine) = self.engines.get_mut(&upstream) {
                engine.restart();
            }
        }
    }

    fn publish(&mut self) {
        let hosts: Vec<ident::Host> = self.entries.keys().cloned().collect();
        for host in hosts {
            let wait = self.rules_lag();
            self.schedule(wait, Event::Rules(host, self.rules.clone()));
        }
    }

    fn rules_lag(&mut self) -> Duration {
        Duration::from_secs_f64(
            self.rng
                .random_range(RULES_LAG_SECONDS.0..RULES_LAG_SECONDS.1),
        )
    }

    fn upstreams_of(&self, zone: &ident::Zone) -> Vec<ident::Upstream> {
        let upstreams = self.register.upstreams.iter();
        let in_zone = upstreams.filter(|it| it.1.zone == *zone);
        in_zone.map(|it| it.0.clone()).collect()
    }
}

fn is_in_service(
    entries: &std::collections::BTreeMap<ident::Host, super::Entry>,
    host: &ident::Host,
    rules: &Rules,
) -> bool {
    let entry = entries.get(host);
    entry.is_some_and(|it| it.alive && !rules.draining.contains(&it.zone))
}
