//! The store only goes forward, and values survive being passed on.

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

fn offer(store: &mut Store, text: &str) -> Adoption {
    store.offer(Instant::now(), KEY, text, |text| check(KEY, text))
}

fn store(text: &str) -> Store {
    let mut store = Store::new(Instant::now());
    offer(&mut store, text);
    store
}

/// A register of this many records, of which the first few of each hundred
/// were changed.
fn large(revision: u64, records: usize, changed: usize) -> String {
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
fn any_order_of_offers_ends_with_the_greatest_version() {
    let offers = prop::collection::vec((0..6_u64, 0..4_u8), 1..30);
    let check = |offers: Vec<(u64, u8)>| {
        let mut store = Store::new(Instant::now());
        let mut greatest = Version::default();
        for (revision, body) in offers {
            let text = match body {
                3 => "unfit".to_owned(),
                _ => format!("{revision}\n{body}"),
            };
            let before = store.version(KEY).unwrap_or_default();
            let adoption = offer(&mut store, &text);
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
#[case("unfit", "refused")]
#[case("6\nnew", "adopted")]
fn an_offer_ends_in_one_of_five_ways(#[case] text: &str, #[case] expected: &str) {
    let mut store = store("5\nsame");
    let found = match offer(&mut store, text) {
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
fn a_refused_value_is_neither_in_force_nor_asked_for_again() {
    let mut store = store("5\ngood");
    offer(&mut store, "unfit");
    assert_eq!(store.version(KEY).unwrap().revision, Revision(5));
    let bad = Version::of(Revision(6), "unfit");
    let index = replication::Index([(KEY, bad)].into());
    assert_eq!(store.missing(&index), []);
    let good = Version::of(Revision(6), "6\nfit");
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
fn a_change_is_passed_on_in_few_bytes(
    #[case] records: usize,
    #[case] changed: usize,
    #[case] limit: usize,
) {
    let old = large(1, records, 0);
    let mut new = large(2, records, changed);
    if changed == 0 {
        new = new.replacen("fenced = true", "fenced = false", records / 2);
        new = new.replacen("fenced = false", "fenced = true", records / 2 - 1);
    }
    let mut giver = store(&old);
    offer(&mut giver, &new);
    let mut taker = store(&old);
    let ask = taker.missing(&giver.index()).remove(0);
    let give = giver.respond(Instant::now(), &ask).unwrap();
    let bytes = rmp_serde::to_vec(&give).unwrap();
    let lines = old.lines().zip(new.lines()).filter(|(a, b)| a != b).count() - 1;
    println!(
        "{lines} records of {records}: {} bytes, whole {}",
        bytes.len(),
        new.len()
    );
    assert!(bytes.len() < limit, "{}", bytes.len());
    let give: Response = rmp_serde::from_slice(&bytes).unwrap();
    let adoption = taker.apply_response(Instant::now(), give, check).unwrap();
    assert!(adoption.is_change());
    assert_eq!(*taker.get(KEY).unwrap().text, new);
}

#[test]
fn whole_values_are_rationed() {
    let mut giver = store(&large(1, 5_000, 0));
    let now = Instant::now();
    let ask = Request {
        key: KEY,
        have: None,
    };
    let mut give = |at| giver.respond(at, &ask).unwrap().body;
    let given = (0..40).take_while(|_| give(now) != Body::Busy).count();
    assert!((3..=5).contains(&given), "{given}");
    assert_ne!(give(now + Duration::from_secs(1)), Body::Busy);
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
fn a_base_that_is_no_longer_kept_costs_the_whole_value(#[case] last: u64, #[case] kept: bool) {
    let text = |revision| format!("{revision}\n{}", "a line\n".repeat(1_000));
    let mut giver = store(&text(1));
    let have = giver.version(KEY);
    for revision in 2..=last {
        offer(&mut giver, &text(revision));
    }
    let ask = Request { key: KEY, have };
    let give = giver.respond(Instant::now(), &ask).unwrap();
    assert_eq!(matches!(give.body, Body::Deltas(_)), kept);
}

/// Steps pass through several hosts, and each can serve those further behind.
#[test]
fn steps_are_passed_on_as_they_came() {
    let text = |revision: u64| format!("{revision}\n{}", "a line\n".repeat(100));
    let now = Instant::now();
    let mut giver = store(&text(1));
    for revision in 2..6 {
        offer(&mut giver, &text(revision));
    }
    // The last one adopts a version between while its answer is under way.
    for (have, meanwhile) in [(1, 1), (2, 2), (3, 4)] {
        let mut taker = store(&text(have));
        let ask = taker.missing(&giver.index()).remove(0);
        let give = giver.respond(now, &ask).unwrap();
        assert!(matches!(give.body, Body::Deltas(_)));
        offer(&mut taker, &text(meanwhile));
        assert!(taker.apply_response(now, give, check).unwrap().is_change());
        assert_eq!(*taker.get(KEY).unwrap().text, text(5));
        giver = taker;
    }
}

#[test]
fn a_value_that_was_damaged_is_not_taken() {
    let mut taker = store("1\nold");
    let give = |body| Response {
        key: KEY,
        version: Version::of(Revision(2), "2\nnew"),
        body,
    };
    let now = Instant::now();
    let whole = taker.apply_response(now, give(Body::Full("2\nnow".to_owned())), check);
    assert!(matches!(whole, Err(replication::Error::Hash { .. })));
    let foreign = Delta::between("0\nelse", "2\nnew");
    let foreign = taker.apply_response(now, give(Body::Deltas(vec![foreign])), check);
    assert!(matches!(foreign, Err(replication::Error::Base { .. })));
    assert_eq!(taker.version(KEY).unwrap().revision, Revision(1));
}

#[test]
fn a_delta_makes_exactly_the_other_text() {
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
fn keys_are_read_strictly(#[case] text: &str, #[case] key: Option<Key>) {
    assert_eq!(text.parse().ok(), key);
    assert!(key.is_none_or(|key| key.to_string() == text));
}

#[test]
fn a_budget_fills_evenly_up_to_its_limit() {
    let now = Instant::now();
    let mut budget = TokenBucket::new(now, 2.0, 3.0);
    let taken = (0..5).filter(|_| budget.try_take(now, 1.0)).count();
    assert_eq!((taken, budget.refused()), (3, 2));
    let later = now + Duration::from_secs(60);
    let taken = (0..5).filter(|_| budget.try_take(later, 1.0)).count();
    assert_eq!(taken, 3);
}
