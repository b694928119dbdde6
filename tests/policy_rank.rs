//! Stability and balance of rendezvous hashing when upstreams and hosts come
//! and go.

use masticmoor::ident::Chat;
use masticmoor::ident::Host;
use masticmoor::ident::Upstream;
use masticmoor::policy::rank;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

fn upstreams(count: usize) -> Vec<Upstream> {
    let name = |number| format!("runner-{number}").as_str().into();
    (0..count).map(name).collect()
}

fn order(key: u64, list: &[Upstream], limit: usize) -> Vec<&Upstream> {
    rank::order(key, list.iter().map(|it| (it, 1.0)), limit)
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 64,
        rng_seed: RngSeed::Fixed(14),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// A modulo hash would move most chats and lose their caches.
    #[test]
    fn removing_an_upstream_moves_only_its_own_chats(
        count in 2..40_usize,
        removed in any::<prop::sample::Index>(),
        keys in prop::collection::vec(any::<u64>(), 50),
    ) {
        let all = upstreams(count);
        let removed = removed.get(&all);
        let remaining: Vec<Upstream> = all.iter().filter(|it| *it != removed).cloned().collect();
        for key in keys {
            let mut before = order(key, &all, count);
            before.retain(|it| *it != removed);
            prop_assert_eq!(before, order(key, &remaining, count));
        }
    }

    /// The partial selection must agree with a full sort by score.
    #[test]
    fn a_limited_order_is_a_prefix_of_the_full_order(
        count in 1..60_usize,
        limit in 0..8_usize,
        weights in prop::collection::vec(0.5..64.0_f64, 60),
        key in any::<u64>(),
    ) {
        let list = upstreams(count);
        let weighted = || list.iter().zip(weights.iter().copied());
        let mut full: Vec<(&Upstream, f64)> = weighted().collect();
        full.sort_by(|a, b| {
            rank::score(key, b.0, b.1).total_cmp(&rank::score(key, a.0, a.1))
        });
        let head: Vec<&Upstream> = full.into_iter().map(|it| it.0).take(limit).collect();
        prop_assert_eq!(rank::order(key, weighted(), limit), head);
    }
}

/// One of twelve equal upstreams holds about a twelfth of the chats, and no
/// other chat may move.
#[test]
fn removing_one_of_twelve_upstreams_moves_exactly_its_chats() {
    let all = upstreams(12);
    let (removed, remaining) = all.split_first().unwrap();
    let keys = (0..12_000).map(|n| rank::key(&"w".into(), &Chat::from(n.to_string().as_str())));
    let firsts = keys.map(|key| (order(key, &all, 1)[0], order(key, remaining, 1)[0]));
    let (moved, kept): (Vec<_>, Vec<_>) = firsts.partition(|(before, _)| *before == removed);
    assert!(kept.iter().all(|(before, after)| before == after));
    assert!((900..1100).contains(&moved.len()), "{} chats", moved.len());
}

/// A score that ignores the weights would overload small upstreams.
#[test]
fn chats_are_spread_in_proportion_to_weight() {
    let list = upstreams(3);
    let weights = [8.0, 16.0, 24.0];
    let mut counts = [0; 3];
    for chat in 0..12_000 {
        let key = rank::key(&"w".into(), &Chat::from(chat.to_string().as_str()));
        let best = rank::order(key, list.iter().zip(weights), 1)[0];
        counts[list.iter().position(|it| it == best).unwrap()] += 1;
    }
    let shares = [2000, 4000, 6000];
    let near = |(count, share): (i32, i32)| (count - share).abs() < 300;
    assert!(counts.into_iter().zip(shares).all(near), "{counts:?}");
}

/// The order in which the hosts are listed must not matter.
#[test]
fn removing_a_host_moves_only_the_homes_of_its_own_upstreams() {
    let hosts: Vec<Host> = ["a", "b", "c", "d"].map(Host::from).into();
    let (removed, remaining) = hosts.split_last().unwrap();
    let mut moved = 0;
    for upstream in upstreams(400) {
        let before = rank::home(&upstream, hosts.iter()).unwrap();
        let after = rank::home(&upstream, remaining.iter().rev()).unwrap();
        assert!(before == removed || before == after);
        moved += usize::from(before == removed);
    }
    assert!((70..130).contains(&moved), "{moved} of 400 moved");
    assert!(rank::home(&"u".into(), [].iter()).is_none());
}
