//! Upstreams that announce in their responses that they leave.

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

const LEAVING: &str = "x-leaving: 1\r\n";

/// Time within which other hosts know.
const SPREAD_LIMIT: Duration = Duration::from_secs(1);

async fn pair(step: Step) -> [Upstream; 2] {
    [
        Upstream::start("u1", move |_| step).await,
        Upstream::start("u2", move |_| step).await,
    ]
}

/// Sends requests until the upstream that leaves has responded to one of them.
async fn send_until_announced(host: &Host, leaving: &Upstream) {
    leaving.announce(LEAVING);
    for number in 0..200 {
        caller::send(host.caller, &format!("a{number}"), &[]).await;
        if !leaving.requests().is_empty() {
            return;
        }
    }
    panic!("the upstream got no request");
}

async fn send_many(host: &Host, name: &str) {
    for number in 0..30 {
        let reply = caller::send(host.caller, &format!("{name}{number}"), &[]).await;
        assert_eq!(reply.status, 200);
    }
}

#[rstest]
#[case::plain(Kind::Idempotent, Step::Respond(200, "found"))]
#[case::stream(Kind::ResumableStream, Step::Stream { from: 0, to: 3, truncated: false })]
#[tokio::test]
async fn a_leaving_upstream_gets_no_more_requests(
    #[case] kind: Kind,
    #[case] step: Step,
    #[values(false, true)] is_cut_off: bool,
) {
    let [one, two] = pair(step).await;
    let host = Host::start(kind, &[&one, &two]).await;
    if is_cut_off {
        host.silence_store();
    }
    // Streams without a prompt go to one of the upstreams only.
    caller::send(host.caller, "a", &[]).await;
    let (leaving, other) = match one.requests().is_empty() {
        false => (&one, &two),
        true => (&two, &one),
    };
    leaving.forget_requests();
    send_until_announced(&host, leaving).await;
    leaving.forget_requests();
    send_many(&host, "b").await;
    assert_eq!(runs(&[leaving]), 0);
    assert!(runs(&[other]) >= 30);
}

#[tokio::test]
async fn a_rejection_that_announces_leaving_counts() {
    let [one, two] = pair(Step::Respond(200, "found")).await;
    let rejecting = Upstream::start("u3", |_| Step::Reject).await;
    let host = Host::start(Kind::Idempotent, &[&one, &two, &rejecting]).await;
    send_until_announced(&host, &rejecting).await;
    rejecting.forget_requests();
    send_many(&host, "b").await;
    assert_eq!(runs(&[&rejecting]), 0);
}

/// Another upstream has the address now, and speaks of itself.
#[tokio::test]
async fn a_misdirected_request_does_not_announce_that_its_upstream_leaves() {
    let misdirecting = Upstream::start("u1", |number| match number {
        0..4 => Step::Misdirected,
        _ => Step::Respond(200, "found"),
    })
    .await;
    let host = Host::start(Kind::Idempotent, &[&misdirecting]).await;
    misdirecting.announce(LEAVING);
    caller::send(host.caller, "a1", &[]).await;
    misdirecting.announce("");
    assert_eq!(caller::send(host.caller, "a2", &[]).await.status, 200);
}

#[tokio::test]
async fn a_resumed_stream_does_not_go_to_a_leaving_upstream() {
    let truncated = Step::Stream {
        from: 0,
        to: 3,
        truncated: true,
    };
    let upstreams = pair(truncated).await;
    let [one, two] = &upstreams;
    for upstream in &upstreams {
        upstream.announce(LEAVING);
        upstream.set_resumed_to(6);
    }
    let host = Host::start(Kind::ResumableStream, &[one, two]).await;
    let reply = caller::send(host.caller, "a1", &[]).await;
    // The second one hasn't announced anything before it is used.
    assert!(reply.is_complete);
    assert_eq!((runs(&[one]), runs(&[two])), (1, 1));
    let refused = caller::send(host.caller, "a2", &[]).await;
    assert_eq!((refused.status, outcome(&refused)), (503, Outcome::NotRun));
    assert_eq!(runs(&[one, two]), 2);
}

#[tokio::test]
async fn other_hosts_know_of_a_leaving_upstream_also_if_they_are_cut_off_from_the_store() {
    let [one, two] = pair(Step::Respond(200, "found")).await;
    let fleet = Host::start_fleet(3, Kind::Idempotent, &[&one, &two]).await;
    let [first, others @ ..] = &fleet[..] else {
        panic!("no host");
    };
    for host in others {
        host.silence_store();
    }
    send_until_announced(first, &one).await;
    tokio::time::sleep(SPREAD_LIMIT).await;
    one.forget_requests();
    for (number, host) in others.iter().enumerate() {
        send_many(host, &format!("b{number}-")).await;
    }
    assert_eq!(runs(&[&one]), 0);
}

#[tokio::test]
async fn a_request_is_refused_at_once_if_all_upstreams_leave() {
    let one = Upstream::start("u1", |_| Step::Respond(200, "found")).await;
    let host = Host::start(Kind::Idempotent, &[&one]).await;
    send_until_announced(&host, &one).await;
    let sent = Instant::now();
    let reply = caller::send(host.caller, "b1", &[]).await;
    assert_eq!((reply.status, outcome(&reply)), (503, Outcome::NotRun));
    assert!(reply.header("retry-after").is_some());
    assert!(sent.elapsed() < Duration::from_millis(40));
    assert_eq!(runs(&[&one]), 1);
}
