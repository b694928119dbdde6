//! Which hosts of a large fleet read the store, and how often.

use std::time::Duration;

use masticmoor::boot;
use masticmoor::gateway::table::Kind;
use tokio::time::timeout;

use crate::TIMEOUT;
use crate::host::Host;
use crate::host::MAX_KEY_AGE;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Number of hosts of the smallest fleet in which few read the store.
const HOSTS: u8 = 18;

/// Time after which hosts know each other, and follow one.
const SETTLED: Duration = Duration::from_secs(3);

async fn upstream() -> Upstream {
    Upstream::start("u1", |_| Step::Respond(200, "found")).await
}

fn lists(hosts: &[Host]) -> usize {
    hosts.iter().map(|host| host.store_calls().0).sum()
}

/// Returns the index of the host that watches the store.
async fn find_reader(fleet: &[Host]) -> usize {
    let before: Vec<_> = fleet.iter().map(|host| host.store_calls().1).collect();
    tokio::time::sleep(SETTLED).await;
    let watches = fleet.iter().zip(&before);
    let mut readers = watches.enumerate();
    let is_reader = |(host, before): (&Host, &usize)| host.store_calls().1 > *before;
    let reader = readers.find(|(_, it)| is_reader(*it)).unwrap().0;
    assert!(!readers.any(|(_, it)| is_reader(it)), "more than one");
    reader
}

/// Guards against a fleet that reads the whole store, host by host, when the one that all follow is
/// lost.
#[tokio::test]
async fn the_loss_of_a_reader_costs_one_read_of_the_store() {
    let upstream = upstream().await;
    let mut fleet = Host::start_fleet(HOSTS, Kind::Idempotent, &[&upstream]).await;
    tokio::time::sleep(SETTLED).await;
    let lost = fleet.remove(find_reader(&fleet).await);
    let before = lists(&fleet);
    lost.kill().await;
    for _ in 0..40 {
        tokio::time::sleep(Duration::from_millis(100)).await;
        for host in &fleet {
            let age = host.state.store_age(boot::Instant::now()).unwrap();
            assert!(age < MAX_KEY_AGE, "{age:?}");
        }
    }
    let reads = lists(&fleet) - before;
    assert!((1..=2).contains(&reads), "{reads} reads");
    find_reader(&fleet).await;
}

/// Guards against as many reads as hosts are restarted, or replaced one after the other.
#[tokio::test]
async fn a_host_that_starts_beside_others_copies_the_store_from_them() {
    let upstream = upstream().await;
    let fleet = Host::start_fleet(HOSTS, Kind::Idempotent, &[&upstream]).await;
    tokio::time::sleep(SETTLED).await;
    for number in [7, 12] {
        let host = &fleet[usize::from(number - 1)];
        let restarted = host.restart(number, Kind::Idempotent, &[&upstream]).await;
        tokio::time::sleep(SETTLED).await;
        assert_eq!(restarted.store_calls().0, 0);
        let age = restarted.state.store_age(boot::Instant::now()).unwrap();
        assert!(age < MAX_KEY_AGE, "{age:?}");
    }
}

#[tokio::test]
async fn at_the_first_start_of_all_few_hosts_read_the_store() {
    let upstream = upstream().await;
    let fleet = Host::start_first_fleet(HOSTS, Kind::Idempotent, &[&upstream]).await;
    tokio::time::sleep(SETTLED).await;
    let reads = lists(&fleet);
    assert!(reads <= 4, "{reads} reads");
}

/// The seed that a host asks may be down, or silent.
#[tokio::test]
async fn a_host_whose_seed_does_not_answer_reads_the_store_soon() {
    let upstream = upstream().await;
    let fleet = Host::start_fleet(2, Kind::Idempotent, &[&upstream]).await;
    let [seed, other] = &fleet[..] else {
        panic!("no host");
    };
    seed.kill().await;
    let upstreams = [&upstream];
    let restart = other.restart(2, Kind::Idempotent, &upstreams);
    let restarted = timeout(TIMEOUT, restart).await.unwrap();
    assert_eq!(restarted.store_calls().0, 1);
}
