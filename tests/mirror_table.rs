//! The copy of a store's items moves forward only and knows its age.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use masticmoor::boot;
use masticmoor::mirror::Event;
use masticmoor::mirror::Item;
use masticmoor::mirror::Table;
use masticmoor::mirror::wire;
use masticmoor::mirror::wire::Content;
use masticmoor::mirror::wire::Reply;

fn at(millis: u64) -> boot::Instant {
    boot::Instant::at(Duration::from_millis(millis))
}

fn event(key: &str, revision: u64, value: Option<&'static str>) -> Event {
    Event {
        key: key.to_owned(),
        revision,
        value: value.map(|text| Bytes::from_static(text.as_bytes())),
    }
}

fn items(of: &[(&str, u64, &'static str)]) -> BTreeMap<String, Item> {
    let items = of.iter().map(|(key, revision, value)| {
        let value = Bytes::from_static(value.as_bytes());
        let item = Item {
            value,
            revision: *revision,
        };
        ((*key).to_owned(), item)
    });
    items.collect()
}

#[test]
fn a_full_read_tells_what_changed_and_what_vanished() {
    let mut table = Table::default();
    table.replace(items(&[("a", 1, "1"), ("b", 2, "2")]), 2, at(0));
    let changes = table.replace(items(&[("b", 2, "2"), ("c", 5, "3")]), 6, at(10));
    let expected = vec![event("a", 6, None), event("c", 5, Some("3"))];
    assert_eq!(changes, expected);
}

#[test]
fn an_older_answer_changes_nothing_and_vouches_for_nothing() {
    let mut table = Table::default();
    table.replace(items(&[("a", 7, "new")]), 7, at(100));
    assert!(
        table
            .replace(items(&[("a", 3, "old")]), 3, at(200))
            .is_empty()
    );
    assert!(
        table
            .apply(vec![event("a", 4, Some("old"))], 4, at(300))
            .is_empty()
    );
    assert_eq!(table.revision(), 7);
    assert_eq!(table.age(at(400)), Some(Duration::from_millis(300)));
}

#[test]
fn an_event_that_is_known_is_not_applied_twice() {
    let mut table = Table::default();
    table.replace(items(&[("a", 7, "new")]), 7, at(0));
    let events = vec![event("a", 6, None), event("b", 8, Some("x"))];
    assert_eq!(
        table.apply(events, 8, at(1)),
        vec![event("b", 8, Some("x"))]
    );
    assert_eq!(table.items().len(), 2);
}

#[test]
fn a_follower_gets_changes_as_long_as_they_are_known() {
    let mut table = Table::default();
    table.replace(items(&[("a", 1, "1")]), 1, at(0));
    for revision in 2..2_000 {
        table.apply(
            vec![event("a", revision, Some("x"))],
            revision,
            at(revision),
        );
    }
    assert_eq!(
        table.events_after(1_999).map(|events| events.len()),
        Some(0)
    );
    assert_eq!(
        table.events_after(1_990).map(|events| events.len()),
        Some(9)
    );
    assert_eq!(table.events_after(1), None);
    // A follower that is ahead reads all.
    assert_eq!(table.events_after(5_000), None);
}

#[test]
fn the_age_never_grows_by_an_answer_that_took_longer() {
    let mut table = Table::default();
    assert_eq!(table.age(at(0)), None);
    table.apply(Vec::new(), 1, at(500));
    table.apply(Vec::new(), 1, at(200));
    assert_eq!(table.age(at(700)), Some(Duration::from_millis(200)));
}

#[test]
fn replies_survive_the_wire_and_rubbish_is_an_error() {
    let reply = Reply {
        revision: 9,
        age_ms: 1,
        waited_ms: 2,
        settling_ms: 3,
        content: Content::Changes(vec![event("a", 9, Some("x")), event("b", 8, None)]),
    };
    let bytes = wire::encode(&reply);
    assert!(
        matches!(bytes.map(|bytes| wire::decode::<Reply>(&bytes)), Ok(Ok(same)) if same == reply)
    );
    assert!(wire::decode::<Reply>(b"rubbish that isn't a reply").is_err());
}
