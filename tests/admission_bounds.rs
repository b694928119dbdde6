//! Invariants of admission under any schedule of requests, ends, faults and
//! changes, checked against a model with its own counts.

#![expect(
    clippy::indexing_slicing,
    clippy::unwrap_used,
    reason = "An unexpected value fails the test."
)]

#[path = "admission_bounds/schedule.rs"]
mod schedule;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use masticmoor::home::admission::Decision;
use masticmoor::home::admission::End;
use masticmoor::home::admission::Limits;
use masticmoor::home::admission::Permit;
use masticmoor::home::admission::Position;
use masticmoor::home::admission::Request;
use masticmoor::home::admission::Resolution;
use masticmoor::home::admission::Scheduler;
use masticmoor::home::admission::Takeover;
use masticmoor::ident;
use masticmoor::policy::load::Mean;
use masticmoor::policy::ramp::Start;
use masticmoor::register::upstream::Pool;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use schedule::CHATS;
use schedule::Op;
use schedule::State;
use schedule::UPSTREAMS;
use schedule::op;
use tokio::time::Instant;

const SLOTS: u32 = 8;
const COLD_SLOTS: u32 = 2;
const MEAN_WINDOW: Duration = Duration::from_secs(3);

fn name(upstream: usize) -> ident::Upstream {
    format!("u{upstream}").as_str().into()
}

fn pool() -> Pool {
    Pool::Model("m".into())
}

struct Model {
    now: Instant,
    scheduler: Scheduler<u32>,
    states: Vec<State>,
    remote_means: Vec<(Instant, Mean)>,
    waiting: BTreeMap<u32, Position>,
    resolved: BTreeSet<u32>,
    tickets: u32,
    chats: BTreeMap<u32, u64>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            now: Instant::now(),
            scheduler: Scheduler::new(Limits::default()),
            states: (0..UPSTREAMS).map(|_| State::default()).collect(),
            remote_means: Vec::new(),
            waiting: BTreeMap::new(),
            resolved: BTreeSet::new(),
            tickets: 0,
            chats: BTreeMap::new(),
        };
        (0..UPSTREAMS).for_each(|upstream| model.take_over(upstream, 0));
        model
    }

    fn take_over(&mut self, upstream: usize, share: u32) {
        let takeover = Takeover {
            upstream: name(upstream),
            pools: vec![pool()],
            slots: SLOTS,
            cold_slots: COLD_SLOTS,
            start: Start::Cold,
            predecessor_share: share,
        };
        self.scheduler.take_over(self.now, takeover);
        let state = &mut self.states[upstream];
        if !state.home {
            state.home = true;
            state.failing = false;
            state.share = share;
            state.lease = Some(self.now + Limits::default().predecessor_lease);
            state.reset();
        }
    }

    fn local_mean(&self) -> Mean {
        let counts = |state: &&State| state.home && (!state.failing || !state.running.is_empty());
        let home = || self.states.iter().filter(counts);
        Mean {
            sum: home().map(|state| state.running.len() as u64).sum(),
            count: home().count() as u32,
        }
    }

    /// Returns the cap as the rule defines it, from the model's own counts.
    fn cap(&self, upstream: usize) -> usize {
        let local_mean = self.local_mean();
        let newest = self.remote_means.last().map_or(self.now, |it| it.0);
        let recent = self
            .remote_means
            .iter()
            .filter(|it| newest - it.0 < MEAN_WINDOW);
        let lowest = recent.map(|it| it.1).min_by(|a, b| {
            let (a, b) = (a.sum * u64::from(b.count), b.sum * u64::from(a.count));
            a.cmp(&b)
        });
        let others = lowest.unwrap_or_default();
        let mean = (others.sum + local_mean.sum) as f64
            / f64::from((others.count + local_mean.count).max(1));
        let bound = ((mean * 1.5).floor() as usize).max(2);
        let ramp = COLD_SLOTS + self.states[upstream].good;
        bound.min(SLOTS as usize).min(ramp as usize)
    }

    fn admitted(&mut self, ticket: u32, permit: Permit) {
        let chat = self.chats[&ticket];
        let upstream = (0..UPSTREAMS)
            .find(|u| name(*u) == *permit.upstream())
            .unwrap();
        let cap = self.cap(upstream);
        let now = self.now;
        let state = &mut self.states[upstream];
        let share = state
            .lease
            .filter(|until| *until > now)
            .map_or(0, |_| state.share);
        assert!(state.home, "a request was admitted at a released upstream");
        state.running.push((permit, true, chat));
        let total = state.running.len() + share as usize;
        assert!(total <= cap, "{total} in flight over a cap of {cap}");
    }

    fn mark_resolved(&mut self, ticket: u32) {
        assert!(
            self.resolved.insert(ticket),
            "ticket {ticket} resolved twice"
        );
    }

    fn resolve(&mut self, resolutions: Vec<(u32, Resolution)>) {
        for (ticket, resolution) in resolutions {
            assert!(self.waiting.remove(&ticket).is_some());
            self.mark_resolved(ticket);
            if let Resolution::Admit(permit) = resolution {
                self.admitted(ticket, permit);
            }
        }
    }

    fn submit(&mut self, upstream: usize, request: Request) {
        let ticket = self.tickets;
        self.tickets += 1;
        self.chats.insert(ticket, request.chat);
        let cached = !request.only_warm || self.states[upstream].chats.contains(&request.chat);
        match self
            .scheduler
            .submit(self.now, &name(upstream), request, ticket)
        {
            Decision::Admit(back, permit) => {
                assert!(cached, "a chat was admitted where it is not cached");
                self.mark_resolved(back);
                let queued = self.scheduler.load(permit.upstream()).unwrap().queued;
                assert_eq!(queued, 0, "a request overtook the queue");
                self.admitted(back, permit);
            }
            Decision::Queue(position) => {
                assert!(cached, "a chat was queued where it is not cached");
                self.waiting.insert(ticket, position);
            }
            Decision::Refuse(back, _) => self.mark_resolved(back),
        }
    }

    fn end(&mut self, pick: usize, kind: u8) {
        let busy: Vec<usize> = (0..UPSTREAMS)
            .filter(|u| !self.states[*u].running.is_empty())
            .collect();
        let Some(upstream) = busy.get(pick % busy.len().max(1)) else {
            return;
        };
        let state = &mut self.states[*upstream];
        let (permit, current, chat) = state.running.remove(pick % state.running.len());
        let first_byte = Duration::from_millis(20);
        let end = match kind {
            0 => End::Failed,
            1 => End::Lost,
            2 => End::Cancelled,
            _ => End::Answered { first_byte },
        };
        state.failing = match end {
            End::Answered { .. } => false,
            End::Failed | End::Lost => true,
            End::Cancelled => state.failing,
        };
        match end {
            End::Answered { .. } if current => {
                state.good += 1;
                state.chats.insert(chat);
            }
            End::Failed | End::Lost if current && COLD_SLOTS + state.good < SLOTS => state.reset(),
            _ => {}
        }
        let resolutions = self.scheduler.complete(self.now, permit, end);
        self.resolve(resolutions);
    }

    fn cancel(&mut self, pick: usize) {
        let nth = pick % self.waiting.len().max(1);
        if let Some((ticket, position)) = self.waiting.iter().nth(nth).map(|(t, p)| (*t, p.clone()))
        {
            self.waiting.remove(&ticket);
            assert_eq!(self.scheduler.cancel(&position), Some(ticket));
            assert_eq!(self.scheduler.cancel(&position), None);
            self.mark_resolved(ticket);
        }
    }

    fn tick(&mut self) {
        let resolutions = self.scheduler.tick(self.now);
        self.resolve(resolutions);
        let is_done = self.scheduler.tick(self.now).is_empty();
        assert!(
            is_done,
            "a second tick at the same time resolved more requests"
        );
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Submit(upstream, workspace, class, bypass, wait, warm) => {
                let request = Request {
                    workspace: format!("w{workspace}").as_str().into(),
                    weight: u32::from(workspace) + 1,
                    class,
                    deadline: self.now + Duration::from_millis(wait),
                    chat: warm.unwrap_or(u64::from(self.tickets) % CHATS),
                    only_warm: warm.is_some(),
                    bypass,
                };
                self.submit(upstream, request);
            }
            Op::End(pick, kind) => self.end(pick, kind),
            Op::Tick(ms) => {
                self.now += Duration::from_millis(ms);
                self.tick();
            }
            Op::RemoteMean(sum, count) => {
                let mean = Mean { sum, count };
                self.remote_means.push((self.now, mean));
                self.scheduler.record_remote_mean(self.now, &pool(), mean);
            }
            Op::Restart(upstream) => {
                self.states[upstream].failing = false;
                self.scheduler.restart_ramp(&name(upstream));
                self.states[upstream].reset();
            }
            Op::Release(upstream) => {
                self.states[upstream].home = false;
                for ticket in self.scheduler.release(&name(upstream)) {
                    assert!(self.waiting.remove(&ticket).is_some());
                    self.mark_resolved(ticket);
                }
            }
            Op::TakeOver(upstream, share) => self.take_over(upstream, share),
            Op::PredecessorGone(upstream) => {
                self.scheduler.clear_predecessor(&name(upstream));
                self.states[upstream].share = 0;
            }
            Op::Cancel(pick) => self.cancel(pick),
        }
        assert_eq!(self.scheduler.local_mean(&pool()), self.local_mean());
    }

    fn finish(mut self) {
        self.now += Duration::from_secs(60);
        self.tick();
        while self.states.iter().any(|state| !state.running.is_empty()) {
            self.end(0, 3);
        }
        assert!(
            self.waiting.is_empty(),
            "still queued at the end: {:?}",
            self.waiting
        );
        assert_eq!(self.resolved.len(), self.tickets as usize);
        for upstream in 0..UPSTREAMS {
            let load = self.scheduler.load(&name(upstream)).unwrap_or_default();
            assert_eq!((load.inflight, load.queued), (0, 0));
        }
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 512,
        rng_seed: RngSeed::Fixed(11),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Guards against lost or doubled tickets and against more requests in
    /// flight than the model allows.
    #[test]
    fn no_admission_exceeds_the_cap_and_each_ticket_is_resolved_once(
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut model = Model::new();
        ops.into_iter().for_each(|op| model.apply(op));
        model.finish();
    }
}
