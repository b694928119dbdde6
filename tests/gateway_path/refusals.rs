//! Refusals that a faulty upstream writes for requests that it ran.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::time::Duration;

use masticmoor::gateway::datagram::Message;
use masticmoor::gateway::datagram::Report;
use masticmoor::gateway::datagram::Sender;
use masticmoor::gateway::peers::Progress;
use masticmoor::gateway::table::Kind;
use masticmoor::lock::lock;
use masticmoor::outcome::Outcome;
use rstest::rstest;
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
    let served = tokio::spawn(refuse(other, headers));
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
async fn announce_host(host: &Host) -> TcpListener {
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

/// Refuses each request with some headers.
async fn refuse(listener: TcpListener, headers: &str) {
    let body = r#"{"type":"urn:masticmoor:body-too-large","title":"","status":413,
        "code":"body-too-large","outcome":"not-run"}"#;
    let length = body.len();
    let text = format!("HTTP/1.1 413 X\r\n{headers}content-length: {length}\r\n\r\n{body}");
    loop {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _read = stream.read(&mut [0; 4_096]).await;
        // The host may have disconnected.
        let _sent = stream.write_all(text.as_bytes()).await;
    }
}
