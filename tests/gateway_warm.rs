//! What a gateway knows of the prompts that engines hold.

use std::time::Duration;

use masticmoor::gateway::warm;
use tokio::time::Instant;

#[tokio::test(start_paused = true)]
async fn a_prompt_is_news_once_and_lost_with_its_upstream() {
    let mut warm = warm::Table::default();
    let id = "u1".into();
    assert!(warm.record(Instant::now(), 9, &id));
    assert!(!warm.record(Instant::now(), 9, &id));
    assert_eq!(warm.take_updates(), vec![(9, id.clone())]);
    assert!(warm.take_updates().is_empty());
    assert!(warm.holds(Instant::now(), 9, &id));
    warm.forget(&id);
    assert!(!warm.holds(Instant::now(), 9, &id));
    assert!(warm.holders(Instant::now(), 9).is_empty());
}

/// Most requests go where others went a moment ago, which all hosts know.
#[tokio::test(start_paused = true)]
async fn a_placement_is_told_again_only_after_a_while() {
    let mut warm = warm::Table::default();
    let (one, two) = ("u1".into(), "u2".into());
    let told = |warm: &mut warm::Table| warm.take_updates().len();
    warm.record(Instant::now(), 9, &one);
    assert_eq!(told(&mut warm), 1);
    for _ in 0..4 {
        tokio::time::advance(Duration::from_secs(1)).await;
        warm.record(Instant::now(), 9, &one);
        assert_eq!(told(&mut warm), 0);
    }
    warm.record(Instant::now(), 9, &two);
    assert_eq!(told(&mut warm), 1, "another upstream is news");
    tokio::time::advance(Duration::from_secs(1)).await;
    // Another host told it meanwhile.
    warm.learn(Instant::now(), 9, &two);
    warm.record(Instant::now(), 9, &one);
    warm.record(Instant::now(), 9, &two);
    assert_eq!(warm.take_updates(), vec![(9, one)]);
}

/// What doesn't fit waits for the next use in place of being taken as told.
#[tokio::test(start_paused = true)]
async fn a_placement_that_was_not_told_is_told_at_the_next_use() {
    let mut warm = warm::Table::default();
    let id = "u1".into();
    let now = Instant::now();
    for part in 0..100 {
        warm.record(now, part, &id);
    }
    let first = warm.take_updates().len();
    assert!(first < 100);
    for part in 0..100 {
        warm.record(now, part, &id);
    }
    let second = warm.take_updates().len();
    assert_eq!(second, first.min(100 - first));
}

#[tokio::test(start_paused = true)]
async fn a_prompt_is_held_as_far_as_its_parts_follow_each_other() {
    let mut warm = warm::Table::default();
    let id = "u1".into();
    let now = Instant::now();
    warm.record(now, 1, &id);
    warm.record(now, 3, &id);
    assert_eq!(warm.depth(now, &[1, 2, 3], &id), 1);
    warm.record(now, 2, &id);
    assert_eq!(warm.depth(now, &[1, 2, 3], &id), 3);
}

#[tokio::test(start_paused = true)]
async fn what_an_engine_lists_counts_for_a_while_and_goes_with_it() {
    let mut warm = warm::Table::default();
    let id = "u1".into();
    let now = Instant::now();
    warm.list(now, &id, [1, 2].into());
    assert_eq!(warm.depth(now, &[1, 2, 3], &id), 2);
    assert_eq!(warm.holders(now, 2), [&id].into());
    let mut other = warm::Table::default();
    other.adopt(now, warm.knowledge(now));
    assert_eq!(other.depth(now, &[1, 2, 3], &id), 2);
    let later = now + Duration::from_secs(60);
    assert_eq!(warm.depth(later, &[1, 2], &id), 0);
    assert_eq!(other.depth(later, &[1, 2], &id), 0);
    assert_eq!(warm.knowledge(later), warm::Knowledge::default());
    warm.forget(&id);
    assert_eq!(warm.depth(now, &[1, 2], &id), 0);
}

#[tokio::test(start_paused = true)]
async fn a_host_that_starts_knows_what_another_knew_and_for_how_long() {
    let mut old = warm::Table::default();
    let id = "u1".into();
    let now = Instant::now();
    old.record(now, 7, &id);
    tokio::time::advance(Duration::from_secs(50)).await;
    let now = Instant::now();
    old.record(now, 8, &id);
    let mut new = warm::Table::default();
    new.adopt(now, old.knowledge(now));
    assert_eq!(new.depth(now, &[7, 8], &id), 2);
    assert!(new.take_updates().is_empty(), "others know it already");
    let later = now + Duration::from_secs(20);
    assert!(!new.holds(later, 7, &id));
    assert!(new.holds(later, 8, &id));
}
