//! The tables of a gateway: routes, the view of the store, health, peers, loads,
//! prompts, events.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::net::Ipv4Addr;
use std::time::Duration;

use masticmoor::boot;
use masticmoor::gateway::event::Splitter;
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
fn the_longest_prefix_of_the_host_wins(
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
fn keys_lead_to_their_workspace() {
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

#[test]
fn an_entry_that_lapsed_in_an_outage_stays_for_a_while() {
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

#[test]
fn an_entry_that_is_deleted_on_a_calm_day_is_gone_at_once() {
    let mut view = View::default();
    view.insert(at(0), "s/u1", upstream("u1", None));
    let mut outage = Outage::default();
    // A watch that waited for its time says nothing of an outage.
    assert!(!outage.record_answer(at(5_000)));
    view.remove(at(6_000), "s/u1", at(6_000) + outage.settling(at(6_000)));
    assert!(!view.is_usable(at(6_000), &"u1".into()));
    assert_eq!(view.upstreams(), 0);
}

#[test]
fn no_entry_lapsed_for_a_host_that_alone_lost_the_store() {
    let mut outage = Outage::default();
    outage.record_failure(at(1_000));
    outage.record_peer_copy(at(3_000), Duration::ZERO);
    assert!(!outage.record_answer(at(6_000)));
    assert_eq!(outage.settling(at(6_000)), Duration::ZERO);
}

#[test]
fn an_upstream_started_anew_under_its_name_is_told_apart() {
    let mut view = View::default();
    assert_eq!(view.insert(at(0), "s/u1", upstream("u1", Some(1))), None);
    assert_eq!(view.insert(at(1), "s/u1", upstream("u1", Some(1))), None);
    let anew = view.insert(at(2), "s/u1", upstream("u1", Some(2)));
    assert_eq!(anew, Some("u1".into()));
}

#[test]
fn an_evacuated_zone_gets_no_work_until_it_is_taken_back() {
    let mut view = View::default();
    view.insert(at(0), "s/u1", upstream("u1", None));
    view.insert(at(0), "e/z1", Entry::Evacuated("z1".into()));
    assert_eq!(view.usable(at(1)).count(), 0);
    view.remove(at(2), "e/z1", at(2));
    assert_eq!(view.usable(at(3)).count(), 1);
}

#[tokio::test(start_paused = true)]
async fn one_loss_is_forgiven_and_two_in_a_row_are_not() {
    let mut health = health::Table::default();
    let id = "u1".into();
    assert!(!health.record(Instant::now(), &id, Observation::Lost));
    health.record(Instant::now(), &id, Observation::Answered);
    assert!(!health.record(Instant::now(), &id, Observation::Lost));
    assert!(health.record(Instant::now(), &id, Observation::Lost));
    assert_eq!(health.status(Instant::now(), &id), Status::Suspect);
    tokio::time::advance(Duration::from_millis(500)).await;
    assert_eq!(health.status(Instant::now(), &id), Status::Probe);
    // One request at a time tries it.
    health.begin_probe(Instant::now(), &id);
    assert_eq!(health.status(Instant::now(), &id), Status::Suspect);
    health.record(Instant::now(), &id, Observation::Answered);
    assert_eq!(health.status(Instant::now(), &id), Status::Healthy);
}

#[tokio::test(start_paused = true)]
async fn an_upstream_that_is_not_reached_is_suspect_at_once() {
    let mut health = health::Table::default();
    let id = "u1".into();
    assert!(health.record(Instant::now(), &id, Observation::Unreachable));
    assert!(health.was_unreachable(Instant::now(), &id));
    let told = health.suspects(Instant::now(), health::Scope::Host);
    let mut other = health::Table::default();
    for (id, left, is_down) in &told {
        other.merge(Instant::now(), id, *left, *is_down, true);
    }
    assert_eq!(other.status(Instant::now(), &id), Status::Down);
    // What is only hearsay isn't passed on.
    assert!(
        other
            .suspects(Instant::now(), health::Scope::Host)
            .is_empty()
    );
    let told = other.suspects(Instant::now(), health::Scope::Zone);
    assert_eq!(told.len(), 1, "hosts of the zone found it");
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

#[tokio::test(start_paused = true)]
async fn a_zone_is_silent_once_none_of_its_hosts_is_heard() {
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

#[tokio::test(start_paused = true)]
async fn hearsay_doesn_t_stop_an_upstream_that_answers_here() {
    let mut health = health::Table::default();
    let id = "u1".into();
    health.record(Instant::now(), &id, Observation::Answered);
    health.merge(Instant::now(), &id, Duration::from_secs(2), true, true);
    assert_eq!(health.status(Instant::now(), &id), Status::Healthy);
}

#[tokio::test(start_paused = true)]
async fn loads_of_a_silent_host_are_forgotten() {
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

fn announcement(process: u64) -> peers::Announcement {
    peers::Announcement {
        zone: "z1".into(),
        process,
        is_leaving: false,
        revision: 1,
        age: Some(Duration::ZERO),
        link_mbps: 10,
        is_informed: false,
    }
}

#[tokio::test(start_paused = true)]
async fn a_host_that_falls_silent_keeps_its_part_of_budgets() {
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
#[case::near_is_ahead(&[(2, "z1", 5, 9_000), (3, "z2", 9, 0)], 4, Some(2))]
#[case::near_is_fresh(&[(2, "z1", 5, 0), (3, "z2", 9, 0)], 5, Some(2))]
#[case::near_has_nothing_new(&[(2, "z1", 5, 9_000), (3, "z2", 9, 0)], 5, Some(3))]
#[case::latest_of_the_zone(&[(2, "z1", 5, 0), (3, "z1", 6, 50)], 4, Some(3))]
#[case::nobody_is_useful(&[(2, "z1", 5, 9_000), (3, "z2", 5, 9_000)], 5, None)]
#[tokio::test(start_paused = true)]
async fn a_host_that_lags_asks_its_own_zone_first(
    #[case] others: &[(u8, &str, u64, u64)],
    #[case] revision: u64,
    #[case] asked: Option<u8>,
) {
    let address = |last| Ipv4Addr::new(10, 0, 0, last);
    let mut table = peers::Table::new(address(1), Vec::new());
    for (last, zone, revision, age_ms) in others {
        let said = peers::Announcement {
            zone: (*zone).into(),
            revision: *revision,
            age: Some(Duration::from_millis(*age_ms)),
            ..announcement(u64::from(*last))
        };
        table.receive(Instant::now(), address(*last), said);
    }
    let stale = Duration::from_secs(2);
    let chosen = table.best_source(Instant::now(), &"z1".into(), revision, stale);
    assert_eq!(chosen, asked.map(address));
}

#[tokio::test(start_paused = true)]
async fn hosts_learn_of_each_other_by_word_and_forget_the_dead() {
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
    // Hearsay doesn't make a host live.
    assert_eq!(table.live(now).count(), 0);
}

#[tokio::test(start_paused = true)]
async fn only_live_hosts_that_know_are_asked_near_ones_first() {
    let address = |last| Ipv4Addr::new(10, 0, 0, last);
    let now = Instant::now();
    let mut table = peers::Table::new(address(1), Vec::new());
    let informed = |zone: &str, is_informed| peers::Announcement {
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
    fn events_are_whole_whatever_the_pieces(
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
            let (piece, rest) = left.split_at((*size).min(left.len()));
            left = rest;
            splitter.push(piece);
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
