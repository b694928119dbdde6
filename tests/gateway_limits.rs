//! The limit that an upstream names holds for all hosts together, although they don't ask each
//! other.

use std::net::Ipv4Addr;
use std::time::Duration;

use masticmoor::gateway::limit;
use masticmoor::gateway::limit::Bucket;
use masticmoor::gateway::peers;
use masticmoor::gateway::upstream::Upstream;
use masticmoor::ident;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use tokio::time::Instant;

/// Window in which users count requests, in milliseconds.
const WINDOW_MS: u64 = 4_000;

/// Returns the requests that users allow in a window.
fn allowed(limit: f64) -> f64 {
    1.5 * limit * WINDOW_MS as f64 / 1_000.0 + 5.0
}

/// Lets hosts with the given ranks send whenever they may, and returns the most requests in any
/// window, and the mean rate. Each host begins to send at a time of its own.
fn play(limit: f64, hosts: usize, starts_ms: &[u64], is_settling: bool) -> (usize, f64) {
    let now = Instant::now();
    let at = |millis: u64| now + Duration::from_millis(millis);
    let buckets = (0..hosts).map(|rank| {
        let rate = limit::share(limit, hosts, rank, is_settling);
        Bucket::new(now, limit, rate)
    });
    let mut buckets: Vec<Bucket> = buckets.collect();
    let length_ms = 30_000;
    let mut sent = Vec::new();
    for millis in (0..length_ms).step_by(20) {
        for (bucket, starts_ms) in buckets.iter_mut().zip(starts_ms) {
            while millis >= *starts_ms && bucket.available(at(millis)) > 0 {
                bucket.take(at(millis));
                sent.push(millis);
            }
        }
    }
    let counts = sent.iter().map(|from| {
        let window = *from..from + WINDOW_MS;
        sent.iter().filter(|at| window.contains(*at)).count()
    });
    let rate = sent.len() as f64 * 1_000.0 / length_ms as f64;
    (counts.max().unwrap_or_default(), rate)
}

fn upstream() -> Upstream {
    Upstream {
        id: "u1".into(),
        service: "desk".into(),
        version: "v1".into(),
        address: ([10, 0, 1, 1], 80).into(),
        zone: "z1".into(),
        slots: 8,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: None,
    }
}

/// Returns the ranks of hosts in the given zones for an upstream, as each of them computes it.
fn ranks(zones: &[ident::Zone], upstream: &Upstream, most: usize) -> Vec<usize> {
    let now = Instant::now();
    let hosts = zones.iter().zip(1..).map(|(zone, last)| {
        let address = Ipv4Addr::new(10, 0, 0, last);
        (address, zone)
    });
    let contact = |(address, zone): (Ipv4Addr, &ident::Zone)| peers::Contact {
        address,
        zone: zone.clone(),
        silent_ms: 0,
    };
    let rank = |(address, zone): (Ipv4Addr, &ident::Zone)| {
        let mut table = peers::Table::new(address, Vec::new());
        for host in hosts.clone() {
            table.add(now, &contact(host));
        }
        table.rank(now, zone, upstream, most)
    };
    hosts.clone().map(rank).collect()
}

/// Guards against a panic for each request to an upstream whose limit is too small for a duration.
#[rstest]
#[case(2e-23)]
#[case(f64::MIN_POSITIVE)]
#[case(1e-9)]
fn the_wait_for_a_tiny_share_is_finite(#[case] limit: f64) {
    let now = Instant::now();
    let bucket = Bucket::new(now, limit, limit::share(limit, 9, 1, false));
    let wait = bucket.wait(now).unwrap_or_default();
    assert!(wait > Duration::from_secs(3_600), "{wait:?}");
    assert_eq!(bucket.available(now + wait), 0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(5),
        ..ProptestConfig::with_cases(64)
    })]

    #[test]
    fn requests_of_all_hosts_stay_within_the_limit(
        limit in 0.0..60.0_f64,
        hosts in 1_usize..400,
        starts in prop::collection::vec(0_u64..10_000, 400),
        is_settling in any::<bool>(),
    ) {
        let (most, rate) = play(limit, hosts, &starts, is_settling);
        prop_assert!(most as f64 <= allowed(limit), "{most} at {limit} from {hosts}");
        prop_assert!(rate <= limit + 0.15, "{rate} at {limit} from {hosts}");
    }

    #[test]
    fn hosts_agree_on_their_ranks_and_those_of_the_upstreams_zone_come_first(
        zones in prop::collection::vec(prop::sample::select(vec!["z1", "z2", "z3"]), 1..40),
        most in 0_usize..45,
    ) {
        let zones: Vec<ident::Zone> = zones.into_iter().map(Into::into).collect();
        let upstream = upstream();
        let all = ranks(&zones, &upstream, usize::MAX);
        let mut sorted = all.clone();
        sorted.sort_unstable();
        prop_assert_eq!(sorted, (0..zones.len()).collect::<Vec<_>>());
        let near = zones.iter().filter(|zone| **zone == upstream.zone).count();
        for (zone, rank) in zones.iter().zip(&all) {
            prop_assert_eq!(*zone == upstream.zone, *rank < near);
        }
        let limited: Vec<usize> = all.into_iter().map(|rank| rank.min(most)).collect();
        prop_assert_eq!(ranks(&zones, &upstream, most), limited);
    }
}

#[rstest]
#[case::small_fleet(9, 4.8)]
#[case::large_fleet(83, 2.7)]
#[case::size_to_design_for(380, 1.5)]
#[case::one_host(1, 20.0)]
fn most_of_the_limit_is_used(#[case] hosts: usize, #[case] limit: f64) {
    let (_, rate) = play(limit, hosts, &vec![0; hosts], false);
    assert!(rate >= limit * 0.8, "{rate} of {limit}");
}

/// Hosts that come and go disagree for a while on how many they are.
#[rstest]
#[case(9, 18, 4.8)]
#[case(83, 90, 2.7)]
#[case(380, 300, 1.5)]
fn hosts_that_disagree_on_their_number_stay_within_the_limit(
    #[case] some: usize,
    #[case] others: usize,
    #[case] limit: f64,
) {
    let rate = |hosts, rank| limit::share(limit, hosts, rank, false);
    let most = some.max(others);
    let sum: f64 = (0..most)
        .map(|rank| rate(some, rank).max(rate(others, rank)))
        .sum();
    assert!(sum <= limit * 1.25, "{sum} of {limit}");
}

/// Before it knows the others, each may believe that it is the only one.
#[rstest]
#[case(4.8, 9)]
#[case(20.0, 9)]
#[case(2.7, 3)]
fn hosts_that_start_together_do_not_each_take_all(#[case] limit: f64, #[case] hosts: usize) {
    let sum = limit::share(limit, 1, 0, true) * hosts as f64;
    assert!(sum <= limit * 1.5, "{sum} of {limit}");
}

#[test]
fn an_upstream_with_a_limit_of_zero_gets_a_request_now_and_then() {
    let (_, rate) = play(0.0, 9, &[0; 9], false);
    assert!((0.05..0.15).contains(&rate), "{rate}");
}

#[test]
fn a_share_is_changed_with_the_limit_without_losing_what_was_sent() {
    let now = Instant::now();
    let mut bucket = Bucket::new(now, 4.0, 2.0);
    let later = now + Duration::from_millis(250);
    assert_eq!(bucket.available(later), 1);
    bucket.take(later);
    assert_eq!(bucket.wait(later), Some(Duration::from_millis(500)));
    bucket.set_rate(later, 2.0, 1.0);
    assert_eq!(bucket.wait(later), Some(Duration::from_secs(1)));
    bucket.set_rate(later, 2.0, 0.0);
    assert_eq!(bucket.wait(later), None);
    assert!(!bucket.is_outdated(later, 2.0));
    assert!(bucket.is_outdated(later, 3.0));
    assert!(bucket.is_outdated(later + Duration::from_secs(1), 2.0));
}
