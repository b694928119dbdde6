//! Which responses can continue a stream.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use http::Response;
use http::header::CONTENT_TYPE;
use http::response::Parts;
use masticmoor::gateway::continuation;
use rstest::rstest;

fn head(status: u16, content_type: &str) -> Parts {
    let response = Response::builder().status(status);
    let response = match content_type {
        "" => response,
        named => response.header(CONTENT_TYPE, named),
    };
    response.body(()).unwrap().into_parts().0
}

const EVENTS: &str = "text/event-stream";

#[rstest]
#[case::same(EVENTS, 200, "text/event-stream; charset=utf-8", true)]
#[case::unnamed(EVENTS, 200, "", true)]
#[case::unnamed_at_first("", 200, EVENTS, true)]
#[case::never_named("", 200, "", true)]
#[case::json(EVENTS, 200, "application/json", false)]
#[case::json_of_a_vendor("", 200, "application/problem+json", false)]
#[case::page(EVENTS, 200, "text/html", false)]
#[case::other_success(EVENTS, 206, EVENTS, false)]
#[case::redirect(EVENTS, 302, EVENTS, false)]
#[case::refusal(EVENTS, 429, EVENTS, false)]
#[case::failure(EVENTS, 500, EVENTS, false)]
fn a_response_fits_by_its_status_and_type(
    #[case] begun: &str,
    #[case] status: u16,
    #[case] content_type: &str,
    #[case] fits: bool,
) {
    let next = head(status, content_type);
    assert_eq!(continuation::fits(&head(200, begun), &next), fits);
}
