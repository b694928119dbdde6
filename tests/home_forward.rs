//! How a home forwards responses that upstreams break off, with each framing and at each
//! byte.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

#[path = "truncation/cut.rs"]
mod cut;
#[path = "truncation/end.rs"]
mod end;
#[path = "truncation/events.rs"]
mod events;

use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Empty;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use masticmoor::class::Class;
use masticmoor::home::forward::Forwarder;
use masticmoor::member::incarnation::Incarnation;
use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use masticmoor::outcome::Refusal;
use masticmoor::peer::frame::Call;
use masticmoor::peer::frame::Exchange;
use masticmoor::peer::frame::Frame;
use masticmoor::peer::frame::Run;
use masticmoor::register::upstream::Pool;
use rstest::rstest;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio::time::Instant;

use cut::Cut;
use cut::Framing;
use end::End;
use events::EVENTS;

/// Time limit of a response and of each part of it.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Capacity for the frames of a response, more than any has here.
const MAX_FRAMES: usize = 64;

/// The end marker of an engine's stream.
const DONE: &str = "data: [DONE]";

/// An engine's stream.
const CHAT: &str = "data: one\n\ndata: [DONE]\n\n";

fn engine() -> Pool {
    Pool::Model("assistant".into())
}

fn service() -> Pool {
    Pool::Service("tickets".into())
}

fn run(pool: Pool) -> Run {
    Run {
        exchange: Exchange {
            start: 1,
            sequence: 1,
        },
        from: Incarnation {
            host: "h1".into(),
            start: 1,
        },
        home: "h1".into(),
        start: None,
        upstream: "u1".into(),
        bypass: false,
        only_warm: false,
        wait_ms: 0,
        lost: Vec::new(),
        call: Call {
            workspace: "school".into(),
            chat: "c1".into(),
            class: Class::default(),
            pool,
            idempotent: true,
            method: "GET".to_owned(),
            path: "/".to_owned(),
            headers: Vec::new(),
            body: Bytes::new(),
            fingerprint: 1,
            left_ms: 1_000,
        },
    }
}

/// Returns the response of an upstream that sends `text` after the status line and ends
/// the connection.
async fn response(text: String, end: End) -> Response<Incoming> {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    let upstream = tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        let mut request = Vec::new();
        while !request.ends_with(b"\r\n\r\n") {
            stream.read_buf(&mut request).await.unwrap();
        }
        let text = format!("HTTP/1.1 200 X\r\n{text}");
        stream.write_all(text.as_bytes()).await.unwrap();
        end.apply(stream).unwrap();
    });
    let stream = TcpStream::connect(address).await.unwrap();
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
    tokio::spawn(connection);
    let request = Request::get("/").header("host", "upstream");
    let request = request.body(Empty::<Bytes>::new()).unwrap();
    let response = sender.send_request(request).await.unwrap();
    upstream.await.unwrap();
    response
}

/// Forwards a response. Returns the body if it is forwarded as complete.
async fn forward(pool: Pool, text: String, end: End) -> Result<String, Refusal> {
    let run = run(pool);
    let forwarder = Forwarder::new(&run, response(text, end).await, TIMEOUT);
    let (out, mut frames) = mpsc::channel(MAX_FRAMES);
    let deadline = Instant::now() + TIMEOUT;
    let head = forwarder.head()?;
    let result = forwarder.forward(head, deadline, &out).await;
    drop(out);
    let mut body = Vec::new();
    let mut has_end = false;
    while let Some(frame) = frames.recv().await {
        match frame {
            Frame::Data(bytes) => body.extend_from_slice(&bytes),
            Frame::End => has_end = true,
            _ => {}
        }
    }
    result.inspect_err(|_| assert!(!has_end))?;
    assert!(has_end);
    Ok(String::from_utf8(body).unwrap())
}

/// Forwards all cuts of a body. Checks that those for which `is_whole` holds arrive as the
/// body that it returns, and that all others are lost.
async fn forward_all(
    pool: Pool,
    content_type: &'static str,
    body: &'static str,
    whole: impl Fn(&Cut) -> Option<&'static str>,
) {
    for cut in Cut::all(content_type, body) {
        let result = forward(pool.clone(), cut.text(), cut.end).await;
        match whole(&cut) {
            Some(body) => assert_eq!(result.unwrap(), body, "{cut:?}"),
            None => {
                let refusal = result.expect_err(&format!("{cut:?}"));
                let expected = (Outcome::Unknown, Code::AnswerCut);
                assert_eq!((refusal.outcome, refusal.code), expected, "{cut:?}");
            }
        }
    }
}

#[tokio::test]
async fn an_engine_stream_cut_at_any_byte_is_complete_only_with_its_end_marker() {
    let marker_end = CHAT.find(DONE).unwrap() + DONE.len();
    forward_all(engine(), "text/event-stream", CHAT, |cut| {
        let has_marker_line = cut.sent > marker_end;
        let ends_with_marker = cut.sent == marker_end && cut.is_framed_whole();
        (has_marker_line || ends_with_marker).then_some(CHAT)
    })
    .await;
}

#[tokio::test]
async fn an_event_stream_of_a_service_cut_at_any_byte_is_complete_only_between_events() {
    forward_all(service(), "text/event-stream", EVENTS, |cut| {
        let is_whole = events::look_whole(cut);
        (is_whole && cut.framing != Framing::Close).then(|| cut.prefix())
    })
    .await;
}

#[tokio::test]
async fn a_response_cut_at_any_byte_is_complete_only_if_it_is_framed() {
    forward_all(service(), "application/json", r#"{"seat":7}"#, |cut| {
        let is_whole = cut.is_framed_whole() && cut.framing != Framing::Close;
        is_whole.then(|| cut.prefix())
    })
    .await;
}

#[rstest]
#[case::not_chunked("transfer-encoding: gzip\r\n\r\nhalf")]
#[case::not_chunked_last("transfer-encoding: chunked, gzip\r\n\r\nhalf")]
#[tokio::test]
async fn a_response_whose_transfer_coding_marks_no_end_is_not_complete(#[case] text: &str) {
    let result = forward(service(), text.to_owned(), End::Close).await;
    assert_eq!(result.unwrap_err().code, Code::AnswerCut);
}

/// Guards against a status that callers can't understand, from an upstream in trouble.
#[rstest]
#[tokio::test]
async fn a_response_without_a_valid_status_is_not_forwarded(
    #[values(100, 101, 199, 600, 999)] status: u16,
) {
    let run = run(service());
    let text = "content-length: 4\r\n\r\nsold".to_owned();
    let mut response = response(text, End::Close).await;
    *response.status_mut() = status.try_into().unwrap();
    let refusal = Forwarder::new(&run, response, TIMEOUT).head().unwrap_err();
    let expected = (Outcome::Unknown, Code::UpstreamFailed);
    assert_eq!((refusal.outcome, refusal.code), expected);
}
