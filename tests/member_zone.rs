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

fn started(seed: u64) -> Net {
    let mut net = Net::new(3, 3, seed);
    net.run(Duration::from_secs(10));
    list(&mut net, &[]);
    net
}

/// Sets the platform's list on all hosts. It lists all hosts as live except the
/// hosts of the zones in `empty`.
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

fn home_count(net: &Net, zone: u8) -> usize {
    let all = upstreams(zone, 20);
    let homes = all.iter().map(|(name, spec)| net.homes(name, spec).len());
    assert!(homes.clone().all(|count| count <= 1));
    homes.sum()
}

#[rstest]
#[case(1)]
#[case(2)]
fn each_zone_knows_the_live_hosts_of_the_others(#[case] seed: u64) {
    let mut net = started(seed);
    net.kill(&host_name(1, 0));
    net.run(TIMING.lease + MAX_HEARTBEAT_INTERVAL * 4);
    for host in net.hosts_of(0) {
        assert_eq!(net.live(&host, 1), [host_name(1, 1), host_name(1, 2)]);
        assert_eq!(net.live(&host, 2), net.hosts_of(2));
    }
}

/// A zone that is cut off from the platform and the other zones for long keeps
/// its own upstreams. No other zone takes them over while the platform lists
/// its hosts.
#[rstest]
#[case(1)]
#[case(2)]
fn a_zone_that_is_cut_off_keeps_its_upstreams(#[case] seed: u64) {
    let mut net = started(seed);
    let (zone, mut others) = (net.hosts_of(0), net.hosts_of(1));
    others.extend(net.hosts_of(2));
    net.cut_between(&zone, &others);
    net.run_with(TIMING.zone_lease * 4, |net| {
        assert_eq!(home_count(net, 0), 20);
        assert!(shares(net, 0).is_empty());
    });
}

/// A zone must not be taken over because of its silence alone, or because of
/// the platform's list alone.
#[rstest]
fn a_silent_zone_is_taken_over_once_the_platform_lists_no_host_of_it(#[values(1, 2)] seed: u64) {
    let mut net = started(seed);
    for host in net.hosts_of(0) {
        net.kill(&host);
    }
    net.run(TIMING.zone_lease * 2);
    assert!(shares(&net, 0).is_empty(), "the platform still lists it");
    list(&mut net, &[0]);
    assert_eq!(home_count(&net, 0), 20);
    let next = net.hosts_of(1).into_iter();
    let expected: Vec<_> = next.map(|host| (host, TAKEOVER_SHARE)).collect();
    assert_eq!(shares(&net, 0), expected);
}

#[rstest]
fn an_unlisted_zone_is_not_taken_over_within_the_zone_lease(#[values(1, 2)] seed: u64) {
    let mut net = started(seed);
    for host in net.hosts_of(0) {
        net.kill(&host);
    }
    list(&mut net, &[0]);
    net.run(TIMING.zone_lease - TIMING.heartbeat * 2);
    assert!(
        shares(&net, 0).is_empty(),
        "it was heard within the zone lease"
    );
    net.run(TIMING.lease);
    assert_eq!(shares(&net, 0).len(), 3);
}

#[rstest]
fn a_zone_that_returns_gets_its_upstreams_back(#[values(1, 2)] seed: u64) {
    let mut net = started(seed);
    let zone = net.hosts_of(0);
    for host in &zone {
        net.kill(host);
    }
    list(&mut net, &[0]);
    net.run(TIMING.zone_lease + TIMING.lease);
    net.start(&zone[1]);
    net.run(MAX_HEARTBEAT_INTERVAL * 2);
    let restarted = &net.nodes[&zone[1]].view;
    assert!(!restarted.admits(net.now), "it is still settling");
    assert!(shares(&net, 0).is_empty());
    net.run(MAX_HEARTBEAT_INTERVAL * 3);
    assert_eq!(home_count(&net, 0), 20);
}

/// While the platform still lists hosts of the nearest zone, the next one must
/// not take over as well, even if it hears nothing of the nearest zone.
#[test]
fn only_the_nearest_zone_takes_over() {
    let mut net = started(4);
    for host in net.hosts_of(0) {
        net.kill(&host);
    }
    let (one, two) = (net.hosts_of(1), net.hosts_of(2));
    net.cut_between(&one, &two);
    list(&mut net, &[0]);
    net.run(TIMING.zone_lease * 2);
    let successors: Vec<_> = shares(&net, 0).into_iter().map(|(host, _)| host).collect();
    assert_eq!(successors, one);
    list(&mut net, &[0, 1]);
    for host in &one {
        net.kill(host);
    }
    let successors: Vec<_> = shares(&net, 0).into_iter().map(|(host, _)| host).collect();
    assert_eq!(successors, two);
}
