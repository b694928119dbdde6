//! Published values reach all hosts in time, and no host goes back to an older
//! one.
#![expect(clippy::indexing_slicing, reason = "a missing host fails the test")]

#[path = "fleet/config.rs"]
mod config;
#[path = "fleet/net.rs"]
mod net;

use std::time::Duration;

use config::Fleet;
use config::KEYS;
use config::text;
use masticmoor::config::key::Key;
use masticmoor::config::version::Version;
use masticmoor::revision::Revision;
use net::Net;
use net::STEP;
use net::host_name;
use net::zone_name;
use rand::RngExt;
use rstest::rstest;

const MAX_SPREAD_TIME: Duration = Duration::from_secs(11);

fn started(zones: u8, hosts: u8, seed: u64) -> (Net, Fleet) {
    let mut net = Net::new(zones, hosts, seed);
    let mut fleet = Fleet::default();
    for key in KEYS {
        fleet.publish(&[0, 1], key, &text(1, 0, "first"));
    }
    run(&mut net, &mut fleet, Duration::from_secs(15));
    let first = Version::of(Revision(1), &text(1, 0, "first"));
    assert!(KEYS.iter().all(|key| fleet.all_use(&net, *key, first)));
    (net, fleet)
}

fn run(net: &mut Net, fleet: &mut Fleet, time: Duration) {
    net.run_with(time, |net| fleet.step(net));
}

/// Publishes a value and returns how long it takes until all hosts use it.
fn spread(net: &mut Net, fleet: &mut Fleet, replicas: &[usize], key: Key, value: &str) -> Duration {
    let revision = config::check(value, Revision(u64::MAX)).expect("the value is valid");
    let version = Version::of(revision, value);
    let begin = net.now;
    fleet.publish(replicas, key, value);
    while !fleet.all_use(net, key, version) && net.now - begin < MAX_SPREAD_TIME * 6 {
        run(net, fleet, STEP);
    }
    net.now - begin
}

/// A value must reach all hosts in time although all watches wait at a stale
/// replica, the hosts of one zone can't reach the platform, and datagrams and
/// calls between hosts are lost.
#[rstest]
fn a_value_reaches_all_hosts_in_time(#[values(1, 2, 3, 4)] seed: u64) {
    let (mut net, mut fleet) = started(3, 4, seed);
    net.loss = 0.05;
    fleet.reach.insert(zone_name(2), Vec::new());
    let mut longest = Duration::ZERO;
    for revision in 2..22 {
        let key = KEYS[net.rng.random_range(0..KEYS.len())];
        let replica = net.rng.random_range(0..2);
        let value = text(revision, 0, "next");
        // All watches wait at the replica that stays stale.
        fleet.restart_watches_at(1 - replica);
        run(&mut net, &mut fleet, STEP);
        longest = longest.max(spread(&mut net, &mut fleet, &[replica], key, &value));
        fleet.publish(&[0, 1], key, &value);
    }
    println!("seed {seed}: applied after at most {longest:?}");
    assert!(longest <= MAX_SPREAD_TIME, "{longest:?}");
}

/// No host may go back to an older value although replicas return old values
/// after new ones, hosts restart during an outage of the platform, invalid
/// values are published, and hosts pause. [`Fleet::step`] checks this.
#[rstest]
fn no_host_goes_back_to_an_older_value(#[values(1, 2, 3, 4, 5, 6)] seed: u64) {
    let (mut net, mut fleet) = started(2, 4, seed);
    net.loss = 0.05;
    let hosts: Vec<_> = net.register.hosts.keys().cloned().collect();
    let mut last = 1;
    for round in 2..30_u64 {
        let key = KEYS[net.rng.random_range(0..KEYS.len())];
        let replica = net.rng.random_range(0..2);
        match net.rng.random_range(0..6) {
            0 => fleet.publish(&[replica], key, &text(round, 0, "invalid")),
            1 => fleet.publish(&[replica], key, &text(1, 0, "first")),
            2 => fleet.down = !fleet.down,
            3 => {
                let host = hosts[net.rng.random_range(0..hosts.len())].clone();
                let pause = Duration::from_millis(net.rng.random_range(100..20_000));
                net.pause(&host, pause);
            }
            _ => {
                last = round;
                fleet.publish(&[replica], key, &text(round, 0, "good"));
            }
        }
        let host = hosts[net.rng.random_range(0..hosts.len())].clone();
        net.start(&host);
        fleet.start(&net, &host);
        run(&mut net, &mut fleet, Duration::from_secs(12));
    }
    fleet.down = false;
    let good = text(last + 50, 0, "good");
    let time = spread(&mut net, &mut fleet, &[0, 1], Key::Rules, &good);
    assert!(time <= MAX_SPREAD_TIME * 3, "after the backoff: {time:?}");
}

/// A new value must not be lost when every host is restarted in turn while the
/// platform is down or stale.
#[rstest]
fn a_value_survives_a_rolling_restart_without_the_platform(#[values(1, 2)] seed: u64) {
    let (mut net, mut fleet) = started(2, 3, seed);
    let value = text(7, 0, "newest");
    spread(&mut net, &mut fleet, &[0], Key::Rules, &value);
    fleet.publish(&[0, 1], Key::Rules, &text(1, 0, "first"));
    for (turn, host) in net.register.hosts.clone().into_keys().enumerate() {
        fleet.down = turn % 2 == 0;
        net.start(&host);
        fleet.start(&net, &host);
        run(&mut net, &mut fleet, Duration::from_secs(8));
        assert_eq!(fleet.configs[&host].store.config_state().rules, Revision(7));
    }
}

/// Both sides of a partition apply new values: under different keys, under the
/// same key with different revisions, and under one revision with different
/// contents. After the partition they must agree.
#[rstest]
fn after_a_partition_all_hosts_have_the_same_values(#[values(1, 2)] seed: u64) {
    let (mut net, mut fleet) = started(2, 3, seed);
    let (one, other) = (net.hosts_of(0), net.hosts_of(1));
    net.cut_between(&one, &other);
    for zone in 0..2 {
        fleet.reach.insert(zone_name(zone), vec![zone.into()]);
    }
    let (left, right) = (text(5, 0, "left"), text(5, 0, "right"));
    fleet.publish(&[0], Key::Register, &left);
    fleet.publish(&[1], Key::Register, &right);
    fleet.publish(&[0], Key::Rules, &text(8, 0, "ahead"));
    fleet.publish(&[1], Key::Rules, &text(6, 0, "behind"));
    fleet.publish(&[1], Key::Workspaces(0), &text(3, 0, "here"));
    run(&mut net, &mut fleet, Duration::from_secs(20));
    assert_ne!(
        fleet.configs[&one[0]].store.version(Key::Register),
        fleet.configs[&other[0]].store.version(Key::Register),
    );
    net.cut.clear();
    run(&mut net, &mut fleet, MAX_SPREAD_TIME);
    let winner = Version::of(Revision(5), &left).max(Version::of(Revision(5), &right));
    let ahead = Version::of(Revision(8), &text(8, 0, "ahead"));
    let here = Version::of(Revision(3), &text(3, 0, "here"));
    assert!(fleet.all_use(&net, Key::Register, winner));
    assert!(fleet.all_use(&net, Key::Rules, ahead));
    assert!(fleet.all_use(&net, Key::Workspaces(0), here));
    let conflicts = |host| fleet.configs[host].store.conflicts().count();
    assert!(one.iter().chain(&other).map(conflicts).sum::<usize>() >= 3);
}

/// Rules that refer to a later register are refused at first, and must be
/// applied together with that register.
#[rstest]
fn rules_that_refer_to_a_later_register_are_applied_with_it(#[values(1, 2)] seed: u64) {
    let (mut net, mut fleet) = started(2, 3, seed);
    let rules = text(2, 9, "refers");
    fleet.publish(&[0, 1], Key::Rules, &rules);
    run(&mut net, &mut fleet, MAX_SPREAD_TIME);
    let host = host_name(0, 0);
    assert_eq!(fleet.configs[&host].store.config_state().rules, Revision(1));
    assert!(fleet.configs[&host].store.refused().count() <= 1);
    spread(
        &mut net,
        &mut fleet,
        &[0, 1],
        Key::Register,
        &text(9, 0, "late"),
    );
    run(&mut net, &mut fleet, Duration::from_secs(4));
    let version = Version::of(Revision(2), &rules);
    assert!(fleet.all_use(&net, Key::Rules, version));
}
