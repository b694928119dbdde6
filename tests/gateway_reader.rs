//! How a gateway reads the store when it is slow or silent, and which hosts do.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticmoor::gateway::peers;
use masticmoor::gateway::reader;
use masticmoor::gateway::relay::LocalHost;
use masticmoor::gateway::source::Delta;
use masticmoor::gateway::source::Fault;
use masticmoor::gateway::source::Snapshot;
use masticmoor::gateway::source::Source;
use masticmoor::mirror::Position;
use tokio::time::Instant;

/// Returns a store that doesn't respond to full reads begun within `silent_for`, and
/// responds to later ones after `latency`. Counts all full reads in `reads`.
fn source(silent_for: Duration, latency: Duration, reads: &Arc<AtomicU32>) -> Source {
    let started = Instant::now();
    let reads = reads.clone();
    Source {
        list: Box::new(move || {
            let number = reads.fetch_add(1, Ordering::Relaxed);
            let is_silent = started.elapsed() < silent_for;
            Box::pin(async move {
                if is_silent {
                    std::future::pending::<()>().await;
                }
                tokio::time::sleep(latency).await;
                Ok(Snapshot {
                    items: BTreeMap::new(),
                    position: Position {
                        era: 0,
                        revision: u64::from(number),
                    },
                })
            })
        }),
        watch: Box::new(|_, _| Box::pin(async { Ok(Delta::default()) })),
        decode: Box::new(|_, _| Ok(None)),
        stamp: |_, _| None,
        cached_segments: Box::new(|_| Box::pin(async { Ok(BTreeSet::new()) })),
    }
}

/// A gateway that waited for the first read alone would learn of the store's recovery
/// only when that read times out.
#[tokio::test(start_paused = true)]
async fn a_silent_store_is_read_soon_after_it_recovers() {
    let silent_for = Duration::from_millis(1_200);
    let reads = Arc::default();
    let source = source(silent_for, Duration::from_millis(4), &reads);
    let started = Instant::now();
    reader::read_all(&source).await.unwrap();
    let delay = started.elapsed() - silent_for;
    assert!(delay < Duration::from_millis(600), "{delay:?}");
}

/// Cancelling a slow read for the next one would never complete any.
#[tokio::test(start_paused = true)]
async fn a_slow_read_continues_when_the_next_one_begins() {
    let reads = Arc::default();
    let latency = Duration::from_millis(1_300);
    let source = source(Duration::ZERO, latency, &reads);
    let started = Instant::now();
    let (_, snapshot) = reader::read_all(&source).await.unwrap();
    assert_eq!(
        snapshot.position.revision, 0,
        "the first read gives the result"
    );
    assert_eq!(started.elapsed(), latency);
    assert_eq!(reads.load(Ordering::Relaxed), 3);
}

#[tokio::test(start_paused = true)]
async fn a_silent_store_gets_a_limited_number_of_reads() {
    let reads = Arc::default();
    let source = source(Duration::from_secs(60), Duration::ZERO, &reads);
    let fault = reader::read_all(&source).await.unwrap_err();
    assert!(matches!(fault, Fault::Timeout(_)));
    assert!(reads.load(Ordering::Relaxed) <= 7);
}

/// A change ends the watches of all hosts at once. With equal time-outs, the next watches
/// of the hosts of a zone, which have consecutive addresses, would end together too.
#[test]
fn hosts_with_consecutive_addresses_watch_for_different_times() {
    let wait = |last| reader::watch_timeout(Ipv4Addr::new(10, 1, 0, last));
    for last in 0..255 {
        let (this, next) = (wait(last), wait(last + 1));
        assert!(this.max(next) >= this.min(next) * 2, "{this:?} {next:?}");
        assert!(this.max(next) <= Duration::from_millis(1_500));
    }
}

/// Number of hosts of a zone of a large fleet.
const ZONE_HOSTS: u8 = 49;

fn announcement(process: u64, link_mbps: u32) -> peers::Announcement {
    peers::Announcement {
        format: masticmoor::gateway::datagram::VERSION,
        zone: "z1".into(),
        process,
        is_leaving: false,
        progress: peers::Progress::default(),
        has_joined: true,
        age: Some(Duration::ZERO),
        link_mbps,
        is_informed: true,
        fleet_size: Some(295),
        unreachable: Vec::new(),
    }
}

/// Returns the hosts that read the store once all hosts of a zone have passed over the first `lost`,
/// one after the other, and checks that all others follow the same one.
fn readers(lost: usize) -> Vec<Ipv4Addr> {
    let link = |host: u8| if host.is_multiple_of(7) { 170 } else { 10 };
    let address = |host| Ipv4Addr::new(10, 0, 0, host);
    let now = Instant::now();
    let zone = "z1".into();
    let mut readers = Vec::new();
    let mut leaders = BTreeSet::new();
    let mut ranked: Vec<_> = (1..=ZONE_HOSTS).collect();
    ranked.sort_by_key(|host| std::cmp::Reverse(reader::rank(link(*host), &address(*host))));
    for host in ranked.iter().skip(lost) {
        let mut table = peers::Table::new(address(*host), Vec::new());
        for other in (1..=ZONE_HOSTS).filter(|other| other != host) {
            let announcement = announcement(u64::from(other), link(other));
            table.receive(now, address(other), announcement);
        }
        let local = LocalHost {
            address: address(*host),
            zone: &zone,
            link_mbps: link(*host),
        };
        let mut passed_over = BTreeMap::new();
        for _ in 0..lost {
            let leader = reader::leader(&table, now, &local, &passed_over).unwrap();
            passed_over.insert(leader, now + Duration::from_secs(3));
        }
        match reader::leader(&table, now, &local, &passed_over) {
            Some(leader) => drop(leaders.insert(leader)),
            None => readers.push(address(*host)),
        }
        // Later they are tried again.
        let later = now + Duration::from_millis(2_900);
        assert_eq!(
            reader::leader(&table, later, &local, &passed_over),
            reader::leader(&table, now, &local, &passed_over)
        );
    }
    assert_eq!(leaders.into_iter().collect::<Vec<_>>(), readers);
    readers
}

/// Guards against a zone of which every host reads the store when its reader is lost or frozen, or
/// those that are next with it.
#[tokio::test(start_paused = true)]
async fn a_zone_whose_first_hosts_are_lost_has_one_reader() {
    let found: Vec<_> = (0..4).flat_map(readers).collect();
    let different: BTreeSet<_> = found.iter().collect();
    assert_eq!((found.len(), different.len()), (4, 4));
}
