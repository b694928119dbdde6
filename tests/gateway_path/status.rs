//! Responses whose status is none.

use masticmoor::gateway::table::Kind;
use masticmoor::lock::lock;
use masticmoor::outcome::Outcome;
use rstest::rstest;
use tokio::time::timeout;

use crate::TIMEOUT;
use crate::caller;
use crate::end::End;
use crate::host::Host;
use crate::link::Path;
use crate::outcome;
use crate::refusals::announce_host;
use crate::refusals::respond;
use crate::runs;
use crate::send_one;
use crate::unframed::script;
use crate::unframed::upstreams;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// What an upstream in trouble may write in place of a status.
const INVALID: [&str; 14] = [
    "000", "099", "100", "101", "199", "600", "700", "999", "20", "2000", "-20", "+20", "2x0", "",
];

/// Returns a response with a status, and a body with a length.
fn respond_with(status: &str, headers: &str) -> Step {
    let text = format!("HTTP/1.1 {status} X\r\n{{echo}}{headers}content-length: 6\r\n\r\nseat 7");
    Step::Head {
        text: text.leak(),
        sent: usize::MAX,
        end: End::Close,
    }
}

/// Guards against a status that callers can't understand, or take for a success (MIXED).
#[rstest]
#[tokio::test]
async fn a_response_without_a_valid_status_is_returned_as_unknown(
    #[values(Kind::NonIdempotent, Kind::Stream)] kind: Kind,
    #[values("", "x-not-executed: 1\r\n")] headers: &str,
    #[values(false, true)] is_handed_on: bool,
) {
    for status in INVALID {
        let step = respond_with(status, headers);
        let one = Upstream::start("u1", move |_| step).await;
        let (fleet, links) = Host::start_linked_fleet(2, kind, &[&one]).await;
        if is_handed_on {
            links[0].set(Path::Reset);
        }
        let reply = caller::send(fleet[0].caller, "a1", &[]).await;
        let seen = (reply.status, outcome(&reply));
        assert_eq!(seen, (502, Outcome::Unknown), "{status}");
        assert_eq!(reply.header("x-receipt"), None, "{status}");
        assert_eq!(runs(&[&one]), 1, "{status}");
    }
}

#[tokio::test]
async fn a_repeatable_request_whose_status_is_invalid_is_sent_to_another() {
    for status in INVALID {
        let steps = script(&[respond_with(status, ""), Step::Respond(200, "found")]);
        let started = upstreams(&["u1", "u2"], steps).await;
        let all: Vec<_> = started.iter().collect();
        let (_host, reply) = send_one(Kind::Idempotent, &all).await;
        assert_eq!((reply.status, &*reply.text()), (200, "found"), "{status}");
    }
}

/// Guards against such a response from another host.
#[tokio::test]
async fn a_response_of_another_host_without_a_valid_status_is_returned_as_unknown() {
    for status in INVALID {
        let upstream = Upstream::start("u1", |_| Step::Respond(200, "ran")).await;
        let all = [&upstream];
        let (fleet, links) = Host::start_linked_fleet(1, Kind::NonIdempotent, &all).await;
        let host = &fleet[0];
        let other = announce_host(host).await;
        let served = tokio::spawn(respond(
            other,
            format!(
                "HTTP/1.1 {status} X\r\nx-attempt: a1\r\nx-receipt: r\r\nmasticmoor-upstream: u1\r\n\
                 masticmoor-version: v1\r\ncontent-length: 6\r\n\r\nseat 7"
            ),
        ));
        links[0].set(Path::Reset);
        let cut_off = async {
            while !lock(&host.state.reach).is_lost(&"desk".into()) {
                caller::send(host.caller, "a0", &[]).await;
            }
        };
        timeout(TIMEOUT, cut_off).await.unwrap();
        let reply = caller::send(host.caller, "a1", &[]).await;
        served.abort();
        let seen = (reply.status, outcome(&reply));
        assert_eq!(seen, (502, Outcome::Unknown), "{status}");
    }
}
