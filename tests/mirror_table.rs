//! The copy of a store's items never goes back to an older revision, and its
//! age is never underestimated.

use std::collections::BTreeMap;
use std::time::Duration;

use bytes::Bytes;
use masticmoor::boot;
use masticmoor::mirror::Event;
use masticmoor::mirror::Fact;
use masticmoor::mirror::Item;
use masticmoor::mirror::Position;
use masticmoor::mirror::Stamp;
use masticmoor::mirror::Table;
use masticmoor::mirror::stamp::Writer;
use masticmoor::mirror::wire;
use masticmoor::mirror::wire::Content;
use masticmoor::mirror::wire::Reply;

fn at(millis: u64) -> boot::Instant {
    boot::Instant::at(Duration::from_millis(millis))
}

/// Returns a position in the first era.
fn position(revision: u64) -> Position {
    Position { era: 0, revision }
}

/// Returns no stamp for any item.
fn unstamped(_: &str, _: &[u8]) -> Option<Stamp> {
    None
}

fn event(key: &str, revision: u64, value: Option<&'static str>) -> Event {
    Event {
        key: key.to_owned(),
        revision,
        value: value.map(|text| Bytes::from_static(text.as_bytes())),
    }
}

fn items(entries: &[(&str, u64, &'static str)]) -> BTreeMap<String, Item> {
    let items = entries.iter().map(|(key, revision, value)| {
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
fn a_full_read_reports_changed_and_removed_items() {
    let mut table = Table::default();
    table.replace(
        items(&[("a", 1, "1"), ("b", 2, "2")]),
        position(2),
        at(0),
        unstamped,
    );
    let changes = table.replace(
        items(&[("b", 2, "2"), ("c", 5, "3")]),
        position(6),
        at(10),
        unstamped,
    );
    let expected = vec![event("a", 6, None), event("c", 5, Some("3"))];
    assert_eq!(changes, expected);
}

#[test]
fn an_older_read_changes_neither_the_items_nor_their_age() {
    let mut table = Table::default();
    table.replace(items(&[("a", 7, "new")]), position(7), at(100), unstamped);
    assert!(
        table
            .replace(items(&[("a", 3, "old")]), position(3), at(200), unstamped)
            .is_empty()
    );
    assert!(
        table
            .apply(
                vec![event("a", 4, Some("old"))],
                position(4),
                at(300),
                unstamped
            )
            .is_empty()
    );
    assert_eq!(table.position(), position(7));
    assert_eq!(table.age(at(400)), Some(Duration::from_millis(300)));
}

#[test]
fn an_event_is_not_applied_twice() {
    let mut table = Table::default();
    table.replace(items(&[("a", 7, "new")]), position(7), at(0), unstamped);
    let events = vec![event("a", 6, None), event("b", 8, Some("x"))];
    assert_eq!(
        table.apply(events, position(8), at(1), unstamped),
        vec![event("b", 8, Some("x"))]
    );
    assert_eq!(table.items().len(), 2);
}

#[test]
fn a_follower_gets_the_changes_while_they_are_kept() {
    let mut table = Table::default();
    table.replace(items(&[("a", 1, "1")]), position(1), at(0), unstamped);
    for revision in 2..2_000 {
        table.apply(
            vec![event("a", revision, Some("x"))],
            position(revision),
            at(revision),
            unstamped,
        );
    }
    assert_eq!(
        table
            .events_after(position(1_999))
            .map(|events| events.len()),
        Some(0)
    );
    assert_eq!(
        table
            .events_after(position(1_990))
            .map(|events| events.len()),
        Some(9)
    );
    assert_eq!(table.events_after(position(1)), None);
    // A follower that is ahead of the table reads all items.
    assert_eq!(table.events_after(position(5_000)), None);
}

#[test]
fn an_answer_to_an_earlier_request_does_not_increase_the_age() {
    let mut table = Table::default();
    assert_eq!(table.age(at(0)), None);
    table.apply(Vec::new(), position(1), at(500), unstamped);
    table.apply(Vec::new(), position(1), at(200), unstamped);
    assert_eq!(table.age(at(700)), Some(Duration::from_millis(200)));
}

/// Returns what a host retains from an earlier era.
fn fact() -> Fact {
    Fact {
        key: "c".to_owned(),
        item: None,
        stamp: Stamp {
            writer: Writer::Upstream,
            started_ms: 1,
            sequence: Some(2),
        },
        left_ms: Some(3),
    }
}

#[test]
fn replies_decode_to_what_was_encoded_and_garbage_is_an_error() {
    let reply = Reply {
        position: position(9),
        age_ms: 1,
        waited_ms: 2,
        settling_ms: 3,
        facts: vec![fact()],
        content: Content::Changes(vec![event("a", 9, Some("x")), event("b", 8, None)]),
    };
    let bytes = wire::encode(&reply);
    assert!(
        matches!(bytes.map(|bytes| wire::decode::<Reply>(&bytes)), Ok(Ok(same)) if same == reply)
    );
    assert!(wire::decode::<Reply>(b"garbage that is no reply").is_err());
}

/// A reply that ends with its connection is complete only if it can be decoded.
#[test]
fn a_reply_cut_at_any_byte_is_an_error() {
    let contents = [
        Content::Changes(vec![event("a", 9, Some("x")), event("b", 8, None)]),
        Content::Changes(Vec::new()),
        Content::Full(items(&[
            ("a", 9, "x"),
            ("b", 8, "a longer value, a longer value"),
        ])),
    ];
    for content in contents {
        let reply = Reply {
            position: position(9),
            age_ms: 1,
            waited_ms: 2,
            settling_ms: 3,
            facts: vec![fact()],
            content,
        };
        let bytes = wire::encode(&reply).unwrap_or_default();
        assert!(!bytes.is_empty());
        for cut in 0..bytes.len() {
            let (sent, _) = bytes.split_at(cut);
            let decoded = wire::decode::<Reply>(sent);
            assert!(decoded.is_err(), "{cut} of {}: {decoded:?}", bytes.len());
        }
    }
}

/// Guards against upstreams that came and went between two full reads.
#[test]
fn changes_may_be_missed_between_full_reads_that_are_far_apart() {
    let mut table = Table::default();
    let read = |table: &mut Table, era, revision, millis| {
        let position = Position { era, revision };
        table.replace(items(&[("a", 1, "1")]), position, at(millis), unstamped);
        table.gaps()
    };
    assert_eq!(table.gaps(), 0);
    assert_eq!(read(&mut table, 0, 2, 1_000), 1);
    assert!(table.is_as_of(at(1_000)) && !table.is_as_of(at(1_001)));
    assert_eq!(read(&mut table, 0, 4, 2_500), 1);
    table.apply(Vec::new(), position(6), at(20_000), unstamped);
    assert_eq!(table.gaps(), 1);
    // Nothing has changed since.
    assert_eq!(read(&mut table, 0, 6, 40_000), 1);
    assert_eq!(read(&mut table, 0, 7, 45_000), 2);
    // What was written in an era may be lost in the next.
    assert_eq!(read(&mut table, 1, 3, 45_100), 3);
    // An earlier position changes nothing.
    assert_eq!(read(&mut table, 0, 9, 60_000), 3);
}
