//! Protection against overload that sustains itself: the retry budget, requests
//! that crash upstreams, and cold starts.

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

const FAST: Duration = Duration::from_millis(20);

/// Retries without a budget would multiply the load during an outage.
#[test]
fn retries_stay_a_fraction_of_first_attempts() {
    let mut budget = Budget::new(0.1, 5);
    let mut retries = 0;
    for _ in 0..1000 {
        budget.record_request();
        retries += u32::from(budget.try_spend());
    }
    assert!((100..=105).contains(&retries), "{retries} retries");
}

/// Repeated losses of the same upstream count once.
#[test]
fn a_request_that_crashed_two_upstreams_is_refused_until_the_crashes_expire() {
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

/// Two hosts that report crashes back to each other must not extend them.
#[test]
fn crashes_of_peers_count_and_are_not_prolonged_by_the_exchange() {
    let now = Instant::now();
    let limits = crash::Limits::default();
    let mut local = crash::Table::new(limits);
    let mut remote = crash::Table::new(limits);
    local.record(now, 7, &"a".into());
    remote.record(now, 7, &"b".into());
    let half = now + limits.retention / 2;
    for _ in 0..3 {
        for crash in local.reports(half, usize::MAX) {
            remote.merge(half, &crash);
        }
        for crash in remote.reports(half, usize::MAX) {
            local.merge(half, &crash);
        }
    }
    assert_eq!(local.refused(half, 7), Some(limits.retention / 2));
    assert_eq!(remote.refused(now + limits.retention, 7), None);
}

/// A request that an upstream answered is not what crashed the others, even if
/// another crash is recorded after that.
#[test]
fn an_answered_request_is_cleared_on_all_hosts_and_the_worst_crashes_are_reported_first() {
    let now = Instant::now();
    let mut local = crash::Table::new(crash::Limits::default());
    let mut remote = local.clone();
    for table in [&mut local, &mut remote] {
        table.record(now, 7, &"a".into());
        table.record(now, 8, &"a".into());
        table.record(now, 9, &"b".into());
        table.record(now, 9, &"a".into());
    }
    assert_eq!(local.reports(now, usize::MAX)[0].fingerprint, 9);
    assert!(remote.is_suspect(now, 7));
    local.clear(now, 7);
    for crash in local.reports(now, usize::MAX) {
        remote.merge(now, &crash);
    }
    remote.record(now, 7, &"b".into());
    assert!(!remote.is_suspect(now, 7) && remote.refused(now, 7).is_none());
    assert!(remote.is_suspect(now, 8) && remote.refused(now, 9).is_some());
}

/// Many distinct requests that each lose upstreams must not grow the table
/// without limit.
#[test]
fn a_crash_table_stays_bounded_and_keeps_the_newest() {
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

/// The first increase takes a longer streak than the later ones.
#[test]
fn the_allowance_grows_with_responses_and_falls_on_a_failure() {
    let limits = ramp::Limits::default();
    let mut ramp = Ramp::new(limits, 12, 2, Start::Cold);
    (1..limits.cold_answers).for_each(|_| ramp.record_answer(FAST));
    let mut steps = vec![ramp.allowance()];
    for _ in 0..1 + 4 + 8 {
        ramp.record_answer(FAST);
        steps.push(ramp.allowance());
    }
    steps.dedup();
    assert_eq!(steps, [2, 4, 8, 12]);
    let mut ramp = Ramp::new(ramp::Limits::default(), 12, 2, Start::Inherited(8));
    ramp.record_failure();
    assert_eq!(ramp.allowance(), 2);
}

/// Single failures among responses are usual and leave a warm upstream warm.
#[rstest]
#[case::burst(4, true)]
#[case::single_failures(3, false)]
fn a_burst_of_failures_resets_the_ramp(#[case] failures: u32, #[case] cold: bool) {
    let mut ramp = Ramp::new(ramp::Limits::default(), 12, 2, Start::Warm);
    for _ in 0..failures {
        ramp.record_answer(FAST);
        ramp.record_failure();
    }
    assert_eq!(ramp.is_warm(), !cold);
}

/// Prompts that miss the cache take much longer to the first byte than others.
/// They are part of the baseline; only responses far above it count as late.
#[test]
fn cache_misses_do_not_reset_the_ramp() {
    let cache_miss = Duration::from_secs(1);
    let mut ramp = Ramp::new(ramp::Limits::default(), 12, 2, Start::Warm);
    for _ in 0..20 {
        (0..18).for_each(|_| ramp.record_answer(FAST));
        (0..6).for_each(|_| ramp.record_answer(cache_miss));
        assert!(ramp.is_warm());
    }
    (0..4).for_each(|_| ramp.record_answer(cache_miss * 4));
    assert_eq!(ramp.allowance(), 2);
}
