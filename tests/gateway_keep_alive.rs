//! For how long idle connections to an upstream are used.

use std::time::Duration;

use http::HeaderMap;
use http::HeaderValue;
use masticmoor::gateway::keep_alive::Observation;
use masticmoor::gateway::keep_alive::stated;
use masticmoor::gateway::keep_alive::usable_time;
use rstest::rstest;
use tokio::time::Instant;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

#[rstest]
#[case("timeout=5", Some(5_000))]
#[case("max=100, Timeout = 1", Some(1_000))]
#[case("timeout=0", Some(0))]
#[case("max=100", None)]
#[case("timeout=-1", None)]
#[case("timeout=soon", None)]
#[case("", None)]
fn a_response_states_its_timeout_in_seconds(#[case] value: &str, #[case] expected: Option<u64>) {
    let mut headers = HeaderMap::new();
    headers.insert("keep-alive", HeaderValue::from_str(value).unwrap());
    assert_eq!(stated(&headers), expected.map(ms));
}

#[rstest]
#[case(None, None, None)]
#[case(Some(1_000), None, Some(750))]
#[case(Some(1_000), Some(400), Some(300))]
#[case(None, Some(2_000), Some(1_500))]
fn the_shorter_timeout_counts_with_a_margin(
    #[case] stated: Option<u64>,
    #[case] observed: Option<u64>,
    #[case] expected: Option<u64>,
) {
    assert_eq!(
        usable_time(stated.map(ms), observed.map(ms)),
        expected.map(ms)
    );
}

/// Guards against connections that are given up early since one upstream crashed, was at its limit or
/// asked for a close.
#[rstest]
#[case::the_same_age(&[1_000, 1_030], Some(1_000))]
#[case::after_another_cause(&[400, 1_000, 950], Some(950))]
#[case::once(&[1_000], None)]
#[case::any_age(&[300, 900, 2_000], None)]
#[case::right_after_the_response(&[2, 2, 3], None)]
fn a_timeout_is_known_once_two_times_agree(#[case] ages: &[u64], #[case] expected: Option<u64>) {
    let now = Instant::now();
    let mut observation = Observation::default();
    for age in ages {
        observation.record(now, ms(*age));
    }
    assert_eq!(observation.timeout(), expected.map(ms));
}
