//! Limits on the sum over all hosts hold although the hosts don't coordinate.
//!
//! A host that took more than its share would overload a service in an outage, or
//! upstreams that have just restarted.

use std::time::Duration;

use masticmoor::gateway::cold_start;
use masticmoor::gateway::retry_budget;
use masticmoor::ident::Service;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use tokio::time::Instant;

const LIMITS: retry_budget::Limits = retry_budget::Limits {
    ratio: 0.2,
    slack: 58.0,
    window: Duration::from_secs(10),
};

fn config() -> ProptestConfig {
    ProptestConfig {
        rng_seed: RngSeed::Fixed(7),
        ..ProptestConfig::with_cases(64)
    }
}

/// Returns the retries of all hosts in one window in which each received some requests
/// and retries as often as its budget allows.
fn retries(hosts: usize, requests: &[usize]) -> usize {
    let service = Service::from("desk");
    let now = Instant::now();
    let per_host = requests.iter().take(hosts).map(|requests| {
        let mut table = retry_budget::Table::default();
        for _ in 0..*requests {
            table.record_request(now, &service, &LIMITS);
        }
        let attempts = 0..10 * requests + 100;
        attempts
            .filter(|_| table.spend(now, &service, &LIMITS, hosts))
            .count()
    });
    per_host.sum()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn retries_of_all_hosts_stay_within_the_limit(
        hosts in 1_usize..100,
        requests in prop::collection::vec(0_usize..200, 100),
    ) {
        let received: usize = requests.iter().take(hosts).sum();
        let limit = LIMITS.ratio * received as f64 + LIMITS.slack;
        prop_assert!(retries(hosts, &requests) as f64 <= limit);
    }

    #[test]
    fn starts_of_all_hosts_stay_within_the_limit(hosts in 1_usize..400, limit in 1.0..60.0_f64) {
        let starts: usize = (0..hosts).map(|rank| cold_start::share(limit, hosts, rank)).sum();
        prop_assert!(starts as f64 <= limit.max(1.0), "{starts} of {limit}");
        prop_assert!(starts > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_retry_counts_until_its_window_ends() {
    let service = Service::from("desk");
    let mut table = retry_budget::Table::default();
    let spent = (0..100).filter(|_| table.spend(Instant::now(), &service, &LIMITS, 1));
    assert_eq!(spent.count(), 46);
    tokio::time::advance(Duration::from_secs(9)).await;
    assert!(!table.spend(Instant::now(), &service, &LIMITS, 1));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(table.spend(Instant::now(), &service, &LIMITS, 1));
}

/// A request reaches the upstream a little after it was sent, so its start counts for a
/// little longer than the window of one second.
#[tokio::test(start_paused = true)]
async fn starts_at_a_cold_upstream_count_for_more_than_a_second() {
    let upstream = "u1".into();
    let mut table = cold_start::Table::default();
    for _ in 0..3 {
        table.record(Instant::now(), &upstream);
    }
    tokio::time::advance(Duration::from_millis(1_050)).await;
    assert_eq!(table.recent(Instant::now(), &upstream), 3);
    tokio::time::advance(Duration::from_millis(60)).await;
    assert_eq!(table.recent(Instant::now(), &upstream), 0);
}
