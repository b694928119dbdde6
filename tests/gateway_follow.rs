//! Replies of the hosts that a gateway copies the store's items from.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

#[path = "truncation/end.rs"]
mod end;

use std::net::SocketAddr;
use std::time::Duration;

use masticmoor::gateway::follow;
use masticmoor::mirror::Position;
use masticmoor::mirror::wire;
use masticmoor::mirror::wire::Content;
use masticmoor::mirror::wire::Reply;
use masticmoor::mirror::wire::Request;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::time::Instant;

use end::End;

/// Number of calls, since the order of events within one varies.
const CALLS: usize = 50;

fn reply() -> Reply {
    Reply {
        position: Position {
            era: 1,
            revision: 9,
        },
        age_ms: 1,
        waited_ms: 2,
        settling_ms: 3,
        facts: Vec::new(),
        content: Content::Changes(Vec::new()),
    }
}

/// Starts a host that sends one reply and ends the connection at once.
async fn leader(reply: &Reply, end: End) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let body = wire::encode(reply).unwrap();
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let _length = stream.read(&mut [0; 4_096]).await.unwrap();
        let head = format!("HTTP/1.1 200 X\r\ncontent-length: {}\r\n\r\n", body.len());
        let response = [head.as_bytes(), &body].concat();
        stream.write_all(&response).await.unwrap();
        end.apply(stream).unwrap();
    });
    address
}

#[rstest]
#[case::closed(End::Close)]
#[case::reset(End::Reset)]
#[tokio::test]
async fn a_complete_reply_is_returned_though_its_connection_ends_with_it(#[case] end: End) {
    let request = Request {
        after: Position {
            era: 1,
            revision: 1,
        },
        wait_ms: 0,
    };
    for _ in 0..CALLS {
        let address = leader(&reply(), end).await;
        let result: Result<Reply, follow::Fault> =
            follow::call(address, wire::PATH, &request).await;
        assert_eq!(result.unwrap(), reply());
    }
}

/// Guards against a host that alone carries the start of a whole fleet.
#[tokio::test(start_paused = true)]
async fn a_host_gives_a_limited_number_of_full_copies_a_second() {
    let mut copies = follow::Copies::default();
    for _ in 0..3 {
        let given = (0..300).filter(|_| copies.take(Instant::now())).count();
        assert_eq!(given, 20);
        tokio::time::advance(Duration::from_millis(1_000)).await;
    }
}
