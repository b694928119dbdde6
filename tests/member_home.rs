//! One home for each upstream, through losses, pauses and cuts.

#[path = "fleet/net.rs"]
mod net;

use std::collections::BTreeMap;
use std::time::Duration;

use masticmoor::ident;
use masticmoor::member::change::Change;
use masticmoor::member::health::Health;
use masticmoor::revision::Revision;
use net::MAX_HEARTBEAT_INTERVAL;
use net::Net;
use net::STEP;
use net::TIMING;
use net::host_name;
use net::upstreams;
use rand::RngExt;
use rstest::rstest;

const UPSTREAMS: u8 = 30;

/// The longest times that any upstream had no home, two and three.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
struct Spans {
    none: Duration,
    two: Duration,
    three: Duration,
}

impl Spans {
    const ONE_HOME: Self = Self {
        none: Duration::ZERO,
        two: Duration::ZERO,
        three: Duration::ZERO,
    };

    fn max(self, other: Self) -> Self {
        Self {
            none: self.none.max(other.none),
            two: self.two.max(other.two),
            three: self.three.max(other.three),
        }
    }
}

/// Extends a span by a step while something holds.
fn span(now: Duration, holds: bool) -> Duration {
    if holds { now + STEP } else { Duration::ZERO }
}

fn watch(net: &mut Net, time: Duration) -> Spans {
    let all = upstreams(0, UPSTREAMS);
    let mut current: BTreeMap<ident::Upstream, Spans> = BTreeMap::new();
    let mut longest = Spans::ONE_HOME;
    net.run_with(time, |net| {
        for (name, spec) in &all {
            let homes = net.homes(name, spec).len();
            let spans = current.entry(name.clone()).or_default();
            *spans = Spans {
                none: span(spans.none, homes == 0),
                two: span(spans.two, homes > 1),
                three: span(spans.three, homes > 2),
            };
            longest = longest.max(*spans);
        }
    });
    longest
}

#[rstest]
#[case(3, 0.0, 1)]
#[case(3, 0.1, 2)]
#[case(12, 0.05, 3)]
fn a_quiet_zone_has_one_home_for_each_upstream(
    #[case] hosts: u8,
    #[case] loss: f64,
    #[case] seed: u64,
) {
    let mut net = Net::new(1, hosts, seed);
    net.loss = loss;
    net.run(Duration::from_secs(8));
    let spans = watch(&mut net, Duration::from_secs(120));
    assert_eq!(spans, Spans::ONE_HOME);
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_lost_host_is_replaced_within_a_lease_and_a_beat(#[case] seed: u64) {
    let mut net = Net::new(1, 4, seed);
    net.run(Duration::from_secs(8));
    net.kill(&host_name(0, 1));
    let Spans { none, two, three } = watch(&mut net, Duration::from_secs(20));
    assert!(two <= STEP * 2, "{two:?}");
    assert_eq!(three, Duration::ZERO);
    assert!(
        none <= TIMING.lease + MAX_HEARTBEAT_INTERVAL + STEP * 4,
        "{none:?}"
    );
    assert!(none > TIMING.lease / 2, "{none:?}");
}

#[rstest]
#[case(1_500, 1)]
#[case(3_000, 2)]
#[case(4_500, 3)]
#[case(9_000, 4)]
#[case(60_000, 5)]
fn a_paused_host_that_wakes_late_admits_nothing_until_it_hears_the_others(
    #[case] pause_ms: u64,
    #[case] seed: u64,
) {
    let mut net = Net::new(1, 4, seed);
    net.run(Duration::from_secs(8));
    let late = host_name(0, 2);
    net.pause(&late, Duration::from_millis(pause_ms));
    // What it sends in the first second after waking is lost too.
    for host in net.hosts_of(0) {
        net.cut.insert((late.clone(), host));
    }
    let spans = watch(&mut net, Duration::from_millis(pause_ms + 1_000));
    net.cut.clear();
    let Spans { two, three, .. } = spans.max(watch(&mut net, Duration::from_secs(20)));
    assert!(two <= STEP * 2, "{two:?}");
    assert_eq!(three, Duration::ZERO);
    assert_eq!(net.live(&host_name(0, 0), 0).len(), 4);
}

fn set_rules(net: &mut Net, host: &ident::Host, revision: u64) {
    let node = net.nodes.get_mut(host).expect("it runs");
    node.report.config.rules = Revision(revision);
}

/// Its peers answer at once, the rules that changed meanwhile take longer.
#[rstest]
#[case(2_100, 1)]
#[case(3_000, 2)]
#[case(9_000, 3)]
#[case(60_000, 4)]
fn a_paused_host_admits_nothing_by_rules_that_its_peers_replaced(
    #[case] pause_ms: u64,
    #[case] seed: u64,
) {
    const BEHIND: Duration = Duration::from_secs(5);
    let mut net = Net::new(1, 4, seed);
    net.run(Duration::from_secs(8));
    let late = host_name(0, 2);
    net.pause(&late, Duration::from_millis(pause_ms));
    for host in net.hosts_of(0) {
        if host != late {
            set_rules(&mut net, &host, 2);
        }
    }
    let mut early = Duration::ZERO;
    net.run_with(Duration::from_millis(pause_ms) + BEHIND, |net| {
        let is_behind = net.is_awake(&late) && net.nodes[&late].view.admits(net.now);
        early = span(early, is_behind);
    });
    assert_eq!(early, Duration::ZERO);
    set_rules(&mut net, &late, 2);
    net.run(MAX_HEARTBEAT_INTERVAL);
    assert!(net.nodes[&late].view.admits(net.now));
}

#[test]
fn a_paused_host_whose_peers_stay_ahead_serves_again_in_the_end() {
    let mut net = Net::new(1, 3, 1);
    net.run(Duration::from_secs(8));
    let late = host_name(0, 0);
    net.pause(&late, Duration::from_secs(9));
    set_rules(&mut net, &host_name(0, 1), 2);
    net.run(Duration::from_secs(9) + TIMING.lease * 4);
    assert!(!net.nodes[&late].view.admits(net.now));
    net.run(MAX_HEARTBEAT_INTERVAL);
    assert!(net.nodes[&late].view.admits(net.now));
}

#[test]
fn an_overdue_tick_casts_doubt_before_the_tick_runs() {
    let mut net = Net::new(1, 3, 1);
    net.run(Duration::from_secs(8));
    let view = &net.nodes[&host_name(0, 0)].view;
    assert!(view.admits(net.now));
    let late = net.now + TIMING.max_tick_delay() + STEP;
    assert!(matches!(view.health(late), Health::Suspect { .. }));
}

#[test]
fn a_host_that_wakes_alone_serves_after_a_lease() {
    let mut net = Net::new(1, 3, 1);
    net.run(Duration::from_secs(8));
    net.pause(&host_name(0, 0), Duration::from_secs(30));
    net.run(Duration::from_secs(29));
    net.kill(&host_name(0, 1));
    net.kill(&host_name(0, 2));
    net.run(Duration::from_secs(1) + TIMING.lease / 2);
    assert!(!net.nodes[&host_name(0, 0)].view.admits(net.now));
    net.run(TIMING.lease);
    assert!(net.nodes[&host_name(0, 0)].view.admits(net.now));
}

/// The path between two hosts dies for good while all others work, one way or
/// both: the others vouch for both, and nothing changes.
#[rstest]
#[case(true)]
#[case(false)]
fn a_dead_path_between_two_hosts_makes_no_second_home(#[case] both: bool) {
    let mut net = Net::new(1, 5, 7);
    net.run(Duration::from_secs(8));
    let (a, b) = (host_name(0, 0), host_name(0, 1));
    net.cut.insert((a.clone(), b.clone()));
    if both {
        net.cut.insert((b, a));
    }
    let spans = watch(&mut net, Duration::from_secs(120));
    assert_eq!(spans, Spans::ONE_HOME);
}

/// A host that hears all but is heard by none steps down.
#[test]
fn a_host_that_most_do_not_hear_steps_down() {
    let mut net = Net::new(1, 5, 8);
    net.run(Duration::from_secs(8));
    let mute = host_name(0, 3);
    for host in net.hosts_of(0) {
        net.cut.insert((mute.clone(), host));
    }
    let Spans { two, three, .. } = watch(&mut net, Duration::from_secs(60));
    assert!(two <= MAX_HEARTBEAT_INTERVAL + STEP * 4, "{two:?}");
    assert_eq!(three, Duration::ZERO);
    let standing = net.nodes[&mute].view.health(net.now);
    assert!(matches!(standing, Health::Unheard { .. }), "{standing}");
    net.cut.clear();
    net.run(Duration::from_secs(4));
    assert!(net.nodes[&mute].view.admits(net.now));
}

#[rstest]
#[case(1)]
#[case(2)]
fn every_host_restarted_in_turn_leaves_one_home(#[case] seed: u64) {
    let mut net = Net::new(1, 5, seed);
    net.run(Duration::from_secs(8));
    for host in net.hosts_of(0) {
        net.start(&host);
        let Spans { none, two, three } = watch(&mut net, Duration::from_secs(12));
        assert!(two <= STEP * 2, "{two:?}");
        assert_eq!(three, Duration::ZERO);
        assert!(
            none <= TIMING.lease + MAX_HEARTBEAT_INTERVAL * 2,
            "{none:?}"
        );
    }
    assert_eq!(net.live(&host_name(0, 0), 0).len(), 5);
}

#[test]
fn a_flapping_host_is_damped() {
    let mut net = Net::new(1, 4, 5);
    net.run(Duration::from_secs(8));
    let flapping = host_name(0, 1);
    let all = net.hosts_of(0);
    for _ in 0..12 {
        let others: Vec<_> = all
            .iter()
            .filter(|host| **host != flapping)
            .cloned()
            .collect();
        net.cut_between(std::slice::from_ref(&flapping), &others);
        net.run(Duration::from_secs(6));
        net.cut.clear();
        net.run(Duration::from_secs(6));
    }
    let changes = &net.nodes[&host_name(0, 0)].changes;
    let of_host = |change: &&(_, Change)| match &change.1 {
        Change::Joined(process) => process.host == flapping,
        _ => false,
    };
    let joined = changes.iter().filter(of_host).count();
    assert!(joined <= 4, "joined {joined} times in 12 flaps");
    net.run(Duration::from_secs(70));
    assert_eq!(net.live(&host_name(0, 0), 0).len(), 4);
}

/// Losses, pauses, ends and dead paths at random, then quiet.
#[rstest]
fn any_schedule_bounds_two_homes_and_settles(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
    let mut net = Net::new(1, 6, seed);
    net.run(Duration::from_secs(8));
    net.loss = 0.05;
    let hosts = net.hosts_of(0);
    let mut longest = Spans::ONE_HOME;
    for _ in 0..20 {
        let host = hosts[net.rng.random_range(0..hosts.len())].clone();
        let other = hosts[net.rng.random_range(0..hosts.len())].clone();
        match net.rng.random_range(0..4) {
            0 => net.kill(&host),
            1 if net.nodes.contains_key(&host) => {
                let pause = Duration::from_millis(net.rng.random_range(100..9_000));
                net.pause(&host, pause);
            }
            2 => {
                net.cut.clear();
                net.cut.insert((host, other));
            }
            _ => net.start(&host),
        }
        let time = Duration::from_millis(net.rng.random_range(500..9_000));
        longest = longest.max(watch(&mut net, time));
    }
    println!("seed {seed}: two homes for {:?}", longest.two);
    assert!(longest.two <= TIMING.lease, "{longest:?}");
    // Two hosts that join in the same moment, and a beat that is lost.
    assert!(longest.three <= MAX_HEARTBEAT_INTERVAL, "{longest:?}");
    net.loss = 0.0;
    net.cut.clear();
    for host in &hosts {
        if !net.nodes.contains_key(host) {
            net.start(host);
        }
    }
    net.run(Duration::from_secs(90));
    for host in &hosts {
        assert_eq!(net.live(host, 0), hosts);
    }
    assert_eq!(watch(&mut net, Duration::from_secs(10)), Spans::ONE_HOME);
}
