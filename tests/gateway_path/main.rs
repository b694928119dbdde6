//! End-to-end tests of a gateway over real sockets, from the view of callers and
//! upstreams.

#![expect(
    clippy::indexing_slicing,
    clippy::unwrap_used,
    reason = "a test may panic"
)]

mod brittle;
mod caller;
mod continuation;
mod crashing_segments;
#[path = "../truncation/cut.rs"]
mod cut;
mod early;
#[path = "../truncation/end.rs"]
mod end;
mod endless;
mod eras;
#[path = "../truncation/events.rs"]
mod events;
mod host;
mod idle;
mod leaving;
mod limits;
mod link;
mod partition;
mod partition_soak;
mod process;
mod readers;
mod refusals;
mod rest;
#[path = "../early_response/server.rs"]
mod server;
mod settings;
mod shutdown;
mod status;
mod store;
mod truncation;
mod unframed;
mod unlisted;
mod upstream;
mod versions;

use std::time::Duration;

use futures_util::future::join_all;
use masticmoor::gateway::table::Kind;
use masticmoor::gateway::warmup;
use masticmoor::outcome::Outcome;
use tokio::time::timeout;

use crate::caller::Reply;
use crate::host::Host;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Timeout of each wait in these tests.
const TIMEOUT: Duration = Duration::from_secs(10);

/// Starts a host with one route of a kind to some upstreams, and sends it one request.
async fn send_one(kind: Kind, upstreams: &[&Upstream]) -> (Host, Reply) {
    let host = Host::start(kind, upstreams).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    (host, reply)
}

/// Returns the number of requests that upstreams received.
fn runs(upstreams: &[&Upstream]) -> usize {
    upstreams.iter().map(|it| it.requests().len()).sum()
}

/// Waits until an upstream has received a request.
async fn first_arrival(upstreams: &[&Upstream]) {
    let has_arrived = async {
        while runs(upstreams) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(TIMEOUT, has_arrived).await.unwrap();
}

fn outcome(reply: &Reply) -> Outcome {
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    serde_json::from_value(body["outcome"].clone()).unwrap()
}

#[tokio::test]
async fn a_response_is_forwarded_completely_with_its_receipt() {
    let upstream = Upstream::start("u1", |_| Step::Respond(200, "seat 7")).await;
    let (_host, reply) = send_one(Kind::NonIdempotent, &[&upstream]).await;
    assert_eq!((reply.status, &reply.body[..]), (200, &b"seat 7"[..]));
    assert!(reply.is_complete);
    assert_eq!(reply.header("x-receipt"), Some("u1"));
    assert_eq!(reply.header("x-attempt"), Some("a1"));
}

#[tokio::test]
async fn a_non_idempotent_request_that_may_have_run_is_not_retried() {
    for step in [Step::Reset, Step::Foreign, Step::Truncate] {
        let one = Upstream::start("u1", move |_| step).await;
        let two = Upstream::start("u2", move |_| step).await;
        let (_host, reply) = send_one(Kind::NonIdempotent, &[&one, &two]).await;
        assert_eq!(runs(&[&one, &two]), 1, "{step:?}");
        assert_eq!(reply.status, 502, "{step:?}");
        assert_eq!(outcome(&reply), Outcome::Unknown);
    }
}

#[tokio::test]
async fn a_non_idempotent_request_is_retried_if_nothing_was_sent() {
    let refusing = Upstream::refusing("u1").await;
    let two = Upstream::start("u2", |_| Step::Respond(200, "sold")).await;
    let (host, reply) = send_one(Kind::NonIdempotent, &[&refusing, &two]).await;
    assert_eq!(reply.status, 200);
    let again = caller::send(host.caller, "a2", &[]).await;
    assert_eq!(again.status, 200);
    assert_eq!(runs(&[&two]), 2);
}

#[tokio::test]
async fn a_non_idempotent_request_is_retried_if_the_upstream_did_not_run_it() {
    for step in [Step::Reject, Step::Misdirected] {
        let one = Upstream::start("u1", move |_| step).await;
        let two = Upstream::start("u2", |_| Step::Respond(200, "sold")).await;
        let host = Host::start(Kind::NonIdempotent, &[&one, &two]).await;
        for attempt in ["a1", "a2", "a3", "a4"] {
            let reply = caller::send(host.caller, attempt, &[]).await;
            assert_eq!(reply.status, 200, "{step:?}");
        }
        assert_eq!(runs(&[&two]), 4);
    }
}

/// An upstream that ended stays the least loaded while it is listed, and would use up the retry
/// budget.
#[tokio::test]
async fn an_upstream_whose_address_another_one_has_gets_few_requests() {
    let gone = Upstream::start("u1", |_| Step::Misdirected).await;
    let other = Upstream::start("u2", |_| Step::Respond(200, "sold")).await;
    let host = Host::start(Kind::NonIdempotent, &[&gone, &other]).await;
    for number in 0..100 {
        let reply = caller::send(host.caller, &format!("a{number}"), &[]).await;
        assert_eq!(reply.status, 200);
    }
    assert!(runs(&[&gone]) <= 10, "{}", runs(&[&gone]));
}

#[tokio::test]
async fn a_non_idempotent_request_that_did_not_run_is_refused_with_retry_after() {
    let one = Upstream::start("u1", |_| Step::Reject).await;
    let (_host, reply) = send_one(Kind::NonIdempotent, &[&one]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(outcome(&reply), Outcome::NotRun);
    let wait: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!(wait > 0.0 && wait <= 2.0);
}

#[tokio::test]
async fn an_idempotent_request_that_may_have_run_is_refused_as_unknown() {
    let lost_then_rejected = |number| match number {
        0 => Step::Reset,
        _ => Step::Reject,
    };
    let one = Upstream::start("u1", lost_then_rejected).await;
    let (_host, reply) = send_one(Kind::Idempotent, &[&one]).await;
    assert!(runs(&[&one]) > 1);
    assert_eq!(reply.status, 502);
    assert_eq!(outcome(&reply), Outcome::Unknown);
}

#[tokio::test]
async fn an_idempotent_request_is_not_retried_after_its_key_was_revoked() {
    let one = Upstream::start("u1", |_| Step::ResetLate).await;
    let host = Host::start(Kind::Idempotent, &[&one]).await;
    let address = host.caller;
    let task = tokio::spawn(async move { caller::send(address, "a1", &[]).await });
    while one.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    host.revoke_keys().await;
    let reply = task.await.unwrap();
    assert_eq!(reply.status, 502);
    assert_eq!(outcome(&reply), Outcome::Unknown);
    assert_eq!(runs(&[&one]), 1);
    let reply = caller::send(address, "a2", &[]).await;
    assert_eq!(reply.status, 401);
}

#[tokio::test]
async fn an_idempotent_request_is_retried_at_another_upstream() {
    let steps = [
        Step::Reset,
        Step::Foreign,
        Step::Truncate,
        Step::Respond(500, "no"),
        Step::Hang,
        Step::Reject,
    ];
    for step in steps {
        let fails_first = move |number| match number {
            0 => step,
            _ => Step::Respond(200, "found"),
        };
        let one = Upstream::start("u1", fails_first).await;
        let two = Upstream::start("u2", fails_first).await;
        let host = Host::start(Kind::Idempotent, &[&one, &two]).await;
        // Only the first request to `u2` fails; `u1` responds to all.
        one.skip_step();
        let reply = caller::send(host.caller, "a1", &[]).await;
        assert_eq!(
            (reply.status, &reply.body[..]),
            (200, &b"found"[..]),
            "{step:?}"
        );
    }
}

#[tokio::test]
async fn a_slow_idempotent_request_is_not_moved_if_there_is_no_other_upstream() {
    let one = Upstream::start("u1", |_| Step::RespondLate(200, "late")).await;
    let (_host, reply) = send_one(Kind::Idempotent, &[&one]).await;
    assert_eq!((reply.status, &reply.body[..]), (200, &b"late"[..]));
    assert_eq!(runs(&[&one]), 1);
}

/// Returns two upstreams whose streams end in the middle of the sixth event.
async fn truncated_after_five() -> [Upstream; 2] {
    let truncated = |_| Step::Stream {
        from: 0,
        to: 5,
        truncated: true,
    };
    [
        Upstream::start("u1", truncated).await,
        Upstream::start("u2", truncated).await,
    ]
}

#[tokio::test]
async fn a_resumable_stream_continues_after_the_last_complete_event() {
    let [one, two] = truncated_after_five().await;
    let host = Host::start(Kind::ResumableStream, &[&one, &two]).await;
    for upstream in [&one, &two] {
        upstream.set_resumed_to(10);
    }
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert!(reply.is_complete);
    assert_eq!(reply.body, upstream::events(0, 10));
    assert_eq!(runs(&[&one, &two]), 2);
}

#[tokio::test]
async fn a_stream_that_is_not_resumable_ends_without_looking_complete() {
    let [one, two] = truncated_after_five().await;
    let (_host, reply) = send_one(Kind::Stream, &[&one, &two]).await;
    assert!(!reply.is_complete);
    assert_eq!(reply.body, upstream::events(0, 5));
    assert_eq!(runs(&[&one, &two]), 1);
}

#[tokio::test]
async fn a_stalled_stream_is_not_aborted_if_there_is_no_other_upstream() {
    let one = Upstream::start("u1", |_| Step::Stall { at: 3, to: 6 }).await;
    let (_host, reply) = send_one(Kind::ResumableStream, &[&one]).await;
    assert!(reply.is_complete);
    assert_eq!(reply.body, upstream::events(0, 6));
}

#[tokio::test]
async fn reserved_and_hop_by_hop_headers_of_callers_are_removed() {
    let one = Upstream::start("u1", |_| Step::Respond(200, "ok")).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    let forged = [
        ("x-workspace", "other"),
        ("x-expected", "u9"),
        ("x-reserved", "1"),
        ("connection", "x-listed"),
        ("x-listed", "1"),
        ("x-plain", "kept"),
    ];
    caller::send(host.caller, "a1", &forged).await;
    let request = &one.requests()[0];
    assert_eq!(request.header("x-workspace"), Some("school"));
    assert_eq!(request.header("x-expected"), Some("u1"));
    assert_eq!(request.header("x-plain"), Some("kept"));
    for name in ["x-reserved", "x-listed", "x-key"] {
        assert_eq!(request.header(name), None, "{name}");
    }
    assert_eq!(request.body, caller::BODY.as_bytes());
    let remaining_ms: u64 = request.header("x-deadline").unwrap().parse().unwrap();
    assert!(remaining_ms <= caller::DEADLINE_MS);
}

#[tokio::test]
async fn requests_with_an_unknown_or_outdated_key_do_not_run() {
    let one = Upstream::start("u1", |_| Step::Respond(200, "ok")).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    let reply = caller::send(host.caller, "a1", &[("x-key", "stolen")]).await;
    assert_eq!(reply.status, 401);
    // Without the store and without other hosts, the keys become outdated.
    host.silence_store();
    tokio::time::sleep(host::MAX_KEY_AGE).await;
    let reply = caller::send(host.caller, "a2", &[]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(outcome(&reply), Outcome::NotRun);
    assert!(!host.is_ready());
    assert_eq!(runs(&[&one]), 0);
}

#[tokio::test]
async fn a_host_without_a_route_table_refuses_as_not_run() {
    let host = Host::start_empty().await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(outcome(&reply), Outcome::NotRun);
    assert!(!host.is_ready());
}

#[tokio::test]
async fn a_disconnect_of_the_caller_closes_the_connection_to_the_upstream() {
    let one = Upstream::start("u1", |_| Step::Hang).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    let disconnected = caller::disconnect(host.caller, "a1", || !one.requests().is_empty()).await;
    assert!(disconnected);
    tokio::time::timeout(TIMEOUT, one.closed()).await.unwrap();
}

/// Guards against an abandoned request that still reaches the upstream: without a reset,
/// the request stays in the send buffer and arrives once a network partition heals.
#[tokio::test]
async fn the_connection_of_an_abandoned_request_is_reset() {
    let one = Upstream::start("u1", |_| Step::Hang).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    caller::disconnect(host.caller, "a1", || !one.requests().is_empty()).await;
    tokio::time::timeout(TIMEOUT, one.closed()).await.unwrap();
    assert!(one.was_reset());
}

#[tokio::test]
async fn a_shutdown_completes_requests_and_closes_idle_connections() {
    let one = Upstream::start("u1", |_| Step::RespondLate(200, "late")).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    let address = host.caller;
    let task = tokio::spawn(async move { caller::send_keep_alive(address, "a1").await });
    while one.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let aborted = host.drain().await;
    let reply = task.await.unwrap();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"late"[..]));
    assert_eq!(reply.header("connection"), Some("close"));
    assert_eq!(aborted, 0);
    assert!(!caller::connects(address).await);
}

/// Its third crash may come in the first of two attempts.
#[tokio::test]
async fn a_request_is_not_repeated_after_its_third_crash() {
    let upstreams = [
        Upstream::start("u1", |_| Step::Reset).await,
        Upstream::start("u2", |_| Step::Reset).await,
        Upstream::start("u3", |_| Step::Reset).await,
        Upstream::start("u4", |_| Step::Reset).await,
        Upstream::start("u5", |_| Step::Reset).await,
    ];
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let host = Host::start(Kind::Idempotent, &all).await;
    for number in 0..2 {
        let reply = caller::send(host.caller, &format!("a{number}"), &[]).await;
        assert_eq!(outcome(&reply), Outcome::Unknown);
    }
    assert_eq!(runs(&all), 3);
}

#[tokio::test]
async fn a_request_that_crashes_upstreams_is_refused() {
    let upstreams = [
        Upstream::start("u1", |_| Step::Reset).await,
        Upstream::start("u2", |_| Step::Reset).await,
        Upstream::start("u3", |_| Step::Reset).await,
        Upstream::start("u4", |_| Step::Reset).await,
    ];
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let host = Host::start(Kind::Idempotent, &all).await;
    for number in 0..12 {
        caller::send(host.caller, &format!("a{number}"), &[]).await;
    }
    let reply = caller::send(host.caller, "last", &[]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(outcome(&reply), Outcome::NotRun);
    // Three crashes, and the attempts in flight at the time of the third.
    assert!(runs(&all) <= 6, "{}", runs(&all));
}

#[tokio::test]
async fn a_host_serves_its_prompt_placements_to_other_hosts() {
    let streams = |_| Step::Stream {
        from: 0,
        to: 2,
        truncated: false,
    };
    let one = Upstream::start("u1", streams).await;
    let host = Host::start(Kind::ResumableStream, &[&one]).await;
    let segments = [("x-parts", "1,2,3")];
    let reply = caller::send(host.caller, "a1", &segments).await;
    assert_eq!(reply.status, 200);
    let snapshot = warmup::fetch(host.peer).await.unwrap();
    // The last segment is specific to the request.
    let held: Vec<u64> = snapshot.used.iter().map(|(segment, _)| *segment).collect();
    assert_eq!(held, [1, 2]);
    let holders = snapshot.used.iter().map(|(_, held)| &held[0].0);
    assert!(holders.into_iter().all(|it| *it == one.id.into()));
}

#[tokio::test]
async fn engines_are_asked_for_cached_segments_if_no_host_knows_them() {
    let streams = |_| Step::Stream {
        from: 0,
        to: 2,
        truncated: false,
    };
    for (holder, other) in [("u1", "u2"), ("u2", "u1")] {
        let one = Upstream::start(holder, streams).await;
        let two = Upstream::start(other, streams).await;
        let cached: [(&Upstream, &[u64]); 1] = [(&one, &[1, 2, 9])];
        let host = Host::start_with_cache(Kind::ResumableStream, &[&one, &two], &cached).await;
        let has_learned = async {
            while host.cached_prefix_len(&one, &[1, 2]) < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(TIMEOUT, has_learned).await.unwrap();
        let segments = [("x-parts", "1,2,3")];
        let reply = caller::send(host.caller, "a1", &segments).await;
        assert_eq!(reply.status, 200);
        assert_eq!((runs(&[&one]), runs(&[&two])), (1, 0), "{holder} holds it");
    }
}

/// Guards against overloading engines when many hosts start together: a host doesn't know
/// how many do, so the number of engines limits the requests.
#[tokio::test]
async fn engines_are_not_asked_if_there_are_many() {
    let one = Upstream::start("u1", |_| Step::Respond(200, "plan")).await;
    for (others, expected) in [(31, 1), (32, 0)] {
        let names: Vec<&'static str> = (0..others)
            .map(|number| &*format!("v{number}").leak())
            .collect();
        let mut all = vec![&one];
        let idle: Vec<Upstream> = join_all(names.into_iter().map(Upstream::refusing)).await;
        all.extend(&idle);
        let cached: [(&Upstream, &[u64]); 1] = [(&one, &[1])];
        let host = Host::start_with_cache(Kind::ResumableStream, &all, &cached).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(
            host.cached_prefix_len(&one, &[1]),
            expected,
            "{others} others"
        );
    }
}
