//! Zones that are cut off, and zones without a live host.

#[path = "fleet/net.rs"]
mod net;

use std::time::Duration;

use masticmoor::ident;
use masticmoor::member::listing::Listing;
use masticmoor::member::listing::State;
use masticmoor::member::view::TAKEOVER_SHARE;
use net::MAX_HEARTBEAT_INTERVAL;
use net::Net;
use net::TIMING;
use net::host_name;
use net::upstreams;
use net::zone_name;
use rstest::rstest;

fn zones_up(seed: u64) -> Net {
    let mut net = Net::new(3, 3, seed);
    net.run(Duration::from_secs(10));
    list(&mut net, &[]);
    net
}

/// Publishes the platform's list, with all hosts live but these zones'.
fn list(net: &mut Net, empty: &[u8]) {
    let gone: Vec<_> = empty.iter().flat_map(|zone| net.hosts_of(*zone)).collect();
    let hosts = net
        .register
        .hosts
        .keys()
        .filter(|host| !gone.contains(host));
    let listing = |host: &ident::Host| Listing {
        host: host.clone(),
        state: State::Live,
    };
    let list: Vec<_> = hosts.map(listing).collect();
    for node in net.nodes.values_mut() {
        node.view.set_listings(&list);
    }
}

fn shares(net: &Net, zone: u8) -> Vec<(ident::Host, f64)> {
    let zone = zone_name(zone);
    let nodes = net.nodes.iter();
    nodes
        .filter_map(|(host, node)| node.view.takeover_share(&zone).map(|s| (host.clone(), s)))
        .collect()
}

fn homed(net: &Net, zone: u8) -> usize {
    let all = upstreams(zone, 20);
    let homes = all.iter().map(|(name, spec)| net.homes(name, spec).len());
    assert!(homes.clone().all(|count| count <= 1));
    homes.sum()
}

#[rstest]
#[case(1)]
#[case(2)]
fn each_zone_knows_the_live_hosts_of_the_others(#[case] seed: u64) {
    let mut net = zones_up(seed);
    net.kill(&host_name(1, 0));
    net.run(TIMING.lease + MAX_HEARTBEAT_INTERVAL * 4);
    for host in net.hosts_of(0) {
        assert_eq!(net.live(&host, 1), [host_name(1, 1), host_name(1, 2)]);
        assert_eq!(net.live(&host, 2), net.hosts_of(2));
    }
}

/// Cut off from the platform and the other zones, for long: it keeps its own
/// upstreams, and no other zone takes them while the platform lists its hosts.
#[rstest]
#[case(1)]
#[case(2)]
fn a_zone_that_is_cut_off_keeps_its_homes(#[case] seed: u64) {
    let mut net = zones_up(seed);
    let (zone, mut others) = (net.hosts_of(0), net.hosts_of(1));
    others.extend(net.hosts_of(2));
    net.cut_between(&zone, &others);
    net.run_with(TIMING.zone_lease * 4, |net| {
        assert_eq!(homed(net, 0), 20);
        assert!(shares(net, 0).is_empty());
    });
}

/// Nothing heard is not enough, and neither is the platform's word.
#[rstest]
fn an_empty_zone_is_taken_over_once_both_sources_agree(#[values(1, 2)] seed: u64) {
    let mut net = zones_up(seed);
    for host in net.hosts_of(0) {
        net.kill(&host);
    }
    net.run(TIMING.zone_lease * 2);
    assert!(shares(&net, 0).is_empty(), "the platform still lists it");
    list(&mut net, &[0]);
    assert_eq!(homed(&net, 0), 20);
    let next = net.hosts_of(1).into_iter();
    let expected: Vec<_> = next.map(|host| (host, TAKEOVER_SHARE)).collect();
    assert_eq!(shares(&net, 0), expected);
}

#[rstest]
fn a_listed_zone_is_never_taken_over_early(#[values(1, 2)] seed: u64) {
    let mut net = zones_up(seed);
    for host in net.hosts_of(0) {
        net.kill(&host);
    }
    list(&mut net, &[0]);
    net.run(TIMING.zone_lease - TIMING.heartbeat * 2);
    assert!(shares(&net, 0).is_empty(), "it was heard of late");
    net.run(TIMING.lease);
    assert_eq!(shares(&net, 0).len(), 3);
}

#[rstest]
fn a_zone_that_returns_gets_its_upstreams_back_at_once(#[values(1, 2)] seed: u64) {
    let mut net = zones_up(seed);
    let zone = net.hosts_of(0);
    for host in &zone {
        net.kill(host);
    }
    list(&mut net, &[0]);
    net.run(TIMING.zone_lease + TIMING.lease);
    net.start(&zone[1]);
    net.run(MAX_HEARTBEAT_INTERVAL * 2);
    let back = &net.nodes[&zone[1]].view;
    assert!(!back.admits(net.now), "it listens first");
    assert!(shares(&net, 0).is_empty());
    net.run(MAX_HEARTBEAT_INTERVAL * 3);
    assert_eq!(homed(&net, 0), 20);
}

/// The second zone to help stands back while the platform lists the first.
#[test]
fn only_the_nearest_zone_takes_over() {
    let mut net = zones_up(4);
    for host in net.hosts_of(0) {
        net.kill(&host);
    }
    let (one, two) = (net.hosts_of(1), net.hosts_of(2));
    net.cut_between(&one, &two);
    list(&mut net, &[0]);
    net.run(TIMING.zone_lease * 2);
    let takers: Vec<_> = shares(&net, 0).into_iter().map(|(host, _)| host).collect();
    assert_eq!(takers, one);
    list(&mut net, &[0, 1]);
    for host in &one {
        net.kill(host);
    }
    let takers: Vec<_> = shares(&net, 0).into_iter().map(|(host, _)| host).collect();
    assert_eq!(takers, two);
}
