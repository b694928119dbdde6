//! Which hosts know the version that began a stream, and for how long.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::net::Ipv4Addr;
use std::time::Duration;

use masticmoor::boot;
use masticmoor::gateway::datagram;
use masticmoor::gateway::datagram::DATAGRAM_BYTES;
use masticmoor::gateway::datagram::Datagram;
use masticmoor::gateway::datagram::Origins;
use masticmoor::gateway::origin;
use masticmoor::gateway::origin::Table;
use masticmoor::gateway::peers;
use masticmoor::gateway::peers::Announcement;
use masticmoor::gateway::peers::Contact;
use masticmoor::gateway::peers::Progress;
use masticmoor::gateway::source::Entry;
use masticmoor::gateway::upstream::Upstream;
use masticmoor::gateway::view::View;
use masticmoor::ident;
use masticmoor::mirror::Position;
use rstest::rstest;
use tokio::time::Instant;

/// The hosts of a fleet with their zones.
fn fleet(zones: u8, hosts_per_zone: u8) -> Vec<(Ipv4Addr, ident::Zone)> {
    let zones = 0..zones;
    let hosts = zones.flat_map(|zone| (0..hosts_per_zone).map(move |host| (zone, host)));
    let hosts = hosts.map(|(zone, host)| {
        let name = format!("z{zone}");
        (Ipv4Addr::new(10, zone, 0, host), name.as_str().into())
    });
    hosts.collect()
}

fn others<'a>(
    fleet: &'a [(Ipv4Addr, ident::Zone)],
    except: &'a [Ipv4Addr],
) -> impl Iterator<Item = (Ipv4Addr, &'a ident::Zone)> {
    let others = fleet.iter().filter(|(host, _)| !except.contains(host));
    others.map(|(host, zone)| (*host, zone))
}

/// Guards against streams that end with the host that began them: any other host has to
/// find a host that was told, also after the loss of the whole zone.
#[rstest]
#[case::small(4, 2)]
#[case::one_zone(1, 3)]
#[case::one_host_per_zone(3, 1)]
#[case::design_size(9, 42)]
fn any_host_asks_a_host_that_was_told(#[case] zones: u8, #[case] hosts: u8) {
    let fleet = fleet(zones, hosts);
    for key in 0..8 {
        let key = origin::key(&format!("attempt-{key}"));
        let teller = &fleet[usize::try_from(key % fleet.len() as u64).unwrap()];
        let told = origin::witnesses(key, &teller.1, others(&fleet, &[teller.0]));
        let is_small = fleet.len() <= 16;
        let expected = if is_small { fleet.len() - 1 } else { 2 };
        assert_eq!(told.len(), expected);
        let lost_zone = fleet.iter().filter(|(_, zone)| *zone == teller.1);
        let lost_zone: Vec<_> = lost_zone.map(|(host, _)| *host).collect();
        for asker in fleet.iter().filter(|host| host.0 != teller.0) {
            // The asker may still take the lost host for live.
            for lost in [&[][..], &[teller.0], &lost_zone] {
                if zones == 1 && lost.len() > 1 || lost.contains(&asker.0) {
                    continue;
                }
                let except: Vec<_> = lost.iter().copied().chain([asker.0]).collect();
                let asked = origin::witness_candidates(key, others(&fleet, &except));
                let most = if is_small { 15 } else { 2 * usize::from(zones) };
                assert!(asked.len() <= most);
                let knows = |host: &Ipv4Addr| !lost.contains(host) && told.contains(host);
                assert!(
                    knows(&asker.0) || asked.iter().any(knows),
                    "{key}: {} of {lost:?} lost, {told:?} told, {asked:?} asked by {}",
                    lost.len(),
                    asker.0
                );
            }
        }
    }
}

/// Guards against streams that end when most hosts of a small fleet lose power at once: whichever
/// host is left was told, and those that come back ask it.
#[rstest]
#[case::three_zones(3, 3)]
#[case::four_zones(4, 4)]
fn the_only_host_that_survives_was_told_and_is_asked(#[case] zones: u8, #[case] hosts: u8) {
    let fleet = fleet(zones, hosts);
    for key in 0..8 {
        let key = origin::key(&format!("attempt-{key}"));
        for (teller, zone) in &fleet {
            let told = origin::witnesses(key, zone, others(&fleet, &[*teller]));
            for (survivor, _) in fleet.iter().filter(|(host, _)| host != teller) {
                assert!(
                    told.contains(survivor),
                    "{survivor} wasn't told by {teller}"
                );
                for (asker, _) in fleet.iter().filter(|(host, _)| host != survivor) {
                    let asked = origin::witness_candidates(key, others(&fleet, &[*asker]));
                    assert!(asked.contains(survivor), "{asker} doesn't ask {survivor}");
                }
            }
        }
    }
}

#[tokio::test(start_paused = true)]
async fn a_stream_is_forgotten_when_no_caller_can_resume_it() {
    let mut table = Table::default();
    let version = ident::Version::from("v1");
    table.record(Instant::now(), 1, &version);
    assert_eq!(table.version(Instant::now(), 1), Some(&version));
    assert_eq!(table.version(Instant::now(), 2), None);
    tokio::time::advance(Duration::from_secs(50)).await;
    // A caller resumed it and got an event.
    table.record_local(Instant::now(), 1, &version);
    tokio::time::advance(Duration::from_secs(50)).await;
    assert_eq!(table.version(Instant::now(), 1), Some(&version));
    tokio::time::advance(Duration::from_secs(20)).await;
    assert_eq!(table.version(Instant::now(), 1), None);
    table.record(Instant::now(), 2, &version);
    assert_eq!(table.len(), 1);
}

#[tokio::test(start_paused = true)]
async fn streams_are_bounded_and_the_newest_are_kept() {
    let mut table = Table::default();
    let version = ident::Version::from("v1");
    for key in 0..40_000 {
        table.record_local(Instant::now(), key, &version);
        if key % 100 == 0 {
            tokio::time::advance(Duration::from_millis(1)).await;
        }
    }
    assert_eq!(table.len(), 32_768);
    assert_eq!(table.version(Instant::now(), 39_999), Some(&version));
    assert_eq!(table.version(Instant::now(), 0), None);
    assert!(table.take_updates().len() <= 1_024);
    assert!(table.take_updates().is_empty());
}

#[test]
fn streams_are_split_into_datagrams_that_fit() {
    let version = ident::Version::from("2026.11.30-build.4711+abcdef0");
    let streams: Vec<_> = (0..500)
        .map(|key| (u64::MAX - key, version.clone()))
        .collect();
    let origins = Origins {
        streams: streams.clone(),
    };
    let mut decoded = Vec::new();
    for bytes in origins.encode().unwrap() {
        assert!(bytes.len() <= DATAGRAM_BYTES);
        match datagram::decode(&bytes).unwrap().datagram {
            Datagram::Origins(part) => decoded.extend(part.streams),
            other => panic!("{other:?}"),
        }
    }
    assert_eq!(decoded, streams);
}

fn position(revision: u64) -> Position {
    Position { era: 0, revision }
}

fn at(seconds: u64) -> boot::Instant {
    boot::Instant::at(Duration::from_secs(seconds))
}

fn upstream(id: &str, version: &str) -> Entry {
    Entry::Upstream(Upstream {
        id: id.into(),
        service: "a".into(),
        version: version.into(),
        address: "10.0.0.1:80".parse().unwrap(),
        zone: "z1".into(),
        slots: 4,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: None,
    })
}

/// Guards against a host that takes the only version it sees for the one that began a
/// stream before the end of a release.
#[test]
fn a_version_is_the_only_one_once_no_stream_of_another_can_be_left() {
    let lookback = Duration::from_secs(36);
    let service = "a".into();
    let only = |view: &View, now: u64, lookback| {
        let version = view.only_version(at(now), &service, lookback);
        version.map(|it| it.as_str().to_owned())
    };
    let mut view = View::default();
    view.insert(at(100), "u/1", upstream("u1", "v1"));
    assert_eq!(only(&view, 100, Duration::ZERO).as_deref(), Some("v1"));
    // Another version may have been removed before this host started.
    assert_eq!(only(&view, 120, lookback), None);
    assert_eq!(only(&view, 136, lookback).as_deref(), Some("v1"));
    view.insert(at(140), "u/2", upstream("u2", "v2"));
    assert_eq!(only(&view, 140, Duration::ZERO), None);
    view.remove(at(150), "u/1", at(150));
    assert_eq!(only(&view, 150, Duration::ZERO).as_deref(), Some("v2"));
    assert_eq!(only(&view, 180, lookback), None);
    assert_eq!(only(&view, 187, lookback).as_deref(), Some("v2"));
    // The same entry with another version.
    view.insert(at(200), "u/2", upstream("u2", "v3"));
    assert_eq!(only(&view, 220, lookback), None);
    // An entry that can't be decoded any more.
    view.insert(at(240), "u/3", upstream("u3", "v4"));
    view.invalidate(at(241), "u/3");
    assert_eq!(only(&view, 242, lookback), None);
    assert_eq!(only(&view, 278, lookback).as_deref(), Some("v3"));
    // An entry that expired in an outage of the store and wasn't restored.
    view.insert(at(300), "u/4", upstream("u4", "v5"));
    view.remove(at(301), "u/4", at(303));
    assert_eq!(only(&view, 302, Duration::ZERO), None);
    view.remove(at(340), "u/9", at(340));
    assert_eq!(only(&view, 341, lookback), None);
    assert_eq!(only(&view, 377, lookback).as_deref(), Some("v3"));
}

/// Guards against a host that starts and takes the only version that it sees for the one that began
/// a stream, and against one that refuses streams which only that version can have begun.
#[test]
fn a_host_that_starts_learns_which_versions_there_were() {
    let service = "a".into();
    let only = |view: &View, now: u64, lookback| {
        let lookback = Duration::from_secs(lookback);
        let version = view.only_version(at(now), &service, lookback);
        version.map(|it| it.as_str().to_owned())
    };
    let mut old = View::default();
    old.insert(at(100), "u/1", upstream("u1", "v1"));
    old.insert(at(110), "u/2", upstream("u2", "v2"));
    old.remove(at(150), "u/2", at(150));
    let mut new = View::default();
    new.insert(at(200), "u/1", upstream("u1", "v1"));
    assert_eq!(only(&new, 201, 36), None);
    new.record_gap(at(200), position(7));
    // A copy from before this host's own, so that changes between the two are unknown.
    let behind = old.history(at(201), position(6));
    assert!(!new.extend_history(at(201), &behind));
    assert_eq!(only(&new, 201, 36), None);
    let history = old.history(at(201), position(7));
    assert!(new.extend_history(at(201), &history));
    assert_eq!(only(&new, 201, 36).as_deref(), Some("v1"));
    assert_eq!(only(&new, 201, 60), None);
    assert_eq!(only(&new, 201, 102), None);
    // A host that knows less adds nothing.
    let mut other = View::default();
    other.insert(at(190), "u/1", upstream("u1", "v1"));
    let short = other.history(at(202), position(9));
    assert!(!new.extend_history(at(202), &short));
    // It missed changes itself.
    new.record_gap(at(203), position(9));
    assert_eq!(only(&new, 204, 36), None);
}

#[tokio::test(start_paused = true)]
async fn hosts_of_other_zones_that_others_hear_from_are_addressable() {
    let address = |last| Ipv4Addr::new(10, 0, 0, last);
    let mut table = peers::Table::new(address(1), Vec::new());
    let announcement = |is_leaving| Announcement {
        format: masticmoor::gateway::datagram::VERSION,
        zone: "z1".into(),
        process: 1,
        is_leaving,
        progress: Progress::default(),
        has_joined: true,
        age: None,
        link_mbps: 1,
        is_informed: true,
        fleet_size: None,
        unreachable: Vec::new(),
    };
    let now = Instant::now();
    table.receive(now, address(2), announcement(false));
    table.receive(now, address(3), announcement(true));
    let contact = |last, silent_ms| Contact {
        address: address(last),
        zone: "z2".into(),
        silent_ms,
    };
    table.add(now, &contact(4, 2_000));
    table.add(now, &contact(5, 20_000));
    let addressable = |table: &peers::Table| {
        let hosts = table.addressable(Instant::now()).map(|(host, _)| host);
        hosts.collect::<Vec<_>>()
    };
    assert_eq!(addressable(&table), [address(2), address(4)]);
    // A host that fell silent, although another one still lists it.
    tokio::time::advance(Duration::from_secs(4)).await;
    table.add(Instant::now(), &contact(2, 3_500));
    assert_eq!(addressable(&table), [address(4)]);
}
