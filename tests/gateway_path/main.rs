//! What callers and upstreams see of a gateway, over real sockets.

#![expect(
    clippy::indexing_slicing,
    clippy::unwrap_used,
    reason = "a test may panic"
)]

mod caller;
mod host;
mod settings;
mod upstream;

use std::time::Duration;

use futures_util::future::join_all;
use masticmoor::gateway::table::Kind;
use masticmoor::gateway::warmup;
use masticmoor::outcome::Outcome;

use crate::caller::Reply;
use crate::host::Host;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// The longest that anything in these tests may take.
const PATIENCE: Duration = Duration::from_secs(10);

/// Sends one request by a route of a kind to a host with these upstreams.
async fn ask(kind: Kind, upstreams: &[&Upstream]) -> (Host, Reply) {
    let host = Host::start(kind, upstreams).await;
    let reply = caller::ask(host.caller, "a1", &[]).await;
    (host, reply)
}

fn runs(upstreams: &[&Upstream]) -> usize {
    upstreams.iter().map(|it| it.requests().len()).sum()
}

fn outcome(reply: &Reply) -> Outcome {
    let body: serde_json::Value = serde_json::from_slice(&reply.body).unwrap();
    serde_json::from_value(body["outcome"].clone()).unwrap()
}

#[tokio::test]
async fn an_answer_is_passed_on_whole_with_its_receipt() {
    let upstream = Upstream::start("u1", |_| Step::Answer(200, "seat 7")).await;
    let (_host, reply) = ask(Kind::NonIdempotent, &[&upstream]).await;
    assert_eq!((reply.status, &reply.body[..]), (200, &b"seat 7"[..]));
    assert!(reply.is_complete);
    assert_eq!(reply.header("x-receipt"), Some("u1"));
    assert_eq!(reply.header("x-attempt"), Some("a1"));
}

#[tokio::test]
async fn a_purchase_that_may_have_run_is_never_sent_again() {
    for step in [Step::Reset, Step::Foreign, Step::Cut] {
        let one = Upstream::start("u1", move |_| step).await;
        let two = Upstream::start("u2", move |_| step).await;
        let (_host, reply) = ask(Kind::NonIdempotent, &[&one, &two]).await;
        assert_eq!(runs(&[&one, &two]), 1, "{step:?}");
        assert_eq!(reply.status, 502, "{step:?}");
        assert_eq!(outcome(&reply), Outcome::Unknown);
    }
}

#[tokio::test]
async fn a_purchase_goes_elsewhere_if_nothing_was_sent() {
    let gone = Upstream::refusing("u1").await;
    let two = Upstream::start("u2", |_| Step::Answer(200, "sold")).await;
    let (host, reply) = ask(Kind::NonIdempotent, &[&gone, &two]).await;
    assert_eq!(reply.status, 200);
    let again = caller::ask(host.caller, "a2", &[]).await;
    assert_eq!(again.status, 200);
    assert_eq!(runs(&[&two]), 2);
}

#[tokio::test]
async fn a_purchase_goes_elsewhere_if_the_upstream_ran_nothing() {
    for step in [Step::Reject, Step::Misdirected] {
        let one = Upstream::start("u1", move |_| step).await;
        let two = Upstream::start("u2", |_| Step::Answer(200, "sold")).await;
        let host = Host::start(Kind::NonIdempotent, &[&one, &two]).await;
        for attempt in ["a1", "a2", "a3", "a4"] {
            let reply = caller::ask(host.caller, attempt, &[]).await;
            assert_eq!(reply.status, 200, "{step:?}");
        }
        assert_eq!(runs(&[&two]), 4);
    }
}

#[tokio::test]
async fn a_purchase_that_nobody_ran_is_refused_with_a_time() {
    let one = Upstream::start("u1", |_| Step::Reject).await;
    let (_host, reply) = ask(Kind::NonIdempotent, &[&one]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(outcome(&reply), Outcome::NotRun);
    let wait: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!(wait > 0.0 && wait <= 2.0);
}

#[tokio::test]
async fn a_lookup_that_may_have_run_is_not_called_not_run_when_it_is_given_up() {
    let first_lost = |number| match number {
        0 => Step::Reset,
        _ => Step::Reject,
    };
    let one = Upstream::start("u1", first_lost).await;
    let (_host, reply) = ask(Kind::Idempotent, &[&one]).await;
    assert!(runs(&[&one]) > 1);
    assert_eq!(reply.status, 502);
    assert_eq!(outcome(&reply), Outcome::Unknown);
}

#[tokio::test]
async fn a_lookup_is_not_sent_again_once_its_key_is_gone() {
    let one = Upstream::start("u1", |_| Step::SlowReset).await;
    let host = Host::start(Kind::Idempotent, &[&one]).await;
    let address = host.caller;
    let asked = tokio::spawn(async move { caller::ask(address, "a1", &[]).await });
    while one.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    host.revoke_keys().await;
    let reply = asked.await.unwrap();
    assert_eq!(reply.status, 502);
    assert_eq!(outcome(&reply), Outcome::Unknown);
    assert_eq!(runs(&[&one]), 1);
    let reply = caller::ask(address, "a2", &[]).await;
    assert_eq!(reply.status, 401);
}

#[tokio::test]
async fn a_lookup_is_answered_by_another_upstream() {
    let steps = [
        Step::Reset,
        Step::Foreign,
        Step::Cut,
        Step::Answer(500, "no"),
        Step::Mute,
        Step::Reject,
    ];
    for step in steps {
        let first = move |number| match number {
            0 => step,
            _ => Step::Answer(200, "found"),
        };
        let one = Upstream::start("u1", first).await;
        let two = Upstream::start("u2", first).await;
        let host = Host::start(Kind::Idempotent, &[&one, &two]).await;
        // One of two tries meets the failure, the other the answer.
        one.skip();
        let reply = caller::ask(host.caller, "a1", &[]).await;
        assert_eq!(
            (reply.status, &reply.body[..]),
            (200, &b"found"[..]),
            "{step:?}"
        );
    }
}

#[tokio::test]
async fn a_slow_lookup_stays_where_it_is_if_there_is_no_other_place() {
    let one = Upstream::start("u1", |_| Step::Slow(200, "late")).await;
    let (_host, reply) = ask(Kind::Idempotent, &[&one]).await;
    assert_eq!((reply.status, &reply.body[..]), (200, &b"late"[..]));
    assert_eq!(runs(&[&one]), 1);
}

/// Two upstreams that break off in the middle of the sixth event.
async fn torn_after_five() -> [Upstream; 2] {
    let cut = |_| Step::Stream {
        from: 0,
        to: 5,
        torn: true,
    };
    [
        Upstream::start("u1", cut).await,
        Upstream::start("u2", cut).await,
    ]
}

#[tokio::test]
async fn a_stream_goes_on_after_the_last_whole_event() {
    let [one, two] = torn_after_five().await;
    let host = Host::start(Kind::ResumableStream, &[&one, &two]).await;
    for upstream in [&one, &two] {
        upstream.resume(10);
    }
    let reply = caller::ask(host.caller, "a1", &[]).await;
    assert!(reply.is_complete);
    assert_eq!(reply.body, upstream::events(0, 10));
    assert_eq!(runs(&[&one, &two]), 2);
}

#[tokio::test]
async fn a_stream_that_can_t_go_on_never_looks_complete() {
    let [one, two] = torn_after_five().await;
    let (_host, reply) = ask(Kind::Stream, &[&one, &two]).await;
    assert!(!reply.is_complete);
    assert_eq!(reply.body, upstream::events(0, 5));
    assert_eq!(runs(&[&one, &two]), 1);
}

#[tokio::test]
async fn a_stalled_stream_is_not_cut_if_there_is_no_other_place() {
    let one = Upstream::start("u1", |_| Step::Stall { at: 3, to: 6 }).await;
    let (_host, reply) = ask(Kind::ResumableStream, &[&one]).await;
    assert!(reply.is_complete);
    assert_eq!(reply.body, upstream::events(0, 6));
}

#[tokio::test]
async fn only_the_fleet_s_own_headers_reach_the_upstream() {
    let one = Upstream::start("u1", |_| Step::Answer(200, "ok")).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    let forged = [
        ("x-workspace", "other"),
        ("x-expected", "u9"),
        ("x-reserved", "1"),
        ("connection", "x-listed"),
        ("x-listed", "1"),
        ("x-plain", "kept"),
    ];
    caller::ask(host.caller, "a1", &forged).await;
    let request = &one.requests()[0];
    assert_eq!(request.header("x-workspace"), Some("school"));
    assert_eq!(request.header("x-expected"), Some("u1"));
    assert_eq!(request.header("x-plain"), Some("kept"));
    for name in ["x-reserved", "x-listed", "x-key"] {
        assert_eq!(request.header(name), None, "{name}");
    }
    assert_eq!(request.body, caller::BODY.as_bytes());
    let left: u64 = request.header("x-deadline").unwrap().parse().unwrap();
    assert!(left <= caller::DEADLINE_MS);
}

#[tokio::test]
async fn a_key_that_is_unknown_or_can_t_be_vouched_for_runs_nothing() {
    let one = Upstream::start("u1", |_| Step::Answer(200, "ok")).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    let reply = caller::ask(host.caller, "a1", &[("x-key", "stolen")]).await;
    assert_eq!(reply.status, 401);
    // The store falls silent; nobody else can vouch either.
    host.silence_store();
    tokio::time::sleep(host::KEY_AGE).await;
    let reply = caller::ask(host.caller, "a2", &[]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(outcome(&reply), Outcome::NotRun);
    assert!(!host.is_ready());
    assert_eq!(runs(&[&one]), 0);
}

#[tokio::test]
async fn a_host_without_a_route_table_refuses_truly() {
    let host = Host::start_empty().await;
    let reply = caller::ask(host.caller, "a1", &[]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(outcome(&reply), Outcome::NotRun);
    assert!(!host.is_ready());
}

#[tokio::test]
async fn the_caller_s_leaving_reaches_the_upstream() {
    let one = Upstream::start("u1", |_| Step::Mute).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    let left = caller::leave(host.caller, "a1", || !one.requests().is_empty()).await;
    assert!(left);
    tokio::time::timeout(PATIENCE, one.closed()).await.unwrap();
}

/// The end of a connection that isn't reset waits behind the request, which then
/// arrives as soon as a cut path heals.
#[tokio::test]
async fn a_request_that_is_given_up_leaves_nothing_on_the_way() {
    let one = Upstream::start("u1", |_| Step::Mute).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    caller::leave(host.caller, "a1", || !one.requests().is_empty()).await;
    tokio::time::timeout(PATIENCE, one.closed()).await.unwrap();
    assert!(one.was_reset());
}

#[tokio::test]
async fn a_shutdown_ends_what_is_under_way_and_closes_what_rests() {
    let one = Upstream::start("u1", |_| Step::Slow(200, "late")).await;
    let host = Host::start(Kind::NonIdempotent, &[&one]).await;
    let address = host.caller;
    let asked = tokio::spawn(async move { caller::ask_on_kept(address, "a1").await });
    while one.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    let cut = host.drain().await;
    let reply = asked.await.unwrap();
    assert_eq!((reply.status, &reply.body[..]), (200, &b"late"[..]));
    assert_eq!(reply.header("connection"), Some("close"));
    assert_eq!(cut, 0);
    assert!(!caller::connects(address).await);
}

#[tokio::test]
async fn a_request_that_crashes_upstreams_is_refused_soon() {
    let upstreams = [
        Upstream::start("u1", |_| Step::Reset).await,
        Upstream::start("u2", |_| Step::Reset).await,
        Upstream::start("u3", |_| Step::Reset).await,
        Upstream::start("u4", |_| Step::Reset).await,
    ];
    let all: Vec<&Upstream> = upstreams.iter().collect();
    let host = Host::start(Kind::Idempotent, &all).await;
    for number in 0..12 {
        caller::ask(host.caller, &format!("a{number}"), &[]).await;
    }
    let reply = caller::ask(host.caller, "last", &[]).await;
    assert_eq!(reply.status, 503);
    assert_eq!(outcome(&reply), Outcome::NotRun);
    // Three crashes and the tries under way when the third came.
    assert!(runs(&all) <= 6, "{}", runs(&all));
}

#[tokio::test]
async fn a_host_tells_another_which_upstream_holds_which_parts() {
    let one = Upstream::start("u1", |_| Step::Answer(200, "plan")).await;
    let host = Host::start(Kind::ResumableStream, &[&one]).await;
    let parts = [("x-parts", "1,2,3")];
    let reply = caller::ask(host.caller, "a1", &parts).await;
    assert_eq!(reply.status, 200);
    let knowledge = warmup::fetch(host.peer).await.unwrap();
    // The last part belongs to the request itself.
    let held: Vec<u64> = knowledge.used.iter().map(|(part, _)| *part).collect();
    assert_eq!(held, [1, 2]);
    let holders = knowledge.used.iter().map(|(_, held)| &held[0].0);
    assert!(holders.into_iter().all(|it| *it == one.id.into()));
}

#[tokio::test]
async fn where_no_host_knows_the_engines_say_what_they_hold() {
    let streams = |_| Step::Stream {
        from: 0,
        to: 2,
        torn: false,
    };
    for (holder, other) in [("u1", "u2"), ("u2", "u1")] {
        let one = Upstream::start(holder, streams).await;
        let two = Upstream::start(other, streams).await;
        let cached: [(&Upstream, &[u64]); 1] = [(&one, &[1, 2, 9])];
        let host = Host::start_among(Kind::ResumableStream, &[&one, &two], &cached).await;
        let learned = async {
            while host.depth(&one, &[1, 2]) < 2 {
                tokio::time::sleep(Duration::from_millis(5)).await;
            }
        };
        tokio::time::timeout(PATIENCE, learned).await.unwrap();
        let parts = [("x-parts", "1,2,3")];
        let reply = caller::ask(host.caller, "a1", &parts).await;
        assert_eq!(reply.status, 200);
        assert_eq!((runs(&[&one]), runs(&[&two])), (1, 0), "{holder} holds it");
    }
}

/// Hosts that start together can't tell how many they are: what bounds the questions
/// is the number of engines.
#[tokio::test]
async fn where_engines_are_many_no_host_asks_them() {
    let one = Upstream::start("u1", |_| Step::Answer(200, "plan")).await;
    for (others, learned) in [(31, 1), (32, 0)] {
        let names: Vec<&'static str> = (0..others)
            .map(|number| &*format!("v{number}").leak())
            .collect();
        let mut all = vec![&one];
        let idle: Vec<Upstream> = join_all(names.into_iter().map(Upstream::refusing)).await;
        all.extend(&idle);
        let cached: [(&Upstream, &[u64]); 1] = [(&one, &[1])];
        let host = Host::start_among(Kind::ResumableStream, &all, &cached).await;
        tokio::time::sleep(Duration::from_secs(1)).await;
        assert_eq!(host.depth(&one, &[1]), learned, "{others} others");
    }
}
