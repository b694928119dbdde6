//! That crashes known to a host reach the others, however many there are.

#![expect(clippy::indexing_slicing, reason = "a test may panic")]

use std::time::Duration;

use masticmoor::ident::Upstream;
use masticmoor::policy::crash;
use masticmoor::policy::quarantine;
use tokio::time::Instant;

/// Crashes in a message.
const MAX_CRASHES: usize = 8;

/// Prompt segments in a message.
const MAX_SEGMENTS: usize = 5;

/// Time between two messages of a host.
const ROUND: Duration = Duration::from_millis(100);

/// Time in which other hosts have to know what one does.
const SPREAD_LIMIT: Duration = Duration::from_secs(3);

const ROUNDS: u32 = (SPREAD_LIMIT.as_millis() / ROUND.as_millis()) as u32;

fn upstream(number: u64) -> Upstream {
    format!("u{number}").as_str().into()
}

fn limits() -> crash::Limits {
    crash::Limits {
        upstreams: 3,
        ..crash::Limits::default()
    }
}

fn tables(count: usize) -> Vec<crash::Table> {
    vec![crash::Table::new(limits()); count]
}

/// Lets all hosts send a message to all others in each round, until the limit.
async fn exchange(hosts: &mut [crash::Table]) {
    for _ in 0..ROUNDS {
        let now = Instant::now();
        for sender in 0..hosts.len() {
            let reports = hosts[sender].reports(now, MAX_CRASHES);
            let fingerprints = reports.iter().map(|it| it.fingerprint);
            hosts[sender].record_reported(now, fingerprints);
            for (_, host) in hosts.iter_mut().enumerate().filter(|(it, _)| *it != sender) {
                for report in &reports {
                    host.merge(now, report);
                }
            }
        }
        tokio::time::advance(ROUND).await;
    }
}

/// Each host saw one crash of a request, and hundreds of other requests were lost once when
/// upstreams failed.
#[tokio::test(start_paused = true)]
async fn crashes_of_a_request_add_up_among_those_of_hundreds_of_others() {
    let mut hosts = tables(9);
    for (number, host) in (0..).zip(&mut hosts) {
        for lost in 0..50 {
            host.record(Instant::now(), 1_000 * (number + 1) + lost, &upstream(7));
        }
    }
    tokio::time::advance(ROUND).await;
    for (number, host) in (0..3).zip(&mut hosts) {
        host.record(Instant::now(), 1, &upstream(number));
    }
    tokio::time::advance(ROUND).await;
    for (number, host) in (0..).zip(&mut hosts) {
        for lost in 50..100 {
            host.record(Instant::now(), 1_000 * (number + 1) + lost, &upstream(8));
        }
    }
    exchange(&mut hosts).await;
    let now = Instant::now();
    let unaware = hosts.iter().filter(|it| it.refused(now, 1).is_none());
    assert_eq!(unaware.count(), 0);
}

/// While hosts are replaced one after the other, each learns all that the others know. What none
/// reports is forgotten once all were replaced.
#[tokio::test(start_paused = true)]
async fn requests_that_crash_upstreams_are_known_after_all_hosts_were_replaced() {
    const REQUESTS: u64 = 40;
    let mut hosts = tables(9);
    for host in &mut hosts {
        for request in 0..REQUESTS {
            for number in 0..3 {
                host.record(Instant::now(), request, &upstream(number));
            }
        }
    }
    for number in 0..hosts.len() {
        hosts[number] = crash::Table::new(limits());
        exchange(&mut hosts).await;
    }
    let now = Instant::now();
    for host in &hosts {
        let known = (0..REQUESTS).filter(|it| host.refused(now, *it).is_some());
        assert_eq!(known.count(), usize::try_from(REQUESTS).unwrap_or_default());
    }
}

#[tokio::test(start_paused = true)]
async fn segments_that_crash_upstreams_are_known_after_all_hosts_were_replaced() {
    const SEGMENTS: u64 = 40;
    let empty = quarantine::Table::new(quarantine::Limits::default());
    let mut hosts = vec![empty.clone(); 9];
    for number in 0..5 {
        tokio::time::advance(Duration::from_secs(1)).await;
        for host in &mut hosts {
            for segment in 0..SEGMENTS {
                let (now, workspace) = (Instant::now(), 1);
                host.record_crash(now, &[segment], workspace, &upstream(number), now);
            }
        }
    }
    for number in 0..hosts.len() {
        hosts[number] = empty.clone();
        for _ in 0..ROUNDS {
            let now = Instant::now();
            for sender in 0..hosts.len() {
                let reports = hosts[sender].reports(now, MAX_SEGMENTS);
                hosts[sender].record_reported(now, &reports);
                for (_, host) in hosts.iter_mut().enumerate().filter(|(it, _)| *it != sender) {
                    for report in &reports {
                        host.merge(now, report);
                    }
                }
            }
            tokio::time::advance(ROUND).await;
        }
    }
    let now = Instant::now();
    for host in &hosts {
        let is_refused = |segment: &u64| {
            let verdict = host.check(now, &[*segment], 1, |_| 0);
            matches!(verdict, quarantine::Verdict::Refused { .. })
        };
        let known = (0..SEGMENTS).filter(is_refused);
        assert_eq!(known.count(), usize::try_from(SEGMENTS).unwrap_or_default());
    }
}
