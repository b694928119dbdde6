//! Upstreams that turn requests away and ask for rest.

use std::time::Duration;

use masticmoor::gateway::table::Kind;
use masticmoor::outcome::Outcome;
use rstest::rstest;
use tokio::time::Instant;

use crate::caller;
use crate::host::Host;
use crate::outcome;
use crate::runs;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Sends requests until an upstream has turned one away.
async fn send_until_turned_away(host: &Host, resting: &Upstream) {
    for number in 0..200 {
        caller::send(host.caller, &format!("a{number}"), &[]).await;
        if !resting.requests().is_empty() {
            return;
        }
    }
    panic!("the upstream got no request");
}

/// An upstream turns requests away either stating that it didn't run them, or with an answer.
#[rstest]
#[case::rejected(Step::Reject)]
#[case::answered(Step::Respond(503, "busy"))]
#[tokio::test]
async fn an_upstream_that_asks_for_rest_gets_nothing_until_then(#[case] step: Step) {
    let resting = Upstream::start("u1", move |_| step).await;
    let other = Upstream::start("u2", |_| Step::Respond(200, "found")).await;
    resting.announce("retry-after: 0.6\r\n");
    let host = Host::start(Kind::Idempotent, &[&resting, &other]).await;
    send_until_turned_away(&host, &resting).await;
    let since = Instant::now();
    resting.forget_requests();
    let mut number = 0;
    while since.elapsed() < Duration::from_millis(550) {
        let reply = caller::send(host.caller, &format!("b{number}"), &[]).await;
        assert_eq!(reply.status, 200);
        number += 1;
    }
    assert_eq!(runs(&[&resting]), 0);
}

#[tokio::test]
async fn an_upstream_gets_requests_again_after_its_rest() {
    let resting = Upstream::start("u1", |number| match number {
        0 => Step::Reject,
        _ => Step::Respond(200, "found"),
    })
    .await;
    resting.announce("retry-after: 0.3\r\n");
    let host = Host::start(Kind::Idempotent, &[&resting]).await;
    assert_eq!(caller::send(host.caller, "a1", &[]).await.status, 503);
    tokio::time::sleep(Duration::from_millis(320)).await;
    assert_eq!(caller::send(host.caller, "a2", &[]).await.status, 200);
}

#[tokio::test]
async fn a_rejection_without_a_time_is_no_rest() {
    let full = Upstream::start("u1", |_| Step::Reject).await;
    let other = Upstream::start("u2", |_| Step::Respond(200, "found")).await;
    let host = Host::start(Kind::Idempotent, &[&full, &other]).await;
    send_until_turned_away(&host, &full).await;
    full.forget_requests();
    send_until_turned_away(&host, &full).await;
}

/// The caller learns when to come back instead of waiting.
#[rstest]
#[case::rejected(Step::Reject)]
#[case::answered(Step::Respond(503, "busy"))]
#[tokio::test]
async fn a_request_is_refused_at_once_if_all_upstreams_rest(#[case] step: Step) {
    let resting = Upstream::start("u1", move |_| step).await;
    resting.announce("retry-after: 2.5\r\n");
    let host = Host::start(Kind::NonIdempotent, &[&resting]).await;
    caller::send(host.caller, "a1", &[]).await;
    resting.forget_requests();
    let sent = Instant::now();
    let reply = caller::send(host.caller, "a2", &[]).await;
    assert!(sent.elapsed() < Duration::from_millis(40));
    assert_eq!((reply.status, outcome(&reply)), (503, Outcome::NotRun));
    let wait: f64 = reply.header("retry-after").unwrap().parse().unwrap();
    assert!((2.0..=2.5).contains(&wait), "{wait}");
    assert_eq!(runs(&[&resting]), 0);
}

#[tokio::test]
async fn other_hosts_go_on_using_an_upstream_that_asked_one_for_rest() {
    let resting = Upstream::start("u1", |number| match number {
        0 => Step::Reject,
        _ => Step::Respond(200, "found"),
    })
    .await;
    resting.announce("retry-after: 5\r\n");
    let fleet = Host::start_fleet(2, Kind::NonIdempotent, &[&resting]).await;
    caller::send(fleet[0].caller, "a1", &[]).await;
    tokio::time::sleep(Duration::from_millis(500)).await;
    assert_eq!(caller::send(fleet[1].caller, "a2", &[]).await.status, 200);
    assert_eq!(caller::send(fleet[0].caller, "a3", &[]).await.status, 503);
}
