//! The order in which a host's waiting requests get an upstream.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use masticmoor::gateway::admit::Estimate;
use masticmoor::gateway::admit::Queues;
use masticmoor::gateway::admit::estimate::Drain;
use masticmoor::gateway::admit::queue::Ahead;
use masticmoor::gateway::admit::queue::Entry;
use masticmoor::gateway::admit::queue::MAX_PASSED_OVER;
use masticmoor::gateway::admit::queue::Position;
use masticmoor::gateway::admit::queue::Queue;
use masticmoor::gateway::admit::retry::MIN_RETRY_AFTER;
use masticmoor::gateway::admit::retry::Schedule;
use masticmoor::gateway::admit::turn::Line;
use masticmoor::gateway::admit::turn::Role;
use masticmoor::gateway::admit::turn::Waiter;
use masticmoor::gateway::admit::wait::Reason;
use masticmoor::gateway::admit::wait::Request;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;

const OBJECTIVE: Duration = Duration::from_millis(600);

fn request(now: Instant, workspace: usize, priority: u8, fingerprint: u64) -> Request {
    Request {
        service: "s1".into(),
        priority,
        workspace: format!("w{workspace}").as_str().into(),
        fingerprint,
        due: now + OBJECTIVE,
        deadline: now + Duration::from_secs(10),
        bytes: 1_000,
        is_specific: false,
    }
}

/// Upstreams with some slots together, and what became of requests by workspace.
#[derive(Default)]
struct Pool {
    queues: Arc<Queues>,
    free: Mutex<usize>,
    changed: Notify,
    /// Time that a request takes.
    takes: Mutex<Duration>,
    sent: Mutex<BTreeMap<usize, usize>>,
    served: Mutex<BTreeMap<usize, usize>>,
    refused: Mutex<BTreeMap<usize, usize>>,
    waits: Mutex<Vec<Duration>>,
}

impl Pool {
    fn new(slots: usize, takes: Duration) -> Arc<Self> {
        Arc::new(Self {
            free: Mutex::new(slots),
            takes: Mutex::new(takes),
            ..Self::default()
        })
    }

    fn take(&self) -> bool {
        let mut free = self.free.lock().unwrap();
        let is_free = *free > 0;
        *free -= usize::from(is_free);
        is_free
    }

    /// Serves a request as the gateway does, and returns whether it was.
    async fn serve(self: Arc<Self>, workspace: usize, priority: u8) -> bool {
        let joined = Instant::now();
        *self.sent.lock().unwrap().entry(workspace).or_default() += 1;
        if !(self.queues.is_idle(&"s1".into()) && self.take()) {
            let request = request(joined, workspace, priority, 0);
            let limit = joined + OBJECTIVE / 2;
            let Ok(mut ticket) = self.queues.join(joined, request) else {
                *self.refused.lock().unwrap().entry(workspace).or_default() += 1;
                return false;
            };
            loop {
                if !ticket.turn(&self.changed, limit).await {
                    *self.refused.lock().unwrap().entry(workspace).or_default() += 1;
                    return false;
                }
                let now = Instant::now();
                if self.take() {
                    ticket.grant(now);
                    break;
                }
                ticket.fail(now, now);
            }
        }
        self.waits.lock().unwrap().push(joined.elapsed());
        let takes = *self.takes.lock().unwrap();
        sleep(takes).await;
        *self.free.lock().unwrap() += 1;
        self.changed.notify_waiters();
        *self.served.lock().unwrap().entry(workspace).or_default() += 1;
        true
    }

    /// Sends requests of a workspace at a rate for a time.
    fn send(self: &Arc<Self>, workspace: usize, priority: u8, per_second: f64, time: Duration) {
        let pool = self.clone();
        tokio::spawn(async move {
            let end = Instant::now() + time;
            while Instant::now() < end {
                tokio::spawn(pool.clone().serve(workspace, priority));
                sleep(Duration::from_secs_f64(1.0 / per_second)).await;
            }
        });
    }

    fn served(&self, workspace: usize) -> usize {
        let served = self.served.lock().unwrap();
        served.get(&workspace).copied().unwrap_or_default()
    }
}

/// A workspace that sends ten times as much must not take the service of the others.
#[tokio::test(start_paused = true)]
async fn a_surge_of_one_workspace_costs_the_others_nothing() {
    let pool = Pool::new(8, Duration::from_millis(50));
    let time = Duration::from_secs(6);
    for workspace in 1..5 {
        pool.send(workspace, 0, 30.0, time);
    }
    pool.send(0, 0, 300.0, time);
    sleep(time + Duration::from_secs(1)).await;
    for workspace in 1..5 {
        let (sent, served) = (
            pool.sent.lock().unwrap()[&workspace],
            pool.served(workspace),
        );
        assert!(
            sent > 170 && served == sent,
            "workspace {workspace}: {served} of {sent}"
        );
    }
    // 8 slots serve 160 per second for 6 s, and until the last ones have waited.
    let total: usize = (0..5).map(|it| pool.served(it)).sum();
    assert!((940..=1_016).contains(&total), "{total} served");
}

/// Urgent requests are served at any load, and the others are not starved.
#[tokio::test(start_paused = true)]
async fn less_urgent_requests_are_served_at_their_least_rate() {
    let pool = Pool::new(8, Duration::from_millis(50));
    let time = Duration::from_secs(6);
    pool.send(1, 0, 200.0, time);
    pool.send(2, 3, 100.0, time);
    sleep(time + Duration::from_secs(1)).await;
    let total = pool.served(1) + pool.served(2);
    assert!(total >= 950, "{total} of 960: slots were idle");
    let least = total / (usize::try_from(MAX_PASSED_OVER).unwrap() + 1);
    let less_urgent = pool.served(2);
    assert!(
        (least - 5..least + 25).contains(&less_urgent),
        "{less_urgent}"
    );
}

/// A short slowness of all upstreams must not leave a queue behind, nor cost more than the work
/// that was not done in it.
#[tokio::test(start_paused = true)]
async fn a_short_slowness_of_all_slots_is_outlasted() {
    let pool = Pool::new(16, Duration::from_millis(100));
    pool.send(1, 0, 120.0, Duration::from_secs(4));
    sleep(Duration::from_secs(1)).await;
    *pool.takes.lock().unwrap() = Duration::from_millis(250);
    sleep(Duration::from_millis(600)).await;
    *pool.takes.lock().unwrap() = Duration::from_millis(100);
    sleep(Duration::from_millis(1_400)).await;
    let before = pool.waits.lock().unwrap().len();
    sleep(Duration::from_secs(2)).await;
    let refused = pool.refused.lock().unwrap().get(&1).copied();
    assert!(refused.unwrap_or_default() <= 10, "{refused:?} refused");
    let waits = pool.waits.lock().unwrap();
    let late = waits[before..].iter().filter(|it| **it > Duration::ZERO);
    assert_eq!(late.count(), 0, "a queue was left behind");
}

/// A turn that its holder drops, such as when the caller leaves, must go to the next request.
#[tokio::test(start_paused = true)]
async fn a_caller_that_leaves_loses_no_turn() {
    let (queues, changed) = (Arc::new(Queues::default()), Notify::new());
    let now = Instant::now();
    let limit = now + OBJECTIVE;
    let mut first = queues.join(now, request(now, 1, 0, 1)).unwrap();
    let mut second = queues.join(now, request(now, 1, 0, 2)).unwrap();
    assert!(first.turn(&changed, limit).await);
    drop(first);
    assert!(second.turn(&changed, limit).await);
    assert_eq!(now.elapsed(), Duration::ZERO);
    drop(second);
    assert!(queues.is_idle(&"s1".into()));
}

/// A caller that returns as it was told keeps its place among those of its workspace; one that
/// returns earlier gains nothing.
#[tokio::test(start_paused = true)]
async fn a_caller_that_returns_keeps_its_place() {
    let queues = Arc::new(Queues::default());
    let early = Instant::now();
    let returning = request(early, 1, 0, 7);
    let retry_after = queues.refuse(early, &returning, 0.5);
    assert!(retry_after >= MIN_RETRY_AFTER);
    let too_early = request(early + MIN_RETRY_AFTER / 2, 1, 0, 7);
    let ticket = queues
        .join(early + MIN_RETRY_AFTER / 2, too_early.clone())
        .unwrap();
    assert_eq!(ticket.due(), too_early.due);
    drop(ticket);
    sleep(retry_after).await;
    let now = Instant::now();
    let waiting: Vec<_> = (0..3)
        .map(|it| queues.join(now, request(now, 1, 0, it)).unwrap())
        .collect();
    let ticket = queues.join(now, request(now, 1, 0, 7)).unwrap();
    assert_eq!(ticket.due(), returning.due);
    drop(waiting);
}

/// A request that can't begin in time is refused before it waits, and no other.
#[tokio::test(start_paused = true)]
async fn a_request_that_can_not_begin_in_time_is_refused_at_once() {
    let queues = Arc::new(Queues::default());
    let start = Instant::now();
    let mut tickets: Vec<_> = (0..40)
        .map(|it| queues.join(start, request(start, 1, 0, it)).unwrap())
        .collect();
    for ticket in tickets.drain(..20) {
        sleep(Duration::from_millis(50)).await;
        ticket.grant(Instant::now());
    }
    let now = Instant::now();
    let left = |left| Request {
        deadline: now + Duration::from_millis(left),
        ..request(now, 1, 0, 99)
    };
    // 20 others are served before, one each 50 ms.
    assert_eq!(queues.join(now, left(900)).unwrap_err(), Reason::TooLate);
    assert!(queues.join(now, left(1_100)).is_ok());
    assert!(tickets[0].expected(now).unwrap().wait <= Duration::from_millis(51));
}

/// Callers that are told the same time return at the same moment, and are refused again.
#[tokio::test]
async fn refused_callers_are_told_different_times_in_their_order() {
    let (now, mut schedule) = (Instant::now(), Schedule::default());
    let expected = Some(Estimate {
        wait: Duration::from_secs(1),
        interval: Duration::from_millis(10),
        is_reliable: true,
    });
    let draws = (0..50).map(|it| f64::from(it * 37 % 50) / 50.0);
    let left = Duration::from_secs(10);
    let times: Vec<_> = draws
        .map(|draw| schedule.book(now, expected, left, draw))
        .collect();
    assert!(times.is_sorted(), "{times:?}");
    let spread = *times.last().unwrap() - times[0];
    assert!(spread >= Duration::from_millis(400), "{spread:?}");
    let short = schedule.book(now, expected, Duration::from_millis(10), 0.9);
    assert_eq!(short, MIN_RETRY_AFTER);
}

#[derive(Clone, Debug)]
enum Step {
    Join(u8, usize, bool),
    Look,
    Grant,
    Fail(u64),
    Leave(usize),
    Advance(u64),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        (0..4_u8, 0..5_usize, any::<bool>()).prop_map(|(p, w, s)| Step::Join(p, w, s)),
        Just(Step::Look),
        Just(Step::Grant),
        (0..60_u64).prop_map(Step::Fail),
        (0..40_usize).prop_map(Step::Leave),
        (1..50_u64).prop_map(Step::Advance),
    ]
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(41),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A queue without a request that has its turn or watches never moves again.
    #[test]
    fn no_request_or_turn_is_lost(steps in prop::collection::vec(step(), 1..120)) {
        let mut now = Instant::now();
        let mut line = Line::default();
        let mut waiting: Vec<Position> = Vec::new();
        for step in steps {
            let holder = |line: &Line, waiting: &[Position]| {
                waiting.iter().position(|it| line.role(it) == Role::Turn)
            };
            match step {
                Step::Join(priority, workspace, is_specific) => {
                    let ticket = Waiter {
                        wake: Arc::new(Notify::new()),
                        is_specific,
                        not_before: now,
                        bytes: 0,
                        pass: 0,
                    };
                    let workspace = format!("w{workspace}").as_str().into();
                    let due = now + OBJECTIVE;
                    waiting.push(line.push(now, Entry { priority, workspace, due, ticket }));
                }
                Step::Look => line.look(now),
                Step::Grant => if let Some(index) = holder(&line, &waiting) {
                    line.grant(now, &waiting.remove(index));
                },
                Step::Fail(wait) => if let Some(index) = holder(&line, &waiting) {
                    line.fail(now, &waiting[index], now + Duration::from_millis(wait));
                },
                Step::Leave(index) => if index < waiting.len() {
                    let position = waiting.remove(index);
                    prop_assert!(line.remove(now, &position).is_some());
                    prop_assert!(line.remove(now, &position).is_none());
                },
                Step::Advance(time) => now += Duration::from_millis(time),
            }
            prop_assert_eq!(line.queue().len(), waiting.len());
            let roles: Vec<_> = waiting.iter().map(|it| line.role(it)).collect();
            let count = |role| roles.iter().filter(|it| **it == role).count();
            prop_assert!(count(Role::Turn) <= 1);
            prop_assert!(waiting.is_empty() || count(Role::Turn) + count(Role::Watch) >= 1);
        }
        // All are granted, each once.
        now += Duration::from_secs(1);
        let mut looks = 0;
        while !waiting.is_empty() {
            line.look(now);
            let index = waiting.iter().position(|it| line.role(it) == Role::Turn);
            prop_assert!(index.is_some(), "no request has its turn");
            line.grant(now, &waiting.remove(index.unwrap()));
            looks += 1;
            prop_assert!(looks <= 200);
        }
        prop_assert!(line.queue().is_empty());
    }

    /// A less urgent request must not wait for more than the stated number of others, and a
    /// workspace with demand gets its share within its priority.
    #[test]
    fn each_priority_and_workspace_gets_its_least_share(
        lanes in prop::collection::btree_set((0..3_u8, 0..4_usize), 2..8),
    ) {
        let now = Instant::now();
        let mut queue = Queue::default();
        let entry = |(priority, workspace): (u8, usize)| Entry {
            priority,
            workspace: format!("w{workspace}").as_str().into(),
            due: now + OBJECTIVE,
            ticket: (priority, workspace),
        };
        for lane in &lanes {
            queue.push(entry(*lane));
            queue.push(entry(*lane));
        }
        let rounds = 600;
        let mut served: BTreeMap<(u8, usize), usize> = BTreeMap::new();
        for _ in 0..rounds {
            let next = queue.next(|_| true).unwrap();
            let lane = queue.take(&next).unwrap();
            *served.entry(lane).or_default() += 1;
            queue.push(entry(lane));
        }
        for priority in 0..3 {
            let of_level = served.iter().filter(|((level, _), _)| *level == priority);
            let counts: Vec<_> = of_level.map(|(_, count)| *count).collect();
            let expected = lanes.iter().filter(|(level, _)| *level == priority).count();
            prop_assert_eq!(counts.len(), expected);
            if let (Some(most), Some(least)) = (counts.iter().max(), counts.iter().min()) {
                prop_assert!(most - least <= 2, "{served:?}");
                let total: usize = counts.iter().sum();
                prop_assert!(total >= rounds / (usize::try_from(MAX_PASSED_OVER).unwrap() + 3) - 1);
            }
        }
    }
}

/// After an overload nothing of a low priority is queued, so its rate isn't measured any more. A
/// rate from the overload would refuse every request of that priority that has to queue.
#[tokio::test(start_paused = true)]
async fn a_rate_from_an_overload_that_is_over_is_not_relied_on() {
    let mut drain = Drain::default();
    let ahead = Ahead { all: 1, own: 1 };
    for _ in 0..10 {
        drain.set_busy(Instant::now(), std::iter::once(2));
        sleep(Duration::from_secs(1)).await;
        drain.record(Instant::now(), 2);
    }
    drain.set_busy(Instant::now(), std::iter::empty());
    let reliable = |drain: &Drain| {
        let estimate = drain.estimate(Instant::now(), 2, ahead);
        estimate.is_some_and(|it| it.is_reliable)
    };
    assert!(reliable(&drain), "measured just now");
    sleep(Duration::from_secs(3)).await;
    assert!(!reliable(&drain), "measured 3 s ago");
}
