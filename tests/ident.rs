//! Matching of paths against the prefixes of services.

use masticmoor::register::service::covers;
use rstest::rstest;

#[rstest]
#[case("/tickets", "/tickets", true)]
#[case("/tickets", "/tickets/seats", true)]
#[case("/tickets/", "/tickets/seats", true)]
#[case("/tickets", "/tickets?row=3", true)]
#[case("/tickets", "/ticketsales", false)]
fn a_prefix_covers_whole_segments(#[case] prefix: &str, #[case] path: &str, #[case] covered: bool) {
    assert_eq!(covers(prefix, path), covered);
}
