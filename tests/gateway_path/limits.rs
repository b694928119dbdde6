//! Upstreams that name the request rate that they take from all hosts together.

use std::net::UdpSocket;
use std::time::Duration;

use futures_util::future::join_all;
use masticmoor::gateway::datagram::Message;
use masticmoor::gateway::datagram::Report;
use masticmoor::gateway::datagram::Sender;
use masticmoor::gateway::notice;
use masticmoor::gateway::peers::Progress;
use masticmoor::gateway::table::Kind;
use masticmoor::lock::lock;
use masticmoor::outcome::Outcome;
use rstest::rstest;
use tokio::time::Instant;

use crate::caller;
use crate::host::Host;
use crate::outcome;
use crate::runs;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Requests per second that the upstreams take.
const LIMIT: f64 = 4.0;

const NOTICE: &str = "x-limit: 4\r\n";

/// Time after which hosts keep to a limit that they read.
const REACTION: Duration = Duration::from_millis(500);

/// Time for which requests are counted.
const WINDOW: Duration = Duration::from_secs(3);

/// Returns the requests that users allow in [`WINDOW`].
fn allowed() -> usize {
    (1.5 * LIMIT * WINDOW.as_secs_f64() + 5.0) as usize
}

/// Sends requests through all hosts for some time, and returns the statuses of the replies.
async fn send_for(hosts: &[Host], time: Duration, name: &str) -> Vec<u16> {
    let until = Instant::now() + time;
    let callers = hosts.iter().enumerate().flat_map(|(host, it)| {
        (0..4).map(move |number| async move {
            let mut statuses = Vec::new();
            let mut sent = 0;
            while Instant::now() < until {
                let attempt = format!("{name}-{host}-{number}-{sent}");
                statuses.push(caller::send(it.caller, &attempt, &[]).await.status);
                tokio::time::sleep(Duration::from_millis(10)).await;
                sent += 1;
            }
            statuses
        })
    });
    join_all(callers).await.concat()
}

#[rstest]
#[case::plain(Kind::Idempotent, Step::Respond(200, "found"))]
#[case::stream(Kind::ResumableStream, Step::Stream { from: 0, to: 3, truncated: false })]
#[case::failing(Kind::Idempotent, Step::Respond(500, "failed"))]
#[case::breaking_off(Kind::ResumableStream, Step::Stream { from: 0, to: 2, truncated: true })]
#[tokio::test]
async fn all_hosts_together_keep_to_the_limit_that_an_upstream_names(
    #[case] kind: Kind,
    #[case] step: Step,
) {
    let limited = Upstream::start("u1", move |_| step).await;
    let other = Upstream::start("u2", move |_| step).await;
    let fleet = Host::start_fleet(3, kind, &[&limited, &other]).await;
    limited.announce(NOTICE);
    send_for(&fleet, REACTION, "a").await;
    limited.forget_requests();
    send_for(&fleet, WINDOW, "b").await;
    let count = runs(&[&limited]);
    assert!(count <= allowed(), "{count}");
    assert!(runs(&[&other]) > count);
}

/// Only the first request through the other host tells it that the limit has ended.
#[tokio::test]
async fn a_host_keeps_to_a_limit_that_another_one_read() {
    let limited = Upstream::start("u1", |_| Step::Respond(200, "found")).await;
    let fleet = Host::start_fleet(2, Kind::Idempotent, &[&limited]).await;
    limited.announce("x-limit: 0.2\r\n");
    assert_eq!(caller::send(fleet[0].caller, "a1", &[]).await.status, 200);
    tokio::time::sleep(REACTION).await;
    let reply = caller::send(fleet[1].caller, "b1", &[]).await;
    assert_eq!(
        reply.status, 503,
        "it may send a request only after some seconds"
    );
    assert_eq!(runs(&[&limited]), 1);
}

#[tokio::test]
async fn a_request_is_refused_at_once_if_all_upstreams_are_at_their_limits() {
    let limited = Upstream::start("u1", |_| Step::Respond(200, "found")).await;
    limited.announce("x-limit: 0.5\r\n");
    let host = Host::start(Kind::NonIdempotent, &[&limited]).await;
    caller::send(host.caller, "a1", &[]).await;
    let sent = Instant::now();
    let reply = caller::send(host.caller, "a2", &[]).await;
    assert!(sent.elapsed() < Duration::from_millis(40));
    assert_eq!((reply.status, outcome(&reply)), (503, Outcome::NotRun));
    let wait: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!(wait > 0.0 && wait <= 0.5, "{wait}");
    assert_eq!(runs(&[&limited]), 1);
}

#[tokio::test]
async fn an_upstream_gets_all_requests_again_after_its_limit_ended() {
    let limited = Upstream::start("u1", |_| Step::Respond(200, "found")).await;
    limited.announce(NOTICE);
    let fleet = Host::start_fleet(2, Kind::Idempotent, &[&limited]).await;
    send_for(&fleet, REACTION, "a").await;
    limited.announce("");
    send_for(&fleet, Duration::from_secs(1), "b").await;
    let statuses = send_for(&fleet, Duration::from_millis(300), "c").await;
    assert!(statuses.iter().all(|status| *status == 200), "{statuses:?}");
}

/// Returns a message of another host that read the limit of an upstream just now.
fn message(upstream: &str) -> Vec<u8> {
    let mut message = Message {
        sender: Sender {
            process: 7,
            zone: "z1".into(),
            is_leaving: false,
            progress: Progress::default(),
            has_joined: true,
            age_ms: None,
            link_mbps: 10,
            is_informed: false,
            fleet_size: None,
            unreachable: Vec::new(),
        },
        is_settling: false,
        report: Report {
            notices: vec![notice::Report {
                upstream: upstream.into(),
                started_ms: None,
                is_leaving: false,
                limit: Some(LIMIT),
                rejection_limit: None,
                age_ms: 0,
                is_partial: false,
            }],
            ..Report::default()
        },
    };
    message.encode().unwrap()
}

/// The message arrives at the beginning of the freeze.
#[tokio::test]
async fn a_notice_that_waited_while_its_host_was_frozen_is_not_reported_as_new() {
    let limited = Upstream::start("u1", |_| Step::Respond(200, "found")).await;
    let fleet = Host::start_fleet(1, Kind::Idempotent, &[&limited]).await;
    let state = &fleet[0].state;
    let socket = UdpSocket::bind("127.0.0.1:0").unwrap();
    let to = (state.address, state.options.gateway.gossip_port);
    socket.send_to(&message("u1"), to).unwrap();
    // Blocks the only thread, and with it all tasks.
    std::thread::sleep(Duration::from_millis(1_500));
    let awake_at = Instant::now();
    let report = loop {
        let reports = lock(&state.notices).reports(Instant::now());
        if let Some(report) = reports.into_iter().next() {
            break report;
        }
        assert!(awake_at.elapsed() < Duration::from_secs(2), "no notice");
        tokio::time::sleep(Duration::from_millis(5)).await;
    };
    assert!(report.age_ms >= 1_000, "{report:?}");
}
