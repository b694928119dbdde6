//! When connections over a network path that has failed are given up.

use std::time::Duration;

use masticmoor::gateway::connection::idle_limit;
use masticmoor::gateway::connection::set_tcp_options;
use rstest::rstest;
use socket2::SockRef;
use tokio::net::TcpListener;
use tokio::net::TcpStream;

/// The user timeout overrides the number of probes on Linux, so both have to agree.
#[tokio::test]
async fn probes_and_unacknowledged_data_give_up_after_the_same_time() {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let stream = TcpStream::connect(listener.local_addr().unwrap())
        .await
        .unwrap();
    set_tcp_options(&stream).unwrap();
    let socket = SockRef::from(&stream);
    let probes = socket.tcp_keepalive_interval().unwrap() * socket.tcp_keepalive_retries().unwrap();
    let given_up_after = socket.tcp_keepalive_time().unwrap() + probes;
    assert_eq!(socket.tcp_user_timeout().unwrap(), Some(given_up_after));
    assert_eq!(given_up_after, Duration::from_secs(4));
}

/// Upstreams reset connections beyond those that they accept from all hosts together, with the
/// requests on them. Idle ones alone must leave most of that room free.
#[rstest]
#[case::few_hosts(9, 6, 110)]
#[case::many_hosts(81, 6, 550)]
#[case::few_upstreams_for_many_hosts(295, 6, 600)]
#[case::engines(81, 16, 610)]
fn idle_connections_of_all_hosts_leave_room_at_an_upstream(
    #[case] hosts: usize,
    #[case] slots: u32,
    #[case] accepted: usize,
) {
    let idle = hosts * idle_limit(slots, Some(hosts));
    assert!(idle >= hosts, "each host keeps one warm connection");
    assert!(idle < accepted, "{idle} idle connections of {accepted}");
}

/// A host that has just started doesn't know the number of others, and connections to other hosts
/// aren't shared with any.
#[test]
fn idle_connections_are_not_divided_without_a_known_fleet() {
    assert_eq!(idle_limit(6, None), idle_limit(0, Some(295)));
}
