//! What befalls a deployment: losses, restarts and rules.

use std::collections::BTreeSet;
use std::time::Duration;

use masticmoor::home::admission::End;
use masticmoor::ident;
use masticmoor::policy::ramp;
use masticmoor::rules::Rules;
use rand::RngExt;

use super::ATTEMPTS;
use super::Event;
use super::Simulation;
use crate::measure::plan::Phase;
use crate::measure::plan::Step;

/// How long an upstream that fell over takes to start again.
pub const RESTART: Duration = Duration::from_secs(15);

/// The soonest and latest that a rule is in force at a host.
const RULES_LAG: (f64, f64) = (0.5, 3.0);

impl Simulation {
    pub(super) fn step(&mut self, step: Step) {
        match step {
            Step::Phase(phase) => {
                self.platform = phase != Phase::Platform;
                self.results.begin(phase);
            }
            Step::Kill(upstream) => self.kill(&upstream),
            Step::Revive(upstream) => self.revive(upstream),
            Step::Drain(zone) => {
                self.rules.draining.insert(zone);
                self.publish();
            }
            Step::Off(zone) => self.off(&zone),
            Step::On(zone) => self.on(&zone),
            Step::Undrain(zone) => {
                self.rules.draining.remove(&zone);
                self.publish();
            }
        }
    }

    /// Brings a host's view to new rules.
    pub(super) fn adopt_rules(&mut self, host: &ident::Host, rules: Rules) {
        let Some(entry) = self.entries.get_mut(host) else {
            return;
        };
        entry.set_rules(&self.register, &rules);
        for zone in &rules.draining {
            for number in self.schedulers.release(&self.register, host, zone) {
                self.after(Duration::ZERO, Event::Route(number));
            }
        }
        if entry_is_in_service(&self.entries, host, &rules) {
            let start = ramp::Start::Cold;
            self.schedulers
                .take_over(self.now, &self.register, &rules, host, start);
        }
    }

    /// Ends requests that an upstream lost.
    pub(super) fn lose(&mut self, upstream: &ident::Upstream, lost: BTreeSet<usize>) {
        for number in lost {
            let Some(pending) = self.pending.get_mut(&number) else {
                continue;
            };
            let running = pending.running.take();
            self.fail(number, upstream);
            if let Some((_, permit, _)) = running {
                self.give_back(permit, End::Lost);
            }
            self.again(number, false);
        }
    }

    /// Lets the entry of a request pass an upstream over.
    pub(super) fn fail(&mut self, number: usize, upstream: &ident::Upstream) {
        let pending = self.pending.get(&number);
        if let Some(entry) = pending.and_then(|it| self.entries.get_mut(&it.entry)) {
            entry.fail(self.now, upstream);
        }
    }

    /// Sends a request again where that is safe and within the budget.
    pub(super) fn again(&mut self, number: usize, not_run: bool) {
        let Some(pending) = self.pending.get(&number) else {
            return;
        };
        let idempotent = self
            .requests
            .get(number)
            .is_some_and(|it| it.is_idempotent());
        let entry = self.entries.get_mut(&pending.entry);
        let granted = entry.is_some_and(|it| !it.alive || it.budget.try_spend());
        match not_run || idempotent {
            true if granted && pending.attempts < ATTEMPTS => {
                self.after(Duration::ZERO, Event::Route(number));
            }
            true if not_run => self.refuse(number),
            _ => {
                let phase = pending.phase;
                self.pending.remove(&number);
                self.results.at(phase).unknown += 1;
            }
        }
    }

    /// Returns one of the live entries, as the balancer picks it.
    pub(super) fn live_entry(&mut self) -> ident::Host {
        let live: Vec<&ident::Host> = self
            .entries
            .iter()
            .filter(|it| it.1.alive)
            .map(|it| it.0)
            .collect();
        let nth = self.rng.random_range(0..live.len().max(1));
        live.get(nth).map_or_else(|| "".into(), |it| (*it).clone())
    }

    fn kill(&mut self, upstream: &ident::Upstream) {
        if let Some(engine) = self.engines.get_mut(upstream) {
            let lost = engine.kill();
            self.lose(upstream, lost);
        }
    }

    fn revive(&mut self, upstream: ident::Upstream) {
        if let Some(engine) = self.engines.get_mut(&upstream) {
            engine.revive();
        }
        if self.platform {
            let wait = self.rules_lag();
            self.after(wait, Event::Started(upstream));
        }
    }

    fn off(&mut self, zone: &ident::Zone) {
        let hosts = self.entries.iter_mut().filter(|it| it.1.zone == *zone);
        for (host, entry) in hosts {
            entry.alive = false;
            self.schedulers.remove_host(host);
        }
        for upstream in self.upstreams_of(zone) {
            self.kill(&upstream);
        }
    }

    fn on(&mut self, zone: &ident::Zone) {
        let hosts = self.entries.iter_mut().filter(|it| it.1.zone == *zone);
        for (host, entry) in hosts {
            entry.restart();
            self.schedulers.add_host(host);
        }
        for upstream in self.upstreams_of(zone) {
            if let Some(engine) = self.engines.get_mut(&upstream) {
                engine.revive();
            }
        }
    }

    fn publish(&mut self) {
        let hosts: Vec<ident::Host> = self.entries.keys().cloned().collect();
        for host in hosts {
            let wait = self.rules_lag();
            self.after(wait, Event::Rules(host, self.rules.clone()));
        }
    }

    fn rules_lag(&mut self) -> Duration {
        Duration::from_secs_f64(self.rng.random_range(RULES_LAG.0..RULES_LAG.1))
    }

    fn upstreams_of(&self, zone: &ident::Zone) -> Vec<ident::Upstream> {
        let upstreams = self.register.upstreams.iter();
        let here = upstreams.filter(|it| it.1.zone == *zone);
        here.map(|it| it.0.clone()).collect()
    }
}

fn entry_is_in_service(
    entries: &std::collections::BTreeMap<ident::Host, super::Entry>,
    host: &ident::Host,
    rules: &Rules,
) -> bool {
    let entry = entries.get(host);
    entry.is_some_and(|it| it.alive && !rules.draining.contains(&it.zone))
}
