//! Processes that follow one another on a host, and datagrams out of order.

#[path = "fleet/net.rs"]
mod net;

use std::time::Duration;

use masticmoor::member::change::Change;
use masticmoor::member::heartbeat::Digest;
use masticmoor::member::heartbeat::Report;
use masticmoor::member::heartbeat::State;
use masticmoor::member::incarnation::Incarnation;
use masticmoor::member::view::View;
use net::TIMING;
use net::host_name;
use net::register;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use tokio::time::Instant;

struct Pair {
    now: Instant,
    view: View,
    template: Digest,
}

impl Pair {
    fn new() -> Self {
        let now = Instant::now();
        let own = incarnation(0, 1);
        let mut view = View::new(now, own, TIMING);
        view.apply_register(now, &register(1, 2));
        let template = view.digest(&Report::default());
        Self {
            now,
            view,
            template,
        }
    }

    fn hear(&mut self, start: u64, sequence: u64, state: State) -> Vec<Change> {
        let digest = Digest {
            from: incarnation(1, start),
            sequence,
            state,
            ..self.template.clone()
        };
        let from = ([10, 0, 0, 1], 7_000).into();
        self.view.receive(self.now, from, &digest)
    }

    fn process(&self) -> Option<u64> {
        self.view
            .peer(&host_name(0, 1))
            .map(|(_, process)| process.start)
    }

    fn wait(&mut self, time: Duration) {
        // Small steps, so that the own process never seems to sleep.
        for _ in 0..8 {
            self.now += time / 8;
            self.view.tick(self.now);
        }
    }
}

fn incarnation(host: u8, start: u64) -> Incarnation {
    Incarnation {
        host: host_name(0, host),
        start,
    }
}

#[test]
fn a_successor_on_the_same_address_is_told_apart() {
    let mut pair = Pair::new();
    pair.hear(7, 100, State::Live);
    assert_eq!(pair.process(), Some(7));
    pair.wait(TIMING.heartbeat);
    pair.hear(8, 1, State::Live);
    assert_eq!(pair.process(), Some(7), "one datagram proves nothing");
    pair.wait(TIMING.heartbeat);
    let changes = pair.hear(8, 2, State::Live);
    assert_eq!(pair.process(), Some(8));
    let replaced = Change::Replaced {
        from: incarnation(1, 7),
        to: incarnation(1, 8),
    };
    assert!(changes.contains(&replaced));
}

#[test]
fn late_datagrams_of_a_predecessor_change_nothing() {
    let mut pair = Pair::new();
    pair.hear(7, 100, State::Live);
    pair.wait(TIMING.lease * 2);
    pair.hear(8, 1, State::Live);
    assert_eq!(pair.process(), Some(8));
    for late in 101..110 {
        pair.hear(7, late, State::Gone);
        assert_eq!(pair.process(), Some(8));
        pair.hear(8, late, State::Live);
    }
    assert_eq!(pair.view.counts().duplicate, 9);
}

#[test]
fn a_goodbye_counts_at_once_and_for_the_successor_too() {
    let mut pair = Pair::new();
    pair.hear(7, 100, State::Live);
    let changes = pair.hear(7, 102, State::Gone);
    assert_eq!(changes, [Change::Left(host_name(0, 1))]);
    assert_eq!(pair.hear(7, 101, State::Live), [], "it came late");
    assert_eq!(pair.process(), None);
    pair.hear(8, 1, State::Live);
    assert_eq!(pair.process(), Some(8));
}

#[test]
fn strangers_and_twins_are_dropped_and_counted() {
    let mut pair = Pair::new();
    let hear = |pair: &mut Pair, from: Incarnation, address: [u8; 4]| {
        let digest = Digest {
            from,
            ..pair.template.clone()
        };
        let changes = pair
            .view
            .receive(pair.now, (address, 7_000).into(), &digest);
        assert_eq!(changes, []);
    };
    hear(&mut pair, incarnation(9, 1), [10, 0, 0, 9]);
    hear(&mut pair, incarnation(1, 1), [10, 0, 0, 9]);
    hear(&mut pair, incarnation(0, 2), [10, 0, 0, 0]);
    let counts = pair.view.counts();
    assert_eq!((counts.unknown, counts.foreign, counts.impostor), (1, 1, 1));
    assert_eq!(pair.process(), None);
}

#[test]
fn a_host_that_leaves_the_register_no_longer_counts() {
    let mut pair = Pair::new();
    pair.hear(7, 1, State::Live);
    let changes = pair.view.apply_register(pair.now, &register(1, 1));
    assert_eq!(changes, [Change::Left(host_name(0, 1))]);
    assert_eq!(pair.process(), None);
}

/// Whatever the order of beats, losses and silences: a sequence never goes
/// back, each change is reported once, and nobody silent for a lease counts.
#[test]
fn any_schedule_keeps_the_view_sound() {
    let event = (0..3_u64, 0..40_u64, 0..4_u8, 0..3_000_u64);
    let schedule = prop::collection::vec(event, 1..60);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let check = |schedule: Vec<(u64, u64, u8, u64)>| {
        let mut pair = Pair::new();
        let mut heard = None;
        let mut live = false;
        for (start, sequence, state, wait_ms) in schedule {
            // Small steps, so that the own process never seems to sleep.
            for _ in 0..4 {
                pair.now += Duration::from_millis(wait_ms / 4);
                let changes = pair.view.tick(pair.now);
                live = follow(live, &changes)?;
            }
            let before = pair
                .view
                .last_digest(&host_name(0, 1))
                .map(|d| (d.from.start, d.sequence));
            let state = State::try_from(state).expect("in range");
            let changes = pair.hear(start, sequence, state);
            live = follow(live, &changes)?;
            let after = pair
                .view
                .last_digest(&host_name(0, 1))
                .map(|d| (d.from.start, d.sequence));
            if after != before {
                heard = Some(pair.now);
            }
            if let (Some(before), Some(after)) = (before, after) {
                prop_assert!(before.0 != after.0 || before.1 <= after.1);
            }
            let silent = heard.is_none_or(|at| pair.now - at > TIMING.lease);
            prop_assert!(!silent || pair.process().is_none());
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&schedule, check)
        .unwrap();
}

/// Joining and losing a host take turns.
fn follow(live: bool, changes: &[Change]) -> Result<bool, TestCaseError> {
    changes.iter().try_fold(live, |live, change| match change {
        Change::Joined(_) => {
            prop_assert!(!live, "joined twice");
            Ok(true)
        }
        Change::Left(_) | Change::Silent(_) | Change::Draining(_) => Ok(false),
        Change::Suspended(_) | Change::Replaced { .. } => Ok(false),
        _ => Ok(live),
    })
}
