//! Admission while the home of an upstream changes, its ramp restarts, or
//! deadlines pass.

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
const ANSWERED: End = End::Answered {
    first_byte: Duration::from_millis(20),
};

fn upstream() -> Upstream {
    "u".into()
}

/// Returns a scheduler with one upstream that is limited by its slots only.
fn scheduler(now: Instant, start: Start, predecessor_share: u32) -> Scheduler<u32> {
    let mut scheduler = Scheduler::new(Limits::default());
    let pool = Pool::Model("m".into());
    scheduler.record_remote_mean(
        now,
        &pool,
        Mean {
            sum: 4000,
            count: 1,
        },
    );
    let takeover = Takeover {
        upstream: upstream(),
        pools: vec![pool],
        slots: SLOTS,
        cold_slots: COLD_SLOTS,
        start,
        predecessor_share,
    };
    scheduler.take_over(now, takeover);
    scheduler
}

fn request(now: Instant, wait: Duration, bypass: bool) -> Request {
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

/// Submits a request that is not to be queued.
fn admit(scheduler: &mut Scheduler<u32>, now: Instant) -> Option<Permit> {
    match scheduler.submit(
        now,
        &upstream(),
        request(now, Duration::from_secs(9), true),
        0,
    ) {
        Decision::Admit(_, permit) => Some(permit),
        _ => None,
    }
}

fn admit_all(scheduler: &mut Scheduler<u32>, now: Instant) -> Vec<Permit> {
    std::iter::from_fn(|| admit(scheduler, now)).collect()
}

fn refusal(decision: Decision<u32>) -> Option<(Code, Option<u64>)> {
    match decision {
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

    /// The old home learns late that it was replaced, and both homes admit
    /// requests until then. The allowance that the old home last reported must
    /// bound the two together.
    #[test]
    fn old_and_new_home_together_stay_within_the_cap(
        warm in any::<bool>(),
        responses_before in 0..12_usize,
        released_at in 0..60_usize,
        ops in prop::collection::vec((any::<bool>(), any::<bool>(), any::<usize>()), 1..120),
    ) {
        let now = Instant::now();
        let start = if warm { Start::Warm } else { Start::Cold };
        let mut old = scheduler(now, start, 0);
        for _ in 0..responses_before {
            let permit = admit(&mut old, now).unwrap();
            old.complete(now, permit, ANSWERED);
        }
        let reported = old.load(&upstream()).unwrap().allowance;
        let mut new = scheduler(now, Start::Inherited(reported), reported);
        let (mut at_old, mut at_new) = (Vec::new(), Vec::new());
        let mut responses = 0;
        for (step, (to_old, begin, pick)) in ops.into_iter().enumerate() {
            if step == released_at {
                old.release(&upstream());
                new.update_predecessor(now, &upstream(), at_old.len() as u32);
            }
            let (home, running) = match to_old {
                true => (&mut old, &mut at_old),
                false => (&mut new, &mut at_new),
            };
            match begin {
                true => running.extend(admit(home, now)),
                false if !running.is_empty() => {
                    let permit = running.swap_remove(pick % running.len());
                    home.complete(now, permit, ANSWERED);
                    responses += 1;
                }
                false => {}
            }
            if step > released_at && at_old.is_empty() {
                new.clear_predecessor(&upstream());
            }
            let both = at_old.len() + at_new.len();
            let ramp = COLD_SLOTS as usize + responses_before + responses;
            let limit = if warm { SLOTS as usize } else { ramp.min(SLOTS as usize) };
            prop_assert!(both <= limit, "{both} in flight, {limit} allowed");
        }
    }
}

/// A predecessor that reports nothing may still run its whole share.
#[test]
fn a_silent_predecessor_counts_until_its_lease_ends() {
    let now = Instant::now();
    let mut new = scheduler(now, Start::Warm, SLOTS);
    assert!(admit(&mut new, now).is_none());
    let lease = Limits::default().predecessor_lease;
    assert!(admit(&mut new, now + lease - Duration::from_millis(1)).is_none());
    assert_eq!(admit_all(&mut new, now + lease).len(), SLOTS as usize);
}

/// Reports of a predecessor may arrive out of order; an older one with a larger
/// share must not raise the share again.
#[test]
fn a_predecessor_that_released_the_upstream_counts_what_it_still_runs() {
    let now = Instant::now();
    let mut new = scheduler(now, Start::Warm, SLOTS);
    new.update_predecessor(now, &upstream(), 3);
    new.update_predecessor(now, &upstream(), 5);
    assert_eq!(admit_all(&mut new, now).len(), SLOTS as usize - 3);
}

/// No request ends at the new home meanwhile, so only a tick can admit what is
/// queued.
#[test]
fn queued_requests_are_admitted_once_the_predecessor_is_gone() {
    let now = Instant::now();
    let mut new = scheduler(now, Start::Warm, SLOTS);
    let queued = new.submit(
        now,
        &upstream(),
        request(now, Duration::from_secs(2), false),
        7,
    );
    assert!(matches!(queued, Decision::Queue(_)));
    assert!(new.tick(now).is_empty());
    new.clear_predecessor(&upstream());
    let resolved = new.tick(now);
    assert!(matches!(resolved.as_slice(), [(7, Resolution::Admit(_))]));
}

/// Responses to requests that began before the last cold start must not grow
/// the new ramp.
#[test]
fn a_flapping_upstream_stays_at_its_cold_slots() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, Start::Cold, 0);
    for _ in 0..20 {
        let permits = admit_all(&mut scheduler, now);
        assert_eq!(permits.len(), COLD_SLOTS as usize);
        scheduler.restart_ramp(&upstream());
        for permit in permits {
            scheduler.complete(now, permit, ANSWERED);
        }
    }
}

/// An upstream that lost its cache without a report would otherwise keep all
/// its slots.
#[test]
fn slow_responses_reveal_a_cold_start_that_was_not_reported() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, Start::Warm, 0);
    let slow = End::Answered {
        first_byte: Duration::from_secs(5),
    };
    for end in [vec![ANSWERED; 40], vec![slow; 16]].concat() {
        let permit = admit(&mut scheduler, now).unwrap();
        scheduler.complete(now, permit, end);
        if scheduler.load(&upstream()).unwrap().allowance == COLD_SLOTS {
            return;
        }
    }
    panic!("sixteen slow responses in a row did not reset the ramp");
}

/// A response to a request that began before a cold start must not mark its
/// chat as cached.
#[test]
fn a_chat_counts_as_cached_until_the_next_cold_start() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, Start::Warm, 0);
    let only_warm = |scheduler: &mut Scheduler<u32>| {
        let request = Request {
            only_warm: true,
            ..request(now, Duration::from_secs(9), false)
        };
        match scheduler.submit(now, &upstream(), request, 0) {
            Decision::Admit(_, permit) => Some(permit),
            _ => None,
        }
    };
    assert!(only_warm(&mut scheduler).is_none());
    let first = admit(&mut scheduler, now).unwrap();
    scheduler.complete(now, first, ANSWERED);
    let second = only_warm(&mut scheduler).unwrap();
    scheduler.restart_ramp(&upstream());
    scheduler.complete(now, second, ANSWERED);
    assert!(only_warm(&mut scheduler).is_none());
}

/// A request that would time out in the queue is refused early, with the
/// expected wait as its retry hint.
#[test]
fn a_wait_beyond_the_deadline_is_refused_at_once() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, Start::Warm, 0);
    let first = admit(&mut scheduler, now).unwrap();
    let later = now + Duration::from_secs(8);
    scheduler.complete(later, first, ANSWERED);
    let _running = admit_all(&mut scheduler, later);
    let short_wait = scheduler.submit(
        later,
        &upstream(),
        request(later, Duration::from_millis(900), false),
        1,
    );
    assert_eq!(refusal(short_wait), Some((Code::Full, Some(1000))));
    let long_wait = scheduler.submit(
        later,
        &upstream(),
        request(later, Duration::from_millis(1100), false),
        2,
    );
    assert!(matches!(long_wait, Decision::Queue(_)));
}

/// What still runs stays counted until its permits are returned.
#[test]
fn a_released_upstream_refuses_requests_and_returns_its_queue() {
    let now = Instant::now();
    let mut scheduler = scheduler(now, Start::Warm, 0);
    let running = admit_all(&mut scheduler, now);
    let queued = scheduler.submit(
        now,
        &upstream(),
        request(now, Duration::from_secs(2), false),
        7,
    );
    assert!(matches!(queued, Decision::Queue(_)));
    assert_eq!(scheduler.release(&upstream()), vec![7]);
    let refused = scheduler.submit(
        now,
        &upstream(),
        request(now, Duration::from_secs(2), false),
        8,
    );
    assert_eq!(refusal(refused), Some((Code::NotHome, None)));
    assert_eq!(scheduler.load(&upstream()).unwrap().inflight, SLOTS);
    for permit in running {
        assert!(scheduler.complete(now, permit, ANSWERED).is_empty());
    }
    assert!(scheduler.load(&upstream()).is_none());
}
