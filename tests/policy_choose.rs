//! Selection of the upstreams for a request: eligibility, tiers of zones and
//! rank order.

use std::collections::BTreeSet;
use std::time::Duration;

use masticmoor::ident::Upstream;
use masticmoor::ident::Zone;
use masticmoor::policy::choose;
use masticmoor::policy::choose::Limits;
use masticmoor::policy::choose::Query;
use masticmoor::policy::eligible::Index;
use masticmoor::policy::load::Report;
use masticmoor::register::Register;
use masticmoor::register::upstream;
use masticmoor::register::upstream::Kind;
use masticmoor::register::upstream::Pool;
use masticmoor::register::upstream::Role;
use masticmoor::register::zone;
use masticmoor::rules::Rules;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;
use tokio::time::Instant;

const ZONES: usize = 3;

fn zone(number: usize) -> Zone {
    format!("z{number}").as_str().into()
}

fn pool(plain: bool) -> Pool {
    match plain {
        true => Pool::Service("tickets".into()),
        false => Pool::Model("m".into()),
    }
}

fn kind(plain: bool, serves: bool) -> Kind {
    match plain {
        true => Kind::Plain {
            service: if serves { "tickets" } else { "other" }.into(),
        },
        false => Kind::Engine {
            models: ["m".into()].into(),
            role: if serves { Role::Whole } else { Role::Reserve },
        },
    }
}

/// Returns a register with zones in regions, and upstreams that are each in a
/// zone and either serve the pool or don't.
fn register(plain: bool, regions: [bool; ZONES], upstreams: &[(usize, bool)]) -> Register {
    let mut register = Register::default();
    for (at, region) in regions.into_iter().enumerate() {
        let near = (1..ZONES).map(|step| zone((at + step) % ZONES)).collect();
        let region = region.to_string();
        register.zones.insert(zone(at), zone::Spec { region, near });
    }
    for (number, (at, serves)) in upstreams.iter().enumerate() {
        let spec = upstream::Spec {
            zone: zone(*at),
            address: ([127, 0, 0, 1], 1).into(),
            kind: kind(plain, *serves),
            slots: 8,
            cold_slots: 1,
            fenced: false,
        };
        register.upstreams.insert(name(number), spec);
    }
    register
}

fn name(number: usize) -> Upstream {
    format!("u{number}").as_str().into()
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 256,
        rng_seed: RngSeed::Fixed(15),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Compares the selection with tiers computed directly from the register
    /// and the rules.
    #[test]
    fn draining_and_leaving_upstreams_are_never_chosen_and_near_tiers_come_first(
        plain in any::<bool>(),
        regions in any::<[bool; ZONES]>(),
        upstreams in prop::collection::vec((0..ZONES, any::<bool>()), 0..12),
        draining in prop::collection::btree_set(0..ZONES, 0..ZONES),
        leaving in prop::collection::btree_set(0..12_usize, 0..6),
        own in 0..ZONES,
        key in any::<u64>(),
    ) {
        let register = register(plain, regions, &upstreams);
        let rules = Rules {
            draining: draining.iter().copied().map(zone).collect(),
            leaving: leaving.iter().copied().map(name).collect(),
            ..Rules::default()
        };
        let index = Index::new(&register, &rules);
        let query = Query { key, load: |_: &Upstream| None, failed: |_: &Upstream| false };
        let limits = Limits { near: 99, far: 99, ..Limits::default() };
        let pool = pool(plain);
        let chosen = choose::choose(limits, index.tiers(&pool, &zone(own)), &query);
        let eligible_in = |at: usize| -> BTreeSet<Upstream> {
            let in_zone = upstreams.iter().enumerate().filter(|(n, (z, serves))| {
                *z == at && *serves && !draining.contains(z) && !leaving.contains(n)
            });
            in_zone.map(|(n, _)| name(n)).collect()
        };
        let all: BTreeSet<Upstream> = index.pool(&pool).map(|it| it.1.upstream.clone()).collect();
        prop_assert_eq!(all, (0..ZONES).flat_map(eligible_in).collect());
        let path = || (0..ZONES).map(|step| (own + step) % ZONES);
        let shares_tier = |at: &usize| !plain && regions[*at] == regions[own];
        let region = path().filter(shares_tier).flat_map(eligible_in).collect();
        let tiers = std::iter::once(region).chain(path().filter(|at| !shares_tier(at)).map(eligible_in));
        let mut rest = chosen.as_slice();
        for tier in tiers.filter(|tier| !tier.is_empty()).take(2) {
            let (head, tail) = rest.split_at(tier.len());
            prop_assert_eq!(head.iter().copied().cloned().collect::<BTreeSet<_>>(), tier);
            rest = tail;
        }
        prop_assert!(rest.is_empty());
    }
}

fn chosen(closed: &[&Upstream], failed: &[&Upstream], limits: Limits) -> Vec<Upstream> {
    let index = Index::new(
        &register(
            true,
            [true; ZONES],
            &[(0, true), (0, true), (0, true), (1, true)],
        ),
        &Rules::default(),
    );
    let full = Report {
        inflight: 3,
        queued: 2,
        cap: 3,
        allowance: 8,
    };
    let query = Query {
        key: 5,
        load: |it: &Upstream| {
            Some(Report {
                cap: if closed.contains(&it) { 0 } else { 3 },
                ..full
            })
        },
        failed: |it: &Upstream| failed.contains(&it),
    };
    let zone = zone(0);
    let pool = pool(true);
    let list = choose::choose(limits, index.tiers(&pool, &zone), &query);
    list.into_iter().cloned().collect()
}

/// Closed upstreams go last, failed ones are left out, and the next tier
/// follows.
#[test]
fn a_chat_spills_over_along_its_rank_order() {
    let limits = Limits {
        near: 3,
        far: 1,
        ..Limits::default()
    };
    let order = chosen(&[], &[], limits);
    let [a, b, c, far] = order.as_slice() else {
        panic!("{order:?}");
    };
    let names = |list: [&Upstream; 4]| list.map(Clone::clone).to_vec();
    assert_eq!(*far, Upstream::from("u3"));
    assert_eq!(chosen(&[a], &[], limits), names([b, c, a, far]));
    assert_eq!(chosen(&[c], &[], limits), names([a, b, c, far]));
    assert_eq!(chosen(&[], &[a], limits), [b, c, far].map(Clone::clone));
    assert_eq!(chosen(&[], &[a, b, c], limits), std::slice::from_ref(far));
    assert_eq!(
        chosen(
            &[],
            &[],
            Limits {
                near: 1,
                far: 0,
                ..Limits::default()
            }
        ),
        std::slice::from_ref(a)
    );
}

/// Waiting for an upstream with the cache only pays off for a limited multiple
/// of the time to prefill the prompt elsewhere.
#[rstest]
#[case::short(Some(16_000), &[(true, false, 1500), (false, true, 9000), (false, false, 9000)])]
#[case::long(Some(900_000), &[(true, false, 5000), (false, true, 9000), (false, false, 9000)])]
#[case::uncached(None, &[(false, true, 9000), (false, false, 9000)])]
fn the_wait_for_a_cached_chat_is_limited_by_its_prefill_time(
    #[case] prompt: Option<u64>,
    #[case] expected: &[(bool, bool, u128)],
) {
    let now = Instant::now();
    let deadline = now + Duration::from_secs(9);
    let rounds = choose::rounds(Limits::default(), now, deadline, prompt);
    let actual: Vec<_> = rounds
        .map(|it| (it.only_warm, it.bypass, (it.deadline - now).as_millis()))
        .collect();
    assert_eq!(actual, expected);
}
