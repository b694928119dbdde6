//! How often hosts send gossip over slow links.

use std::time::Duration;

use masticmoor::gateway::gossip::pace::Round;
use rstest::rstest;

const DATAGRAM_BYTES: usize = 1_400;

/// Each host with news in every round sent 2.6 MB/s over links of 1.25 MB/s: connections timed
/// out, and each time-out was news for the next round.
#[rstest]
#[case::fleet_of_81(37, 10, false)]
#[case::fleet_of_295(54, 20, true)]
#[case::slow_link(37, 1, false)]
#[case::link_of_unknown_speed(8, 0, false)]
fn urgent_rounds_leave_most_of_the_slowest_link_to_requests(
    #[case] recipients: usize,
    #[case] link_mbps: u32,
    #[case] is_relayed: bool,
) {
    let mut round = Round {
        recipients,
        bytes: 0,
        is_relayed,
    };
    round.add(DATAGRAM_BYTES, recipients);
    let link_bytes = f64::from(link_mbps.max(1)) * 125_000.0;
    let taken = round.bytes as f64 / round.urgent_interval(link_mbps).as_secs_f64();
    assert!(
        taken <= link_bytes * 0.21,
        "{taken} of {link_bytes} bytes/s"
    );
}

/// Small fleets with fast links learn of failures as soon as before.
#[test]
fn urgent_rounds_over_a_fast_link_come_at_the_minimum_interval() {
    let mut round = Round {
        recipients: 8,
        bytes: 0,
        is_relayed: false,
    };
    round.add(DATAGRAM_BYTES, round.recipients);
    assert_eq!(round.urgent_interval(1_000), Duration::from_millis(20));
}

/// A round to more hosts is followed by a longer pause, whatever the link.
#[test]
fn regular_rounds_keep_the_rate_of_datagrams() {
    let round = |recipients| Round {
        recipients,
        bytes: 0,
        is_relayed: false,
    };
    let pause = Duration::from_millis(50);
    assert_eq!(round(60).interval(pause), Duration::from_secs(1));
    assert_eq!(round(1).interval(pause), pause);
}
