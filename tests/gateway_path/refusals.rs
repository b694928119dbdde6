//! Refusals that a faulty upstream writes for requests that it ran.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use masticmoor::gateway::datagram::Message;
use masticmoor::gateway::datagram::Report;
use masticmoor::gateway::datagram::Sender;
use masticmoor::gateway::peers::Progress;
use masticmoor::gateway::refusal;
use masticmoor::gateway::refusal::promises_not_run;
use masticmoor::gateway::table::Kind;
use masticmoor::lock::lock;
use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use masticmoor::outcome::Refusal;
use rstest::rstest;
use strum::IntoEnumIterator;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::TIMEOUT;
use crate::caller;
use crate::host::Host;
use crate::link::Path;
use crate::outcome;
use crate::runs;
use crate::send_one;
use crate::unframed::script;
use crate::unframed::upstreams;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// The upstream ran the request, so neither may the caller be told otherwise, nor may it run at a
/// second upstream.
#[rstest]
#[tokio::test]
async fn a_refusal_that_does_not_name_the_request_is_not_believed(
    #[values(Kind::NonIdempotent, Kind::Stream)] kind: Kind,
    #[values(421, 429, 503)] status: u16,
) {
    for (first, second) in [("u1", "u2"), ("u2", "u1")] {
        let one = Upstream::start(first, move |_| Step::EarlierRefusal(status)).await;
        let two = Upstream::start(second, move |_| Step::EarlierRefusal(status)).await;
        let host = Host::start(kind, &[&one, &two]).await;
        let reply = caller::send(host.caller, "a1", &[]).await;
        assert_eq!(outcome(&reply), Outcome::Unknown);
        assert_eq!(runs(&[&one, &two]), 1);
    }
}

/// A refusal that names a request could be repeated on the connection on which it came.
#[rstest]
#[tokio::test]
async fn a_connection_on_which_an_upstream_refused_is_not_used_again(
    #[values(Step::Reject, Step::Misdirected)] refusal: Step,
) {
    let upstream = Upstream::start("u1", move |number| match number % 2 {
        0 => refusal,
        _ => Step::Respond(200, "ran"),
    })
    .await;
    let host = Host::start(Kind::Idempotent, &[&upstream]).await;
    for number in 0..12 {
        let attempt = format!("a{number}");
        let _reply = caller::send(host.caller, &attempt, &[]).await;
    }
    let requests = upstream.requests();
    let refused = requests.iter().step_by(2);
    let after = requests.iter().skip(1).step_by(2);
    for (refused, after) in refused.zip(after) {
        assert!(refused.earlier == 0 || after.earlier <= refused.earlier);
        assert_eq!(after.earlier, 0, "after a refusal");
    }
}

/// Statuses by which callers know that a request has not run.
const REQUEST_TIMEOUT: u16 = 408;
const MISDIRECTED: u16 = 421;
const TOO_MANY_REQUESTS: u16 = 429;
const UNAVAILABLE: u16 = 503;

/// Guards against callers who are told that a request has not run by the upstream that ran it, and
/// send it again (REFUSED).
#[rstest]
#[tokio::test]
async fn a_failure_without_the_mark_of_a_rejection_is_returned_as_unknown(
    #[values(
        Kind::NonIdempotent,
        Kind::Stream,
        Kind::Idempotent,
        Kind::ResumableStream
    )]
    kind: Kind,
    #[values(REQUEST_TIMEOUT, TOO_MANY_REQUESTS, UNAVAILABLE)] status: u16,
    #[values("", "retry-after: 1\r\n")] notice: &str,
) {
    let one = Upstream::start("u1", move |_| Step::Respond(status, "failed")).await;
    one.announce(notice);
    let (_host, reply) = send_one(kind, &[&one]).await;
    assert_eq!((reply.status, outcome(&reply)), (502, Outcome::Unknown));
    assert_eq!(reply.header("x-receipt"), None);
    assert_eq!(reply.header("x-attempt"), Some("a1"));
    assert_eq!(reply.header("retry-after"), None);
    assert_eq!(runs(&[&one]), 1);
}

/// Guards against the same answer through a second host.
#[rstest]
#[tokio::test]
async fn a_failure_through_another_host_is_returned_as_unknown(
    #[values(REQUEST_TIMEOUT, TOO_MANY_REQUESTS, UNAVAILABLE)] status: u16,
) {
    let one = Upstream::start("u1", move |_| Step::Respond(status, "failed")).await;
    let (fleet, links) = Host::start_linked_fleet(2, Kind::NonIdempotent, &[&one]).await;
    links[0].set(Path::Reset);
    let reply = caller::send(fleet[0].caller, "a1", &[]).await;
    assert_eq!((reply.status, outcome(&reply)), (502, Outcome::Unknown));
    assert_eq!(runs(&[&one]), 1);
}

/// Guards against rejections that count as failures: a rejected request runs elsewhere.
#[rstest]
#[tokio::test]
async fn a_rejection_with_its_mark_is_retried_whatever_its_status(
    #[values(Kind::NonIdempotent, Kind::Idempotent)] kind: Kind,
    #[values(REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE)] status: u16,
    #[values(false, true)] is_handed_on: bool,
) {
    let steps = script(&[Step::RejectWith(status), Step::Respond(200, "sold")]);
    let started = upstreams(&["u1", "u2"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let (fleet, links) = Host::start_linked_fleet(2, kind, &all).await;
    // A host that doesn't know how many there are has no share of the retry budget.
    let knows_fleet = |host: &Host| lock(&host.state.peers).fleet_size(Instant::now()).is_some();
    let is_settled = async {
        while !fleet.iter().all(knows_fleet) {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, is_settled).await.unwrap();
    if is_handed_on {
        links[0].set(Path::Reset);
    }
    let reply = caller::send(fleet[0].caller, "a1", &[]).await;
    assert_eq!((reply.status, &*reply.text()), (200, "sold"));
    assert_eq!(runs(&all), 2);
}

/// Guards against a rejection that loses its mark on the way through a second host.
#[rstest]
#[tokio::test]
async fn a_request_that_no_upstream_ran_is_refused_as_not_run(
    #[values(REQUEST_TIMEOUT, MISDIRECTED, TOO_MANY_REQUESTS, UNAVAILABLE)] status: u16,
    #[values(false, true)] is_handed_on: bool,
) {
    let one = Upstream::start("u1", move |_| Step::RejectWith(status)).await;
    let (fleet, links) = Host::start_linked_fleet(2, Kind::NonIdempotent, &[&one]).await;
    if is_handed_on {
        links[0].set(Path::Reset);
    }
    let reply = caller::send(fleet[0].caller, "a1", &[]).await;
    assert_eq!((reply.status, outcome(&reply)), (503, Outcome::NotRun));
    assert!(reply.header("retry-after").is_some());
}

/// An upstream that isn't the one that a request names says so by the status alone.
#[tokio::test]
async fn a_misdirected_request_has_not_run_without_a_mark() {
    let one = Upstream::start("u1", |_| Step::Respond(MISDIRECTED, "")).await;
    let (_host, reply) = send_one(Kind::NonIdempotent, &[&one]).await;
    assert_eq!((reply.status, outcome(&reply)), (503, Outcome::NotRun));
}

/// Guards against a request that may be repeated and isn't, as its upstream fails it with a status
/// that isn't a server's error.
#[rstest]
#[tokio::test]
async fn a_repeatable_request_that_an_upstream_fails_is_sent_to_another(
    #[values(REQUEST_TIMEOUT, TOO_MANY_REQUESTS, UNAVAILABLE)] status: u16,
) {
    let fails_first = move |number| match number {
        0 => Step::Respond(status, "failed"),
        _ => Step::Respond(200, "found"),
    };
    let one = Upstream::start("u1", fails_first).await;
    let two = Upstream::start("u2", fails_first).await;
    let host = Host::start(Kind::Idempotent, &[&one, &two]).await;
    // Only the first request to `u2` fails; `u1` responds to all.
    one.skip_step();
    for number in 0..3 {
        let reply = caller::send(host.caller, &format!("a{number}"), &[]).await;
        assert_eq!((reply.status, &*reply.text()), (200, "found"));
    }
}

/// A host of an earlier build passes the upstream's response on.
#[tokio::test]
async fn a_failure_that_a_host_of_an_earlier_build_passes_on_is_returned_as_unknown() {
    let upstream = Upstream::start("u1", |_| Step::Respond(200, "ran")).await;
    let (fleet, links) = Host::start_linked_fleet(1, Kind::NonIdempotent, &[&upstream]).await;
    let host = &fleet[0];
    let other = announce_host(host).await;
    let served = tokio::spawn(respond(
        other,
        "HTTP/1.1 503 X\r\nx-attempt: a1\r\nx-receipt: r\r\nmasticmoor-upstream: u1\r\n\
         masticmoor-version: v1\r\ncontent-length: 6\r\n\r\nfailed"
            .to_owned(),
    ));
    links[0].set(Path::Reset);
    let cut_off = async {
        while !lock(&host.state.reach).is_lost(&"desk".into()) {
            caller::send(host.caller, "a0", &[]).await;
        }
    };
    timeout(TIMEOUT, cut_off).await.unwrap();
    let reply = caller::send(host.caller, "a1", &[]).await;
    served.abort();
    assert_eq!((reply.status, outcome(&reply)), (502, Outcome::Unknown));
    assert_eq!(reply.header("x-receipt"), None);
}

/// Guards against a refusal of a request that may have run whose status says that it hasn't.
#[test]
fn no_refusal_of_unknown_outcome_promises_that_nothing_ran() {
    for code in Code::iter() {
        let status = refusal::status(&Refusal::unknown(code));
        assert!(!promises_not_run(status), "{code}: {status}");
    }
}

/// A process that has the address of another host, or one that mixes up its responses.
#[rstest]
#[case::unnamed("", Outcome::Unknown)]
#[case::of_another_request("x-attempt: other\r\n", Outcome::Unknown)]
#[case::of_this_request("x-attempt: a1\r\n", Outcome::NotRun)]
#[tokio::test]
async fn a_refusal_of_another_host_is_believed_only_if_it_names_the_request(
    #[case] headers: &'static str,
    #[case] expected: Outcome,
) {
    let upstream = Upstream::start("u1", |_| Step::Respond(200, "ran")).await;
    let (fleet, links) = Host::start_linked_fleet(1, Kind::NonIdempotent, &[&upstream]).await;
    let host = &fleet[0];
    let other = announce_host(host).await;
    let served = tokio::spawn(respond(other, refuse(headers)));
    links[0].set(Path::Reset);
    let cut_off = async {
        while !lock(&host.state.reach).is_lost(&"desk".into()) {
            caller::send(host.caller, "a0", &[]).await;
        }
    };
    timeout(TIMEOUT, cut_off).await.unwrap();
    let reply = caller::send(host.caller, "a1", &[]).await;
    served.abort();
    assert_eq!(outcome(&reply), expected);
}

/// Makes a host believe in another one, and returns that one's listener.
pub async fn announce_host(host: &Host) -> TcpListener {
    let IpAddr::V4(local) = host.peer.ip() else {
        panic!("no IPv4 address");
    };
    let [a, b, c, _] = local.octets();
    let address = Ipv4Addr::new(a, b, c, 9);
    let listener = TcpListener::bind((address, host.peer.port()))
        .await
        .unwrap();
    let socket = UdpSocket::bind((address, 0)).await.unwrap();
    let sender = Sender {
        process: 9,
        zone: "z1".into(),
        is_leaving: false,
        progress: Progress::default(),
        has_joined: true,
        age_ms: None,
        link_mbps: 1_000,
        is_informed: false,
        fleet_size: None,
        unreachable: Vec::new(),
    };
    let mut message = Message {
        sender,
        is_settling: false,
        report: Report::default(),
    };
    let bytes = message.encode().unwrap();
    socket.send_to(&bytes, host.gossip()).await.unwrap();
    let is_known = async {
        while lock(&host.state.peers).live(Instant::now()).count() == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, is_known).await.unwrap();
    listener
}

/// Returns a refusal with some headers.
fn refuse(headers: &str) -> String {
    let body = r#"{"type":"urn:masticmoor:body-too-large","title":"","status":413,
        "code":"body-too-large","outcome":"not-run"}"#;
    let length = body.len();
    format!("HTTP/1.1 413 X\r\n{headers}content-length: {length}\r\n\r\n{body}")
}

/// Sends the same response to each request.
pub async fn respond(listener: TcpListener, text: String) {
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _read = stream.read(&mut [0; 4_096]).await;
        // The host may have disconnected.
        let _sent = stream.write_all(text.as_bytes()).await;
    }
}
