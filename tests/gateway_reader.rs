//! How a gateway reads the store when it is slow or silent.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticmoor::gateway::reader;
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
