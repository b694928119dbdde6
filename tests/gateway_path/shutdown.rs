//! Requests that come late in the planned stop of a host, or outlive its grace period.

use std::time::Duration;

use masticmoor::gateway::table::Kind;
use masticmoor::lock::lock;
use masticmoor::outcome::Outcome;
use rstest::rstest;

use crate::caller;
use crate::caller::Half;
use crate::caller::Reply;
use crate::host::Host;
use crate::outcome;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Shorter than the time limit of a request that comes when idle connections are closed.
const GRACE: Duration = Duration::from_secs(4);

/// Within which a request that may outlive the host is refused.
const REFUSAL_TIMEOUT: Duration = Duration::from_millis(500);

/// Time limit of a request that ends before the host.
const SHORT_LIMIT: Duration = Duration::from_millis(500);

/// Time that is left when the grace period ends.
const EXIT_TIMEOUT: Duration = Duration::from_millis(100);

async fn start(kind: Kind, upstream: &Upstream) -> Host {
    let host = Host::start(kind, &[upstream]).await;
    let mut options = lock(&host.state.live_options).as_ref().clone();
    options.grace = GRACE;
    *lock(&host.state.live_options) = options.into();
    host
}

/// Guards against requests that are taken late in the grace period, and cut at its end.
#[rstest]
#[case::once(Kind::NonIdempotent)]
#[case::repeatable(Kind::Idempotent)]
#[case::stream(Kind::Stream)]
#[case::resumable(Kind::ResumableStream)]
#[tokio::test]
async fn a_late_request_that_may_outlive_the_host_is_refused_at_once(#[case] kind: Kind) {
    let one = Upstream::start("u1", |_| Step::Hang).await;
    let host = start(kind, &one).await;
    let half = Half::send(host.caller, "a1", GRACE).await;
    let late = async {
        host.state.closing.cancelled().await;
        let reply = half.finish();
        tokio::time::timeout(REFUSAL_TIMEOUT, reply).await.unwrap()
    };
    let (reply, cut) = tokio::join!(late, host.drain());
    assert_eq!(reply.status, 503, "{}", reply.text());
    assert_eq!(outcome(&reply), Outcome::NotRun);
    assert_eq!(reply.header("connection"), Some("close"));
    assert!(reply.header("retry-after").is_some());
    assert!(one.requests().is_empty());
    assert_eq!(cut, 0);
}

#[tokio::test]
async fn a_late_request_that_ends_before_the_host_is_served() {
    let one = Upstream::start("u1", |_| Step::Respond(200, "sold")).await;
    let host = start(Kind::NonIdempotent, &one).await;
    let half = Half::send(host.caller, "a1", SHORT_LIMIT).await;
    let late = async {
        host.state.closing.cancelled().await;
        half.finish().await
    };
    let (reply, _) = tokio::join!(late, host.drain());
    assert_eq!(reply.status, 200, "{}", reply.text());
    assert_eq!(reply.header("connection"), Some("close"));
}

/// Guards against requests that were sent and end with a closed connection.
#[rstest]
#[case::once(Kind::NonIdempotent)]
#[case::repeatable(Kind::Idempotent)]
#[case::stream(Kind::Stream)]
#[case::resumable(Kind::ResumableStream)]
#[tokio::test]
async fn a_request_that_runs_at_the_end_of_the_grace_period_gets_an_answer(#[case] kind: Kind) {
    let one = Upstream::start("u1", |_| Step::Hang).await;
    let host = start(kind, &one).await;
    let address = host.caller;
    let task = tokio::spawn(async move { caller::send_keep_alive(address, "a1").await });
    while one.requests().is_empty() {
        tokio::time::sleep(Duration::from_millis(5)).await;
    }
    host.drain().await;
    let reply = tokio::time::timeout(EXIT_TIMEOUT, task).await;
    let reply: Reply = reply.unwrap().unwrap();
    assert_eq!(reply.status, 502, "{}", reply.text());
    assert_eq!(outcome(&reply), Outcome::Unknown);
    assert_eq!(reply.header("connection"), Some("close"));
}
