//! The policy that places requests at upstreams.

use masticmoor::gateway::health::Status;
use masticmoor::gateway::placement;
use masticmoor::gateway::placement::Candidate;
use masticmoor::gateway::placement::Choice;
use masticmoor::gateway::placement::Holder;
use masticmoor::gateway::placement::Mean;
use masticmoor::gateway::placement::Member;
use masticmoor::gateway::placement::Prompt;
use masticmoor::ident::Upstream;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;
use rstest::rstest;

const LONG_PROMPT_TOKENS: u64 = 10_000;
const SHORT_PROMPT_TOKENS: u64 = 500;

fn ids(count: usize) -> Vec<Upstream> {
    (0..count)
        .map(|number| format!("u{number}").as_str().into())
        .collect()
}

fn candidates(ids: &[Upstream]) -> Vec<Candidate<'_>> {
    let candidates = ids.iter().map(|id| Candidate {
        id,
        load: 0,
        unseen: 0.0,
        slots: 64,
        concurrency: f64::INFINITY,
        slowdown: 1.0,
        states_load: false,
        is_local: true,
        status: Status::Healthy,
        failure_rate: 0.0,
        cold_quota: None,
        limit_quota: None,
        room: None,
        is_tried: false,
        is_holder: false,
    });
    candidates.collect()
}

fn engine(key: u64, tokens: u64, candidates: &[Candidate<'_>]) -> Choice {
    engine_at(key, tokens, mean(candidates), candidates)
}

fn engine_at(key: u64, tokens: u64, mean: f64, candidates: &[Candidate<'_>]) -> Choice {
    placement::engine(Prompt { key, tokens }, same(mean), candidates, true, 0.5)
}

/// Returns the means of a service whose upstreams are all sound.
fn same(mean: f64) -> Mean {
    Mean {
        listed: mean,
        sound: mean,
        reachable: mean,
    }
}

fn plain(draw: f64, candidates: &[Candidate<'_>], may_probe: bool) -> Choice {
    placement::plain(draw, same(mean(candidates)), candidates, may_probe)
}

fn mean(candidates: &[Candidate<'_>]) -> f64 {
    let total: u32 = candidates.iter().map(|it| it.load).sum();
    f64::from(total) / candidates.len().max(1) as f64
}

/// With a third of the engines idle in an evacuated zone, the mean load of all engines is
/// lower than that of the candidates. A cap on the candidates' mean would let an engine
/// exceed twice the mean of all plus three, the limit that users set.
#[test]
fn idle_engines_of_an_evacuated_zone_count_in_the_mean() {
    let ids = ids(8);
    let mut all = candidates(&ids);
    for candidate in &mut all {
        candidate.load = 12;
    }
    all[0].is_holder = true;
    all[0].load = 20;
    let mean = mean(&all);
    assert_eq!(
        engine_at(1, LONG_PROMPT_TOKENS, mean, &all),
        Choice::Send(0)
    );
    let Choice::Send(at) = engine_at(1, LONG_PROMPT_TOKENS, mean * 8.0 / 12.0, &all) else {
        panic!("no engine");
    };
    assert_ne!(at, 0, "its load is over the cap on the mean of all engines");
}

/// Hosts that chose different engines for a prompt would have it prefilled several times.
#[test]
fn a_prompt_goes_to_the_same_engine_at_every_host() {
    let ids = ids(9);
    let mut reversed = candidates(&ids);
    reversed.reverse();
    for key in 0..200 {
        let Choice::Send(one) = engine(key, LONG_PROMPT_TOKENS, &candidates(&ids)) else {
            panic!("no engine for {key}");
        };
        let Choice::Send(other) = engine(key, LONG_PROMPT_TOKENS, &reversed) else {
            panic!("no engine for {key}");
        };
        assert_eq!(ids[one], *reversed[other].id);
    }
}

/// Prefilling a long prompt again costs more than a higher load; a short one is cheap to
/// move from a loaded engine.
#[test]
fn a_long_prompt_stays_at_its_holder_and_a_short_one_leaves_a_loaded_holder() {
    let ids = ids(9);
    let mut all = candidates(&ids);
    for candidate in &mut all {
        candidate.load = 4;
    }
    all[3].is_holder = true;
    all[3].load = 9;
    assert_eq!(engine(7, LONG_PROMPT_TOKENS, &all), Choice::Send(3));
    let short = engine(7, SHORT_PROMPT_TOKENS, &all);
    assert!(matches!(short, Choice::Send(at) if at != 3), "{short:?}");
}

/// When nearly all of the traffic shares one prompt, the engine that holds it would get
/// all requests if its load had no cap.
#[test]
fn no_engine_exceeds_the_load_that_users_allow() {
    let ids = ids(9);
    let mut loads = vec![0_u32; ids.len()];
    let mut holds = vec![false; ids.len()];
    for _ in 0..200 {
        let mut all = candidates(&ids);
        for (at, candidate) in all.iter_mut().enumerate() {
            candidate.load = loads[at];
            candidate.is_holder = holds[at];
        }
        let mean = f64::from(loads.iter().sum::<u32>()) / ids.len() as f64;
        let Choice::Send(at) = engine(1, LONG_PROMPT_TOKENS, &all) else {
            panic!("no engine at {loads:?}");
        };
        assert!(f64::from(loads[at]) <= 2.0 * mean + 3.0, "{loads:?}");
        loads[at] += 1;
        holds[at] = true;
    }
}

#[test]
fn short_prompts_stay_in_the_zone_and_long_ones_go_to_their_holder() {
    let ids = ids(6);
    let mut all = candidates(&ids);
    for remote in &mut all[3..] {
        remote.is_local = false;
        remote.is_holder = true;
    }
    assert!(matches!(engine(5, SHORT_PROMPT_TOKENS, &all), Choice::Send(at) if at < 3));
    assert!(matches!(engine(5, LONG_PROMPT_TOKENS, &all), Choice::Send(at) if at >= 3));
}

#[rstest]
#[case(Status::Down, true, false)]
#[case(Status::Suspect, false, true)]
#[case(Status::Probe, true, true)]
#[case(Status::Probe, false, true)]
fn a_single_upstream_is_used_unless_it_is_down(
    #[case] status: Status,
    #[case] may_probe: bool,
    #[case] is_chosen: bool,
) {
    let ids = ids(1);
    let mut all = candidates(&ids);
    all[0].status = status;
    let expected = match is_chosen {
        true => Choice::Send(0),
        false => Choice::Wait,
    };
    assert_eq!(plain(0.0, &all, may_probe), expected);
}

/// A request that may run only once would be lost if the upstream has not recovered.
#[test]
fn only_repeatable_requests_probe_an_upstream_while_others_are_healthy() {
    let ids = ids(2);
    let mut all = candidates(&ids);
    all[0].status = Status::Probe;
    all[1].load = 1;
    assert_eq!(plain(0.0, &all, true), Choice::Send(0));
    assert_eq!(plain(0.0, &all, false), Choice::Send(1));
}

#[test]
fn a_cold_engine_without_quota_gets_nothing() {
    let ids = ids(2);
    let mut all = candidates(&ids);
    all[0].cold_quota = Some(0);
    all[0].is_holder = true;
    for key in 0..50 {
        assert_eq!(engine(key, LONG_PROMPT_TOKENS, &all), Choice::Send(1));
    }
    all[1].cold_quota = Some(0);
    assert_eq!(engine(1, LONG_PROMPT_TOKENS, &all), Choice::Wait);
}

#[test]
fn an_engine_at_its_limit_gets_nothing() {
    let ids = ids(2);
    let mut all = candidates(&ids);
    all[0].limit_quota = Some(0);
    all[0].is_holder = true;
    all[1].limit_quota = Some(1);
    assert_eq!(engine(1, LONG_PROMPT_TOKENS, &all), Choice::Send(1));
    assert_eq!(plain(0.0, &all, true), Choice::Send(1));
    all[1].limit_quota = Some(0);
    assert_eq!(engine(1, LONG_PROMPT_TOKENS, &all), Choice::Wait);
    assert_eq!(plain(0.0, &all, true), Choice::Wait);
}

#[test]
fn a_tried_upstream_is_used_only_if_no_other_is_left() {
    let ids = ids(2);
    let mut all = candidates(&ids);
    all[0].is_tried = true;
    assert_eq!(plain(0.9, &all, true), Choice::Send(1));
    all[1].status = Status::Down;
    assert_eq!(plain(0.9, &all, true), Choice::Send(0));
    // An upstream that fails many requests is better than an unreachable one.
    all[0].status = Status::Down;
    all[1].status = Status::Suspect;
    assert_eq!(plain(0.9, &all, true), Choice::Send(1));
}

#[test]
fn plain_upstreams_of_the_zone_come_first_until_they_fill_up() {
    let ids = ids(2);
    let mut all = candidates(&ids);
    all[0].slots = 6;
    all[1].slots = 6;
    all[1].is_local = false;
    all[0].load = 4;
    assert_eq!(plain(0.5, &all, true), Choice::Send(0));
    all[0].load = 5;
    assert_eq!(plain(0.5, &all, true), Choice::Send(1));
}

#[test]
fn a_plain_upstream_of_the_zone_above_the_load_that_users_allow_is_passed_over() {
    let ids = ids(8);
    let mut all = candidates(&ids);
    for remote in &mut all[1..] {
        remote.is_local = false;
    }
    all[0].load = 4;
    assert!(matches!(plain(0.0, &all, true), Choice::Send(at) if at > 0));
}

/// Engines whose slots are all taken have room for a quarter as many requests that wait there.
#[rstest]
#[case::exact_counts(0.0, 1)]
#[case::late_counts(8.0, 5)]
fn hosts_with_late_counts_do_not_all_queue_at_the_least_loaded_engine(
    #[case] unseen: f64,
    #[case] expected: usize,
) {
    let ids = ids(5);
    let mut all = candidates(&ids);
    for (load, candidate) in (32_u32..).zip(&mut all) {
        candidate.slots = 32;
        candidate.load = load;
        candidate.unseen = unseen;
    }
    let prompt = Prompt {
        key: 1,
        tokens: LONG_PROMPT_TOKENS,
    };
    let draws = (0..100).map(|draw| f64::from(draw) / 100.0);
    let chosen = draws.map(|draw| placement::engine(prompt, same(34.0), &all, true, draw));
    let mut counts = [0; 5];
    for choice in chosen {
        let Choice::Send(at) = choice else {
            panic!("no engine");
        };
        counts[at] += 1;
    }
    let used = counts.iter().filter(|count| **count > 0).count();
    assert_eq!(used, expected, "{counts:?}");
}

/// Requests to a plain upstream are shorter than the time in which hosts learn of each other's.
#[test]
fn hosts_with_late_counts_do_not_all_choose_the_same_plain_upstream() {
    let ids = ids(5);
    let mut all = candidates(&ids);
    for (load, candidate) in (1_u32..).zip(&mut all) {
        candidate.slots = 6;
        candidate.is_local = false;
        candidate.load = load;
        candidate.unseen = f64::from(load);
    }
    let draws = (0..100).map(|draw| f64::from(draw) / 100.0);
    let mut counts = [0; 5];
    for draw in draws {
        let Choice::Send(at) = plain(draw, &all, true) else {
            panic!("no upstream");
        };
        counts[at] += 1;
    }
    assert!(counts.iter().all(|count| *count >= 10), "{counts:?}");
}

#[test]
fn requests_wait_when_all_plain_upstreams_are_at_their_limit() {
    let ids = ids(3);
    let mut all = candidates(&ids);
    for candidate in &mut all {
        candidate.slots = 6;
        candidate.load = 18;
    }
    assert_eq!(plain(0.5, &all, true), Choice::Wait);
    assert_eq!(plain(0.5, &[], true), Choice::NoUpstream);
}

fn holder(status: Status, is_draining: bool) -> Holder {
    Holder {
        status,
        is_draining,
    }
}

#[rstest]
#[case::none(vec![], None)]
#[case::suspect_is_better_than_none(vec![holder(Status::Suspect, false)], Some(0))]
#[case::due_for_a_probe(vec![holder(Status::Probe, false)], Some(0))]
#[case::unreachable(vec![holder(Status::Down, false), holder(Status::Down, true)], None)]
#[case::healthy_before_suspect(
    vec![holder(Status::Suspect, false), holder(Status::Healthy, false), holder(Status::Suspect, false)],
    Some(1)
)]
#[case::draining_before_staying(vec![holder(Status::Healthy, false), holder(Status::Healthy, true)], Some(1))]
fn a_prompt_is_copied_from_a_reachable_engine(
    #[case] holders: Vec<Holder>,
    #[case] chosen: Option<usize>,
) {
    assert_eq!(placement::holder(&holders), chosen);
}

/// Requests that are bound to a version, or may go to few upstreams since the others leave,
/// would all go to those.
#[rstest]
#[case::much_above(16, 5.0, Choice::Wait)]
#[case::just_above(13, 5.0, Choice::Wait)]
#[case::just_below(12, 5.0, Choice::Send(0))]
#[case::little_load(2, 0.4, Choice::Send(0))]
fn the_only_upstream_left_does_not_exceed_the_load_that_users_allow(
    #[case] load: u32,
    #[case] mean: f64,
    #[case] expected: Choice,
    #[values(false, true)] is_holder: bool,
) {
    let ids = ids(1);
    let mut all = candidates(&ids);
    all[0].load = load;
    all[0].is_holder = is_holder;
    assert_eq!(engine_at(1, LONG_PROMPT_TOKENS, mean, &all), expected);
    assert_eq!(placement::plain(0.5, same(mean), &all, true), expected);
}

/// Upstreams that fail hold little, but their share has to go somewhere.
#[test]
fn the_only_sound_upstream_may_exceed_the_mean_of_all() {
    let ids = ids(1);
    let mut all = candidates(&ids);
    all[0].load = 20;
    let mean = Mean {
        listed: 20.0 / 9.0,
        sound: 20.0,
        reachable: 20.0,
    };
    let prompt = Prompt {
        key: 1,
        tokens: LONG_PROMPT_TOKENS,
    };
    let choice = placement::engine(prompt, mean, &all, true, 0.5);
    assert_eq!(choice, Choice::Send(0));
    all[0].status = Status::Suspect;
    let mean = Mean {
        listed: 2.0,
        sound: 2.0,
        reachable: 20.0,
    };
    let choice = placement::engine(prompt, mean, &all, true, 0.5);
    assert_eq!(choice, Choice::Send(0));
}

/// After a cut or a second of silence all upstreams are suspect, though sound, and the one that
/// can be chosen would get all requests.
#[rstest]
fn a_suspect_upstream_does_not_exceed_the_load_that_users_allow(
    #[values(Status::Suspect, Status::Probe)] status: Status,
    #[values(false, true)] is_holder: bool,
) {
    let ids = ids(1);
    let mut all = candidates(&ids);
    all[0].status = status;
    all[0].is_holder = is_holder;
    for (load, expected) in [(13, Choice::Wait), (12, Choice::Send(0))] {
        all[0].load = load;
        assert_eq!(engine_at(1, LONG_PROMPT_TOKENS, 5.0, &all), expected);
        assert_eq!(placement::plain(0.5, same(5.0), &all, true), expected);
    }
}

/// In a zone that is cut off, the upstreams of other zones are due for a probe and hold nothing.
/// Counted in the mean, they would leave those of the zone a fraction of their capacity.
#[rstest]
#[case::due_for_a_probe(Status::Probe, false)]
#[case::suspect(Status::Suspect, false)]
#[case::unreachable(Status::Down, false)]
#[case::cold(Status::Healthy, true)]
fn upstreams_that_can_take_nothing_do_not_lower_the_mean_of_the_sound_ones(
    #[case] status: Status,
    #[case] is_cold: bool,
) {
    let sound = Member {
        load: 12,
        status: Status::Healthy,
        is_cold: false,
    };
    let idle = Member {
        load: 0,
        status,
        is_cold,
    };
    let mean = Mean::of(&[sound, sound, idle, idle]);
    assert_eq!((mean.listed, mean.sound), (6.0, 12.0));
    let is_out = is_cold || status == Status::Down;
    assert_eq!(mean.reachable, if is_out { 12.0 } else { 6.0 });
    assert_eq!(Mean::of(&[]), Mean::default());
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(3),
        ..ProptestConfig::with_cases(512)
    })]

    #[test]
    fn whichever_upstreams_can_be_chosen_none_exceeds_the_load_that_users_allow(
        loads in prop::collection::vec((0_u32..40, any::<bool>(), any::<bool>()), 1..12),
        tokens in prop::sample::select(vec![SHORT_PROMPT_TOKENS, LONG_PROMPT_TOKENS]),
        status in prop::sample::select(vec![Status::Healthy, Status::Suspect, Status::Probe]),
    ) {
        let ids = ids(loads.len());
        let mut all = candidates(&ids);
        for (candidate, (load, is_holder, _)) in all.iter_mut().zip(&loads) {
            candidate.load = *load;
            candidate.is_holder = *is_holder;
            candidate.status = status;
        }
        let mean = mean(&all);
        let mut can_be_chosen = loads.iter().map(|(_, _, can)| *can);
        all.retain(|_| can_be_chosen.next() == Some(true));
        let choices = [
            engine_at(9, tokens, mean, &all),
            placement::plain(0.3, same(mean), &all, true),
        ];
        for choice in choices {
            if let Choice::Send(at) = choice {
                let load = f64::from(all[at].load);
                prop_assert!(load <= 2.0 * mean + 3.0, "{load} at a mean of {mean}");
            }
        }
    }
}

/// Streams that engines queue during a burst delay new ones after it. With all slots taken, an
/// engine queues at most a quarter of its slots, and the rest waits at the hosts.
#[test]
fn engines_whose_slots_are_all_taken_queue_few_requests() {
    let ids = ids(8);
    let mut all = candidates(&ids);
    let slots = all[0].slots;
    for candidate in &mut all {
        candidate.load = slots + slots / 4;
    }
    assert_eq!(engine(1, LONG_PROMPT_TOKENS, &all), Choice::Wait);
    all[2].load -= 1;
    assert_eq!(engine(1, LONG_PROMPT_TOKENS, &all), Choice::Send(2));
}
