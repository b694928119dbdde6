//! Responses that upstreams break off, with each framing and at each byte.

use std::io::ErrorKind;

use futures_util::StreamExt;
use futures_util::stream;
use masticmoor::gateway::table::Kind;
use masticmoor::outcome::Outcome;
use rstest::rstest;

use crate::caller;
use crate::caller::Reply;
use crate::cut::Cut;
use crate::cut::Framing;
use crate::end::End;
use crate::host::Host;
use crate::outcome;
use crate::runs;
use crate::send_one;
use crate::upstream;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Number of requests that are sent at the same time.
const CONCURRENCY: usize = 8;

/// Two events and a part of a third, without a length or chunks.
const UNFRAMED: &str =
    "connection: close\r\n\r\nid: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\nid: 2\nda";

/// The same in a chunk, followed by the empty chunk that ends the body.
const CHUNKED: &str = "transfer-encoding: chunked\r\n\r\n\
    32\r\nid: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\nid: 2\nda\r\n0\r\n\r\n";

/// The same with its length.
const WITH_LENGTH: &str = "content-length: 50\r\n\r\n\
    id: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\nid: 2\nda";

#[rstest]
#[case::unframed(UNFRAMED)]
#[case::chunked(CHUNKED)]
#[case::with_length(WITH_LENGTH)]
#[tokio::test]
async fn a_stream_whose_body_ends_inside_an_event_does_not_look_complete(
    #[case] text: &'static str,
) {
    let end = End::Close;
    let one = Upstream::start("u1", move |_| Step::Raw { text, end }).await;
    let (_host, reply) = send_one(Kind::Stream, &[&one]).await;
    assert!(!reply.is_complete, "{}", reply.text());
    assert_eq!(reply.body, upstream::events(0, 2), "{}", reply.text());
}

#[rstest]
#[case::unframed(UNFRAMED)]
#[case::chunked(CHUNKED)]
#[case::with_length(WITH_LENGTH)]
#[tokio::test]
async fn a_resumable_stream_whose_body_ends_inside_an_event_continues_elsewhere(
    #[case] text: &'static str,
) {
    let end = End::Close;
    let one = Upstream::start("u1", move |_| Step::Raw { text, end }).await;
    let two = Upstream::start("u2", move |_| Step::Raw { text, end }).await;
    let host = Host::start(Kind::ResumableStream, &[&one, &two]).await;
    for upstream in [&one, &two] {
        upstream.set_resumed_to(4);
    }
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(reply.is_complete, "{}", reply.text());
    assert_eq!(reply.body, upstream::events(0, 4), "{}", reply.text());
    assert_eq!(runs(&[&one, &two]), 2);
}

#[tokio::test]
async fn a_stream_that_closes_after_comments_only_does_not_look_complete() {
    let step = Step::Raw {
        text: "connection: close\r\n\r\n: ping\n\n",
        end: End::Close,
    };
    let one = Upstream::start("u1", move |_| step).await;
    let (_host, reply) = send_one(Kind::Stream, &[&one]).await;
    assert_eq!(reply.text(), ": ping\n\n");
    assert!(!reply.is_complete);
}

#[tokio::test]
async fn a_truncated_stream_resets_the_connection_of_an_http_1_0_caller() {
    let whole = |_| Step::Stream {
        from: 0,
        to: 2,
        truncated: false,
    };
    let one = Upstream::start("u1", whole).await;
    let host = Host::start(Kind::Stream, &[&one]).await;
    let body = caller::send_http_1_0(host.caller, "a1").await;
    assert_eq!(body.unwrap(), upstream::events(0, 2));
    let truncated = |_| Step::Stream {
        from: 0,
        to: 2,
        truncated: true,
    };
    let one = Upstream::start("u1", truncated).await;
    let host = Host::start(Kind::Stream, &[&one]).await;
    let body = caller::send_http_1_0(host.caller, "a1").await;
    assert_eq!(body.unwrap_err().kind(), ErrorKind::ConnectionReset);
}

#[tokio::test]
async fn events_before_a_missing_one_are_forwarded_before_the_stream_is_resumed() {
    let step = Step::Raw {
        text: "connection: close\r\n\r\n\
            id: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\nid: 3\ndata: event 3\n\n",
        end: End::Close,
    };
    let one = Upstream::start("u1", move |_| step).await;
    let two = Upstream::start("u2", move |_| step).await;
    let host = Host::start(Kind::ResumableStream, &[&one, &two]).await;
    for upstream in [&one, &two] {
        upstream.set_resumed_to(4);
    }
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert_eq!(reply.body, upstream::events(0, 4), "{}", reply.text());
    assert!(reply.is_complete);
}

/// Returns the reply to a request whose response is cut.
async fn play(cut: Cut, kind: Kind) -> (Cut, Reply) {
    let (text, end): (&str, _) = (cut.text().leak(), cut.end);
    let one = Upstream::start("u1", move |_| Step::Raw { text, end }).await;
    let (_host, reply) = send_one(kind, &[&one]).await;
    (cut, reply)
}

/// Plays all cuts of a body and passes each reply to `check`.
async fn play_all(
    kind: Kind,
    content_type: &'static str,
    body: &'static str,
    check: impl Fn(&Cut, &Reply),
) {
    let cuts = Cut::all(content_type, body);
    let count = cuts.len();
    let replies = stream::iter(cuts).map(|cut| play(cut, kind));
    let replies: Vec<_> = replies.buffer_unordered(CONCURRENCY).collect().await;
    assert_eq!(replies.len(), count);
    for (cut, reply) in &replies {
        check(cut, reply);
    }
}

fn assert_whole(cut: &Cut, reply: &Reply) {
    assert_eq!(reply.status, 200, "{cut:?}: {}", reply.text());
    assert!(reply.is_complete, "{cut:?}: {}", reply.text());
    assert_eq!(reply.text(), cut.prefix(), "{cut:?}");
}

fn assert_unknown(cut: &Cut, reply: &Reply) {
    assert_eq!(reply.status, 502, "{cut:?}: {}", reply.text());
    assert_eq!(outcome(reply), Outcome::Unknown, "{cut:?}");
}

/// Two events of a stream, of which the first has [`FIRST_EVENT_BYTES`].
const EVENTS: &str = "id: 0\ndata: none\n\nid: 1\ndata: seat\n\n";

const FIRST_EVENT_BYTES: usize = 18;

#[tokio::test]
async fn a_stream_cut_at_any_byte_looks_complete_only_between_events() {
    play_all(Kind::Stream, "text/event-stream", EVENTS, |cut, reply| {
        let is_between_events = [0, FIRST_EVENT_BYTES, EVENTS.len()].contains(&cut.sent);
        let is_empty = cut.sent == 0;
        let ends_with_connection = cut.framing == Framing::Close;
        let is_whole = cut.is_framed_whole()
            && is_between_events
            // A stream that closes before its first event was cut: nothing says that it ended.
            && !(is_empty && ends_with_connection);
        match cut.sent / FIRST_EVENT_BYTES {
            _ if is_whole => assert_whole(cut, reply),
            0 => assert_unknown(cut, reply),
            _ => {
                assert!(!reply.is_complete, "{cut:?}: {}", reply.text());
                let sent = &EVENTS[..cut.sent / FIRST_EVENT_BYTES * FIRST_EVENT_BYTES];
                assert_eq!(reply.text(), sent, "{cut:?}");
            }
        }
    })
    .await;
}

#[tokio::test]
async fn a_response_cut_at_any_byte_is_returned_only_if_its_framing_allows() {
    play_all(
        Kind::NonIdempotent,
        "text/plain",
        "seat 7",
        |cut, reply| match cut.is_framed_whole() {
            true => assert_whole(cut, reply),
            false => assert_unknown(cut, reply),
        },
    )
    .await;
}

#[rstest]
#[case::json("application/json", r#"{"seat":[7]}"#)]
#[case::json_of_a_vendor("application/vnd.seat+json; charset=utf-8", r#"[{"seat":7}]"#)]
#[case::events("text/event-stream", EVENTS)]
#[tokio::test]
async fn a_response_cut_at_any_byte_is_not_returned_if_its_content_is_cut(
    #[case] content_type: &'static str,
    #[case] body: &'static str,
) {
    play_all(Kind::NonIdempotent, content_type, body, |cut, reply| {
        let ends_with_connection = cut.framing == Framing::Close;
        let is_content_whole = match (content_type, cut.sent) {
            ("text/event-stream", 0) => !ends_with_connection,
            ("text/event-stream", sent) => [FIRST_EVENT_BYTES, EVENTS.len()].contains(&sent),
            (_, sent) => sent == body.len() || !ends_with_connection,
        };
        match cut.is_framed_whole() && is_content_whole {
            true => assert_whole(cut, reply),
            false => assert_unknown(cut, reply),
        }
    })
    .await;
}
