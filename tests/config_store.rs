//! The store never goes back to an older version, and values arrive unchanged
//! when hosts pull them from each other.

use masticmoor::config::delta;
use masticmoor::config::delta::Delta;
use masticmoor::config::key::Key;
use masticmoor::config::replication;
use masticmoor::config::replication::Body;
use masticmoor::config::replication::Request;
use masticmoor::config::replication::Response;
use masticmoor::config::store::Adoption;
use masticmoor::config::store::Store;
use masticmoor::config::token_bucket::TokenBucket;
use masticmoor::config::version::Version;
use masticmoor::config::version::hash;
use masticmoor::revision::Revision;
use proptest::prelude::*;
use proptest::test_runner::Config;
use proptest::test_runner::RngAlgorithm;
use proptest::test_runner::TestRng;
use proptest::test_runner::TestRunner;
use rstest::rstest;
use tokio::time::Duration;
use tokio::time::Instant;

const KEY: Key = Key::Rules;

fn runner(cases: u32) -> TestRunner {
    let config = Config {
        cases,
        failure_persistence: None,
        ..Config::default()
    };
    TestRunner::new_with_rng(config, TestRng::from_seed(RngAlgorithm::ChaCha, &[3; 32]))
}

fn check(_: Key, text: &str) -> Result<Revision, std::num::ParseIntError> {
    let first = text.split('\n').next().unwrap_or_default();
    first.parse().map(Revision)
}

fn apply_text(store: &mut Store, text: &str) -> Adoption {
    store.offer(Instant::now(), KEY, text, |text| check(KEY, text))
}

fn store(text: &str) -> Store {
    let mut store = Store::new(Instant::now());
    apply_text(&mut store, text);
    store
}

/// Returns a register with this many records, of which the first `changed` of
/// each hundred differ from the original.
fn large_register(revision: u64, records: usize, changed: usize) -> String {
    let record = |number: usize| {
        let slots = if number % 100 < changed { 9 } else { 8 };
        format!(
            "\n[upstreams.runner-{number:05}]\nzone = \"kingston-{}\"\naddress = \
             \"10.{}.{}.{}:8000\"\nmodels = [\"assistant-large\", \"assistant-small\"]\n\
             slots = {slots}\ncold_slots = 1\nrole = \"whole\"\nfenced = true\n",
            number % 9,
            number / 65_536,
            number / 256 % 256,
            number % 256,
        )
    };
    let records: String = (0..records).map(record).collect();
    format!("{revision}\n{records}")
}

#[test]
fn any_order_of_offers_results_in_the_greatest_version() {
    let offers = prop::collection::vec((0..6_u64, 0..4_u8), 1..30);
    let check = |offers: Vec<(u64, u8)>| {
        let mut store = Store::new(Instant::now());
        let mut greatest = Version::default();
        for (revision, body) in offers {
            let text = match body {
                3 => "invalid".to_owned(),
                _ => format!("{revision}\n{body}"),
            };
            let before = store.version(KEY).unwrap_or_default();
            let adoption = apply_text(&mut store, &text);
            let after = store.version(KEY).unwrap_or_default();
            if body < 3 {
                greatest = greatest.max(Version::of(Revision(revision), &text));
            }
            prop_assert!(after >= before);
            prop_assert_eq!(adoption.is_change(), after != before);
            prop_assert_eq!(after, greatest);
        }
        Ok(())
    };
    runner(500).run(&offers, check).unwrap();
}

#[rstest]
#[case("5\nsame", "same")]
#[case("4\nolder", "older")]
#[case("5\nother", "conflict")]
#[case("invalid", "refused")]
#[case("6\nnew", "adopted")]
fn each_offer_has_its_result(#[case] text: &str, #[case] expected: &str) {
    let mut store = store("5\nsame");
    let found = match apply_text(&mut store, text) {
        Adoption::Unchanged => "same",
        Adoption::Older => "older",
        Adoption::Conflict { .. } => "conflict",
        Adoption::Refused(_) => "refused",
        Adoption::Adopted { .. } => "adopted",
    };
    assert_eq!(found, expected);
    assert_eq!(store.refused().count(), usize::from(expected == "refused"));
    assert_eq!(
        store.conflicts().count(),
        usize::from(expected == "conflict")
    );
}

#[test]
fn a_refused_value_is_neither_applied_nor_requested_again() {
    let mut store = store("5\ngood");
    apply_text(&mut store, "invalid");
    assert_eq!(store.version(KEY).unwrap().revision, Revision(5));
    let bad = Version::of(Revision(6), "invalid");
    let index = replication::Index([(KEY, bad)].into());
    assert_eq!(store.missing(&index), []);
    let good = Version::of(Revision(6), "6\nvalid");
    let index = replication::Index([(KEY, good)].into());
    assert_eq!(store.missing(&index).len(), 1);
}

/// The last case is a value of a megabyte with one record changed.
#[rstest]
#[case(500, 1, 500)]
#[case(2_000, 1, 1_500)]
#[case(5_000, 1, 4_000)]
#[case(5_000, 10, 20_000)]
#[case(5_000, 0, 110)]
fn a_change_is_sent_in_few_bytes(
    #[case] records: usize,
    #[case] changed: usize,
    #[case] limit: usize,
) {
    let old = large_register(1, records, 0);
    let mut new = large_register(2, records, changed);
    if changed == 0 {
        new = new.replacen("fenced = true", "fenced = false", records / 2);
        new = new.replacen("fenced = false", "fenced = true", records / 2 - 1);
    }
    let mut source = store(&old);
    apply_text(&mut source, &new);
    let mut target = store(&old);
    let request = target.missing(&source.index()).remove(0);
    let response = source.respond(Instant::now(), &request).unwrap();
    let bytes = rmp_serde::to_vec(&response).unwrap();
    let lines = old.lines().zip(new.lines()).filter(|(a, b)| a != b).count() - 1;
    println!(
        "{lines} records of {records}: {} bytes, full value {}",
        bytes.len(),
        new.len()
    );
    assert!(bytes.len() < limit, "{}", bytes.len());
    let response: Response = rmp_serde::from_slice(&bytes).unwrap();
    let adoption = target
        .apply_response(Instant::now(), response, check)
        .unwrap();
    assert!(adoption.is_change());
    assert_eq!(*target.get(KEY).unwrap().text, new);
}

#[test]
fn full_values_are_rate_limited() {
    let mut source = store(&large_register(1, 5_000, 0));
    let now = Instant::now();
    let request = Request {
        key: KEY,
        have: None,
    };
    let mut response = |at| source.respond(at, &request).unwrap().body;
    let sent = (0..40).take_while(|_| response(now) != Body::Busy).count();
    assert!((3..=5).contains(&sent), "{sent}");
    assert_ne!(response(now + Duration::from_secs(1)), Body::Busy);
    let busy = Response {
        key: KEY,
        version: Version::default(),
        body: Body::Busy,
    };
    let taken = store("0").apply_response(now, busy, check);
    assert_eq!(taken.unwrap_err(), replication::Error::Busy);
}

#[rstest]
#[case(2, true)]
#[case(40, false)]
fn without_a_delta_the_full_value_is_sent(#[case] last: u64, #[case] kept: bool) {
    let text = |revision| format!("{revision}\n{}", "a line\n".repeat(1_000));
    let mut source = store(&text(1));
    let have = source.version(KEY);
    for revision in 2..=last {
        apply_text(&mut source, &text(revision));
    }
    let request = Request { key: KEY, have };
    let response = source.respond(Instant::now(), &request).unwrap();
    assert_eq!(matches!(response.body, Body::Deltas(_)), kept);
}

/// Deltas are relayed through several hosts, each of which can serve hosts that
/// are further behind.
#[test]
fn deltas_are_relayed_through_several_hosts() {
    let text = |revision: u64| format!("{revision}\n{}", "a line\n".repeat(100));
    let now = Instant::now();
    let mut source = store(&text(1));
    for revision in 2..6 {
        apply_text(&mut source, &text(revision));
    }
    // The last host applies an intermediate version before the response
    // arrives.
    for (have, meanwhile) in [(1, 1), (2, 2), (3, 4)] {
        let mut target = store(&text(have));
        let request = target.missing(&source.index()).remove(0);
        let response = source.respond(now, &request).unwrap();
        assert!(matches!(response.body, Body::Deltas(_)));
        apply_text(&mut target, &text(meanwhile));
        assert!(
            target
                .apply_response(now, response, check)
                .unwrap()
                .is_change()
        );
        assert_eq!(*target.get(KEY).unwrap().text, text(5));
        source = target;
    }
}

#[test]
fn a_damaged_value_is_not_applied() {
    let mut target = store("1\nold");
    let response = |body| Response {
        key: KEY,
        version: Version::of(Revision(2), "2\nnew"),
        body,
    };
    let now = Instant::now();
    let full = target.apply_response(now, response(Body::Full("2\nnow".to_owned())), check);
    assert!(matches!(full, Err(replication::Error::Hash { .. })));
    let foreign = Delta::between("0\nelse", "2\nnew");
    let foreign = target.apply_response(now, response(Body::Deltas(vec![foreign])), check);
    assert!(matches!(foreign, Err(replication::Error::Base { .. })));
    assert_eq!(target.version(KEY).unwrap().revision, Revision(1));
}

#[test]
fn a_delta_results_in_exactly_the_other_text() {
    let line = prop::sample::select(vec!["a\n", "b\n", "cc\n", "é\n", "\n", "d"]);
    let text = prop::collection::vec(line, 0..30).prop_map(|lines| lines.concat());
    runner(1_000)
        .run(&(text.clone(), text), |(base, next)| {
            let delta = Delta::between(&base, &next);
            prop_assert_eq!(delta.apply(&base).unwrap(), next);
            let other = format!("{base}x");
            let error = delta.apply(&other).unwrap_err();
            let expected = delta::Error::Base {
                expected: hash(&base),
                found: hash(&other),
            };
            prop_assert_eq!(error, expected);
            Ok(())
        })
        .unwrap();
}

#[rstest]
#[case("register", Some(Key::Register))]
#[case("workspaces/12", Some(Key::Workspaces(12)))]
#[case("workspaces/", None)]
#[case("secrets", None)]
fn only_known_keys_are_parsed(#[case] text: &str, #[case] key: Option<Key>) {
    assert_eq!(text.parse().ok(), key);
    assert!(key.is_none_or(|key| key.to_string() == text));
}

#[test]
fn a_token_bucket_refills_up_to_its_burst() {
    let now = Instant::now();
    let mut bucket = TokenBucket::new(now, 2.0, 3.0);
    let taken = (0..5).filter(|_| bucket.try_take(now, 1.0)).count();
    assert_eq!((taken, bucket.refused()), (3, 2));
    let later = now + Duration::from_secs(60);
    let taken = (0..5).filter(|_| bucket.try_take(later, 1.0)).count();
    assert_eq!(taken, 3);
}
