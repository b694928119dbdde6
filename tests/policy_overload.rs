//! The guards against outages that feed on themselves: retries, requests that
//! crash upstreams, cold starts.

use std::time::Duration;

use masticmoor::ident::Upstream;
use masticmoor::policy::crash;
use masticmoor::policy::ramp;
use masticmoor::policy::ramp::Ramp;
use masticmoor::policy::ramp::Start;
use masticmoor::policy::recent;
use masticmoor::policy::retry::Budget;
use rstest::rstest;
use tokio::time::Instant;

const SOON: Duration = Duration::from_millis(20);

#[test]
fn retries_stay_a_fraction_of_fresh_requests() {
    let mut budget = Budget::new(0.1, 5);
    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_request();
        retries += u32::from(budget.try_spend());
    }
    assert!((100..=105).contains(&retries), "{retries} retries");
}

#[test]
fn a_request_that_lost_two_upstreams_is_refused_for_a_while() {
    let now = Instant::now();
    let limits = crash::Limits::default();
    let mut table = crash::Table::new(limits);
    let (a, b) = (Upstream::from("a"), Upstream::from("b"));
    table.record(now, 7, &a);
    table.record(now, 7, &a);
    table.record(now, 8, &b);
    assert_eq!(table.refused(now, 7), None);
    table.record(now, 7, &b);
    assert_eq!(table.refused(now, 7), Some(limits.retention));
    assert_eq!(table.refused(now, 8), None);
    assert_eq!(table.refused(now + limits.retention, 7), None);
}

#[test]
fn strikes_of_peers_count_and_never_last_longer_for_being_told() {
    let now = Instant::now();
    let limits = crash::Limits::default();
    let mut here = crash::Table::new(limits);
    let mut there = crash::Table::new(limits);
    here.record(now, 7, &"a".into());
    there.record(now, 7, &"b".into());
    let half = now + limits.retention / 2;
    for _ in 0..3 {
        for crash in here.crashes(half) {
            there.merge(half, &crash);
        }
        for crash in there.crashes(half) {
            here.merge(half, &crash);
        }
    }
    assert_eq!(here.refused(half, 7), Some(limits.retention / 2));
    assert_eq!(there.refused(now + limits.retention, 7), None);
}

#[test]
fn a_request_answered_since_is_absolved_everywhere_and_the_gravest_is_told_first() {
    let now = Instant::now();
    let mut here = crash::Table::new(crash::Limits::default());
    let mut there = here.clone();
    for table in [&mut here, &mut there] {
        table.record(now, 7, &"a".into());
        table.record(now, 8, &"a".into());
        table.record(now, 9, &"b".into());
        table.record(now, 9, &"a".into());
    }
    assert_eq!(here.crashes(now)[0].fingerprint, 9);
    assert!(there.is_suspect(now, 7));
    here.clear(7);
    for crash in here.crashes(now) {
        there.merge(now, &crash);
    }
    there.record(now, 7, &"b".into());
    assert!(!there.is_suspect(now, 7) && there.refused(now, 7).is_none());
    assert!(there.is_suspect(now, 8) && there.refused(now, 9).is_some());
}

#[test]
fn a_table_of_strikes_keeps_its_bound_and_the_newest() {
    let now = Instant::now();
    let limits = crash::Limits {
        max_requests: 10,
        ..crash::Limits::default()
    };
    let mut table = crash::Table::new(limits);
    for step in 0..100_u32 {
        let later = now + Duration::from_secs(step.into());
        table.record(later, step.into(), &"a".into());
        table.record(later, step.into(), &"b".into());
    }
    assert_eq!(table.len(), 10);
    let end = now + Duration::from_secs(100);
    assert!((90..100).all(|fingerprint| table.refused(end, fingerprint).is_some()));
}

#[test]
fn a_set_of_recent_chats_drops_the_least_recent() {
    let mut set = recent::Set::new(2);
    [1, 2, 1, 3].into_iter().for_each(|key| set.insert(key));
    assert_eq!([1, 2, 3].map(|key| set.contains(key)), [true, false, true]);
}

#[test]
fn an_allowance_grows_by_answers_and_falls_by_a_failure() {
    let limits = ramp::Limits::default();
    let mut ramp = Ramp::new(limits, 12, 2, Start::Cold);
    (1..limits.cold_answers).for_each(|_| ramp.record_answer(SOON));
    let mut steps = vec![ramp.allowance()];
    for _ in 0..1 + 4 + 8 {
        ramp.record_answer(SOON);
        steps.push(ramp.allowance());
    }
    steps.dedup();
    assert_eq!(steps, [2, 4, 8, 12]);
    let mut ramp = Ramp::new(ramp::Limits::default(), 12, 2, Start::Inherited(8));
    ramp.record_failure();
    assert_eq!(ramp.allowance(), 2);
}

#[rstest]
#[case::burst(4, true)]
#[case::single_faults(3, false)]
fn a_burst_of_failures_shows_a_cold_start(#[case] failures: u32, #[case] cold: bool) {
    let mut ramp = Ramp::new(ramp::Limits::default(), 12, 2, Start::Warm);
    for _ in 0..failures {
        ramp.record_answer(SOON);
        ramp.record_failure();
    }
    assert_eq!(ramp.is_warm(), !cold);
}

#[test]
fn prompts_that_miss_the_cache_are_no_cold_start() {
    let miss = Duration::from_secs(1);
    let mut ramp = Ramp::new(ramp::Limits::default(), 12, 2, Start::Warm);
    for _ in 0..20 {
        (0..18).for_each(|_| ramp.record_answer(SOON));
        (0..6).for_each(|_| ramp.record_answer(miss));
        assert!(ramp.is_warm());
    }
    (0..4).for_each(|_| ramp.record_answer(miss * 4));
    assert_eq!(ramp.allowance(), 2);
}
