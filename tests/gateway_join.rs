//! When a host that starts may accept keys, so that none is accepted whose revocation the store
//! has lost.

use std::time::Duration;

use masticmoor::gateway::join;
use masticmoor::gateway::join::Join;
use masticmoor::gateway::join::Others;
use masticmoor::gateway::join::Step;
use masticmoor::gateway::peers;
use masticmoor::gateway::peers::Announcement;
use masticmoor::gateway::peers::Progress;
use rstest::rstest;
use tokio::time::Instant;
use tokio::time::advance;

#[rstest]
#[case::without_others(Others::None, Step::Accept)]
#[case::nobody_heard(Others::Silent, Step::Wait)]
#[case::others_are_starting(Others::Starting, Step::Wait)]
#[case::others_are_later(Others::Latest(8), Step::Follow)]
#[case::others_are_as_late(Others::Latest(7), Step::Accept)]
#[case::others_are_earlier(Others::Latest(6), Step::Accept)]
#[tokio::test(start_paused = true)]
async fn a_host_compares_its_route_table_before_it_accepts_keys(
    #[case] others: Others,
    #[case] expected: Step,
) {
    let mut join = Join::default();
    assert_eq!(join.next(Instant::now(), 7, others), expected);
    advance(join::TIMEOUT).await;
    assert_eq!(join.next(Instant::now(), 7, others), Step::Accept);
}

/// Time without a route table must not count: nothing could be compared in it.
#[tokio::test(start_paused = true)]
async fn a_slow_first_read_does_not_use_up_the_time_to_compare() {
    let mut join = Join::default();
    assert_eq!(join.next(Instant::now(), 0, Others::Latest(8)), Step::Wait);
    advance(join::TIMEOUT * 4).await;
    let now = Instant::now();
    assert_eq!(join.next(now, 7, Others::Latest(8)), Step::Follow);
    assert_eq!(join.next(now, 7, Others::Silent), Step::Wait);
}

/// Guards against hosts that restart together and refuse all keys for the whole timeout.
#[tokio::test(start_paused = true)]
async fn a_host_that_hears_only_starting_ones_does_not_wait_for_the_timeout() {
    let mut join = Join::default();
    assert_eq!(join.next(Instant::now(), 7, Others::Starting), Step::Wait);
    advance(join::MIN_WAIT).await;
    let now = Instant::now();
    assert_eq!(join.next(now, 7, Others::Silent), Step::Wait);
    assert_eq!(join.next(now, 7, Others::Latest(8)), Step::Follow);
    assert_eq!(join.next(now, 7, Others::Starting), Step::Accept);
}

fn announcement(table_version: u64, has_joined: bool) -> Announcement {
    Announcement {
        format: masticmoor::gateway::datagram::VERSION,
        zone: "z1".into(),
        process: table_version,
        is_leaving: false,
        progress: Progress {
            table_version,
            ..Progress::default()
        },
        has_joined,
        age: Some(Duration::ZERO),
        link_mbps: 10,
        is_informed: false,
        fleet_size: None,
        unreachable: Vec::new(),
    }
}

/// Hosts that start together would confirm the older table to each other.
#[tokio::test(start_paused = true)]
async fn hosts_that_are_starting_themselves_confirm_nothing() {
    let address = |last| std::net::Ipv4Addr::new(10, 0, 0, last);
    let mut table = peers::Table::new(address(1), Vec::new());
    let now = Instant::now();
    assert_eq!(table.others(now), Others::None);
    table.set_seeds(vec![address(2), address(3)]);
    table.receive(now, address(2), announcement(7, false));
    assert_eq!(table.others(now), Others::Silent);
    table.receive(now, address(3), announcement(7, false));
    assert_eq!(table.others(now), Others::Starting);
    let contact = peers::Contact {
        address: address(4),
        zone: "z1".into(),
        silent_ms: 0,
    };
    table.add(now, &contact);
    assert_eq!(table.others(now), Others::Silent);
    table.receive(now, address(4), announcement(9, true));
    assert_eq!(table.others(now), Others::Latest(9));
    let leaving = Announcement {
        is_leaving: true,
        ..announcement(9, true)
    };
    table.receive(now, address(4), leaving);
    assert_eq!(table.others(now), Others::Silent);
}
