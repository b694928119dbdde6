//! Each upstream has one home in spite of lost hosts, pauses and partitions.

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

/// The longest times during which any upstream had no home, two or more homes,
/// and three or more homes.
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

/// Returns the span extended by a step if the condition still holds, else zero.
fn span(now: Duration, holds: bool) -> Duration {
    if holds { now + STEP } else { Duration::ZERO }
}

fn longest_spans(net: &mut Net, time: Duration) -> Spans {
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
fn an_undisturbed_zone_has_one_home_for_each_upstream(
    #[case] hosts: u8,
    #[case] loss: f64,
    #[case] seed: u64,
) {
    let mut net = Net::new(1, hosts, seed);
    net.loss = loss;
    net.run(Duration::from_secs(8));
    let spans = longest_spans(&mut net, Duration::from_secs(120));
    assert_eq!(spans, Spans::ONE_HOME);
}

#[rstest]
#[case(1)]
#[case(2)]
#[case(3)]
fn a_lost_host_is_replaced_soon_after_its_lease(#[case] seed: u64) {
    let mut net = Net::new(1, 4, seed);
    net.run(Duration::from_secs(8));
    net.kill(&host_name(0, 1));
    let Spans { none, two, three } = longest_spans(&mut net, Duration::from_secs(20));
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
fn a_resumed_host_admits_nothing_until_it_hears_its_peers(
    #[case] pause_ms: u64,
    #[case] seed: u64,
) {
    let mut net = Net::new(1, 4, seed);
    net.run(Duration::from_secs(8));
    let paused = host_name(0, 2);
    net.pause(&paused, Duration::from_millis(pause_ms));
    // Also drop what it sends in the first second after the pause.
    for host in net.hosts_of(0) {
        net.cut.insert((paused.clone(), host));
    }
    let spans = longest_spans(&mut net, Duration::from_millis(pause_ms + 1_000));
    net.cut.clear();
    let Spans { two, three, .. } = spans.max(longest_spans(&mut net, Duration::from_secs(20)));
    assert!(two <= STEP * 2, "{two:?}");
    assert_eq!(three, Duration::ZERO);
    assert_eq!(net.live(&host_name(0, 0), 0).len(), 4);
}

fn set_rules(net: &mut Net, host: &ident::Host, revision: u64) {
    let node = net.nodes.get_mut(host).expect("the host runs");
    node.report.config.rules = Revision(revision);
}

/// The rules change while a host is paused. Its peers are heard at once, while
/// the new rules arrive later: until then it must not admit work by the old
/// ones.
#[rstest]
#[case(2_100, 1)]
#[case(3_000, 2)]
#[case(9_000, 3)]
#[case(60_000, 4)]
fn a_resumed_host_admits_nothing_by_rules_that_its_peers_replaced(
    #[case] pause_ms: u64,
    #[case] seed: u64,
) {
    const BEHIND_FOR: Duration = Duration::from_secs(5);
    let mut net = Net::new(1, 4, seed);
    net.run(Duration::from_secs(8));
    let paused = host_name(0, 2);
    net.pause(&paused, Duration::from_millis(pause_ms));
    for host in net.hosts_of(0) {
        if host != paused {
            set_rules(&mut net, &host, 2);
        }
    }
    let mut admitted_behind = Duration::ZERO;
    net.run_with(Duration::from_millis(pause_ms) + BEHIND_FOR, |net| {
        let is_behind = net.is_running(&paused) && net.nodes[&paused].view.admits(net.now);
        admitted_behind = span(admitted_behind, is_behind);
    });
    assert_eq!(admitted_behind, Duration::ZERO);
    set_rules(&mut net, &paused, 2);
    net.run(MAX_HEARTBEAT_INTERVAL);
    assert!(net.nodes[&paused].view.admits(net.now));
}

#[test]
fn a_resumed_host_that_stays_behind_admits_work_after_four_leases() {
    let mut net = Net::new(1, 3, 1);
    net.run(Duration::from_secs(8));
    let paused = host_name(0, 0);
    net.pause(&paused, Duration::from_secs(9));
    set_rules(&mut net, &host_name(0, 1), 2);
    net.run(Duration::from_secs(9) + TIMING.lease * 4);
    assert!(!net.nodes[&paused].view.admits(net.now));
    net.run(MAX_HEARTBEAT_INTERVAL);
    assert!(net.nodes[&paused].view.admits(net.now));
}

#[test]
fn an_overdue_tick_makes_a_host_suspect_before_the_tick_runs() {
    let mut net = Net::new(1, 3, 1);
    net.run(Duration::from_secs(8));
    let view = &net.nodes[&host_name(0, 0)].view;
    assert!(view.admits(net.now));
    let late = net.now + TIMING.max_tick_delay() + STEP;
    assert!(matches!(view.health(late), Health::Suspect { .. }));
}

#[test]
fn a_host_that_resumes_alone_admits_work_after_a_lease() {
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

/// The path between two hosts fails for good, in one or both directions. The
/// other hosts still receive the heartbeats of both, so no upstream may change
/// its home.
#[rstest]
#[case(true)]
#[case(false)]
fn a_broken_path_between_two_hosts_makes_no_second_home(#[case] both: bool) {
    let mut net = Net::new(1, 5, 7);
    net.run(Duration::from_secs(8));
    let (a, b) = (host_name(0, 0), host_name(0, 1));
    net.cut.insert((a.clone(), b.clone()));
    if both {
        net.cut.insert((b, a));
    }
    let spans = longest_spans(&mut net, Duration::from_secs(120));
    assert_eq!(spans, Spans::ONE_HOME);
}

/// A host whose heartbeats reach no other host, while it receives theirs, must
/// give up its upstreams.
#[test]
fn a_host_that_most_peers_do_not_hear_gives_up_its_upstreams() {
    let mut net = Net::new(1, 5, 8);
    net.run(Duration::from_secs(8));
    let unheard = host_name(0, 3);
    for host in net.hosts_of(0) {
        net.cut.insert((unheard.clone(), host));
    }
    let Spans { two, three, .. } = longest_spans(&mut net, Duration::from_secs(60));
    assert!(two <= MAX_HEARTBEAT_INTERVAL + STEP * 4, "{two:?}");
    assert_eq!(three, Duration::ZERO);
    let health = net.nodes[&unheard].view.health(net.now);
    assert!(matches!(health, Health::Unheard { .. }), "{health}");
    net.cut.clear();
    net.run(Duration::from_secs(4));
    assert!(net.nodes[&unheard].view.admits(net.now));
}

#[rstest]
#[case(1)]
#[case(2)]
fn a_rolling_restart_leaves_one_home(#[case] seed: u64) {
    let mut net = Net::new(1, 5, seed);
    net.run(Duration::from_secs(8));
    for host in net.hosts_of(0) {
        net.start(&host);
        let Spans { none, two, three } = longest_spans(&mut net, Duration::from_secs(12));
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

/// After random datagram losses, pauses, crashes and broken paths, all hosts
/// agree again.
#[rstest]
fn after_any_schedule_of_faults_all_hosts_agree(#[values(1, 2, 3, 4, 5, 6, 7, 8)] seed: u64) {
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
        longest = longest.max(longest_spans(&mut net, time));
    }
    println!("seed {seed}: two homes for {:?}", longest.two);
    assert!(longest.two <= TIMING.lease, "{longest:?}");
    // Possible if two hosts join at the same moment and a heartbeat is lost.
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
    assert_eq!(
        longest_spans(&mut net, Duration::from_secs(10)),
        Spans::ONE_HOME
    );
}
