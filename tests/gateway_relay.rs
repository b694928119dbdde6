//! The recipients of gossip and the encoding of summaries, which keep traffic between zones
//! from growing with the square of the fleet.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use masticmoor::gateway::datagram;
use masticmoor::gateway::datagram::Datagram;
use masticmoor::gateway::headers::Notice;
use masticmoor::gateway::load;
use masticmoor::gateway::notice;
use masticmoor::gateway::peers;
use masticmoor::gateway::peers::Selection;
use masticmoor::gateway::relay;
use masticmoor::gateway::relay::LocalHost;
use masticmoor::gateway::relay::Recipients;
use masticmoor::gateway::relay::Relay;
use masticmoor::gateway::upstream::Upstream;
use masticmoor::ident;
use masticmoor::policy::quarantine;
use rstest::rstest;
use tokio::time::Instant;

const ZONES: u8 = 4;

/// Longer than a host needs after its start to discover the others.
const SETTLED: Duration = Duration::from_secs(30);

fn address(zone: u8, host: u8) -> Ipv4Addr {
    Ipv4Addr::new(10, zone, 0, host)
}

fn zone(number: u8) -> ident::Zone {
    format!("z{number}").as_str().into()
}

fn all(hosts: u8) -> impl Iterator<Item = (u8, u8)> {
    (0..ZONES).flat_map(move |zone| (0..hosts).map(move |host| (zone, host)))
}

fn announcement(number: u8, process: u64) -> peers::Announcement {
    peers::Announcement {
        format: masticmoor::gateway::datagram::VERSION,
        zone: zone(number),
        process,
        is_leaving: false,
        progress: peers::Progress::default(),
        has_joined: true,
        age: Some(Duration::ZERO),
        link_mbps: 10,
        is_informed: false,
        fleet_size: None,
        unreachable: Vec::new(),
    }
}

/// The peer tables and relays of all hosts of a fleet with `ZONES` zones.
struct Fleet {
    hosts: BTreeMap<(u8, u8), (peers::Table, Relay)>,
}

impl Fleet {
    /// Returns a fleet of `hosts` hosts per zone that started `age` ago and know each
    /// other.
    async fn new(hosts: u8, age: Duration) -> Self {
        let own = |(zone, host)| peers::Table::new(address(zone, host), Vec::new());
        let mut fleet: BTreeMap<_, _> = all(hosts)
            .map(|it| (it, (own(it), Relay::default())))
            .collect();
        for (table, _) in fleet.values_mut() {
            table.contacts(Instant::now(), Selection::Sample);
        }
        tokio::time::advance(age).await;
        let mut fleet = Self { hosts: fleet };
        fleet.receive_all();
        fleet
    }

    fn receive_all(&mut self) {
        let all: Vec<_> = self.hosts.keys().copied().collect();
        for (it, (table, _)) in &mut self.hosts {
            for (zone, host) in all.iter().filter(|other| *other != it) {
                let announcement = announcement(*zone, u64::from(*host));
                table.receive(Instant::now(), address(*zone, *host), announcement);
            }
        }
    }

    fn next_round(&mut self) -> BTreeMap<(u8, u8), Recipients> {
        let now = Instant::now();
        let rounds = self.hosts.iter_mut().map(|(it, (table, relay))| {
            let targets = table.targets(now);
            let zone = zone(it.0);
            let own = LocalHost {
                address: address(it.0, it.1),
                zone: &zone,
                link_mbps: 10,
            };
            (*it, relay.next_round(now, &own, table, &targets))
        });
        rounds.collect()
    }
}

fn zone_of(address: &Ipv4Addr) -> u8 {
    address.octets()[1]
}

#[tokio::test(start_paused = true)]
async fn hosts_of_a_small_fleet_send_to_all_others() {
    let mut fleet = Fleet::new(3, SETTLED).await;
    for round in fleet.next_round().values() {
        assert_eq!(round.direct.len(), 11);
        assert!(round.remote.is_empty() && round.summary.is_empty());
    }
}

#[rstest]
#[case::large(20, SETTLED)]
#[case::very_large_but_just_started(50, Duration::from_secs(1))]
#[tokio::test(start_paused = true)]
async fn each_host_of_another_zone_gets_a_message_within_five_rounds(
    #[case] hosts: u8,
    #[case] age: Duration,
) {
    let mut fleet = Fleet::new(hosts, age).await;
    let mut reached: BTreeMap<(u8, u8), Vec<Ipv4Addr>> = BTreeMap::new();
    for _ in 0..5 {
        for (it, round) in fleet.next_round() {
            assert_eq!(round.direct.len(), usize::from(hosts) - 1);
            assert!(round.summary.is_empty());
            reached.entry(it).or_default().extend(round.remote);
        }
    }
    for (it, mut reached) in reached {
        reached.sort();
        let remote = all(hosts).filter(|other| other.0 != it.0);
        let remote: Vec<_> = remote.map(|(zone, host)| address(zone, host)).collect();
        assert_eq!(reached, remote);
    }
}

/// Number of datagrams of a zone's summary: the loads of two hundred upstreams, and five hundred
/// prompts.
const SUMMARY_DATAGRAMS: usize = 24;

/// Guards against a host that has to forward a whole summary to its zone: it would fill its link,
/// and what comes last, where prompts are held, would be lost.
fn check_spread(round: &Recipients) {
    for hosts in &round.summary {
        let zone = zone_of(hosts.first().unwrap());
        let recipients = (0..SUMMARY_DATAGRAMS).flat_map(|it| round.summary_hosts(it));
        let recipients: Vec<_> = recipients.filter(|it| zone_of(it) == zone).collect();
        assert_eq!(recipients.len(), SUMMARY_DATAGRAMS);
        let different: BTreeSet<_> = recipients.iter().collect();
        assert_eq!(different.len(), SUMMARY_DATAGRAMS);
    }
}

/// Whatever the size of a zone, two of its hosts send its summary to each other zone once
/// per second, and the hosts there receive it in rotation. Otherwise traffic between zones
/// would grow with the fleet, or some hosts would never receive a summary of other zones
/// directly.
#[rstest]
#[case(40)]
#[case(60)]
#[tokio::test(start_paused = true)]
async fn zones_of_a_very_large_fleet_exchange_summaries_through_two_hosts(#[case] hosts: u8) {
    let mut fleet = Fleet::new(hosts, SETTLED).await;
    let mut senders = BTreeSet::new();
    let mut receivers = BTreeSet::new();
    for _ in 0..=hosts / 2 {
        let mut pairs = Vec::new();
        for (it, round) in fleet.next_round() {
            assert_eq!(round.direct.len(), usize::from(hosts) - 1);
            assert!(round.direct.iter().all(|host| zone_of(host) == it.0));
            assert!(round.remote.is_empty());
            for recipient in round.summary_hosts(0) {
                senders.insert(it);
                pairs.push((it.0, zone_of(&recipient)));
            }
            receivers.extend(round.summary.iter().flatten().copied());
            check_spread(&round);
        }
        tokio::time::advance(Duration::from_millis(500)).await;
        for round in fleet.next_round().values() {
            assert!(round.summary.is_empty());
        }
        tokio::time::advance(Duration::from_millis(500)).await;
        fleet.receive_all();
        pairs.sort();
        let other = |it: &(u8, u8)| it.0 != it.1;
        let expected = (0..ZONES).flat_map(|from| (0..ZONES).map(move |to| (from, to)));
        let expected = expected.filter(other).flat_map(|it| [it, it]);
        assert_eq!(pairs, expected.collect::<Vec<_>>());
    }
    assert_eq!(senders.len(), usize::from(ZONES) * 2);
    assert_eq!(receivers.len(), usize::from(ZONES) * usize::from(hosts));
}

/// Guards against parts of a summary that are lost with the hosts that should forward them.
#[tokio::test(start_paused = true)]
async fn a_summary_goes_to_hosts_that_are_up() {
    let mut fleet = Fleet::new(50, SETTLED).await;
    tokio::time::advance(Duration::from_secs(20)).await;
    let up: BTreeSet<_> = all(50).filter(|it| it.1 % 5 == 0).collect();
    for (it, (table, _)) in &mut fleet.hosts {
        for (zone, host) in up.iter().filter(|other| *other != it) {
            let announcement = announcement(*zone, u64::from(*host));
            table.receive(Instant::now(), address(*zone, *host), announcement);
        }
    }
    let up: BTreeSet<_> = up.iter().map(|it| address(it.0, it.1)).collect();
    let rounds = fleet.next_round();
    let recipients = rounds.values().flat_map(|round| round.summary.iter());
    let recipients: BTreeSet<_> = recipients.flatten().copied().collect();
    assert_eq!(recipients, up);
}

#[tokio::test(start_paused = true)]
async fn a_starting_host_of_another_zone_is_answered_once() {
    let mut fleet = Fleet::new(50, SETTLED).await;
    let starting_host = address(3, 7);
    let (_, relay) = fleet.hosts.get_mut(&(0, 0)).unwrap();
    relay.record_starting(starting_host, &zone(3));
    let rounds = fleet.next_round();
    assert_eq!(rounds[&(0, 0)].starting, vec![(starting_host, zone(3))]);
    assert!(fleet.next_round()[&(0, 0)].starting.is_empty());
    let (table, _) = fleet.hosts.get_mut(&(0, 0)).unwrap();
    let contacts = table.contacts(Instant::now(), Selection::Zone(&zone(3)));
    assert!(!contacts.is_empty());
    assert!(contacts.iter().all(|contact| contact.zone == zone(3)));
}

/// Time in which all hosts have to know a crash, or what an upstream announced.
const SPREAD_LIMIT: Duration = Duration::from_secs(3);

/// Time between two rounds of a host in a zone of 50.
const ROUND: Duration = Duration::from_millis(800);

/// Number of hosts per zone of a very large fleet.
const HOSTS: u8 = 50;

/// Returns one table for each host of a very large fleet.
fn tables<T>(table: impl Fn() -> T) -> BTreeMap<Ipv4Addr, T> {
    let hosts = all(HOSTS).map(|(zone, host)| (address(zone, host), table()));
    hosts.collect()
}

/// Lets the hosts of a very large fleet exchange reports, and fails unless all of them know in
/// time what one does.
async fn spread<T, R>(
    fleet: &mut Fleet,
    tables: &mut BTreeMap<Ipv4Addr, T>,
    reports: impl Fn(&mut T, Instant) -> Vec<R>,
    merge: impl Fn(&mut T, Instant, &R),
    knows: impl Fn(&T) -> bool,
) {
    let begun = Instant::now();
    let mut unknown = tables.len() - 1;
    while unknown > 0 {
        assert!(begun.elapsed() < SPREAD_LIMIT, "{unknown} hosts");
        for (from, round) in fleet.next_round() {
            let now = Instant::now();
            let sender = tables.get_mut(&address(from.0, from.1)).unwrap();
            let reports = reports(sender, now);
            // The recipient of a summary forwards it to its zone.
            let forwarded = round.summary_hosts(0).flat_map(|to| {
                let zone = zone_of(&to);
                (0..HOSTS).map(move |host| address(zone, host))
            });
            for to in round.direct.iter().copied().chain(forwarded) {
                let table = tables.get_mut(&to).unwrap();
                for report in &reports {
                    merge(table, now, report);
                }
            }
        }
        unknown = tables.values().filter(|it| !knows(it)).count();
        tokio::time::advance(ROUND).await;
        fleet.receive_all();
    }
}

#[tokio::test(start_paused = true)]
async fn all_hosts_of_a_very_large_fleet_know_a_crash_in_time() {
    let mut fleet = Fleet::new(HOSTS, SETTLED).await;
    let mut tables = tables(|| quarantine::Table::new(quarantine::Limits::default()));
    let now = Instant::now();
    let first = tables.get_mut(&address(0, 7)).unwrap();
    first.record_crash(now, &[666], 1, &"u1".into(), now);
    spread(
        &mut fleet,
        &mut tables,
        |table, now| {
            let reports = table.reports(now, 5);
            table.record_reported(now, &reports);
            reports
        },
        |table, now, report| table.merge(now, report),
        |table| table.contains(&[666]),
    )
    .await;
}

/// Many upstreams have announced something before, and messages hold few of them.
#[tokio::test(start_paused = true)]
async fn all_hosts_of_a_very_large_fleet_know_what_an_upstream_announced_in_time() {
    let upstream = |id: &str| Upstream {
        id: id.into(),
        service: "pool".into(),
        version: "v1".into(),
        address: ([10, 9, 0, 1], 80).into(),
        zone: zone(1),
        slots: 8,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: Some(1),
    };
    let announced = Notice {
        is_leaving: true,
        limit: Some(2.5),
        ..Notice::default()
    };
    let mut fleet = Fleet::new(HOSTS, SETTLED).await;
    let mut tables = tables(notice::Table::default);
    let now = Instant::now();
    for table in tables.values_mut() {
        for number in 0..300 {
            let old = upstream(&format!("old-{number}"));
            table.record(now, now, &old, &announced);
        }
    }
    tokio::time::advance(SETTLED).await;
    fleet.receive_all();
    let one = upstream("u1");
    let now = Instant::now();
    let first = tables.get_mut(&address(0, 7)).unwrap();
    first.record(now, now, &one, &announced);
    spread(
        &mut fleet,
        &mut tables,
        |table, now| {
            let reports = table.reports(now);
            table.record_reported(now, &reports);
            reports
        },
        |table, now, report| {
            table.merge(now, report, Duration::ZERO);
        },
        |table| table.is_leaving(&one) && table.limit(&one) == Some(2.5),
    )
    .await;
}

fn summary(loads: usize, prefix: &str) -> datagram::Summary {
    let id = |number| format!("{prefix}-{number:010x}").as_str().into();
    datagram::Summary {
        sender: datagram::Sender {
            is_informed: false,
            fleet_size: None,
            unreachable: Vec::new(),
            process: 1,
            zone: zone(1),
            is_leaving: false,
            progress: peers::Progress::default(),
            has_joined: true,
            age_ms: Some(3),
            link_mbps: 10,
        },
        address: address(1, 1),
        shard: (0, 1),
        report: datagram::Report {
            loads: (0..loads).map(|number| (id(number), 3)).collect(),
            suspects: vec![(id(1), 500, true)],
            ..datagram::Report::default()
        },
    }
}

#[rstest]
#[case(0, 0, "i")]
#[case(30, 1, "i")]
#[case(4_200, 512, "i")]
#[case::long_names(
    300,
    200,
    "an-upstream-whose-operators-like-to-give-it-a-name-that-says-it-all"
)]
fn a_summary_is_split_into_shards_that_fit_a_datagram(
    #[case] upstreams: usize,
    #[case] count: u64,
    #[case] prefix: &str,
) {
    let full = summary(upstreams, prefix);
    let prompts: Vec<_> = (0..count).map(|key| (key, prefix.into())).collect();
    let mut with_prompts = full.clone();
    with_prompts.report.placements = prompts.clone();
    let datagrams = with_prompts.encode().unwrap();
    let mut loads = Vec::new();
    let mut found = Vec::new();
    let mut suspects = 0;
    for bytes in &datagrams {
        assert!(bytes.len() <= datagram::DATAGRAM_BYTES, "{}", bytes.len());
        let Datagram::Summary(shard) = datagram::decode(bytes).unwrap().datagram else {
            panic!("no summary");
        };
        loads.extend(shard.report.loads);
        found.extend(shard.report.placements);
        suspects += shard.report.suspects.len();
    }
    loads.sort();
    assert_eq!(loads, full.report.loads);
    assert_eq!(found, prompts);
    assert_eq!(suspects, 1);
}

#[test]
fn a_datagram_of_another_version_is_distinguished_from_a_corrupt_one() {
    let bytes = summary(1, "i").encode().unwrap().remove(0);
    for unknown in [4, 11] {
        let other: Vec<u8> = [&[unknown], &bytes[1..]].concat();
        let version = datagram::decode(&other);
        assert!(matches!(version, Err(datagram::Fault::Version(it)) if it == unknown));
    }
    let empty = datagram::decode(&[]);
    assert!(matches!(empty, Err(datagram::Fault::Empty)));
    let truncated = datagram::decode(&bytes[..bytes.len() / 2]);
    assert!(matches!(truncated, Err(datagram::Fault::Decode(_))));
}

/// If a host reported the loads of other zones as those of its own hosts, they would be
/// counted several times.
#[tokio::test(start_paused = true)]
async fn loads_of_other_zones_are_not_reported_as_those_of_own_hosts() {
    let mut loads = load::Table::default();
    let id: ident::Upstream = "u1".into();
    let now = Instant::now();
    loads.begin(&id);
    loads.report(now, load::Source::Host(7), [(id.clone(), 2)].into());
    loads.report(now, load::Source::RemoteHost(8), [(id.clone(), 4)].into());
    loads.report(now, load::Source::Zone(1, 0, 1), [(id.clone(), 8)].into());
    loads.report(now, load::Source::Zone(1, 0, 1), [(id.clone(), 16)].into());
    loads.report(now, load::Source::Zone(2, 0, 1), [(id.clone(), 32)].into());
    assert_eq!(loads.total(&id), 1 + 2 + 4 + 16 + 32);
    // Loads of the same zone, divided into more shards.
    loads.report(now, load::Source::Zone(1, 1, 2), [(id.clone(), 17)].into());
    assert_eq!(loads.total(&id), 1 + 2 + 4 + 17 + 32);
    assert_eq!(loads.host_totals(), [(id, 3)].into());
}

#[test]
fn only_very_large_fleets_exchange_summaries_of_zones() {
    assert!(!relay::is_relayed(83));
    assert!(relay::is_relayed(380));
}
