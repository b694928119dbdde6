//! What desks promise while the home of an upstream changes or time runs out.

use std::time::Duration;

use masticmoor::class::Class;
use masticmoor::home::admission::Decision;
use masticmoor::home::admission::End;
use masticmoor::home::admission::Limits;
use masticmoor::home::admission::Permit;
use masticmoor::home::admission::Request;
use masticmoor::home::admission::Resolution;
use masticmoor::home::admission::Scheduler;
use masticmoor::home::admission::Takeover;
use masticmoor::ident::Upstream;
use masticmoor::outcome::Code;
use masticmoor::policy::load::Mean;
use masticmoor::policy::ramp::Start;
use masticmoor::register::upstream::Pool;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

const SLOTS: u32 = 8;
const COLD_SLOTS: u32 = 2;
const GOOD: End = End::Answered {
    first_byte: Duration::from_millis(20),
};

fn upstream() -> Upstream {
    "u".into()
}

/// A desk with one upstream and no bound but its slots.
fn desk(now: Instant, start: Start, predecessor_share: u32) -> Scheduler<u32> {
    let mut desk = Scheduler::new(Limits::default());
    let pool = Pool::Model("m".into());
    desk.record_remote_mean(
        now,
        &pool,
        Mean {
            sum: 4000,
            count: 1,
        },
    );
    let adoption = Takeover {
        upstream: upstream(),
        pools: vec![pool],
        slots: SLOTS,
        cold_slots: COLD_SLOTS,
        start,
        predecessor_share,
    };
    desk.take_over(now, adoption);
    desk
}

fn ask(now: Instant, wait: Duration, bypass: bool) -> Request {
    Request {
        workspace: "w".into(),
        weight: 1,
        class: Class::Interactive,
        deadline: now + wait,
        chat: 1,
        only_warm: false,
        bypass,
    }
}

/// Asks without waiting.
fn go(desk: &mut Scheduler<u32>, now: Instant) -> Option<Permit> {
    match desk.submit(now, &upstream(), ask(now, Duration::from_secs(9), true), 0) {
        Decision::Admit(_, permit) => Some(permit),
        _ => None,
    }
}

fn fill(desk: &mut Scheduler<u32>, now: Instant) -> Vec<Permit> {
    std::iter::from_fn(|| go(desk, now)).collect()
}

fn refusal(verdict: Decision<u32>) -> Option<(Code, Option<u64>)> {
    match verdict {
        Decision::Refuse(_, refusal) => Some((refusal.code, refusal.retry_after_ms)),
        _ => None,
    }
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(13),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// The old home learns late that it is one no more, and both admit until
    /// then; the allowance it last told bounds the two together.
    #[test]
    fn old_and_new_home_together_stay_within_the_cap(
        warm in any::<bool>(),
        told_after in 0..12_usize,
        learns_at in 0..60_usize,
        ops in prop::collection::vec((any::<bool>(), any::<bool>(), any::<usize>()), 1..120),
    ) {
        let now = Instant::now();
        let start = if warm { Start::Warm } else { Start::Cold };
        let mut old = desk(now, start, 0);
        for _ in 0..told_after {
            let permit = go(&mut old, now).unwrap();
            old.complete(now, permit, GOOD);
        }
        let told = old.load(&upstream()).unwrap().allowance;
        let mut new = desk(now, Start::Inherited(told), told);
        let (mut at_old, mut at_new) = (Vec::new(), Vec::new());
        let mut answers = 0;
        for (step, (to_old, begin, pick)) in ops.into_iter().enumerate() {
            if step == learns_at {
                old.release(&upstream());
                new.update_predecessor(now, &upstream(), at_old.len() as u32);
            }
            let (home, out) = match to_old {
                true => (&mut old, &mut at_old),
                false => (&mut new, &mut at_new),
            };
            match begin {
                true => out.extend(go(home, now)),
                false if !out.is_empty() => {
                    let permit = out.swap_remove(pick % out.len());
                    home.complete(now, permit, GOOD);
                    answers += 1;
                }
                false => {}
            }
            if step > learns_at && at_old.is_empty() {
                new.clear_predecessor(&upstream());
            }
            let both = at_old.len() + at_new.len();
            let ramp = COLD_SLOTS as usize + told_after + answers;
            let bears = if warm { SLOTS as usize } else { ramp.min(SLOTS as usize) };
            prop_assert!(both <= bears, "{both} in flight, {bears} borne");
        }
    }
}

#[test]
fn a_silent_predecessor_counts_until_its_lease_ends() {
    let now = Instant::now();
    let mut new = desk(now, Start::Warm, SLOTS);
    assert!(go(&mut new, now).is_none());
    let lease = Limits::default().predecessor_lease;
    assert!(go(&mut new, now + lease - Duration::from_millis(1)).is_none());
    assert_eq!(fill(&mut new, now + lease).len(), SLOTS as usize);
}

#[test]
fn a_predecessor_that_let_go_counts_what_it_still_runs() {
    let now = Instant::now();
    let mut new = desk(now, Start::Warm, SLOTS);
    new.update_predecessor(now, &upstream(), 3);
    new.update_predecessor(now, &upstream(), 5);
    assert_eq!(fill(&mut new, now).len(), SLOTS as usize - 3);
}

#[test]
fn what_waits_for_a_predecessor_goes_when_it_is_gone() {
    let now = Instant::now();
    let mut new = desk(now, Start::Warm, SLOTS);
    let waits = new.submit(now, &upstream(), ask(now, Duration::from_secs(2), false), 7);
    assert!(matches!(waits, Decision::Queue(_)));
    assert!(new.tick(now).is_empty());
    new.clear_predecessor(&upstream());
    let granted = new.tick(now);
    assert!(matches!(granted.as_slice(), [(7, Resolution::Admit(_))]));
}

#[test]
fn a_flapping_upstream_stays_at_its_cold_slots() {
    let now = Instant::now();
    let mut desk = desk(now, Start::Cold, 0);
    for _ in 0..20 {
        let permits = fill(&mut desk, now);
        assert_eq!(permits.len(), COLD_SLOTS as usize);
        desk.restart_ramp(&upstream());
        for permit in permits {
            desk.complete(now, permit, GOOD);
        }
    }
}

#[test]
fn an_upstream_that_turns_cold_unannounced_gets_its_cold_slots() {
    let now = Instant::now();
    let mut desk = desk(now, Start::Warm, 0);
    let slow = End::Answered {
        first_byte: Duration::from_secs(5),
    };
    for end in [vec![GOOD; 40], vec![slow; 16]].concat() {
        let permit = go(&mut desk, now).unwrap();
        desk.complete(now, permit, end);
        if desk.load(&upstream()).unwrap().allowance == COLD_SLOTS {
            return;
        }
    }
    panic!("sixteen slow answers in a row went unnoticed");
}

#[test]
fn a_chat_finds_where_it_is_cached_until_the_next_cold_start() {
    let now = Instant::now();
    let mut desk = desk(now, Start::Warm, 0);
    let only_warm = |desk: &mut Scheduler<u32>| {
        let ask = Request {
            only_warm: true,
            ..ask(now, Duration::from_secs(9), false)
        };
        match desk.submit(now, &upstream(), ask, 0) {
            Decision::Admit(_, permit) => Some(permit),
            _ => None,
        }
    };
    assert!(only_warm(&mut desk).is_none());
    let first = go(&mut desk, now).unwrap();
    desk.complete(now, first, GOOD);
    let second = only_warm(&mut desk).unwrap();
    desk.restart_ramp(&upstream());
    desk.complete(now, second, GOOD);
    assert!(only_warm(&mut desk).is_none());
}

#[test]
fn a_wait_beyond_the_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut desk = desk(now, Start::Warm, 0);
    let first = go(&mut desk, now).unwrap();
    let later = now + Duration::from_secs(8);
    desk.complete(later, first, GOOD);
    let _running = fill(&mut desk, later);
    let soon = desk.submit(
        later,
        &upstream(),
        ask(later, Duration::from_millis(900), false),
        1,
    );
    assert_eq!(refusal(soon), Some((Code::Full, Some(1000))));
    let patient = desk.submit(
        later,
        &upstream(),
        ask(later, Duration::from_millis(1100), false),
        2,
    );
    assert!(matches!(patient, Decision::Queue(_)));
}

#[test]
fn an_upstream_let_go_is_not_home_and_gives_back_what_waits() {
    let now = Instant::now();
    let mut desk = desk(now, Start::Warm, 0);
    let running = fill(&mut desk, now);
    let waits = desk.submit(now, &upstream(), ask(now, Duration::from_secs(2), false), 7);
    assert!(matches!(waits, Decision::Queue(_)));
    assert_eq!(desk.release(&upstream()), vec![7]);
    let late = desk.submit(now, &upstream(), ask(now, Duration::from_secs(2), false), 8);
    assert_eq!(refusal(late), Some((Code::NotHome, None)));
    assert_eq!(desk.load(&upstream()).unwrap().inflight, SLOTS);
    for permit in running {
        assert!(desk.complete(now, permit, GOOD).is_empty());
    }
    assert!(desk.load(&upstream()).is_none());
}
