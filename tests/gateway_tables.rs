//! The state of a gateway: routes, the view of the store and its outages, health of
//! upstreams, loads, peers, and the splitting of event streams.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::net::Ipv4Addr;
use std::time::Duration;

use masticmoor::boot;
use masticmoor::event::Splitter;
use masticmoor::gateway::health;
use masticmoor::gateway::health::Observation;
use masticmoor::gateway::health::Status;
use masticmoor::gateway::load;
use masticmoor::gateway::outage::Outage;
use masticmoor::gateway::peers;
use masticmoor::gateway::source::Entry;
use masticmoor::gateway::table::Backend;
use masticmoor::gateway::table::Kind;
use masticmoor::gateway::table::Limits;
use masticmoor::gateway::table::Route;
use masticmoor::gateway::table::Table;
use masticmoor::gateway::table::Workspace;
use masticmoor::gateway::upstream::Upstream;
use masticmoor::gateway::view::View;
use masticmoor::mirror::Position;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use tokio::time::Instant;

fn route(host: &str, prefix: &str, name: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: host.to_owned(),
        prefix: prefix.to_owned(),
        kind: Kind::Idempotent,
        timeout: Duration::from_secs(1),
        objective: Duration::from_millis(100),
        max_event_gap: None,
        priority: 0,
        max_attempts: 2,
        is_public: false,
        is_sticky: false,
        backends: vec![
            Backend {
                service: "a".into(),
                weight: 90.0,
            },
            Backend {
                service: "b".into(),
                weight: 10.0,
            },
        ],
    }
}

fn table(keys: Option<Vec<(Workspace, Vec<String>)>>) -> Table {
    let routes = vec![
        route("one.example", "/a/", "short"),
        route("one.example", "/a/b/", "long"),
        route("two.example", "/", "all"),
    ];
    Table::new(1, Limits::default(), routes, Vec::new(), keys)
}

#[rstest]
#[case("one.example", "/a/x", Some("short"))]
#[case("ONE.example", "/a/b/x", Some("long"))]
#[case("one.example", "/a/bc", Some("short"))]
#[case("one.example", "/a", None)]
#[case("two.example", "/anything", Some("all"))]
#[case("three.example", "/a/x", None)]
fn the_route_with_the_longest_prefix_wins(
    #[case] host: &str,
    #[case] path: &str,
    #[case] name: Option<&str>,
) {
    let table = table(None);
    let found = table.route(host, path);
    assert_eq!(found.map(|route| route.name.as_str()), name);
}

#[test]
fn requests_split_over_services_by_weight() {
    let route = route("one.example", "/", "split");
    let draws = (0..1_000).map(|step| f64::from(step) / 1_000.0);
    let to_a = draws.filter(|draw| route.backend(*draw).unwrap().as_str() == "a");
    assert_eq!(to_a.count(), 900);
    assert_eq!(route.backend(1.0).unwrap().as_str(), "b");
}

#[test]
fn a_key_belongs_to_one_workspace() {
    let workspace = Workspace {
        name: "school".into(),
        priority: Some(1),
    };
    let table = table(Some(vec![(workspace, vec!["k1".into(), "k2".into()])]));
    assert_eq!(table.workspace("k2").unwrap().name.as_str(), "school");
    assert_eq!(table.workspace("k3"), None);
    assert!(table.requires_keys);
}

fn upstream(id: &str, started_ms: Option<u64>) -> Entry {
    Entry::Upstream(Upstream {
        id: id.into(),
        service: "a".into(),
        version: "v1".into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z1".into(),
        slots: 4,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms,
    })
}

fn at(millis: u64) -> boot::Instant {
    boot::Instant::at(Duration::from_millis(millis))
}

/// Upstreams can't renew their entries while the store is down. Without a grace period
/// after an outage, a host would have no upstreams left.
#[test]
fn an_entry_that_expired_in_an_outage_stays_until_it_may_be_restored() {
    let mut view = View::default();
    view.insert(at(0), "s/u1", upstream("u1", None));
    let mut outage = Outage::default();
    outage.record_failure(at(1_000));
    assert!(outage.record_answer(at(6_000)));
    view.remove(at(6_000), "s/u1", at(6_000) + outage.settling(at(6_000)));
    let id = "u1".into();
    assert!(view.is_usable(at(8_000), &id));
    assert!(!view.is_usable(at(8_400), &id));
}

/// Requests that are sent to an upstream that has left fail.
#[test]
fn an_entry_that_is_deleted_without_an_outage_is_removed_at_once() {
    let mut view = View::default();
    view.insert(at(0), "s/u1", upstream("u1", None));
    let mut outage = Outage::default();
    // A watch that ends without changes is no sign of an outage.
    assert!(!outage.record_answer(at(5_000)));
    view.remove(at(6_000), "s/u1", at(6_000) + outage.settling(at(6_000)));
    assert!(!view.is_usable(at(6_000), &"u1".into()));
    assert_eq!(view.upstreams(), 0);
}

/// If only this host can't reach the store, upstreams renew their entries all the same, and
/// entries that other hosts saw removed must not stay in use here.
#[test]
fn a_host_that_copies_from_a_peer_sees_no_outage() {
    let mut outage = Outage::default();
    outage.record_failure(at(1_000));
    outage.record_peer_copy(at(3_000), Duration::ZERO);
    assert!(!outage.record_answer(at(6_000)));
    assert_eq!(outage.settling(at(6_000)), Duration::ZERO);
}

/// State recorded for an earlier run, such as its cached prompts, no longer applies.
#[test]
fn an_upstream_that_restarts_under_its_id_is_reported() {
    let mut view = View::default();
    assert_eq!(view.insert(at(0), "s/u1", upstream("u1", Some(1))), None);
    assert_eq!(view.insert(at(1), "s/u1", upstream("u1", Some(1))), None);
    let restarted = view.insert(at(2), "s/u1", upstream("u1", Some(2)));
    assert_eq!(restarted, Some("u1".into()));
}

#[test]
fn an_evacuated_zone_gets_no_requests_until_the_evacuation_ends() {
    let mut view = View::default();
    view.insert(at(0), "s/u1", upstream("u1", None));
    view.insert(at(0), "e/z1", Entry::Evacuated("z1".into()));
    assert_eq!(view.usable(at(1)).count(), 0);
    view.remove(at(2), "e/z1", at(2));
    assert_eq!(view.usable(at(3)).count(), 1);
}

/// Some requests are lost wherever they run, so a single loss must not stop an upstream.
#[tokio::test(start_paused = true)]
async fn an_upstream_is_suspect_after_two_losses_in_a_row_but_not_after_one() {
    let mut health = health::Table::default();
    let id = "u1".into();
    assert!(!health.record(Instant::now(), &id, Observation::Lost));
    health.record(Instant::now(), &id, Observation::Answered);
    assert!(!health.record(Instant::now(), &id, Observation::Lost));
    assert!(health.record(Instant::now(), &id, Observation::Lost));
    assert_eq!(health.status(Instant::now(), &id), Status::Suspect);
    tokio::time::advance(Duration::from_millis(500)).await;
    assert_eq!(health.status(Instant::now(), &id), Status::Probe);
    // Only one request at a time is sent as a probe.
    health.begin_probe(Instant::now(), &id);
    assert_eq!(health.status(Instant::now(), &id), Status::Suspect);
    health.record(Instant::now(), &id, Observation::Answered);
    assert_eq!(health.status(Instant::now(), &id), Status::Healthy);
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_upstream_is_suspect_at_once() {
    let mut health = health::Table::default();
    let id = "u1".into();
    assert!(health.record(Instant::now(), &id, Observation::Unreachable));
    assert!(health.was_unreachable(Instant::now(), &id));
    let reported = health.suspects(Instant::now(), health::Scope::Host);
    let mut other = health::Table::default();
    for (id, left, is_down) in &reported {
        other.merge(Instant::now(), id, *left, *is_down, true);
    }
    assert_eq!(other.status(Instant::now(), &id), Status::Down);
    // A host doesn't report what it learned from another host as its own observation.
    assert!(
        other
            .suspects(Instant::now(), health::Scope::Host)
            .is_empty()
    );
    let reported = other.suspects(Instant::now(), health::Scope::Zone);
    assert_eq!(reported.len(), 1, "a host of the zone found it suspect");
}

#[rstest]
#[case(14, false)]
#[case(60, true)]
#[tokio::test(start_paused = true)]
async fn an_upstream_that_fails_most_requests_is_suspect(
    #[case] percent: usize,
    #[case] is_suspect: bool,
) {
    let mut health = health::Table::default();
    let id = "u1".into();
    let suspected = (0..200).any(|number| {
        let failed = number * percent / 100 != (number + 1) * percent / 100;
        let observation = match failed {
            true => Observation::Failed,
            false => Observation::Answered,
        };
        health.record(Instant::now(), &id, observation)
    });
    assert_eq!(suspected, is_suspect);
}

/// Silence counts from the last message from any host of the zone: a single host that
/// stops sending is no partition.
#[tokio::test(start_paused = true)]
async fn the_silence_of_a_zone_begins_with_the_last_message_from_its_hosts() {
    let address = |last| Ipv4Addr::new(10, 0, 0, last);
    let mut table = peers::Table::new(address(1), Vec::new());
    assert_eq!(table.zone_silence(Instant::now(), &"z1".into()), None);
    table.receive(Instant::now(), address(2), announcement(2));
    tokio::time::advance(Duration::from_millis(300)).await;
    table.receive(Instant::now(), address(3), announcement(3));
    tokio::time::advance(Duration::from_millis(200)).await;
    let silence = table.zone_silence(Instant::now(), &"z1".into());
    assert_eq!(silence, Some(Duration::from_millis(200)));
}

/// An upstream that one host can't reach may still respond to another.
#[tokio::test(start_paused = true)]
async fn a_report_of_another_host_is_ignored_while_the_upstream_answers_here() {
    let mut health = health::Table::default();
    let id = "u1".into();
    health.record(Instant::now(), &id, Observation::Answered);
    health.merge(Instant::now(), &id, Duration::from_secs(2), true, true);
    assert_eq!(health.status(Instant::now(), &id), Status::Healthy);
}

/// Returns whether a zone with upstreams u1 to u5 counts as cut off.
fn is_cut_off(health: &health::Table, silence: Option<Duration>) -> bool {
    let ids: Vec<masticmoor::ident::Upstream> = (1..=5)
        .map(|number| format!("u{number}").as_str().into())
        .collect();
    let ids: Vec<_> = ids.iter().collect();
    health.is_zone_cut_off(Instant::now(), &ids, silence)
}

#[tokio::test(start_paused = true)]
async fn a_zone_with_silent_hosts_or_two_unreachable_upstreams_is_cut_off() {
    let mut health = health::Table::default();
    assert!(!is_cut_off(&health, None));
    assert!(!is_cut_off(&health, Some(Duration::from_millis(400))));
    assert!(is_cut_off(&health, Some(Duration::from_millis(500))));
    health.record(Instant::now(), &"u1".into(), Observation::Unreachable);
    assert!(!is_cut_off(&health, None));
    health.record(Instant::now(), &"u2".into(), Observation::Unreachable);
    assert!(is_cut_off(&health, None));
    tokio::time::advance(Duration::from_millis(1_500)).await;
    assert!(!is_cut_off(&health, None));
}

/// Guards against a host that sends everything to its own zone because the other hosts are down.
#[tokio::test(start_paused = true)]
async fn a_zone_whose_upstreams_respond_is_not_cut_off_when_its_hosts_are_down() {
    let mut health = health::Table::default();
    let silence = Some(Duration::from_secs(2));
    health.record(Instant::now(), &"u3".into(), Observation::Answered);
    tokio::time::advance(Duration::from_millis(400)).await;
    assert!(!is_cut_off(&health, silence));
    tokio::time::advance(Duration::from_millis(100)).await;
    assert!(is_cut_off(&health, silence));
}

/// Guards against a host that puts a whole zone aside because two of its upstreams crashed.
#[tokio::test(start_paused = true)]
async fn a_zone_with_crashed_upstreams_is_not_cut_off_while_others_respond() {
    let mut health = health::Table::default();
    for id in ["u1", "u2", "u4"] {
        health.record(Instant::now(), &id.into(), Observation::Unreachable);
    }
    assert!(is_cut_off(&health, None));
    tokio::time::advance(Duration::from_millis(10)).await;
    health.record(Instant::now(), &"u3".into(), Observation::Answered);
    assert!(!is_cut_off(&health, None));
    tokio::time::advance(Duration::from_millis(10)).await;
    for id in ["u1", "u2"] {
        health.record(Instant::now(), &id.into(), Observation::Unreachable);
    }
    assert!(is_cut_off(&health, None));
}

#[tokio::test(start_paused = true)]
async fn loads_of_a_silent_host_expire() {
    let mut loads = load::Table::default();
    let id = "u1".into();
    loads.begin(&id);
    loads.report(
        Instant::now(),
        load::Source::Host(7),
        [(id.clone(), 3)].into(),
    );
    loads.report(
        Instant::now(),
        load::Source::Host(7),
        [(id.clone(), 2)].into(),
    );
    assert_eq!(loads.total(&id), 3);
    tokio::time::advance(Duration::from_secs(3)).await;
    loads.expire(Instant::now());
    assert_eq!(loads.total(&id), 1);
    loads.end(&id);
    assert_eq!(loads.total(&id), 0);
}

#[tokio::test(start_paused = true)]
async fn older_counts_and_shorter_requests_leave_more_unseen() {
    let mut loads = load::Table::default();
    let id = "u1".into();
    let service = "a".into();
    let age = |loads: &load::Table| loads.age(Instant::now());
    assert_eq!(age(&loads), load::Age::default());
    loads.report(
        Instant::now(),
        load::Source::Zone(1, 0, 1),
        [(id, 4)].into(),
    );
    tokio::time::advance(Duration::from_millis(600)).await;
    let id = "u1".into();
    let counts = [("u1".into(), 4)];
    loads.report(Instant::now(), load::Source::Host(7), counts.into());
    tokio::time::advance(Duration::from_millis(200)).await;
    loads.begin(&id);
    let expected = load::Age {
        near: Some(Duration::from_millis(200)),
        far: Some(Duration::from_secs(1)),
    };
    assert_eq!(age(&loads), expected);
    let unseen = |loads: &load::Table| {
        let turnover = load::Turnover::new(age(loads), loads.duration(&service));
        loads.unseen(&id, turnover)
    };
    assert_eq!(
        unseen(&loads),
        8.0,
        "nothing is known of how long requests take"
    );
    loads.record_duration(&service, Duration::from_secs(1));
    let long = unseen(&loads);
    let (near, far) = (
        4.0 * (1.0 - (-0.2_f64).exp()),
        4.0 * (1.0 - (-1.0_f64).exp()),
    );
    assert!((long - near - far).abs() < 1e-9, "{long}");
    for _ in 0..100 {
        loads.record_duration(&service, Duration::from_millis(20));
    }
    assert!(unseen(&loads) > long);
    assert_eq!(loads.total(&id), 9);
}

/// Returns the progress of a host at a revision of the first era.
fn progress(revision: u64, table_version: u64) -> peers::Progress {
    peers::Progress {
        position: Position { era: 0, revision },
        table_version,
    }
}

fn announcement(process: u64) -> peers::Announcement {
    peers::Announcement {
        format: masticmoor::gateway::datagram::VERSION,
        zone: "z1".into(),
        process,
        is_leaving: false,
        progress: progress(1, 1),
        has_joined: true,
        age: Some(Duration::ZERO),
        link_mbps: 10,
        is_informed: false,
        fleet_size: None,
        unreachable: Vec::new(),
    }
}

/// A silent host may be partitioned off and still send requests. If the others took over its share
/// at once, the sum over all hosts would exceed the limit.
#[tokio::test(start_paused = true)]
async fn a_silent_host_keeps_its_share_of_budgets_for_a_while() {
    let own = Ipv4Addr::new(10, 0, 0, 1);
    let other = Ipv4Addr::new(10, 0, 0, 2);
    let mut table = peers::Table::new(own, vec![own, other]);
    assert_eq!(table.targets(Instant::now()), vec![(other, None)]);
    assert!(table.receive(Instant::now(), other, announcement(5)));
    assert!(!table.receive(Instant::now(), other, announcement(5)));
    assert!(table.receive(Instant::now(), other, announcement(6)));
    tokio::time::advance(Duration::from_secs(10)).await;
    assert_eq!(table.live(Instant::now()).count(), 0);
    assert_eq!(table.sharer_count(Instant::now()), 2);
    tokio::time::advance(Duration::from_secs(60)).await;
    assert_eq!(table.sharer_count(Instant::now()), 1);
}

#[rstest]
#[case::local_is_ahead(&[(2, "z1", 5, 9_000), (3, "z2", 9, 0)], 4, Some(2))]
#[case::local_is_fresh(&[(2, "z1", 5, 0), (3, "z2", 9, 0)], 5, Some(2))]
#[case::local_has_nothing_new(&[(2, "z1", 5, 9_000), (3, "z2", 9, 0)], 5, Some(3))]
#[case::latest_of_the_zone(&[(2, "z1", 5, 0), (3, "z1", 6, 50)], 4, Some(3))]
#[case::no_host_is_ahead_or_fresh(&[(2, "z1", 5, 9_000), (3, "z2", 5, 9_000)], 5, None)]
#[tokio::test(start_paused = true)]
async fn a_host_that_is_behind_copies_from_its_own_zone_first(
    #[case] others: &[(u8, &str, u64, u64)],
    #[case] revision: u64,
    #[case] expected: Option<u8>,
) {
    let address = |last| Ipv4Addr::new(10, 0, 0, last);
    let mut table = peers::Table::new(address(1), Vec::new());
    for (last, zone, revision, age_ms) in others {
        let announced = peers::Announcement {
            format: masticmoor::gateway::datagram::VERSION,
            zone: (*zone).into(),
            progress: progress(*revision, 1),
            age: Some(Duration::from_millis(*age_ms)),
            ..announcement(u64::from(*last))
        };
        table.receive(Instant::now(), address(*last), announced);
    }
    let max_age = Duration::from_secs(2);
    let chosen = table.best_source(
        Instant::now(),
        &"z1".into(),
        &progress(revision, 1),
        max_age,
    );
    assert_eq!(chosen, expected.map(address));
}

#[tokio::test(start_paused = true)]
async fn hosts_learn_of_live_hosts_from_each_other() {
    let now = Instant::now() + Duration::from_secs(600);
    let address = |last| Ipv4Addr::new(10, 0, 0, last);
    let mut table = peers::Table::new(address(1), Vec::new());
    let contact = |last, silent_ms| peers::Contact {
        address: address(last),
        zone: "z1".into(),
        silent_ms,
    };
    table.add(now, &contact(2, 100));
    table.add(now, &contact(3, 100_000));
    table.add(now, &contact(1, 0));
    let targets = table.targets(now);
    assert_eq!(targets, vec![(address(2), Some("z1".into()))]);
    // A host counts as live only after a message of its own.
    assert_eq!(table.live(now).count(), 0);
}

#[tokio::test(start_paused = true)]
async fn only_live_hosts_with_the_index_are_asked_local_ones_first() {
    let address = |last| Ipv4Addr::new(10, 0, 0, last);
    let now = Instant::now();
    let mut table = peers::Table::new(address(1), Vec::new());
    let informed = |zone: &str, is_informed| peers::Announcement {
        format: masticmoor::gateway::datagram::VERSION,
        zone: zone.into(),
        is_informed,
        ..announcement(1)
    };
    table.receive(now, address(2), informed("z1", false));
    table.receive(now, address(3), informed("z2", true));
    let zone = "z1".into();
    let next = |table: &peers::Table, now, asked: &[Ipv4Addr]| {
        table.informed_peer(now, &zone, &asked.iter().copied().collect())
    };
    assert_eq!(next(&table, now, &[]), Some(address(3)));
    table.receive(now, address(4), informed("z1", true));
    assert_eq!(next(&table, now, &[]), Some(address(4)));
    assert_eq!(next(&table, now, &[address(4)]), Some(address(3)));
    let later = now + Duration::from_secs(5);
    assert_eq!(next(&table, later, &[]), None);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(11),
        ..ProptestConfig::with_cases(128)
    })]

    #[test]
    fn events_are_complete_whatever_the_chunks(
        sizes in prop::collection::vec(1_usize..40, 1..80),
        ids in prop::collection::vec(prop::option::of(0_u64..1_000), 1..20),
    ) {
        let events: Vec<String> = ids
            .iter()
            .map(|id| match id {
                Some(id) => format!("id: {id}\ndata: x\n\n"),
                None => "data: y\n\n".to_owned(),
            })
            .collect();
        let text = events.concat() + "id: 1";
        let mut splitter = Splitter::default();
        let mut found = Vec::new();
        let mut left = text.as_bytes();
        for size in sizes.iter().cycle() {
            if left.is_empty() {
                break;
            }
            let (chunk, rest) = left.split_at((*size).min(left.len()));
            left = rest;
            splitter.push(chunk);
            while let Some(event) = splitter.take() {
                found.push(event);
            }
        }
        let texts: Vec<&[u8]> = found.iter().map(|event| &event.bytes[..]).collect();
        let expected: Vec<&[u8]> = events.iter().map(String::as_bytes).collect();
        prop_assert_eq!(texts, expected);
        let found: Vec<_> = found.iter().map(|event| event.id).collect();
        prop_assert_eq!(found, ids);
        prop_assert_eq!(&splitter.rest()[..], b"id: 1");
    }
}

#[rstest]
#[case::lf("\n")]
#[case::cr_lf("\r\n")]
fn a_stream_is_inside_an_event_at_each_byte_but_after_blank_lines_and_in_comments(
    #[case] line_end: &str,
) {
    let lines = |lines: &[&str]| {
        lines
            .iter()
            .map(|line| format!("{line}{line_end}"))
            .collect()
    };
    let first: String = lines(&["id: 1", "data: x", ""]);
    let comment: String = lines(&[": ping", ""]);
    let second: String = lines(&["data: y", ""]);
    let text = format!("{first}{comment}{second}");
    let outside = first.len()..=first.len() + comment.len();
    for cut in 0..=text.len() {
        let mut splitter = Splitter::default();
        let (sent, _) = text.split_at(cut);
        splitter.push(sent.as_bytes());
        while splitter.take().is_some() {}
        let is_outside = cut == 0 || outside.contains(&cut) || cut == text.len();
        assert_eq!(
            splitter.position().is_inside_event(),
            !is_outside,
            "{:?}",
            sent
        );
    }
}
