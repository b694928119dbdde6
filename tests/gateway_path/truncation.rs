//! Responses that upstreams break off, with each framing and at each byte.

use std::io::ErrorKind;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use masticmoor::gateway::table::Kind;
use masticmoor::outcome::Outcome;
use rstest::rstest;

use crate::caller;
use crate::caller::Reply;
use crate::cut::Cut;
use crate::cut::Framing;
use crate::end::End;
use crate::events;
use crate::events::EVENTS;
use crate::events::FIRST_EVENT_BYTES;
use crate::host::Host;
use crate::outcome;
use crate::runs;
use crate::send_one;
use crate::upstream;
use crate::upstream::Step;
use crate::upstream::Upstream;

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

/// Sends one request for each cut of a body, and passes the reply to `check`.
async fn play_all(
    kind: Kind,
    content_type: &'static str,
    body: &'static str,
    check: impl Fn(&Cut, &Reply),
) {
    let cuts = Cut::all(content_type, body);
    let steps: &[Step] = cuts.iter().map(step).collect::<Vec<_>>().leak();
    let one = Upstream::start("u1", |number| steps[number]).await;
    let host = Host::start(kind, &[&one]).await;
    for cut in &cuts {
        check(cut, &caller::send(host.caller, "a1", &[]).await);
    }
    assert_eq!(runs(&[&one]), cuts.len());
}

/// Returns the reaction of an upstream that sends a cut.
fn step(cut: &Cut) -> Step {
    Step::Raw {
        text: cut.text().leak(),
        end: cut.end,
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

#[tokio::test]
async fn a_stream_cut_at_any_byte_looks_complete_only_between_events() {
    play_all(
        Kind::Stream,
        "text/event-stream",
        EVENTS,
        |cut, reply| match cut.sent / FIRST_EVENT_BYTES {
            _ if events::look_whole(cut) => assert_whole(cut, reply),
            0 => assert_unknown(cut, reply),
            _ => {
                assert!(!reply.is_complete, "{cut:?}: {}", reply.text());
                let sent = &EVENTS[..cut.sent / FIRST_EVENT_BYTES * FIRST_EVENT_BYTES];
                assert_eq!(reply.text(), sent, "{cut:?}");
            }
        },
    )
    .await;
}

/// The stream that an upstream sends after another one was lost. It repeats the events that
/// the caller has, which the host drops.
const WHOLE_EVENTS: &str = "transfer-encoding: chunked\r\n\r\n\
    24\r\nid: 0\ndata: none\n\nid: 1\ndata: seat\n\n\r\n0\r\n\r\n";

#[tokio::test]
async fn a_resumable_stream_cut_at_any_byte_is_completed_without_missing_or_repeated_events() {
    let whole = Step::Raw {
        text: WHOLE_EVENTS,
        end: End::Close,
    };
    let cuts = Cut::all("text/event-stream", EVENTS).into_iter();
    // Each cut needs a host of its own, since hosts have a budget of retries.
    for cut in cuts.filter(|cut| cut.framing == Framing::Close) {
        let first = step(&cut);
        let requests: &AtomicUsize = Box::leak(Box::default());
        let step = move |_| match requests.fetch_add(1, Ordering::Relaxed) {
            0 => first,
            _ => whole,
        };
        let one = Upstream::start("u1", step).await;
        let two = Upstream::start("u2", step).await;
        let (_host, reply) = send_one(Kind::ResumableStream, &[&one, &two]).await;
        match events::look_whole(&cut) {
            true => assert_whole(&cut, &reply),
            false => {
                assert!(reply.is_complete, "{cut:?}: {}", reply.text());
                assert_eq!(reply.text(), EVENTS, "{cut:?}");
            }
        }
    }
}

#[tokio::test]
async fn a_response_cut_at_any_byte_is_returned_only_if_its_framing_allows() {
    play_all(
        Kind::NonIdempotent,
        "text/plain",
        "seat 7",
        |cut, reply| match cut.is_framed_whole() {
            // Nothing tells that the body has begun.
            true if cut.framing == Framing::Close && cut.sent == 0 => assert_unknown(cut, reply),
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
        let is_whole = match content_type {
            "text/event-stream" => events::look_whole(cut),
            _ => cut.is_framed_whole() && (cut.sent == body.len() || !ends_with_connection),
        };
        match is_whole {
            true => assert_whole(cut, reply),
            false => assert_unknown(cut, reply),
        }
    })
    .await;
}

/// Heads of a response in two versions of HTTP, whose bodies have each framing.
const HEADS: [&str; 4] = [
    "HTTP/1.1 200 X\r\n{echo}content-length: 6\r\n\r\n",
    "HTTP/1.1 200 X\r\n{echo}transfer-encoding: chunked\r\n\r\n",
    "HTTP/1.1 200 X\r\n{echo}connection: close\r\n\r\n",
    "HTTP/1.0 200 X\r\n{echo}\r\n",
];

/// Length of a head without its last byte, once the identifying headers stand in it.
fn longest_cut(head: &str) -> usize {
    let echo = "x-attempt: a1\r\nx-receipt: u1\r\n";
    head.replace("{echo}", echo).len() - 1
}

/// Guards against a success with an empty body, framed as whole.
#[rstest]
#[case::once(Kind::NonIdempotent)]
#[case::stream(Kind::Stream)]
#[tokio::test]
async fn a_response_whose_head_is_cut_at_any_byte_is_not_returned(
    #[case] kind: Kind,
    #[values(End::Close, End::Reset)] end: End,
) {
    for text in HEADS {
        let one = Upstream::start("u1", move |sent| Step::Head { text, sent, end }).await;
        let host = Host::start(kind, &[&one]).await;
        for sent in 0..=longest_cut(text) {
            let reply = caller::send(host.caller, "a1", &[]).await;
            assert_eq!(reply.status, 502, "{sent} of {text:?}: {}", reply.text());
            assert_eq!(outcome(&reply), Outcome::Unknown, "{sent} of {text:?}");
        }
        assert_eq!(runs(&[&one]), longest_cut(text) + 1);
    }
}

/// A connection that is kept may have closed while it was idle, so the request goes elsewhere.
#[rstest]
#[case::repeatable(Kind::Idempotent)]
#[case::resumable(Kind::ResumableStream)]
#[tokio::test]
async fn a_response_on_a_kept_connection_whose_head_is_cut_is_replaced(
    #[case] kind: Kind,
    #[values(End::Close, End::Reset)] end: End,
) {
    let whole = Step::Stream {
        from: 0,
        to: 2,
        truncated: false,
    };
    for text in HEADS {
        for sent in (0..=longest_cut(text)).step_by(7) {
            let requests: &AtomicUsize = Box::leak(Box::default());
            let step = move |_| match requests.fetch_add(1, Ordering::Relaxed) {
                0 | 2 => whole,
                _ => Step::Head { text, sent, end },
            };
            let one = Upstream::start("u1", step).await;
            let two = Upstream::start("u2", step).await;
            let host = Host::start(kind, &[&one, &two]).await;
            for attempt in ["a1", "a2"] {
                let reply = caller::send(host.caller, attempt, &[]).await;
                let is_whole = reply.is_complete && reply.body == upstream::events(0, 2);
                assert!(is_whole, "{sent} of {text:?}: {}", reply.text());
            }
        }
    }
}
