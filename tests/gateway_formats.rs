//! Datagrams between hosts of different builds.
//!
//! The files under `tests/golden` were written by the builds that had these formats.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::fs;
use std::net::Ipv4Addr;
use std::path::Path;
use std::time::Duration;

use masticmoor::gateway::datagram;
use masticmoor::gateway::datagram::Datagram;
use masticmoor::gateway::datagram::Message;
use masticmoor::gateway::datagram::Origins;
use masticmoor::gateway::datagram::Report;
use masticmoor::gateway::datagram::Sender;
use masticmoor::gateway::datagram::Summary;
use masticmoor::gateway::datagram::VERSION;
use masticmoor::gateway::datagram::format;
use masticmoor::gateway::datagram::format::Encoded;
use masticmoor::gateway::notice;
use masticmoor::gateway::peers;
use masticmoor::gateway::peers::Selection;
use masticmoor::gateway::peers::Table;
use masticmoor::gateway::upstream::Upstream;
use masticmoor::ident;
use masticmoor::mirror::Position;
use masticmoor::policy::crash;
use masticmoor::policy::quarantine;
use proptest::prelude::any;
use proptest::prelude::prop;
use proptest::proptest;
use rstest::rstest;
use tokio::time::Instant;

fn golden(format: u8, name: &str) -> Vec<u8> {
    let path = format!("tests/golden/datagrams/format-{format}-{name}.bin");
    fs::read(Path::new(env!("CARGO_MANIFEST_DIR")).join(path)).unwrap()
}

/// Returns what the files hold, as a build with a format can say it.
fn sender(format: u8) -> Sender {
    Sender {
        process: 0x1122_3344_5566_7788,
        zone: "z1".into(),
        is_leaving: false,
        progress: match format {
            6.. => peers::Progress {
                position: Position {
                    era: 2,
                    revision: 41,
                },
                table_version: 7,
            },
            _ => peers::Progress::default(),
        },
        has_joined: true,
        age_ms: (format >= 6).then_some(250),
        link_mbps: if format >= 6 { 1_000 } else { 0 },
        is_informed: true,
        fleet_size: (format >= 10).then_some(9),
        unreachable: match format {
            10.. => vec!["s1".into()],
            _ => Vec::new(),
        },
    }
}

fn report(format: u8) -> Report {
    let crash = quarantine::Crash {
        upstream: "u3".into(),
        workspace: 5,
        age_ms: 10,
        run_ms: 20,
    };
    let notice = notice::Report {
        upstream: "u4".into(),
        started_ms: Some(1_000),
        is_leaving: true,
        limit: (format >= 8).then_some(2.5),
        rejection_limit: (format >= 10).then_some(6),
        age_ms: 120,
        is_partial: format < 10,
    };
    Report {
        loads: vec![("u1".into(), 3), ("u2".into(), 1)],
        suspects: vec![("u3".into(), 400, true)],
        crashes: vec![crash::Crash {
            fingerprint: 77,
            upstream: "u3".into(),
            left_ms: 59_000,
        }],
        segments: vec![quarantine::Report {
            segment: 666,
            crashes: vec![crash],
            answer_age_ms: None,
        }],
        notices: match format {
            7.. => vec![notice],
            _ => Vec::new(),
        },
        placements: vec![(9, "u1".into())],
        contacts: vec![peers::Contact {
            address: Ipv4Addr::new(10, 0, 0, 3),
            zone: "z2".into(),
            silent_ms: 30,
        }],
    }
}

fn message(format: u8) -> Message {
    Message {
        sender: sender(format),
        is_settling: true,
        report: report(format),
    }
}

fn summary(format: u8) -> Summary {
    Summary {
        sender: sender(format),
        address: Ipv4Addr::new(10, 0, 0, 1),
        shard: (0, 1),
        report: Report {
            placements: Vec::new(),
            ..report(format)
        },
    }
}

fn origins() -> Origins {
    Origins {
        streams: vec![(4, "v1".into())],
    }
}

/// A host that doesn't hear those of the build before counts half of the fleet, and gives each
/// share of a sum out twice.
#[rstest]
fn datagrams_of_other_builds_are_read(#[values(5, 9, 10)] format: u8) {
    let read = |name| {
        let received = datagram::decode(&golden(format, name)).unwrap();
        assert_eq!(received.format, format);
        received.datagram
    };
    assert_eq!(read("message"), Datagram::Message(message(format)));
    assert_eq!(read("summary"), Datagram::Summary(summary(format)));
    assert_eq!(read("origins"), Datagram::Origins(origins()));
}

/// Hosts of other builds read these bytes, and ignore what follows.
#[rstest]
fn datagrams_for_other_builds_are_those_that_they_send(#[values(9, 10)] format: u8) {
    let appended = match format {
        VERSION => &b""[..],
        // A map from "newest" to the format.
        _ => b"\x81\xa6newest\x0a",
    };
    let written = |bytes: &[u8]| Encoded::new(bytes).in_format(format).unwrap().to_vec();
    let sent = |name| [&golden(format, name), appended].concat();
    let message = message(VERSION).encode().unwrap();
    assert_eq!(written(&message), sent("message"));
    let summary = summary(VERSION).encode().unwrap().remove(0);
    assert_eq!(written(&summary), sent("summary"));
    let origins = origins().encode().unwrap().remove(0);
    assert_eq!(written(&origins), sent("origins"));
}

#[rstest]
fn a_datagram_survives_any_older_format_but_for_what_that_lacks(
    #[values(5, 6, 7, 8, 9, 10)] format: u8,
) {
    let bytes = message(VERSION).encode().unwrap();
    let older = Encoded::new(&bytes).in_format(format).unwrap().to_vec();
    assert_eq!(older.first(), Some(&format));
    let decoded = datagram::decode(&older).unwrap();
    assert_eq!(decoded.datagram, Datagram::Message(message(format)));
    assert_eq!(decoded.format, VERSION);
    // A relay forwards it to hosts of its own build.
    let newest = Encoded::new(&older).in_format(VERSION).unwrap().to_vec();
    let Datagram::Message(forwarded) = datagram::decode(&newest).unwrap().datagram else {
        panic!("no message");
    };
    assert_eq!(forwarded.sender, sender(format));
}

/// What later builds append must not make a datagram unreadable.
#[test]
fn fields_that_this_build_does_not_know_are_ignored() {
    let mut bytes = message(VERSION).encode().unwrap();
    // A map from "later" to a list of 1, and from "newest" to 12.
    bytes.extend(b"\x82\xa5later\x91\x01\xa6newest\x0c");
    let decoded = datagram::decode(&bytes).unwrap();
    assert_eq!(decoded.datagram, Datagram::Message(message(VERSION)));
    assert_eq!(decoded.format, VERSION);
}

proptest! {
    /// Bytes of any sender must not end the process.
    #[test]
    fn any_bytes_are_read_or_refused(
        format in format::OLDEST..=VERSION,
        body in prop::collection::vec(any::<u8>(), 0..200),
    ) {
        let bytes = [vec![format], body].concat();
        let _result = datagram::decode(&bytes);
    }
}

#[test]
fn deeply_nested_bytes_are_refused() {
    for format in format::OLDEST..=VERSION {
        let bytes = [vec![format], vec![0x91; 60_000]].concat();
        assert!(datagram::decode(&bytes).is_err());
    }
    let message = message(VERSION).encode().unwrap();
    let bytes = [&message, &b"\x81\xa5later"[..], &[0x91; 60_000]].concat();
    assert!(datagram::decode(&bytes).is_err());
}

/// A build that can't name a limit doesn't say that it has ended.
#[tokio::test(start_paused = true)]
async fn a_limit_holds_although_another_build_does_not_name_it() {
    let upstream = Upstream {
        id: "u4".into(),
        service: "s1".into(),
        version: "v1".into(),
        address: ([10, 0, 0, 9], 80).into(),
        zone: "z1".into(),
        slots: 8,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: Some(1_000),
    };
    let mut table = notice::Table::default();
    let now = Instant::now();
    for notice in report(VERSION).notices {
        table.merge(now, &notice, Duration::ZERO);
    }
    let later = notice::Report {
        age_ms: 0,
        limit: None,
        rejection_limit: None,
        ..report(7).notices.remove(0)
    };
    table.merge(now, &later, Duration::ZERO);
    assert_eq!(table.limit(&upstream), Some(2.5));
    assert_eq!(table.brittle_rank(now, &upstream, || 3), Some(3));
}

fn announcement(format: u8) -> peers::Announcement {
    sender(VERSION).announcement(format)
}

/// Hosts that have never heard each other find each other whatever their builds are, and then get
/// the format that they read.
#[tokio::test(start_paused = true)]
async fn a_host_of_any_build_is_sent_its_format() {
    let (local, seed) = (Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2));
    let mut table = Table::new(local, vec![seed]);
    table.contacts(Instant::now(), Selection::Sample);
    let formats = |table: &Table| {
        let now = Instant::now();
        let draws = (0..20).map(|draw| table.format(now, &seed, f64::from(draw) / 20.0));
        let newest = draws.clone().filter(|format| *format == VERSION);
        assert!(newest.count() >= 10 || table.live(now).count() == 1);
        let mut formats: Vec<_> = draws.collect();
        formats.sort_unstable();
        formats.dedup();
        formats
    };
    assert_eq!(formats(&table), [5, 6, 7, 8, 9, 10]);
    table.receive(Instant::now(), seed, announcement(9));
    assert_eq!(formats(&table), [9]);
    // It may have been replaced.
    tokio::time::advance(Duration::from_secs(10)).await;
    assert_eq!(formats(&table), [9, 10]);
    table.receive(Instant::now(), seed, announcement(10));
    assert_eq!(formats(&table), [10]);
}

/// A host of an older build knows nothing of handoffs, and answers that there is no such page.
#[tokio::test(start_paused = true)]
async fn requests_are_handed_only_to_builds_that_take_them() {
    let (local, other) = (Ipv4Addr::new(10, 0, 0, 1), Ipv4Addr::new(10, 0, 0, 2));
    let service = ident::Service::from("s2");
    let mut table = Table::new(local, Vec::new());
    for (format, is_able) in [(9, false), (10, true)] {
        let now = Instant::now();
        table.receive(now, other, announcement(format));
        let chosen = table.substitute(now, &"z1".into(), &service, &[], 0.0);
        assert_eq!(chosen.is_some(), is_able);
        assert_eq!(table.can_serve(now, &other, &service), is_able);
    }
}
