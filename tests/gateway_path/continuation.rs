//! Streams that break off, and what the next upstream answers then.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticmoor::gateway::table::Kind;
use masticmoor::lock::lock;
use masticmoor::outcome::Outcome;
use rstest::rstest;
use tokio::time::Instant;

use crate::caller;
use crate::end::End;
use crate::first_arrival;
use crate::host::Host;
use crate::link::Path;
use crate::outcome;
use crate::runs;
use crate::upstream;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Number of events that the caller has when the stream breaks off.
const BEGUN: u64 = 3;

/// Number of events of the whole stream.
const ALL: u64 = 6;

const BREAKS_OFF: Step = Step::Stream {
    from: 0,
    to: BEGUN,
    truncated: true,
};

const GOES_ON: Step = Step::Stream {
    from: BEGUN,
    to: ALL,
    truncated: false,
};

const fn raw(text: &'static str) -> Step {
    Step::Raw {
        text,
        end: End::Close,
    }
}

/// Starts upstreams that together react to requests with one step after another, and then with the
/// last one.
async fn upstreams(ids: &[&'static str], steps: &'static [Step]) -> Vec<Upstream> {
    let requests: &AtomicUsize = Box::leak(Box::default());
    let mut started = Vec::new();
    for id in ids {
        let step = move |_| {
            let number = requests.fetch_add(1, Ordering::Relaxed);
            steps[number.min(steps.len() - 1)]
        };
        started.push(Upstream::start(id, step).await);
    }
    started
}

/// Leaks the steps of a test.
fn script(steps: &[Step]) -> &'static [Step] {
    Box::leak(steps.to_vec().into_boxed_slice())
}

const JSON: &str =
    "content-type: application/json\r\ncontent-length: 16\r\n\r\n{\"error\":\"lost\"}";
const JSON_TO_CLOSE: &str = "content-type: application/json\r\n\r\n{\"error\":\"lost\"}";
const PAGE: &str = "content-type: text/html\r\ncontent-length: 12\r\n\r\n<p>sorry</p>";
const EMPTY: &str = "content-type: text/event-stream\r\ncontent-length: 0\r\n\r\n";
const EMPTY_CHUNKS: &str = "transfer-encoding: chunked\r\n\r\n0\r\nx-late: 1\r\n\r\n";
const EMPTY_TO_CLOSE: &str = "content-type: text/event-stream\r\n\r\n";
const ERROR_EVENT: &str = "content-type: text/event-stream\r\ncontent-length: 27\r\n\r\n\
    event: error\ndata: failed\n\n";
const UNNUMBERED: &str = "transfer-encoding: chunked\r\n\r\ne\r\ndata: event 3\n\n\r\n0\r\n\r\n";
const ENCODED: &str = "content-encoding: gzip\r\ncontent-length: 4\r\n\r\nnone";
const GAP: &str = "content-length: 20\r\n\r\nid: 5\ndata: event 5\n";

/// Guards against the text of an error, or the end of another response, within a stream (MIXED,
/// ORDER).
#[rstest]
#[case::server_error(Step::Respond(500, "id: 3\ndata: failed\n\n"))]
#[case::bad_gateway(Step::Respond(502, "lost"))]
#[case::unavailable(Step::Respond(503, "busy"))]
#[case::rejected(Step::Reject)]
#[case::not_found(Step::Respond(404, "no such stream"))]
#[case::gone(Step::Respond(410, "gone"))]
#[case::misdirected(Step::Misdirected)]
#[case::no_content(Step::Respond(204, ""))]
#[case::partial(Step::Respond(206, "id: 3\ndata: event 3\n\n"))]
#[case::json(raw(JSON))]
#[case::json_that_ends_with_its_connection(raw(JSON_TO_CLOSE))]
#[case::page(raw(PAGE))]
#[case::empty(raw(EMPTY))]
#[case::empty_chunks_with_a_trailer(raw(EMPTY_CHUNKS))]
#[case::empty_until_the_connection_ends(raw(EMPTY_TO_CLOSE))]
#[case::error_event(raw(ERROR_EVENT))]
#[case::unnumbered_event(raw(UNNUMBERED))]
#[case::encoded(raw(ENCODED))]
#[case::missing_event(raw(GAP))]
#[case::foreign(Step::Foreign)]
#[tokio::test]
async fn a_response_that_cannot_continue_a_stream_is_replaced_by_one_that_can(#[case] odd: Step) {
    let started = upstreams(&["u1", "u2", "u3"], script(&[BREAKS_OFF, odd, GOES_ON])).await;
    let all: Vec<_> = started.iter().collect();
    let host = Host::start_with_three_attempts(Kind::ResumableStream, &all).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert_eq!(reply.text(), text(0, ALL), "{odd:?}");
    assert!(reply.is_complete, "{odd:?}");
    assert_eq!(runs(&all), 3, "{odd:?}");

    // Nobody is left that can.
    let started = upstreams(&["u1", "u2"], script(&[BREAKS_OFF, odd])).await;
    let all: Vec<_> = started.iter().collect();
    let host = Host::start(Kind::ResumableStream, &all).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert_eq!(reply.text(), text(0, BEGUN), "{odd:?}");
    assert!(!reply.is_complete, "{odd:?}");
}

fn text(from: u64, to: u64) -> String {
    String::from_utf8(upstream::events(from, to)).unwrap()
}

/// An upstream may end after the last event, before the end of the body.
#[tokio::test]
async fn a_stream_whose_end_alone_was_lost_is_complete_once_two_upstreams_say_so() {
    let steps = script(&[BREAKS_OFF, raw(EMPTY)]);
    let started = upstreams(&["u1", "u2", "u3"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let host = Host::start_with_three_attempts(Kind::ResumableStream, &all).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert_eq!(reply.text(), text(0, BEGUN));
    assert!(reply.is_complete);
}

/// Guards against a request that is refused as one that crashes upstreams: one of them only ended the
/// stream without an event.
#[tokio::test]
async fn an_upstream_that_ends_a_stream_at_once_has_not_crashed() {
    let started = upstreams(&["u1", "u2"], script(&[BREAKS_OFF, raw(EMPTY)])).await;
    let all: Vec<_> = started.iter().collect();
    let host = Host::start(Kind::ResumableStream, &all).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(!reply.is_complete);
    let crashes = lock(&host.state.crashes).reports(Instant::now(), 8);
    assert_eq!(crashes.len(), 1, "{crashes:?}");
}

/// Events without a number would come again if the stream were resumed.
#[tokio::test]
async fn a_stream_of_unnumbered_events_is_not_resumed() {
    const BEGINNING: &str = "transfer-encoding: chunked\r\n\r\nd\r\ndata: seat 1\n";
    const FIRST: &str = "transfer-encoding: chunked\r\n\r\ne\r\ndata: seat 1\n\n\r\n4\r\ndata";
    for (first, expected) in [(FIRST, "data: seat 1\n\n"), (BEGINNING, "")] {
        let started = upstreams(&["u1", "u2"], script(&[raw(first), raw(FIRST)])).await;
        let all: Vec<_> = started.iter().collect();
        let host = Host::start(Kind::ResumableStream, &all).await;
        let reply = caller::send(host.caller, "a1", &[]).await;
        match expected {
            "" => assert_eq!(runs(&all), 2),
            _ => assert_eq!((reply.text().as_str(), runs(&all)), (expected, 1)),
        }
        assert!(!reply.is_complete);
    }
}

/// Guards against the same where the caller itself resumes the stream: the failure is a response of
/// its own, and not a part of a success.
#[rstest]
#[case::server_error(Step::Respond(500, "failed"), 200)]
#[case::not_found(Step::Respond(404, "no such stream"), 404)]
#[case::rejected(Step::Reject, 200)]
#[tokio::test]
async fn a_caller_that_resumes_a_stream_gets_a_failure_as_a_response_of_its_own(
    #[case] odd: Step,
    #[case] status: u16,
) {
    let started = upstreams(&["u1"], script(&[BREAKS_OFF])).await;
    let host = Host::start(Kind::ResumableStream, &[&started[0]]).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(!reply.is_complete);
    let started = upstreams(&["u3", "u4"], script(&[odd, GOES_ON])).await;
    let all: Vec<_> = started.iter().collect();
    host.replace_upstreams(&all).await;
    let headers = [("x-last", "2"), ("x-origin", "a1")];
    let reply = caller::send(host.caller, "a2", &headers).await;
    assert_eq!(reply.status, status, "{odd:?}: {}", reply.text());
    match status {
        200 => assert_eq!(reply.text(), text(BEGUN, ALL)),
        _ => assert_eq!(reply.text(), "no such stream"),
    }
}

/// Guards against the same where another host sends the request on: the failure may be the
/// upstream's, or the host's own.
#[rstest]
#[case::of_the_upstream(Step::Respond(500, "failed"))]
#[case::of_the_host(Step::Reject)]
#[case::json(raw(JSON))]
#[tokio::test]
async fn a_failure_behind_another_host_is_no_part_of_a_stream(#[case] odd: Step) {
    let stalls = Step::Stall { at: BEGUN, to: ALL };
    let started = upstreams(&["u1", "u2"], script(&[stalls, odd])).await;
    let all: Vec<_> = started.iter().collect();
    let (fleet, links) = Host::start_linked_fleet(2, Kind::ResumableStream, &all).await;
    let address = fleet[0].caller;
    let task = tokio::spawn(async move { caller::send(address, "a1", &[]).await });
    first_arrival(&all).await;
    tokio::time::sleep(Duration::from_millis(30)).await;
    links[0].set(Path::Reset);
    let reply = task.await.unwrap();
    assert_eq!(reply.text(), text(0, BEGUN), "{odd:?}");
    assert!(!reply.is_complete, "{odd:?}");
}

/// A slow upstream that is left for another one, which fails.
#[tokio::test]
async fn a_stream_that_was_moved_holds_no_text_of_an_error() {
    let stalls = Step::Stall { at: BEGUN, to: ALL };
    let steps = script(&[stalls, Step::Respond(500, "failed"), GOES_ON]);
    let started = upstreams(&["u1", "u2", "u3"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let host = Host::start_with_three_attempts(Kind::ResumableStream, &all).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert_eq!(reply.text(), text(0, ALL));
    assert!(reply.is_complete);
}

/// Nothing was forwarded yet, so the caller can be told that the outcome is unknown.
#[tokio::test]
async fn a_failure_before_the_first_event_is_a_truthful_refusal() {
    let cut = Step::Stream {
        from: 0,
        to: 0,
        truncated: true,
    };
    let steps = script(&[cut, Step::Respond(500, "failed")]);
    let started = upstreams(&["u1", "u2"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let host = Host::start(Kind::ResumableStream, &all).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert_eq!((reply.status, outcome(&reply)), (502, Outcome::Unknown));
}
