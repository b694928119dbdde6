//! The status of a host as JSON and as text.

use masticmoor::query::Config;
use masticmoor::query::Spread;
use masticmoor::query::Status;
use masticmoor::query::render;
use masticmoor::revision::Revision;
use rstest::fixture;
use rstest::rstest;

const JSON: &str = include_str!("golden/status.json");
const TEXT: &str = include_str!("golden/status.txt");

#[fixture]
fn status() -> Status {
    serde_json::from_str(JSON).expect("a status")
}

#[rstest]
fn the_json_form_of_a_status_is_stable(status: Status) {
    let json = serde_json::to_string_pretty(&status).expect("plain data");
    assert_eq!(json + "\n", JSON);
}

#[rstest]
fn the_text_form_of_a_status_is_stable(status: Status) {
    let text = render::text(&status);
    assert!(text == TEXT, "{text}");
}

// Names come from other hosts: control characters in them must not reach the terminal.
#[rstest]
fn the_text_form_contains_no_control_characters(status: Status) {
    let text = render::text(&status);
    assert!(!text.contains(|c: char| c.is_control() && c != '\n'));
}

#[rstest]
fn hosts_are_counted_by_revision() {
    let spread = Config::spread([2, 1, 2].map(Revision));
    let count = |revision, hosts| Spread {
        revision: Revision(revision),
        hosts,
    };
    assert_eq!(spread, [count(1, 1), count(2, 2)]);
}
