//! What a gateway knows of the prompts that engines hold.

use std::time::Duration;

use masticmoor::gateway::prefix_cache;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_prompt_is_news_once_and_lost_with_its_upstream() {
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

/// Most requests go where others went a moment ago, which all hosts know.
#[tokio::test(start_paused = true)]
async fn a_placement_is_told_again_only_after_a_while() {
    let mut cache = prefix_cache::Table::default();
    let (one, two) = ("u1".into(), "u2".into());
    let told = |cache: &mut prefix_cache::Table| cache.take_updates().len();
    cache.record(Instant::now(), 9, &one);
    assert_eq!(told(&mut cache), 1);
    for _ in 0..4 {
        tokio::time::advance(Duration::from_secs(1)).await;
        cache.record(Instant::now(), 9, &one);
        assert_eq!(told(&mut cache), 0);
    }
    cache.record(Instant::now(), 9, &two);
    assert_eq!(told(&mut cache), 1, "another upstream is news");
    tokio::time::advance(Duration::from_secs(1)).await;
    // Another host told it meanwhile.
    cache.record_remote(Instant::now(), 9, &two);
    cache.record(Instant::now(), 9, &one);
    cache.record(Instant::now(), 9, &two);
    assert_eq!(cache.take_updates(), vec![(9, one)]);
}

/// What doesn't fit waits for the next use in place of being taken as told.
#[tokio::test(start_paused = true)]
async fn a_placement_that_was_not_told_is_told_at_the_next_use() {
    let mut cache = prefix_cache::Table::default();
    let id = "u1".into();
    let now = Instant::now();
    for part in 0..100 {
        cache.record(now, part, &id);
    }
    let first = cache.take_updates().len();
    assert!(first < 100);
    for part in 0..100 {
        cache.record(now, part, &id);
    }
    let second = cache.take_updates().len();
    assert_eq!(second, first.min(100 - first));
}

#[tokio::test(start_paused = true)]
async fn a_prompt_is_held_as_far_as_its_parts_follow_each_other() {
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
async fn what_an_engine_lists_counts_for_a_while_and_goes_with_it() {
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
async fn a_host_that_starts_knows_what_another_knew_and_for_how_long() {
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
