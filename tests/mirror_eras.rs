//! What a host believes after the store came back from an older copy: nothing that was safe
//! becomes unsafe, and each belief ends.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use masticmoor::boot;
use masticmoor::mirror::Event;
use masticmoor::mirror::Item;
use masticmoor::mirror::Position;
use masticmoor::mirror::Stamp;
use masticmoor::mirror::Table;
use masticmoor::mirror::retained;
use masticmoor::mirror::stamp::Writer;
use masticmoor::mirror::table;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const TABLE: &str = "table";
const EVACUATION: &str = "evacuated/z1";
const UPSTREAM: &str = "upstream/u1";

fn at(millis: u64) -> boot::Instant {
    boot::Instant::at(Duration::from_millis(millis))
}

fn position(era: u64, revision: u64) -> Position {
    Position { era, revision }
}

/// Returns the stamp of an item, whose value begins with its number.
fn stamp(key: &str, value: &[u8]) -> Option<Stamp> {
    let text = std::str::from_utf8(value).ok()?;
    let sequence = text.split(' ').next()?.parse().ok();
    let writer = match key.starts_with("upstream") {
        true => Writer::Upstream,
        false => Writer::Operator,
    };
    Some(Stamp {
        writer,
        started_ms: 0,
        sequence,
    })
}

fn items(entries: &[(&str, &str)]) -> BTreeMap<String, Item> {
    let items = entries.iter().map(|(key, value)| {
        let value = Bytes::copy_from_slice(value.as_bytes());
        ((*key).to_owned(), Item { value, revision: 1 })
    });
    items.collect()
}

/// Returns a table that read some items in the first era.
fn table(entries: &[(&str, &str)]) -> Table {
    let mut table = Table::default();
    table.replace(items(entries), position(1, 90), at(0), stamp);
    table
}

fn value(table: &Table, key: &str) -> Option<String> {
    let item = table.items().remove(key)?;
    Some(String::from_utf8_lossy(&item.value).into_owned())
}

fn written(key: &str, revision: u64, value: &str) -> Event {
    Event {
        key: key.to_owned(),
        revision,
        value: Some(Bytes::copy_from_slice(value.as_bytes())),
    }
}

#[test]
fn a_later_era_replaces_the_items_at_a_lower_revision() {
    let mut table = table(&[(TABLE, "7")]);
    table.replace(items(&[(TABLE, "8")]), position(2, 10), at(10), stamp);
    assert_eq!(value(&table, TABLE).as_deref(), Some("8"));
    assert_eq!(table.position(), position(2, 10));
    assert_eq!(table.age(at(30)), Some(Duration::from_millis(20)));
}

#[test]
fn an_answer_of_an_earlier_era_is_never_believed_again() {
    let mut table = table(&[(TABLE, "7")]);
    table.replace(items(&[(TABLE, "7")]), position(2, 10), at(10), stamp);
    let late = vec![written(TABLE, 95, "8")];
    assert!(table.apply(late, position(1, 95), at(20), stamp).is_empty());
    assert!(
        table
            .replace(items(&[]), position(1, 95), at(20), stamp)
            .is_empty()
    );
    assert_eq!(value(&table, TABLE).as_deref(), Some("7"));
}

#[test]
fn changes_of_a_later_era_are_not_applied_without_a_full_read() {
    let mut table = table(&[(TABLE, "7")]);
    let changes = vec![written(TABLE, 95, "8")];
    table.apply(changes, position(2, 95), at(20), stamp);
    assert_eq!(table.position(), position(1, 90));
    assert_eq!(table.events_after(position(2, 90)), None);
}

/// Whether a belief ends in time and by which write.
#[rstest]
#[case::route_table(TABLE, "9 new", Some("8 old"), None)]
#[case::missing_route_table(TABLE, "9 new", None, None)]
#[case::draining(UPSTREAM, "9 draining", Some("8 ready"), Some(retained::NEWER_ENTRY))]
#[case::missing_upstream(UPSTREAM, "9 ready", None, Some(retained::MISSING_UPSTREAM))]
#[case::evacuation(EVACUATION, "on", None, Some(retained::MISSING_EVACUATION))]
fn what_an_older_copy_lacks_is_believed_for_a_limited_time(
    #[case] key: &str,
    #[case] known: &str,
    #[case] copy: Option<&str>,
    #[case] limit: Option<Duration>,
) {
    let mut table = table(&[(key, known)]);
    let copied = copy.map(|copy| (key, copy));
    let copied: Vec<_> = copied.into_iter().collect();
    table.replace(items(&copied), position(2, 10), at(1_000), stamp);
    assert_eq!(value(&table, key).as_deref(), Some(known));
    let limit_ms = limit.map_or(3_600_000, |limit| limit.as_millis() as u64);
    table.expire(at(1_000 + limit_ms - 1), stamp);
    assert_eq!(value(&table, key).as_deref(), Some(known));
    table.expire(at(1_000 + limit_ms), stamp);
    match limit {
        Some(_) => assert_eq!(value(&table, key).as_deref(), copy),
        None => assert_eq!(value(&table, key).as_deref(), Some(known)),
    }
}

#[rstest]
#[case::route_table(TABLE, "8 old", "9 again", true)]
#[case::older_route_table(TABLE, "7 old", "8 old", false)]
#[case::upstream(UPSTREAM, "8 ready", "10 ready", true)]
#[case::older_upstream(UPSTREAM, "7 ready", "8 ready", false)]
fn a_belief_ends_when_a_newer_item_is_written(
    #[case] key: &str,
    #[case] copy: &str,
    #[case] rewritten: &str,
    #[case] ends: bool,
) {
    let mut table = table(&[(key, "9 known")]);
    table.replace(items(&[(key, copy)]), position(2, 10), at(10), stamp);
    let changes = vec![written(key, 11, rewritten)];
    let effective = table.apply(changes, position(2, 11), at(20), stamp);
    assert_eq!(effective.len(), usize::from(ends));
    let expected = if ends { rewritten } else { "9 known" };
    assert_eq!(value(&table, key).as_deref(), Some(expected));
}

/// Its address may belong to another upstream by now.
#[test]
fn an_upstream_that_is_gone_does_not_come_back_with_an_older_copy() {
    let mut table = table(&[(UPSTREAM, "9 ready")]);
    let deleted = Event {
        key: UPSTREAM.to_owned(),
        revision: 91,
        value: None,
    };
    table.apply(vec![deleted], position(1, 91), at(10), stamp);
    table.replace(
        items(&[(UPSTREAM, "9 ready")]),
        position(2, 50),
        at(20),
        stamp,
    );
    assert_eq!(value(&table, UPSTREAM), None);
    let restarted = vec![written(UPSTREAM, 51, "10 ready")];
    assert_eq!(
        table.apply(restarted, position(2, 51), at(30), stamp).len(),
        1
    );
    assert_eq!(value(&table, UPSTREAM).as_deref(), Some("10 ready"));
}

#[test]
fn a_second_older_copy_extends_what_is_believed() {
    let mut table = table(&[(TABLE, "9"), (UPSTREAM, "9 ready")]);
    table.replace(items(&[(TABLE, "7")]), position(2, 10), at(1_000), stamp);
    table.replace(items(&[(TABLE, "6")]), position(3, 5), at(3_000), stamp);
    table.expire(at(4_000), stamp);
    assert_eq!(value(&table, TABLE).as_deref(), Some("9"));
    assert_eq!(value(&table, UPSTREAM).as_deref(), Some("9 ready"));
    table.expire(at(6_000), stamp);
    assert_eq!(value(&table, UPSTREAM), None);
}

#[test]
fn many_upstreams_that_are_gone_are_remembered_in_limited_memory() {
    let mut table = table(&[]);
    for number in 0..6_000_u64 {
        let key = format!("upstream/{number}");
        let listed = vec![written(&key, 91 + number * 2, "1")];
        table.apply(listed, position(1, 91 + number * 2), at(number), stamp);
        let gone = Event {
            key,
            revision: 92 + number * 2,
            value: None,
        };
        table.apply(vec![gone], position(1, 92 + number * 2), at(number), stamp);
    }
    let copy: Vec<String> = (0..6_000).map(|it| format!("upstream/{it}")).collect();
    let copy: Vec<_> = copy.iter().map(|key| (key.as_str(), "1")).collect();
    table.replace(items(&copy), position(2, 1), at(6_000), stamp);
    assert!(table.retained() <= 4_096, "{}", table.retained());
    assert!(table.retained() >= 1_000, "{}", table.retained());
}

/// Copies `from` to `to`, as a host follows another one.
fn follow(from: &Table, to: &mut Table, now: boot::Instant) {
    let mut facts = from.facts(now);
    match from.events_after(to.position()) {
        Some(events) => {
            to.apply(events, from.position(), now, stamp);
        }
        None if from.position() < to.position() => {
            facts.extend(table::facts_of(from.stored().clone(), stamp));
        }
        None => {
            to.replace(from.stored().clone(), from.position(), now, stamp);
        }
    }
    to.recall(facts, now, stamp);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::with_cases(256)
    })]

    /// Hosts read the store and each other in any order while the store changes and comes
    /// back older. No host's route table goes back, and once the operators have written the
    /// last one again, all that read the store have it.
    #[test]
    fn hosts_on_both_sides_of_an_older_copy_do_not_undo_each_other(
        steps in prop::collection::vec((0_u8..5, 0_usize..3, 0_usize..3), 1..60),
    ) {
        let mut hosts = vec![table(&[(TABLE, "1")]); 3];
        // Versions written in this era, and the position.
        let mut history = vec![1_u64];
        let mut era = 1;
        let mut latest = 1;
        let mut seen = [1; 3];
        for (number, (step, one, other)) in steps.into_iter().enumerate() {
            let now = at(number as u64);
            match step {
                0 => {
                    latest += 1;
                    history.push(latest);
                }
                1 => {
                    history.truncate(history.len().saturating_sub(2).max(1));
                    era += 1;
                }
                2 => history.push(latest),
                3 => {
                    let version = history.last().map_or(0, |it| *it).to_string();
                    let read = items(&[(TABLE, version.as_str())]);
                    let read_at = position(era, 90 + history.len() as u64);
                    hosts[one].replace(read, read_at, now, stamp);
                }
                _ => {
                    let leader = hosts[other].clone();
                    follow(&leader, &mut hosts[one], now);
                }
            }
            for (host, seen) in hosts.iter().zip(&mut seen) {
                let version = value(host, TABLE).and_then(|it| it.parse().ok());
                prop_assert!(version >= Some(*seen), "{version:?} after {seen}");
                *seen = version.unwrap_or_default();
            }
        }
        for host in &mut hosts {
            let read = items(&[(TABLE, latest.to_string().as_str())]);
            host.replace(read, position(era, 1_000), at(1_000), stamp);
            prop_assert_eq!(value(host, TABLE), Some(latest.to_string()));
        }
    }
}
