//! The index of the prompt segments that engines hold.

use std::time::Duration;

use masticmoor::gateway::prefix_cache;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_placement_is_new_once_and_removed_with_its_upstream() {
    let mut cache = prefix_cache::Table::default();
    let id = "u1".into();
    assert!(cache.record(Instant::now(), 9, &id));
    assert!(!cache.record(Instant::now(), 9, &id));
    assert_eq!(cache.take_updates(), vec![(9, id.clone())]);
    assert!(cache.take_updates().is_empty());
    assert!(cache.holds(Instant::now(), 9, &id));
    cache.remove(&id);
    assert!(!cache.holds(Instant::now(), 9, &id));
    assert!(cache.holders(Instant::now(), 9).is_empty());
}

/// Most requests go where others went a moment ago, which all hosts know. Announcing each
/// of them would fill the datagrams.
#[tokio::test(start_paused = true)]
async fn a_placement_is_announced_again_only_after_an_interval() {
    let mut cache = prefix_cache::Table::default();
    let (one, two) = ("u1".into(), "u2".into());
    let announced = |cache: &mut prefix_cache::Table| cache.take_updates().len();
    cache.record(Instant::now(), 9, &one);
    assert_eq!(announced(&mut cache), 1);
    for _ in 0..4 {
        tokio::time::advance(Duration::from_secs(1)).await;
        cache.record(Instant::now(), 9, &one);
        assert_eq!(announced(&mut cache), 0);
    }
    cache.record(Instant::now(), 9, &two);
    assert_eq!(
        announced(&mut cache),
        1,
        "another upstream is announced at once"
    );
    tokio::time::advance(Duration::from_secs(1)).await;
    // Another host announces the same placement.
    cache.record_remote(Instant::now(), 9, &two);
    cache.record(Instant::now(), 9, &one);
    cache.record(Instant::now(), 9, &two);
    assert_eq!(cache.take_updates(), vec![(9, one)]);
}

/// A placement that doesn't fit in the queue must not count as announced, or other hosts
/// would not learn of it for an interval.
#[tokio::test(start_paused = true)]
async fn a_placement_that_did_not_fit_is_announced_at_the_next_use() {
    let mut cache = prefix_cache::Table::default();
    let id = "u1".into();
    let now = Instant::now();
    for segment in 0..100 {
        cache.record(now, segment, &id);
    }
    let first = cache.take_updates().len();
    assert!(first < 100);
    for segment in 0..100 {
        cache.record(now, segment, &id);
    }
    let second = cache.take_updates().len();
    assert_eq!(second, first.min(100 - first));
}

#[tokio::test(start_paused = true)]
async fn only_leading_segments_without_a_gap_count_as_held() {
    let mut cache = prefix_cache::Table::default();
    let id = "u1".into();
    let now = Instant::now();
    cache.record(now, 1, &id);
    cache.record(now, 3, &id);
    assert_eq!(cache.prefix_len(now, &[1, 2, 3], &id), 1);
    cache.record(now, 2, &id);
    assert_eq!(cache.prefix_len(now, &[1, 2, 3], &id), 3);
}

#[tokio::test(start_paused = true)]
async fn the_listing_of_an_engine_expires_and_is_removed_with_it() {
    let mut cache = prefix_cache::Table::default();
    let id = "u1".into();
    let now = Instant::now();
    cache.record_listing(now, &id, [1, 2].into());
    assert_eq!(cache.prefix_len(now, &[1, 2, 3], &id), 2);
    assert_eq!(cache.holders(now, 2), [&id].into());
    let mut other = prefix_cache::Table::default();
    other.merge(now, cache.snapshot(now));
    assert_eq!(other.prefix_len(now, &[1, 2, 3], &id), 2);
    let later = now + Duration::from_secs(60);
    assert_eq!(cache.prefix_len(later, &[1, 2], &id), 0);
    assert_eq!(other.prefix_len(later, &[1, 2], &id), 0);
    assert_eq!(cache.snapshot(later), prefix_cache::Snapshot::default());
    cache.remove(&id);
    assert_eq!(cache.prefix_len(now, &[1, 2], &id), 0);
}

#[tokio::test(start_paused = true)]
async fn a_merged_snapshot_keeps_the_age_of_its_placements() {
    let mut old = prefix_cache::Table::default();
    let id = "u1".into();
    let now = Instant::now();
    old.record(now, 7, &id);
    tokio::time::advance(Duration::from_secs(50)).await;
    let now = Instant::now();
    old.record(now, 8, &id);
    let mut new = prefix_cache::Table::default();
    new.merge(now, old.snapshot(now));
    assert_eq!(new.prefix_len(now, &[7, 8], &id), 2);
    assert!(new.take_updates().is_empty(), "others know it already");
    let later = now + Duration::from_secs(20);
    assert!(!new.holds(later, 7, &id));
    assert!(new.holds(later, 8, &id));
}
