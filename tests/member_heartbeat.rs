//! The encoding of heartbeats.

use std::collections::BTreeSet;

use masticmoor::ident;
use masticmoor::member::heartbeat;
use masticmoor::member::heartbeat::Digest;
use masticmoor::member::heartbeat::Report;
use masticmoor::member::heartbeat::State;
use masticmoor::member::incarnation::Incarnation;
use masticmoor::member::load;
use masticmoor::member::packed;
use masticmoor::member::timing::Timing;
use masticmoor::member::view::View;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use serde::Deserialize;
use serde_bytes::Bytes;
use tokio::time::Instant;

fn view() -> View {
    let mut rng = StdRng::seed_from_u64(1);
    let own = Incarnation::new(ident::Host::from("e-1"), &mut rng);
    View::new(Instant::now(), own, Timing::default())
}

fn report(upstreams: u32) -> Report {
    let load = |key| load::Upstream {
        key: u32::MAX - key,
        in_flight: 11,
        queued: 1,
        cap: 16,
        allowance: 16,
    };
    Report {
        upstreams: (1..=upstreams).map(load).collect(),
        ..Report::default()
    }
}

fn digest(upstreams: u32) -> Digest {
    view().digest(&report(upstreams))
}

#[rstest]
#[case(0)]
#[case(11)]
#[case(100)]
fn a_digest_decodes_to_what_was_encoded(#[case] upstreams: u32) {
    let digest = digest(upstreams);
    let datagram = digest.encode().unwrap();
    assert!(datagram.len() <= heartbeat::DATAGRAM_LIMIT_BYTES);
    assert_eq!(Digest::decode(&datagram).unwrap(), digest);
}

#[test]
fn a_digest_longer_than_a_datagram_is_an_error() {
    let mut digest = digest(100);
    digest.upstreams.extend(digest.upstreams.clone());
    let error = digest.encode().unwrap_err();
    assert!(matches!(error, heartbeat::Error::Long { .. }), "{error}");
}

/// A host that is home of more upstreams than fit into a datagram must still
/// send heartbeats, and each upstream must be included in one of the next few.
#[test]
fn a_truncated_digest_includes_other_upstreams_each_time() {
    let mut view = view();
    let mut included = BTreeSet::new();
    for _ in 0..16 {
        let digest = view.digest(&report(500));
        digest.encode().unwrap();
        assert!(digest.upstreams.len() > 60);
        included.extend(digest.upstreams.iter().map(|load| load.key));
    }
    assert_eq!(included.len(), 500);
}

#[rstest]
#[case(&[], "short")]
#[case(b"d", "short")]
#[case(b"d\x01", "short")]
#[case(b"s\x01\x90", "foreign")]
#[case(b"d\x02\x90", "version")]
#[case(b"d\x01\x90", "decode")]
fn a_datagram_that_is_no_digest_is_an_error(#[case] datagram: &[u8], #[case] cause: &str) {
    let found = match Digest::decode(datagram).unwrap_err() {
        heartbeat::Error::Short { .. } => "short",
        heartbeat::Error::Foreign { .. } => "foreign",
        heartbeat::Error::Version { version: 2 } => "version",
        heartbeat::Error::Decode(_) => "decode",
        other => panic!("{other}"),
    };
    assert_eq!(found, cause);
}

#[test]
fn an_unknown_state_is_an_error() {
    assert_eq!(State::try_from(1), Ok(State::Live));
    assert!(State::try_from(9).is_err());
}

#[derive(Debug, Deserialize)]
struct Loads(#[serde(with = "packed")] Vec<load::Upstream>);

/// Keys and figures are encoded apart, so their numbers may not match in a
/// malformed datagram.
#[rstest]
#[case(&[0; 8], &[1; 8], Some(2))]
#[case(&[0; 8], &[1; 4], None)]
#[case(&[0; 4], &[1; 8], None)]
#[case(&[0; 5], &[1; 4], None)]
#[case(&[0; 4], &[1; 5], None)]
fn loads_with_too_many_or_too_few_figures_are_an_error(
    #[case] keys: &[u8],
    #[case] figures: &[u16],
    #[case] count: Option<usize>,
) {
    let encoded = rmp_serde::to_vec(&(Bytes::new(keys), figures)).unwrap();
    let loads = rmp_serde::from_slice::<Loads>(&encoded).ok();
    assert_eq!(loads.map(|loads| loads.0.len()), count);
}
