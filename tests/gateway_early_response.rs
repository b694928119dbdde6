//! Responses that begin while their request is still being written, and break off.
//!
//! Both sides of a reset connection report it once: a write that fails may hide it from the reads
//! after it, which then look like the end of a body that ends with its connection.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

#[path = "early_response/server.rs"]
mod server;

use std::error::Error;
use std::io;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use masticmoor::gateway::connection::Connection;
use masticmoor::gateway::connection::Pool;
use rstest::rstest;

use crate::server::Action;
use crate::server::Server;

/// Size of a request, more than the buffers of both systems hold.
const UPLOAD_BYTES: usize = 24 << 20;

/// Time in which what was sent arrives.
const SETTLING_TIME: Duration = Duration::from_millis(100);

const HEAD: &str = "HTTP/1.1 200 X\r\nconnection: close\r\n\r\n";

/// Sends a request with a body, and returns the response once a part of its body has arrived.
async fn send(server: &Server, size: usize) -> (Connection, Incoming) {
    let mut connection = Pool::default().acquire(server.address, true).await.unwrap();
    let upload = Request::post("/a/x").body(Full::new(Bytes::from(vec![b'x'; size])));
    server.act(Action::Send(HEAD));
    server.act(Action::Send("seat"));
    let response = connection.send(upload.unwrap()).await.unwrap();
    server.arrival().await;
    tokio::time::sleep(SETTLING_TIME).await;
    (connection, response.into_body())
}

/// Guards against a part of a body that ends in order when its connection is reset (MIXED).
#[rstest]
#[case::read_finds_the_reset(true)]
#[case::write_finds_the_reset(false)]
#[tokio::test]
async fn a_body_that_is_reset_while_the_request_is_written_does_not_end_in_order(
    #[case] is_read_first: bool,
) {
    let server = Server::start();
    let (_connection, mut body) = send(&server, UPLOAD_BYTES).await;
    if is_read_first {
        let part = body.frame().await.unwrap().unwrap().into_data().unwrap();
        assert_eq!(&*part, b"seat");
    }
    server.act(Action::Reset);
    if !is_read_first {
        // While nobody takes the first part, nothing more is read, but the request is written on.
        tokio::time::sleep(SETTLING_TIME).await;
    }
    let error = body.collect().await.unwrap_err();
    let found_by_read = error.source().is_some_and(|it| it.is::<io::Error>());
    assert_eq!(found_by_read, is_read_first, "{error:?}");
}

/// A body that ends in order may still be a part, where its request wasn't read.
#[tokio::test]
async fn a_request_that_is_still_being_written_is_told_from_a_written_one() {
    let server = Server::start();
    let (connection, body) = send(&server, UPLOAD_BYTES).await;
    server.act(Action::Finish);
    let body = body.collect().await.unwrap().to_bytes();
    assert_eq!(&*body, b"seat");
    assert!(!connection.is_request_written(UPLOAD_BYTES));

    let server = Server::start();
    let (connection, _body) = send(&server, 0).await;
    assert!(connection.is_request_written(0));
}
