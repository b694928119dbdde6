//! Limits on the sum over all hosts hold although the hosts don't coordinate.
//!
//! A host that took more than its share would overload a service in an outage, or
//! upstreams that have just restarted.

use std::net::Ipv4Addr;
use std::time::Duration;

use masticmoor::gateway::cold_start;
use masticmoor::gateway::peers;
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
            .filter(|_| table.spend(now, &service, &LIMITS, Some(hosts)))
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
        let starts: usize = (0..hosts).map(|rank| cold_start::share(limit, Some(hosts), rank)).sum();
        prop_assert!(starts as f64 <= limit.max(1.0), "{starts} of {limit}");
        prop_assert!(starts > 0);
    }
}

#[tokio::test(start_paused = true)]
async fn a_retry_counts_until_its_window_ends() {
    let service = Service::from("desk");
    let mut table = retry_budget::Table::default();
    let spent = (0..100).filter(|_| table.spend(Instant::now(), &service, &LIMITS, Some(1)));
    assert_eq!(spent.count(), 46);
    tokio::time::advance(Duration::from_secs(9)).await;
    assert!(!table.spend(Instant::now(), &service, &LIMITS, Some(1)));
    tokio::time::advance(Duration::from_secs(1)).await;
    assert!(table.spend(Instant::now(), &service, &LIMITS, Some(1)));
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

/// Time after the start at which hosts have counted each other.
const SETTLED: Duration = Duration::from_secs(7);

fn address(host: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, 0, 0, host)
}

/// Returns the tables of hosts that have just started, with a seed that none of them is.
fn started_hosts(count: u8) -> Vec<peers::Table> {
    let mut hosts: Vec<_> = (1..=count)
        .map(|host| peers::Table::new(address(host), vec![address(100)]))
        .collect();
    for host in &mut hosts {
        host.contacts(Instant::now(), peers::Selection::Sample);
    }
    hosts
}

fn announcement(fleet_size: Option<usize>) -> peers::Announcement {
    peers::Announcement {
        format: masticmoor::gateway::datagram::VERSION,
        zone: "z1".into(),
        process: 1,
        is_leaving: false,
        progress: peers::Progress::default(),
        has_joined: true,
        age: None,
        link_mbps: 10,
        is_informed: false,
        fleet_size,
        unreachable: Vec::new(),
    }
}

/// Returns the retries that hosts make for 50 requests each, as they divide the slack.
fn retries_of(hosts: &[peers::Table]) -> usize {
    let service = Service::from("desk");
    let now = Instant::now();
    let per_host = hosts.iter().map(|host| {
        let mut table = retry_budget::Table::default();
        for _ in 0..50 {
            table.record_request(now, &service, &LIMITS);
        }
        let size = host.fleet_size(now);
        (0..200)
            .filter(|_| table.spend(now, &service, &LIMITS, size))
            .count()
    });
    per_host.sum()
}

fn limit_of(hosts: &[peers::Table]) -> f64 {
    LIMITS.ratio * 50.0 * hosts.len() as f64 + LIMITS.slack
}

#[tokio::test(start_paused = true)]
async fn hosts_that_all_start_together_do_not_each_take_all_of_the_slack() {
    let hosts = started_hosts(40);
    let retries = retries_of(&hosts);
    assert!(retries as f64 <= limit_of(&hosts), "{retries}");
    assert!(retries > 0);
}

#[tokio::test(start_paused = true)]
async fn a_host_that_starts_takes_the_share_that_another_host_tells() {
    let mut hosts = started_hosts(1);
    hosts[0].receive(Instant::now(), address(2), announcement(Some(29)));
    assert_eq!(hosts[0].fleet_size(Instant::now()), Some(29));
    tokio::time::advance(Duration::from_secs(10)).await;
    assert_eq!(hosts[0].fleet_size(Instant::now()), None);
}

/// The hosts of a zone have counted each other, but not those behind the partition.
#[tokio::test(start_paused = true)]
async fn hosts_that_start_in_a_partition_do_not_share_the_slack_among_themselves() {
    let mut hosts = started_hosts(8);
    tokio::time::advance(SETTLED).await;
    for host in &mut hosts {
        for other in 1..=8 {
            host.receive(Instant::now(), address(other), announcement(None));
        }
    }
    assert_eq!(hosts[0].counted_size(Instant::now()), None);
    let retries = retries_of(&hosts) as f64;
    assert!(retries <= LIMITS.ratio * 50.0 * 8.0, "{retries}");
    hosts[0].receive(Instant::now(), address(100), announcement(None));
    assert_eq!(hosts[0].counted_size(Instant::now()), Some(10));
}

#[tokio::test(start_paused = true)]
async fn a_host_that_has_settled_takes_a_share_of_the_slack() {
    let mut hosts = started_hosts(1);
    tokio::time::advance(Duration::from_secs(60)).await;
    assert_eq!(hosts[0].fleet_size(Instant::now()), Some(1));
    hosts[0].receive(Instant::now(), address(2), announcement(Some(3)));
    assert_eq!(hosts[0].fleet_size(Instant::now()), Some(3));
}

#[test]
fn a_host_without_seeds_has_all_of_the_slack() {
    let host = peers::Table::new(address(1), Vec::new());
    assert_eq!(host.fleet_size(Instant::now()), Some(1));
}

#[tokio::test(start_paused = true)]
async fn hosts_that_all_start_together_do_not_each_take_all_starts_at_a_cold_upstream() {
    let limit = 17.0;
    let hosts = started_hosts(9);
    let now = Instant::now();
    let share = |host: &peers::Table| cold_start::share(limit, host.fleet_size(now), 0);
    let starts: usize = hosts.iter().map(share).sum();
    assert!(starts as f64 <= limit, "{starts}");
    assert!(starts > 0);
}
