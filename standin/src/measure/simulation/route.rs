//! How a request finds its upstream, by the way that is measured.

use std::time::Duration;

use masticmoor::home::admission::Decision;
use masticmoor::home::admission::Request as AdmissionRequest;
use masticmoor::policy::choose;
use masticmoor::register::workspace;

use super::Event;
use super::Simulation;
use crate::measure::strategy::Strategy;
use crate::measure::strategy::View;
use crate::measure::trace;
use crate::measure::trace::Request;

/// How soon a request that found no room asks again where nothing queues it.
const AGAIN: Duration = Duration::from_millis(50);

/// The bytes of a prompt token.
const TOKEN_BYTES: u64 = 4;

impl Simulation {
    /// Finds an upstream for a request.
    pub(super) fn route(&mut self, number: usize) {
        let Some(request) = self.requests.get(number).cloned() else {
            return;
        };
        let live = self.live_entry();
        let Some(pending) = self.pending.get_mut(&number) else {
            return;
        };
        if !self.entries.get(&pending.entry).is_some_and(|it| it.alive) {
            pending.entry = live;
        }
        match self.strategy {
            Strategy::Homed => self.ask_homes(number, &request),
            _ => self.choose(number, &request),
        }
    }

    /// The project's way: tries the upstreams in turn, then waits for the first
    /// that lets it.
    fn ask_homes(&mut self, number: usize, request: &Request) {
        let Some(pending) = self.pending.get(&number) else {
            return;
        };
        let Some(entry) = self.entries.get(&pending.entry) else {
            return;
        };
        let deadline = pending.began + request.patience();
        let order = entry.order(self.now, request, |it| self.schedulers.report(it));
        let is_chat = request.kind == trace::Kind::Chat && !pending.asked_warm;
        let prompt = is_chat.then_some(u64::from(request.prompt) * TOKEN_BYTES);
        for pass in choose::rounds(choose::Limits::default(), self.now, deadline, prompt) {
            for upstream in &order {
                let ask = AdmissionRequest {
                    workspace: request.workspace.clone(),
                    weight: workspace::DEFAULT_WEIGHT,
                    class: request.class(),
                    deadline: pass.deadline,
                    chat: request.key,
                    only_warm: pass.only_warm,
                    bypass: pass.bypass,
                };
                match self.schedulers.submit(self.now, upstream, ask, number) {
                    Decision::Admit(_, permit) => {
                        return self.launch(number, upstream.clone(), Some(permit));
                    }
                    Decision::Queue(_) => {
                        if let Some(pending) = self.pending.get_mut(&number) {
                            pending.asked_warm = pass.only_warm;
                        }
                        return;
                    }
                    Decision::Refuse(..) => {}
                }
            }
        }
        self.refuse(number);
    }

    /// The other ways: choose, and start at once.
    fn choose(&mut self, number: usize, request: &Request) {
        let Some(pending) = self.pending.get(&number) else {
            return;
        };
        let view = View {
            waited: self.now - pending.began,
            load: self.rules.load,
            candidates: match (self.strategy, self.entries.get(&pending.entry)) {
                (Strategy::Oracle, _) => self.truly_eligible(&request.pool()),
                (_, Some(entry)) => entry.believed(self.now, request),
                (_, None) => Vec::new(),
            },
            engines: &self.engines,
            lagged: &self.lagged,
            seen: &self.seen,
        };
        match view.choose(self.strategy, request) {
            Some(upstream) => self.launch(number, upstream, None),
            None if self.now < pending.began + request.patience() => {
                self.after(AGAIN, Event::Route(number));
            }
            None => self.refuse(number),
        }
    }

    pub(super) fn only_waited_for_warm(&self, number: usize) -> bool {
        self.pending.get(&number).is_some_and(|it| it.asked_warm)
    }

    pub(super) fn refuse(&mut self, number: usize) {
        if let Some(pending) = self.pending.remove(&number) {
            self.results.at(pending.phase).refused += 1;
        }
    }
}
