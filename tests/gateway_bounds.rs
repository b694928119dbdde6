//! Bounds that are sums over all hosts hold without a word between the hosts.

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

/// Retries of all hosts in one window in which each took some requests and tries
/// everything again as often as it may.
fn retries(hosts: usize, requests: &[usize]) -> usize {
    let service = Service::from("desk");
    let now = Instant::now();
    let each = requests.iter().take(hosts).map(|requests| {
        let mut table = retry_budget::Table::default();
        for _ in 0..*requests {
            table.record_request(now, &service, &LIMITS);
        }
        let tries = 0..10 * requests + 100;
        tries
            .filter(|_| table.spend(now, &service, &LIMITS, hosts))
            .count()
    });
    each.sum()
}

proptest! {
    #![proptest_config(config())]

    #[test]
    fn retries_of_all_hosts_stay_under_the_bound(
        hosts in 1_usize..100,
        requests in prop::collection::vec(0_usize..200, 100),
    ) {
        let taken: usize = requests.iter().take(hosts).sum();
        let bound = LIMITS.ratio * taken as f64 + LIMITS.slack;
        prop_assert!(retries(hosts, &requests) as f64 <= bound);
    }

    #[test]
    fn starts_of_all_hosts_stay_under_the_bound(hosts in 1_usize..400, most in 1.0..60.0_f64) {
        let starts: usize = (0..hosts).map(|rank| cold_start::share(most, hosts, rank)).sum();
        prop_assert!(starts as f64 <= most.max(1.0), "{starts} of {most}");
        prop_assert!(starts > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_retry_is_forgotten_with_its_window() {
    let service = Service::from("desk");
    let mut table = retry_budget::Table::default();
    let spent = (0..100).filter(|_| table.spend(Instant::now(), &service, &LIMITS, 1));
    assert_eq!(spent.count(), 46);
    tokio::time::advance(Duration::from_secs(9)).await;
    assert!(!table.spend(Instant::now(), &service, &LIMITS, 1));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(table.spend(Instant::now(), &service, &LIMITS, 1));
}

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
