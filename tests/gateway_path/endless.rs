//! Upstreams that send bytes without end, in the head or the body of a response.

use std::time::Duration;

use masticmoor::gateway::table::Kind;
use rstest::rstest;
use tokio::time::Instant;

use crate::caller;
use crate::caller::DEADLINE_MS;
use crate::host::Host;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Maximum time until a caller gets its final answer: its own limit and half a second.
const ANSWER_TIMEOUT: Duration = Duration::from_millis(DEADLINE_MS + 500);

/// Bytes of an endless response that are sent at once, if the gateway reads them.
const FLOOD_BYTES: usize = 256 << 20;

/// Maximum number of bytes that are read of an endless response, with those that the
/// system buffers on the way.
const MAX_READ_BYTES: usize = 48 << 20;

const OPEN_HEADER: &str = "HTTP/1.1 200 X\r\n{echo}x-long: ";
const INFORMATION: &str = "HTTP/1.1 102 Processing\r\n\r\n";
const UNFRAMED: &str = "HTTP/1.1 200 X\r\n{echo}connection: close\r\n\r\n";
const CHUNKED: &str = "HTTP/1.1 200 X\r\n{echo}transfer-encoding: chunked\r\n\r\n";
const OPEN_EVENT: &str = "HTTP/1.1 200 X\r\n{echo}connection: close\r\n\r\nid: 0\ndata: ";
const OPEN_TRAILER: &str =
    "HTTP/1.1 200 X\r\n{echo}transfer-encoding: chunked\r\n\r\n0\r\nx-long: ";

#[rstest]
#[case::no_protocol("", "no response ", Kind::NonIdempotent)]
#[case::header(OPEN_HEADER, "a", Kind::NonIdempotent)]
#[case::headers(OPEN_HEADER, "a\r\nx: y", Kind::Stream)]
#[case::informational("", INFORMATION, Kind::NonIdempotent)]
#[case::body(UNFRAMED, "some text ", Kind::NonIdempotent)]
#[case::chunks(CHUNKED, "4\r\ntext\r\n", Kind::NonIdempotent)]
#[case::chunk_extension(CHUNKED, "4;a=", Kind::NonIdempotent)]
#[case::trailer(OPEN_TRAILER, "a", Kind::NonIdempotent)]
#[case::event(OPEN_EVENT, "a", Kind::Stream)]
#[case::event_lines(OPEN_EVENT, "a\ndata: a", Kind::Stream)]
#[case::resumable_event(OPEN_EVENT, "a", Kind::ResumableStream)]
#[case::comments(UNFRAMED, ": a\n", Kind::Stream)]
#[case::chunked_event(CHUNKED, "4\r\ntext\r\n", Kind::Stream)]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn bytes_without_end_take_bounded_time_and_memory(
    #[case] head: &'static str,
    #[case] text: &'static str,
    #[case] kind: Kind,
    #[values(0, FLOOD_BYTES)] burst: usize,
) {
    let one = Upstream::start("u1", move |_| Step::Endless { head, text, burst }).await;
    let host = Host::start(kind, &[&one]).await;
    let sent = Instant::now();
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(sent.elapsed() < ANSWER_TIMEOUT, "{:?}", sent.elapsed());
    assert!(
        !reply.is_complete || reply.status >= 500,
        "{}",
        reply.status
    );
    assert!(
        one.endless_bytes() < MAX_READ_BYTES,
        "{}",
        one.endless_bytes()
    );
}

/// Comments and events without numbers may be part of a stream, so they are forwarded.
#[rstest]
#[case::comments(": a\n\n")]
#[case::events("data: a\n\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn blocks_without_end_end_with_the_time_of_the_caller(
    #[case] text: &'static str,
    #[values(Kind::Stream, Kind::ResumableStream)] kind: Kind,
) {
    let head = UNFRAMED;
    let burst = usize::MAX;
    let one = Upstream::start("u1", move |_| Step::Endless { head, text, burst }).await;
    let host = Host::start(kind, &[&one]).await;
    let sent = Instant::now();
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(sent.elapsed() < ANSWER_TIMEOUT, "{:?}", sent.elapsed());
    assert!(!reply.is_complete);
}

/// The client of HTTP skips informational responses, so no limit of its own applies.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn informational_responses_without_end_are_not_read_until_the_deadline() {
    let step = |_| Step::Endless {
        head: "",
        text: INFORMATION,
        burst: usize::MAX,
    };
    let one = Upstream::start("u1", step).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    let sent = Instant::now();
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert_eq!(reply.status, 502);
    assert!(sent.elapsed() < Duration::from_millis(DEADLINE_MS / 2));
}

/// Guards against a host that keeps what its caller doesn't take.
#[rstest]
#[case::comments(": a\n\n")]
#[case::events("data: a\n\n")]
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn a_stream_without_end_that_nobody_reads_is_not_read(#[case] text: &'static str) {
    let head = UNFRAMED;
    let burst = usize::MAX;
    let one = Upstream::start("u1", move |_| Step::Endless { head, text, burst }).await;
    let host = Host::start(Kind::Stream, &[&one]).await;
    caller::send_unread(host.caller, "a1", Duration::from_secs(1)).await;
    assert!(
        one.endless_bytes() < MAX_READ_BYTES,
        "{}",
        one.endless_bytes()
    );
}
