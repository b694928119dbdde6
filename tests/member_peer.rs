//! Successive processes of a host, and heartbeats out of order.

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

struct TestView {
    now: Instant,
    view: View,
    template: Digest,
}

impl TestView {
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

    fn receive(&mut self, start: u64, sequence: u64, state: State) -> Vec<Change> {
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
        // Small steps, so that the own process never seems to be paused.
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
fn a_successor_is_confirmed_by_its_second_heartbeat() {
    let mut test = TestView::new();
    test.receive(7, 100, State::Live);
    assert_eq!(test.process(), Some(7));
    test.wait(TIMING.heartbeat);
    test.receive(8, 1, State::Live);
    assert_eq!(test.process(), Some(7), "one heartbeat is no confirmation");
    test.wait(TIMING.heartbeat);
    let changes = test.receive(8, 2, State::Live);
    assert_eq!(test.process(), Some(8));
    let replaced = Change::Replaced {
        from: incarnation(1, 7),
        to: incarnation(1, 8),
    };
    assert!(changes.contains(&replaced));
}

#[test]
fn late_heartbeats_of_a_predecessor_change_nothing() {
    let mut test = TestView::new();
    test.receive(7, 100, State::Live);
    test.wait(TIMING.lease * 2);
    test.receive(8, 1, State::Live);
    assert_eq!(test.process(), Some(8));
    for late in 101..110 {
        test.receive(7, late, State::Gone);
        assert_eq!(test.process(), Some(8));
        test.receive(8, late, State::Live);
    }
    assert_eq!(test.view.counts().duplicate, 9);
}

#[test]
fn after_a_final_heartbeat_the_host_is_gone_and_a_successor_is_accepted() {
    let mut test = TestView::new();
    test.receive(7, 100, State::Live);
    let changes = test.receive(7, 102, State::Gone);
    assert_eq!(changes, [Change::Left(host_name(0, 1))]);
    assert_eq!(
        test.receive(7, 101, State::Live),
        [],
        "the heartbeat is out of order"
    );
    assert_eq!(test.process(), None);
    test.receive(8, 1, State::Live);
    assert_eq!(test.process(), Some(8));
}

#[test]
fn heartbeats_of_unknown_hosts_wrong_addresses_and_the_own_name_are_counted() {
    let mut test = TestView::new();
    let receive = |test: &mut TestView, from: Incarnation, address: [u8; 4]| {
        let digest = Digest {
            from,
            ..test.template.clone()
        };
        let changes = test
            .view
            .receive(test.now, (address, 7_000).into(), &digest);
        assert_eq!(changes, []);
    };
    receive(&mut test, incarnation(9, 1), [10, 0, 0, 9]);
    receive(&mut test, incarnation(1, 1), [10, 0, 0, 9]);
    receive(&mut test, incarnation(0, 2), [10, 0, 0, 0]);
    let counts = test.view.counts();
    assert_eq!((counts.unknown, counts.foreign, counts.impostor), (1, 1, 1));
    assert_eq!(test.process(), None);
}

#[test]
fn a_host_removed_from_the_register_is_not_accepted() {
    let mut test = TestView::new();
    test.receive(7, 1, State::Live);
    let changes = test.view.apply_register(test.now, &register(1, 1));
    assert_eq!(changes, [Change::Left(host_name(0, 1))]);
    assert_eq!(test.process(), None);
}

/// For any order of heartbeats, losses and silences: the sequence of a process
/// never decreases, each change is reported once, and a host that has been
/// silent for a lease is not accepted.
#[test]
fn any_schedule_keeps_the_view_consistent() {
    let event = (0..3_u64, 0..40_u64, 0..4_u8, 0..3_000_u64);
    let schedule = prop::collection::vec(event, 1..60);
    let config = Config {
        cases: 300,
        failure_persistence: None,
        ..Config::default()
    };
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let check = |schedule: Vec<(u64, u64, u8, u64)>| {
        let mut test = TestView::new();
        let mut last_heartbeat = None;
        let mut live = false;
        for (start, sequence, state, wait_ms) in schedule {
            // Small steps, so that the own process never seems to be paused.
            for _ in 0..4 {
                test.now += Duration::from_millis(wait_ms / 4);
                let changes = test.view.tick(test.now);
                live = track(live, &changes)?;
            }
            let before = test
                .view
                .last_digest(&host_name(0, 1))
                .map(|d| (d.from.start, d.sequence));
            let state = State::try_from(state).expect("in range");
            let changes = test.receive(start, sequence, state);
            live = track(live, &changes)?;
            let after = test
                .view
                .last_digest(&host_name(0, 1))
                .map(|d| (d.from.start, d.sequence));
            if after != before {
                last_heartbeat = Some(test.now);
            }
            if let (Some(before), Some(after)) = (before, after) {
                prop_assert!(before.0 != after.0 || before.1 <= after.1);
            }
            let silent = last_heartbeat.is_none_or(|at| test.now - at > TIMING.lease);
            prop_assert!(!silent || test.process().is_none());
        }
        Ok(())
    };
    TestRunner::new_with_rng(config, rng)
        .run(&schedule, check)
        .unwrap();
}

/// Tracks whether the host is live: it must not join twice without being lost
/// in between.
fn track(live: bool, changes: &[Change]) -> Result<bool, TestCaseError> {
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
