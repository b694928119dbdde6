//! Responses that end with their connection, whose upstream may have crashed.
//!
//! The system closes the connections of a process that was killed in order, which looks like the end
//! of a response without a length or chunks.

use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;

use masticmoor::gateway::table::Kind;
use masticmoor::lock::lock;
use masticmoor::outcome::Outcome;
use rstest::rstest;

use crate::caller;
use crate::end::End;
use crate::first_arrival;
use crate::host::Host;
use crate::link::Path;
use crate::outcome;
use crate::runs;
use crate::send_one;
use crate::upstream;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Three events of a stream that ends with its connection.
pub const THREE_EVENTS: &str = "connection: close\r\n\r\n\
    id: 0\ndata: event 0\n\nid: 1\ndata: event 1\n\nid: 2\ndata: event 2\n\n";

/// The three events after them.
pub const THREE_MORE: &str = "connection: close\r\n\r\n\
    id: 3\ndata: event 3\n\nid: 4\ndata: event 4\n\nid: 5\ndata: event 5\n\n";

/// No events after the last one.
const NO_MORE: &str = "connection: close\r\n\r\n";

/// Six events, of which a caller that resumes the stream gets the last ones.
const CHUNKED: Step = Step::Stream {
    from: 3,
    to: 6,
    truncated: false,
};

/// Leaks the steps of a test.
pub fn script(steps: &[Step]) -> &'static [Step] {
    Box::leak(steps.to_vec().into_boxed_slice())
}

const fn raw(text: &'static str) -> Step {
    Step::Raw {
        text,
        end: End::Close,
    }
}

/// Starts upstreams that together react to requests with one step after another, and then with the
/// last one.
pub async fn upstreams(ids: &[&'static str], steps: &'static [Step]) -> Vec<Upstream> {
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

/// Guards against an answer that looks complete without its last events (ORDER).
#[rstest]
#[case::once(Kind::Stream, 1)]
#[case::resumable_without_another_upstream(Kind::ResumableStream, 1)]
#[tokio::test]
async fn a_stream_whose_upstream_crashes_between_events_does_not_look_complete(
    #[case] kind: Kind,
    #[case] expected_runs: usize,
) {
    let one = Upstream::start("u1", |_| Step::CrashForGood(THREE_EVENTS)).await;
    let (_host, reply) = send_one(kind, &[&one]).await;
    assert_eq!(reply.body, upstream::events(0, 3), "{}", reply.text());
    assert!(!reply.is_complete, "{}", reply.text());
    assert_eq!(runs(&[&one]), expected_runs);
}

#[rstest]
#[case::chunked(CHUNKED)]
#[case::unframed(raw(THREE_MORE))]
#[tokio::test]
async fn a_resumable_stream_whose_upstream_crashes_between_events_continues_elsewhere(
    #[case] rest: Step,
) {
    let steps = script(&[Step::CrashForGood(THREE_EVENTS), rest]);
    let started = upstreams(&["u1", "u2"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let (_host, reply) = send_one(Kind::ResumableStream, &all).await;
    assert!(reply.is_complete, "{}", reply.text());
    assert_eq!(reply.body, upstream::events(0, 6), "{}", reply.text());
    assert_eq!(runs(&all), 2);
}

/// Guards against a resumed stream that looks complete when the upstream that resumed it crashes as
/// well.
#[tokio::test]
async fn a_resumed_stream_whose_upstream_crashes_too_does_not_look_complete() {
    let steps = script(&[
        Step::CrashForGood(THREE_EVENTS),
        Step::CrashForGood(THREE_MORE),
    ]);
    let started = upstreams(&["u1", "u2"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let (_host, reply) = send_one(Kind::ResumableStream, &all).await;
    assert_eq!(reply.body, upstream::events(0, 6), "{}", reply.text());
    assert!(!reply.is_complete);
}

/// An upstream that crashes when it has sent all events leaves its end in doubt: two others have to
/// send none after it.
#[tokio::test]
async fn the_end_of_a_stream_whose_upstream_crashed_is_confirmed_by_two_others() {
    let steps = script(&[Step::CrashForGood(THREE_EVENTS), raw(NO_MORE), raw(NO_MORE)]);
    let started = upstreams(&["u1", "u2", "u3"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let host = Host::start_with_three_attempts(Kind::ResumableStream, &all).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(reply.is_complete, "{}", reply.text());
    assert_eq!(reply.body, upstream::events(0, 3), "{}", reply.text());
    assert_eq!(runs(&all), 3);

    // One that sends nothing may have failed.
    let steps = script(&[Step::CrashForGood(THREE_EVENTS), raw(NO_MORE)]);
    let started = upstreams(&["u1", "u2"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let (_host, reply) = send_one(Kind::ResumableStream, &all).await;
    assert_eq!(reply.body, upstream::events(0, 3), "{}", reply.text());
    assert!(!reply.is_complete);
}

/// An upstream that leaves may stop to accept connections before its last streams end. Where another
/// one has no events left either, the stream is complete.
#[tokio::test]
async fn the_end_of_a_stream_of_an_upstream_that_leaves_is_confirmed_by_another() {
    let steps = script(&[Step::CrashForGood(THREE_EVENTS), raw(NO_MORE)]);
    let started = upstreams(&["u1", "u2"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let host = Host::start(Kind::ResumableStream, &all).await;
    for upstream in &all {
        upstream.announce("x-leaving: 1\r\n");
    }
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(reply.is_complete, "{}", reply.text());
    assert_eq!(reply.body, upstream::events(0, 3), "{}", reply.text());
    assert_eq!(runs(&all), 2);
}

/// Guards against an end that is confirmed by a process that didn't send the response: the address or
/// the identifier of an upstream that ended may be used again. What the platform lists doesn't tell
/// whether the process lives on.
#[rstest]
#[case::listed_elsewhere("u1")]
#[case::not_listed("u2")]
#[tokio::test]
async fn the_end_of_a_stream_is_confirmed_by_its_own_upstream_only(
    #[case] listed: &'static str,
    #[values(false, true)] is_replaced: bool,
) {
    let step = match is_replaced {
        true => Step::ReplaceLate(THREE_EVENTS),
        false => Step::CloseLate(THREE_EVENTS),
    };
    let one = Upstream::start("u1", move |_| step).await;
    let two = Upstream::start(listed, |_| raw(NO_MORE)).await;
    let host = Host::start(Kind::Stream, &[&one]).await;
    let change = async {
        first_arrival(&[&one]).await;
        host.replace_upstreams(&[&two]).await;
    };
    let (reply, ()) = tokio::join!(caller::send(host.caller, "a1", &[]), change);
    assert_eq!(reply.body, upstream::events(0, 3), "{}", reply.text());
    assert_eq!(reply.is_complete, !is_replaced);
}

/// Guards against sound responses without framing that run twice, or wait for long.
#[rstest]
#[case::stream(Kind::Stream, THREE_EVENTS)]
#[case::resumable(Kind::ResumableStream, THREE_EVENTS)]
#[case::plain(Kind::NonIdempotent, "connection: close\r\n\r\nseat 7")]
#[tokio::test]
async fn a_sound_response_that_ends_with_its_connection_runs_once(
    #[case] kind: Kind,
    #[case] text: &'static str,
) {
    let one = Upstream::start("u1", move |_| raw(text)).await;
    let two = Upstream::start("u2", move |_| raw(text)).await;
    let host = Host::start(kind, &[&one, &two]).await;
    for number in 1..=8 {
        let reply = caller::send(host.caller, &format!("a{number}"), &[]).await;
        assert!(reply.is_complete, "{}", reply.text());
        assert!(text.ends_with(&reply.text()), "{}", reply.text());
        assert_eq!(runs(&[&one, &two]), number);
    }
}

/// Guards against a part of a plain answer that looks whole (MIXED).
#[tokio::test]
async fn a_plain_response_whose_upstream_crashes_is_not_returned() {
    let part = "connection: close\r\n\r\nseat 7 of 1";
    let one = Upstream::start("u1", move |_| Step::CrashForGood(part)).await;
    let (_host, reply) = send_one(Kind::NonIdempotent, &[&one]).await;
    assert_eq!(reply.status, 502, "{}", reply.text());
    assert_eq!(outcome(&reply), Outcome::Unknown);
    assert_eq!(runs(&[&one]), 1);

    let steps = script(&[Step::CrashForGood(part), Step::Respond(200, "seat 7 of 12")]);
    let started = upstreams(&["u1", "u2"], steps).await;
    let all: Vec<_> = started.iter().collect();
    let (_host, reply) = send_one(Kind::Idempotent, &all).await;
    assert_eq!(reply.text(), "seat 7 of 12");
    assert_eq!(runs(&all), 2);
}

/// The end of a JSON text shows that it is whole, whatever became of its upstream.
#[tokio::test]
async fn a_json_object_is_returned_though_its_upstream_crashes() {
    let text = "content-type: application/json\r\nconnection: close\r\n\r\n{\"seat\":7}";
    let one = Upstream::start("u1", move |_| Step::CrashForGood(text)).await;
    let (_host, reply) = send_one(Kind::NonIdempotent, &[&one]).await;
    assert_eq!((reply.status, &*reply.text()), (200, "{\"seat\":7}"));
}

/// Guards against a host that frames what another one hands it as complete.
#[tokio::test]
async fn a_stream_through_another_host_whose_upstream_crashes_does_not_look_complete() {
    let one = Upstream::start("u1", |_| Step::CrashForGood(THREE_EVENTS)).await;
    let all = [&one];
    let (fleet, links) = Host::start_linked_fleet(2, Kind::Stream, &all).await;
    links[0].set(Path::Reset);
    let reply = caller::send(fleet[0].caller, "a1", &[]).await;
    assert_eq!(reply.body, upstream::events(0, 3), "{}", reply.text());
    assert!(!reply.is_complete);
    assert!(lock(&fleet[0].state.reach).is_lost(&"desk".into()));
}
