//! How a gateway reads the store when it gives no answer.

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
use tokio::time::Instant;

/// A store that answers full reads begun after a time, each after `takes`; none that
/// began before. Counts them.
fn source(silent_for: Duration, takes: Duration, reads: &Arc<AtomicU32>) -> Source {
    let began = Instant::now();
    let reads = reads.clone();
    Source {
        list: Box::new(move || {
            let number = reads.fetch_add(1, Ordering::Relaxed);
            let is_silent = began.elapsed() < silent_for;
            Box::pin(async move {
                if is_silent {
                    std::future::pending::<()>().await;
                }
                tokio::time::sleep(takes).await;
                Ok(Snapshot {
                    items: BTreeMap::new(),
                    revision: u64::from(number),
                })
            })
        }),
        watch: Box::new(|_, _| Box::pin(async { Ok(Delta::default()) })),
        decode: Box::new(|_, _| Ok(None)),
        cached_segments: Box::new(|_| Box::pin(async { Ok(BTreeSet::new()) })),
    }
}

#[tokio::test(start_paused = true)]
async fn a_store_that_was_silent_is_read_soon_after_it_answers_again() {
    let silent_for = Duration::from_millis(1_200);
    let reads = Arc::default();
    let source = source(silent_for, Duration::from_millis(4), &reads);
    let began = Instant::now();
    reader::read_all(&source).await.unwrap();
    let after = began.elapsed() - silent_for;
    assert!(after < Duration::from_millis(600), "{after:?}");
}

#[tokio::test(start_paused = true)]
async fn a_slow_store_is_not_given_up_for_the_next_read() {
    let reads = Arc::default();
    let takes = Duration::from_millis(1_300);
    let source = source(Duration::ZERO, takes, &reads);
    let began = Instant::now();
    let (_, snapshot) = reader::read_all(&source).await.unwrap();
    assert_eq!(
        snapshot.revision, 0,
        "the first read is the one that counts"
    );
    assert_eq!(began.elapsed(), takes);
    assert_eq!(reads.load(Ordering::Relaxed), 3);
}

#[tokio::test(start_paused = true)]
async fn a_silent_store_gets_a_bounded_number_of_reads() {
    let reads = Arc::default();
    let source = source(Duration::from_secs(60), Duration::ZERO, &reads);
    let fault = reader::read_all(&source).await.unwrap_err();
    assert!(matches!(fault, Fault::Timeout(_)));
    assert!(reads.load(Ordering::Relaxed) <= 7);
}

/// The hosts of a zone follow each other, and changes wake all their watches at once.
#[test]
fn hosts_next_to_each_other_watch_for_different_times() {
    let wait = |last| reader::watch_timeout(Ipv4Addr::new(10, 1, 0, last));
    for last in 0..255 {
        let (one, next) = (wait(last), wait(last + 1));
        assert!(one.max(next) >= one.min(next) * 2, "{one:?} {next:?}");
        assert!(one.max(next) <= Duration::from_millis(1_500));
    }
}
