//! Routing of a request to an upstream, by the simulated strategy.

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

/// Delay before another selection if no upstream may take a request, for
/// strategies that have no queue.
const RETRY_DELAY: Duration = Duration::from_millis(50);

/// Bytes of a prompt token.
const TOKEN_BYTES: u64 = 4;

impl Simulation {
    /// Routes a request from its entry host, or from another one if that is down.
    pub(super) fn route(&mut self, id: usize) {
        let Some(request) = self.requests.get(id).cloned() else {
            return;
        };
        let live = self.live_entry();
        let Some(pending) = self.pending.get_mut(&id) else {
            return;
        };
        if !self.entries.get(&pending.entry).is_some_and(|it| it.alive) {
            pending.entry = live;
        }
        match self.strategy {
            Strategy::Homed => self.route_by_home(id, &request),
            _ => self.select(id, &request),
        }
    }

    /// Routes by the project's strategy: submits the request to the homes of the
    /// upstreams in order, until one admits or queues it.
    fn route_by_home(&mut self, id: usize, request: &Request) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let Some(entry) = self.entries.get(&pending.entry) else {
            return;
        };
        let deadline = pending.arrived + request.max_wait();
        let order = entry.order(self.now, request, |it| self.schedulers.report(it));
        let is_chat = request.kind == trace::Kind::Chat && !pending.only_warm;
        let prompt = is_chat.then_some(u64::from(request.prompt) * TOKEN_BYTES);
        for round in choose::rounds(choose::Limits::default(), self.now, deadline, prompt) {
            for upstream in &order {
                let admission = AdmissionRequest {
                    workspace: request.workspace.clone(),
                    weight: workspace::DEFAULT_WEIGHT,
                    class: request.class(),
                    deadline: round.deadline,
                    chat: request.key,
                    only_warm: round.only_warm,
                    bypass: round.bypass,
                };
                match self.schedulers.submit(self.now, upstream, admission, id) {
                    Decision::Admit(_, permit) => {
                        return self.execute(id, upstream.clone(), Some(permit));
                    }
                    Decision::Queue(_) => {
                        if let Some(pending) = self.pending.get_mut(&id) {
                            pending.only_warm = round.only_warm;
                        }
                        return;
                    }
                    Decision::Refuse(..) => {}
                }
            }
        }
        self.refuse(id);
    }

    /// Routes by one of the other strategies: selects an upstream and starts the
    /// request at once.
    fn select(&mut self, id: usize, request: &Request) {
        let Some(pending) = self.pending.get(&id) else {
            return;
        };
        let view = View {
            waited: self.now - pending.arrived,
            load: self.rules.load,
            candidates: match (self.strategy, self.entries.get(&pending.entry)) {
                (Strategy::Oracle, _) => self.eligible(&request.pool()),
                (_, Some(entry)) => entry.eligible(self.now, request),
                (_, None) => Vec::new(),
            },
            engines: &self.engines,
            reported: &self.reported,
            cached_at: &self.cached_at,
        };
        match view.select(self.strategy, request) {
            Some(upstream) => self.execute(id, upstream, None),
            None if self.now < pending.arrived + request.max_wait() => {
                self.schedule(RETRY_DELAY, Event::Route(id));
            }
            None => self.refuse(id),
        }
    }

    pub(super) fn waits_only_for_warm(&self, id: usize) -> bool {
        self.pending.get(&id).is_some_and(|it| it.only_warm)
    }

    pub(super) fn refuse(&mut self, id: usize) {
        if let Some(pending) = self.pending.remove(&id) {
            self.results.counts_mut(pending.phase).refused += 1;
        }
    }
}
