//! When connections beside responses are opened, and which of them are known to be to the process that
//! sends a response.

use std::time::Duration;

use masticmoor::gateway::witness::chain::Link;
use masticmoor::gateway::witness::chain::Proof;
use masticmoor::gateway::witness::schedule::Schedule;
use rstest::rstest;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

const fn ms(time: u64) -> Duration {
    Duration::from_millis(time)
}

/// Plays an upstream that closes connections at an age, and a host that needs some time to notice an
/// end and open the next connection. Returns the number of connections opened in a time, and how often
/// none was open that the host had taken up in time.
fn play(idle_limit: Duration, delay: Duration, time: Duration) -> (usize, usize) {
    let begin = Instant::now();
    let mut schedule = Schedule::default();
    let mut links: Vec<Link> = Vec::new();
    let (mut now, mut opened, mut breaks) = (begin, 0, 0);
    while now < begin + time {
        let ended = links.first().map(|it| it.opened + idle_limit);
        let due = schedule.due(now, &links).map(|it| it.max(now));
        match (due, ended) {
            (Some(due), ended) if ended.is_none_or(|it| due + delay < it) => {
                now = due + delay;
                schedule.record_opening(now, true);
                links.push(Link {
                    opened: now,
                    ended: CancellationToken::new(),
                });
                opened += 1;
            }
            (_, Some(ended)) => {
                now = ended;
                schedule.record_end(idle_limit);
                links.remove(0);
                breaks += usize::from(links.is_empty());
            }
            (_, None) => panic!("neither open nor due"),
        }
    }
    (opened, breaks)
}

/// Guards against a chain that breaks although its process lives (LOST).
#[rstest]
fn a_connection_is_open_at_all_times_whatever_the_timeout_of_the_upstream(
    #[values(300, 700, 1_000, 1_900, 2_000, 5_000, 75_000)] idle_ms: u64,
) {
    let (opened, breaks) = play(ms(idle_ms), ms(60), ms(150_000));
    assert_eq!(breaks, 0);
    // Two in each lifetime.
    let most = 2 * 150_000 / idle_ms + 3;
    assert!(opened as u64 <= most, "{opened} of {most}");
}

#[test]
fn a_connection_that_can_not_be_opened_is_tried_less_and_less_often() {
    let begin = Instant::now();
    let mut schedule = Schedule::default();
    let pauses: Vec<_> = (0..6)
        .map(|attempt| {
            assert_eq!(schedule.record_opening(begin, false), attempt == 0);
            schedule.due(begin, &[]).unwrap() - begin
        })
        .collect();
    assert_eq!(pauses, [150, 300, 600, 1_200, 2_000, 2_000].map(ms));
    schedule.record_opening(begin, true);
    assert_eq!(schedule.due(begin, &[]), Some(begin));
}

/// Guards against a later process that is taken for the one that responds (ORDER): what it sent may be
/// held up by the network or lie in a buffer.
#[test]
fn only_bytes_that_arrive_one_after_another_prove_that_a_later_chain_is_to_the_same_process() {
    let at = |time| Instant::now() + ms(time);
    let record = |arrivals: &[(u64, u64)]| {
        let mut proof = Proof::new(1);
        let begin = at(0);
        for (time, waited) in arrivals {
            proof.record_arrival(begin + ms(*time), ms(*waited), 2);
        }
        proof.chain
    };
    assert_eq!(record(&[(0, 50), (50, 50), (100, 50)]), 2);
    // At once, as after a cut.
    assert_eq!(record(&[(0, 900), (1, 1), (99, 50)]), 1);
    // From a buffer.
    assert_eq!(record(&[(0, 0), (50, 0), (100, 0), (150, 1)]), 1);
    assert_eq!(record(&[(0, 50)]), 1);
}

#[test]
fn arrivals_while_an_earlier_chain_was_open_prove_nothing_of_a_later_one() {
    let begin = Instant::now();
    let mut proof = Proof::new(1);
    for (time, latest) in [(0, 1), (100, 2), (150, 3), (240, 3)] {
        proof.record_arrival(begin + ms(time), ms(50), latest);
    }
    assert_eq!(proof.chain, 1);
    proof.record_arrival(begin + ms(250), ms(50), 3);
    assert_eq!(proof.chain, 3);
}
