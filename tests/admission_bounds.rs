//! What a desk promises under any schedule of asks, ends, faults and changes.

#![expect(
    clippy::indexing_slicing,
    clippy::unwrap_used,
    reason = "A test ends at the first surprise."
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
use schedule::Seen;
use schedule::UPSTREAMS;
use schedule::op;
use tokio::time::Instant;

const SLOTS: u32 = 8;
const COLD_SLOTS: u32 = 2;
const MEMORY: Duration = Duration::from_secs(3);

fn name(upstream: usize) -> ident::Upstream {
    format!("u{upstream}").as_str().into()
}

fn pool() -> Pool {
    Pool::Model("m".into())
}

struct Model {
    now: Instant,
    desk: Scheduler<u32>,
    seen: Vec<Seen>,
    others: Vec<(Instant, Mean)>,
    waiting: BTreeMap<u32, Position>,
    ended: BTreeSet<u32>,
    tickets: u32,
    chats: BTreeMap<u32, u64>,
}

impl Model {
    fn new() -> Self {
        let mut model = Self {
            now: Instant::now(),
            desk: Scheduler::new(Limits::default()),
            seen: (0..UPSTREAMS).map(|_| Seen::default()).collect(),
            others: Vec::new(),
            waiting: BTreeMap::new(),
            ended: BTreeSet::new(),
            tickets: 0,
            chats: BTreeMap::new(),
        };
        (0..UPSTREAMS).for_each(|upstream| model.adopt(upstream, 0));
        model
    }

    fn adopt(&mut self, upstream: usize, share: u32) {
        let adoption = Takeover {
            upstream: name(upstream),
            pools: vec![pool()],
            slots: SLOTS,
            cold_slots: COLD_SLOTS,
            start: Start::Cold,
            predecessor_share: share,
        };
        self.desk.take_over(self.now, adoption);
        let seen = &mut self.seen[upstream];
        if !seen.home {
            seen.home = true;
            seen.failing = false;
            seen.share = share;
            seen.lease = Some(self.now + Limits::default().predecessor_lease);
            seen.chill();
        }
    }

    fn own(&self) -> Mean {
        let counts = |seen: &&Seen| seen.home && (!seen.failing || !seen.running.is_empty());
        let home = || self.seen.iter().filter(counts);
        Mean {
            sum: home().map(|seen| seen.running.len() as u64).sum(),
            count: home().count() as u32,
        }
    }

    /// The cap by the rule's own words, from the model's own counts.
    fn cap(&self, upstream: usize) -> usize {
        let own = self.own();
        let told = self.others.last().map_or(self.now, |it| it.0);
        let lately = self.others.iter().filter(|it| told - it.0 < MEMORY);
        let least = lately.map(|it| it.1).min_by(|a, b| {
            let (a, b) = (a.sum * u64::from(b.count), b.sum * u64::from(a.count));
            a.cmp(&b)
        });
        let others = least.unwrap_or_default();
        let mean = (others.sum + own.sum) as f64 / f64::from((others.count + own.count).max(1));
        let bound = ((mean * 1.5).floor() as usize).max(2);
        let ramp = COLD_SLOTS + self.seen[upstream].answers;
        bound.min(SLOTS as usize).min(ramp as usize)
    }

    fn granted(&mut self, ticket: u32, permit: Permit) {
        let chat = self.chats[&ticket];
        let upstream = (0..UPSTREAMS)
            .find(|u| name(*u) == *permit.upstream())
            .unwrap();
        let cap = self.cap(upstream);
        let now = self.now;
        let seen = &mut self.seen[upstream];
        let share = seen
            .lease
            .filter(|until| *until > now)
            .map_or(0, |_| seen.share);
        assert!(seen.home, "a request went to an upstream that was let go");
        seen.running.push((permit, true, chat));
        let total = seen.running.len() + share as usize;
        assert!(total <= cap, "{total} in flight over a cap of {cap}");
    }

    fn ended(&mut self, ticket: u32) {
        assert!(self.ended.insert(ticket), "ticket {ticket} ended twice");
    }

    fn settle(&mut self, grants: Vec<(u32, Resolution)>) {
        for (ticket, grant) in grants {
            assert!(self.waiting.remove(&ticket).is_some());
            self.ended(ticket);
            if let Resolution::Admit(permit) = grant {
                self.granted(ticket, permit);
            }
        }
    }

    fn ask(&mut self, upstream: usize, ask: Request) {
        let ticket = self.tickets;
        self.tickets += 1;
        self.chats.insert(ticket, ask.chat);
        let cached = !ask.only_warm || self.seen[upstream].chats.contains(&ask.chat);
        match self.desk.submit(self.now, &name(upstream), ask, ticket) {
            Decision::Admit(back, permit) => {
                assert!(cached, "a chat went where it is not cached");
                self.ended(back);
                let queued = self.desk.load(permit.upstream()).unwrap().queued;
                assert_eq!(queued, 0, "a request overtook the queue");
                self.granted(back, permit);
            }
            Decision::Queue(position) => {
                assert!(cached, "a chat waits where it is not cached");
                self.waiting.insert(ticket, position);
            }
            Decision::Refuse(back, _) => self.ended(back),
        }
    }

    fn end(&mut self, pick: usize, kind: u8) {
        let out: Vec<usize> = (0..UPSTREAMS)
            .filter(|u| !self.seen[*u].running.is_empty())
            .collect();
        let Some(upstream) = out.get(pick % out.len().max(1)) else {
            return;
        };
        let seen = &mut self.seen[*upstream];
        let (permit, current, chat) = seen.running.remove(pick % seen.running.len());
        let first_byte = Duration::from_millis(20);
        let end = match kind {
            0 => End::Failed,
            1 => End::Lost,
            2 => End::Cancelled,
            _ => End::Answered { first_byte },
        };
        seen.failing = match end {
            End::Answered { .. } => false,
            End::Failed | End::Lost => true,
            End::Cancelled => seen.failing,
        };
        match end {
            End::Answered { .. } if current => {
                seen.answers += 1;
                seen.chats.insert(chat);
            }
            End::Failed | End::Lost if current && COLD_SLOTS + seen.answers < SLOTS => seen.chill(),
            _ => {}
        }
        let grants = self.desk.complete(self.now, permit, end);
        self.settle(grants);
    }

    fn withdraw(&mut self, pick: usize) {
        let nth = pick % self.waiting.len().max(1);
        if let Some((ticket, position)) = self.waiting.iter().nth(nth).map(|(t, p)| (*t, p.clone()))
        {
            self.waiting.remove(&ticket);
            assert_eq!(self.desk.cancel(&position), Some(ticket));
            assert_eq!(self.desk.cancel(&position), None);
            self.ended(ticket);
        }
    }

    fn tick(&mut self) {
        let grants = self.desk.tick(self.now);
        self.settle(grants);
        let deadlines_kept = self.desk.tick(self.now).is_empty();
        assert!(deadlines_kept, "a tick left something to do");
    }

    fn apply(&mut self, op: Op) {
        match op {
            Op::Ask(upstream, workspace, class, bypass, wait, warm) => {
                let ask = Request {
                    workspace: format!("w{workspace}").as_str().into(),
                    weight: u32::from(workspace) + 1,
                    class,
                    deadline: self.now + Duration::from_millis(wait),
                    chat: warm.unwrap_or(u64::from(self.tickets) % CHATS),
                    only_warm: warm.is_some(),
                    bypass,
                };
                self.ask(upstream, ask);
            }
            Op::End(pick, kind) => self.end(pick, kind),
            Op::Tick(ms) => {
                self.now += Duration::from_millis(ms);
                self.tick();
            }
            Op::Others(sum, count) => {
                let mean = Mean { sum, count };
                self.others.push((self.now, mean));
                self.desk.record_remote_mean(self.now, &pool(), mean);
            }
            Op::Chill(upstream) => {
                self.seen[upstream].failing = false;
                self.desk.restart_ramp(&name(upstream));
                self.seen[upstream].chill();
            }
            Op::Release(upstream) => {
                self.seen[upstream].home = false;
                for ticket in self.desk.release(&name(upstream)) {
                    assert!(self.waiting.remove(&ticket).is_some());
                    self.ended(ticket);
                }
            }
            Op::Adopt(upstream, share) => self.adopt(upstream, share),
            Op::Gone(upstream) => {
                self.desk.clear_predecessor(&name(upstream));
                self.seen[upstream].share = 0;
            }
            Op::Withdraw(pick) => self.withdraw(pick),
        }
        assert_eq!(self.desk.local_mean(&pool()), self.own());
    }

    fn finish(mut self) {
        self.now += Duration::from_secs(60);
        self.tick();
        while self.seen.iter().any(|seen| !seen.running.is_empty()) {
            self.end(0, 3);
        }
        assert!(self.waiting.is_empty(), "left waiting: {:?}", self.waiting);
        assert_eq!(self.ended.len(), self.tickets as usize);
        for upstream in 0..UPSTREAMS {
            let load = self.desk.load(&name(upstream)).unwrap_or_default();
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

    #[test]
    fn no_grant_passes_the_cap_and_each_ticket_ends_once(
        ops in prop::collection::vec(op(), 1..200),
    ) {
        let mut model = Model::new();
        ops.into_iter().for_each(|op| model.apply(op));
        model.finish();
    }
}
