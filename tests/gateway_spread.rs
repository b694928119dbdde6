//! How hosts that know loads from late counts divide the room at upstreams.

use masticmoor::gateway::spread;
use masticmoor::gateway::spread::Load;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const DRAWS: u32 = 1_000;

fn load(known: f64, unseen: f64, cap: f64) -> Load {
    Load {
        known,
        unseen,
        cap,
        step: 1.0,
    }
}

/// Returns the share of the draws that fall on each upstream, and on none.
fn shares(loads: &[Load]) -> (Vec<f64>, f64) {
    let mut counts = vec![0.0; loads.len()];
    let mut none = 0.0;
    for draw in 0..DRAWS {
        match spread::choose(loads, f64::from(draw) / f64::from(DRAWS)) {
            Ok(at) => match counts.get_mut(at) {
                Some(count) => *count += 1.0 / f64::from(DRAWS),
                None => panic!("no upstream {at}"),
            },
            Err(draw) => {
                assert!((0.0..1.0).contains(&draw), "{draw}");
                none += 1.0 / f64::from(DRAWS);
            }
        }
    }
    (counts, none)
}

fn check(loads: &[Load], expected: &[f64], expected_none: f64) {
    let (shares, none) = shares(loads);
    for (share, expected) in shares.iter().zip(expected) {
        assert!((share - expected).abs() < 0.01, "{shares:?}, none {none}");
    }
    assert!((none - expected_none).abs() < 0.01, "{none}");
}

#[test]
fn the_least_loaded_is_chosen_while_counts_are_exact() {
    let loads = [
        load(3.0, 0.0, 9.0),
        load(1.0, 0.0, 9.0),
        load(2.0, 0.0, 9.0),
    ];
    check(&loads, &[0.0, 1.0, 0.0], 0.0);
}

#[test]
fn hosts_with_late_counts_do_not_all_choose_the_least_loaded() {
    let loads = [
        load(2.0, 2.0, 9.0),
        load(3.0, 3.0, 9.0),
        load(4.0, 4.0, 9.0),
    ];
    check(&loads, &[1.0 / 3.0, 1.0 / 3.0, 1.0 / 3.0], 0.0);
    let loads = [
        load(1.0, 0.0, 9.0),
        load(3.0, 2.0, 9.0),
        load(4.0, 1.0, 9.0),
    ];
    check(&loads, &[0.5, 0.5, 0.0], 0.0);
}

#[test]
fn what_finds_no_room_is_left_in_proportion() {
    let loads = [load(6.0, 3.0, 4.0), load(3.0, 3.0, 4.0)];
    // Four of seven requests find room.
    check(&loads, &[0.0, 4.0 / 7.0], 3.0 / 7.0);
    assert_eq!(spread::overflow(&loads), 3.0);
    check(&[load(4.0, 0.0, 4.0)], &[0.0], 1.0);
    check(&[], &[], 1.0);
}

#[test]
fn loads_per_slot_are_leveled_with_different_slots() {
    let per_slot = |known: f64, slots: f64| Load {
        known: known / slots,
        unseen: 0.0,
        cap: 3.0,
        step: 1.0 / slots,
    };
    check(&[per_slot(3.0, 6.0), per_slot(3.0, 60.0)], &[0.0, 1.0], 0.0);
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(42),
        ..ProptestConfig::default()
    })]

    #[test]
    fn nothing_is_sent_to_an_upstream_at_its_cap(
        figures in prop::collection::vec((0.0..20.0_f64, 0.0..1.0_f64, 0.0..15.0_f64), 0..8),
        draw in 0.0..1.0_f64,
    ) {
        let loads: Vec<_> = figures
            .into_iter()
            .map(|(known, turnover, cap)| load(known, known * turnover, cap))
            .collect();
        match spread::choose(&loads, draw) {
            Ok(at) => {
                let chosen = loads.get(at).copied();
                prop_assert!(chosen.is_some_and(|it| it.known < it.cap), "{chosen:?}");
            }
            Err(draw) => prop_assert!((0.0..1.0).contains(&draw)),
        }
    }
}
