//! Fairness of the queue between workspaces and classes.

use std::time::Duration;

use masticmoor::class::Class;
use masticmoor::ident::Workspace;
use masticmoor::policy::fair::Full;
use masticmoor::policy::fair::Item;
use masticmoor::policy::fair::Limits;
use masticmoor::policy::fair::Queue;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use tokio::time::Instant;

fn workspace(number: usize) -> Workspace {
    format!("w{number}").as_str().into()
}

fn item<T>(now: Instant, number: usize, ticket: T) -> Item<T> {
    Item {
        workspace: workspace(number),
        deadline: now + Duration::from_secs(60),
        ticket,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(12),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A workspace with a long backlog must not take the turns of one with a
    /// short backlog.
    #[test]
    fn busy_workspaces_are_served_in_proportion_to_weight(
        weights in prop::collection::vec(1..6_u32, 2..6),
        backlogs in prop::collection::vec(1..12_usize, 6),
    ) {
        let now = Instant::now();
        let mut queue = Queue::new(Limits::default());
        for (number, weight) in weights.iter().enumerate() {
            for _ in 0..backlogs[number] {
                queue.push(now, *weight, Class::Interactive, item(now, number, number));
            }
        }
        let mut served = vec![0.0; weights.len()];
        for _ in 0..300 {
            let next = queue.pop().unwrap().ticket;
            served[next] += 1.0;
            queue.push(now, weights[next], Class::Interactive, item(now, next, next));
            let rate = |n: usize| served[n] / f64::from(weights[n]);
            let all = || (0..weights.len()).map(rate);
            let spread = all().fold(0.0, f64::max) - all().fold(f64::MAX, f64::min);
            prop_assert!(spread <= 2.0 + 1e-9, "shares by weight diverge: {served:?} of {weights:?}");
        }
    }

    /// A prediction that is too low would queue requests that time out.
    #[test]
    fn the_predicted_dequeues_are_an_upper_bound(
        lanes in prop::collection::vec((1..6_u32, 0..12_usize), 1..6),
        weight in 1..6_u32,
    ) {
        let now = Instant::now();
        let mut queue = Queue::new(Limits::default());
        for (number, (weight, backlog)) in lanes.iter().enumerate() {
            for _ in 0..*backlog {
                queue.push(now, *weight, Class::Urgent, item(now, number, false));
            }
        }
        let predicted = queue.dequeues_until(&workspace(9), weight);
        queue.push(now, weight, Class::Urgent, item(now, 9, true));
        let dequeues = std::iter::from_fn(|| queue.pop()).position(|it| it.ticket).unwrap() + 1;
        prop_assert!(dequeues <= predicted, "{dequeues} dequeues, {predicted} predicted");
    }
}

/// Several workspaces fill the queue; one with nothing queued must still be
/// admitted to it and be served soon.
#[test]
fn a_surge_is_refused_in_its_own_workspace_first() {
    let now = Instant::now();
    let limits = Limits::default();
    let mut queue = Queue::new(limits);
    for number in 0..5 {
        while queue.check_room(&workspace(number)).is_ok() {
            queue.push(now, 1, Class::Batch, item(now, number, number));
        }
    }
    assert_eq!(queue.check_room(&workspace(0)), Err(Full::Workspace));
    assert_eq!(queue.check_room(&workspace(8)), Ok(()));
    queue.push(now, 1, Class::Batch, item(now, 8, 8));
    let position = std::iter::from_fn(|| queue.pop()).position(|it| it.ticket == 8);
    assert!(
        position.unwrap() <= 5,
        "the quiet workspace was served after {position:?} others"
    );
}

/// Without the limit on the delay, a stream of urgent requests would starve
/// batch requests.
#[rstest]
#[case::urgent_first(Duration::ZERO, Class::Urgent)]
#[case::batch_after_a_long_wait(Limits::default().batch_delay, Class::Batch)]
fn the_class_decides_the_order_until_a_long_wait(#[case] later: Duration, #[case] first: Class) {
    let now = Instant::now();
    let mut queue = Queue::new(Limits::default());
    queue.push(now, 1, Class::Batch, item(now, 0, Class::Batch));
    let then = now + later;
    queue.push(then, 1, Class::Urgent, item(then, 0, Class::Urgent));
    assert_eq!(queue.pop().unwrap().ticket, first);
}

/// A request that timed out must be gone from both indexes of the queue.
#[test]
fn a_wait_times_out_exactly_once() {
    let now = Instant::now();
    let mut queue = Queue::new(Limits::default());
    let position = queue.push(now, 1, Class::Urgent, item(now, 0, ()));
    assert!(queue.pop_expired(now + Duration::from_secs(59)).is_none());
    assert!(queue.pop_expired(now + Duration::from_secs(60)).is_some());
    assert!(queue.remove(&position).is_none());
    assert!(queue.pop().is_none());
    assert!(queue.is_empty());
}
