//! The rate of calls to the platform stays far below its capacity.

use std::time::Duration;

use masticmoor::config::key::Key;
use masticmoor::config::token_bucket::TokenBucket;
use masticmoor::config::watch;
use masticmoor::config::watch::Call;
use masticmoor::config::watch::Completion;
use masticmoor::config::watch::Role;
use masticmoor::config::watch::Watch;
use masticmoor::ident;
use masticmoor::options::constants::PLATFORM_WATCH;
use masticmoor::revision::Revision;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::time::Instant;

const KEYS: u32 = 12;
const TIME_S: usize = 900;
const CHANGES_PER_DAY: u32 = 11_000;
const DAY_S: u64 = 86_400;

/// The condition of the platform in a run.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Condition {
    Healthy,
    Down,
    /// Each response is an old value, returned at once.
    Stale,
}

/// How long a starting host knows no peer, and so watches the platform itself.
const ALONE_FOR: Duration = Duration::from_secs(3);

/// The calls of a fleet in each second of simulated time.
struct Calls {
    begin: Instant,
    condition: Condition,
    counts: Vec<u32>,
    rng: StdRng,
}

impl Calls {
    /// Simulates a fleet whose hosts start at once, with values that change as
    /// often as in a busy fleet.
    fn of(zones: usize, hosts: usize, condition: Condition, seed: u64) -> Self {
        let mut calls = Self {
            begin: Instant::now(),
            condition,
            counts: vec![0; TIME_S],
            rng: StdRng::seed_from_u64(seed),
        };
        let names: Vec<_> = (0..hosts)
            .map(|host| ident::Host::from(format!("e-{host}").as_str()))
            .collect();
        for zone in 0..zones {
            let zone: Vec<_> = names.iter().skip(zone).step_by(zones).collect();
            for host in &zone {
                calls.simulate(Role::of(host, zone.iter().copied()));
            }
        }
        calls
    }

    /// Simulates the calls of one host.
    fn simulate(&mut self, later: Role) {
        let end = self.begin + Duration::from_secs(TIME_S as u64);
        let mut bucket = TokenBucket::new(self.begin, watch::CALLS_PER_SECOND, watch::CALL_BURST);
        let mut watches: Vec<_> = (0..KEYS)
            .map(|key| (self.begin, key, Watch::new(self.begin, PLATFORM_WATCH)))
            .collect();
        while let Some((due, key, watch)) = watches.iter_mut().min_by_key(|(due, ..)| *due) {
            let now = *due;
            if now >= end {
                break;
            }
            let alone = now - self.begin < ALONE_FOR;
            let call = watch.next(now, if alone { Role::Watcher } else { later });
            *due = match call {
                Call::Sleep { until } => until,
                _ if !bucket.try_take(now, 1.0) => now + Duration::from_millis(100),
                _ => {
                    let second = (now - self.begin).as_secs();
                    *self.counts.get_mut(second as usize).expect("in time") += 1;
                    let (at, completion) = self.respond(now, *key, call);
                    watch.record_completion(at, completion, &mut self.rng);
                    at
                }
            };
        }
    }

    /// Returns when and how a call ends.
    fn respond(&self, now: Instant, key: u32, call: Call) -> (Instant, Completion) {
        let soon = now + Duration::from_millis(5);
        // The values change in turn. The revision of each is the number of its
        // changes.
        let interval = Duration::from_secs(DAY_S) * KEYS / CHANGES_PER_DAY;
        let offset = interval * key / KEYS;
        let changes = (now - self.begin + offset).as_nanos() / interval.as_nanos();
        let revision = 1 + changes as u64;
        let (after, limit) = match call {
            Call::Watch { after, wait } => (after.0, wait),
            _ => (0, Duration::ZERO),
        };
        match self.condition {
            Condition::Down => (soon, Completion::Failed),
            Condition::Stale => (soon, Completion::Value(Revision(1))),
            Condition::Healthy if revision > after => (soon, Completion::Value(Revision(revision))),
            Condition::Healthy => {
                let next = self.begin + interval * u32::try_from(revision).expect("few") - offset;
                match next - now {
                    wait if wait > limit => (soon + limit, Completion::Unchanged),
                    wait => (now + wait, Completion::Value(Revision(revision + 1))),
                }
            }
        }
    }

    fn mean(&self) -> f64 {
        f64::from(self.counts.iter().sum::<u32>()) / self.counts.len() as f64
    }
}

#[rstest]
#[case(3, 9, 15.0)]
#[case(4, 95, 30.0)]
#[case(9, 380, 80.0)]
fn calls_stay_far_below_the_limit(
    #[case] zones: usize,
    #[case] hosts: usize,
    #[case] limit: f64,
    #[values(Condition::Healthy, Condition::Down, Condition::Stale)] condition: Condition,
) {
    let calls = Calls::of(zones, hosts, condition, 1);
    let max = calls.counts.iter().max().unwrap();
    let later = calls.counts[60..].iter().max().unwrap();
    let mean = calls.mean();
    println!("{hosts} hosts, {condition:?}: mean {mean:.1}, max {max}, after a minute {later}");
    assert!(mean < limit, "{mean}");
    assert!(*max < 2_000, "{max}");
    assert!(*later < 400, "{later}");
}

#[test]
fn a_failing_platform_is_called_at_growing_intervals() {
    let mut rng = StdRng::seed_from_u64(1);
    let mut now = Instant::now();
    let mut watch = Watch::new(now, PLATFORM_WATCH);
    let mut waits = Vec::new();
    for _ in 0..8 {
        watch.record_completion(now, Completion::Failed, &mut rng);
        let Call::Sleep { until } = watch.next(now, Role::Watcher) else {
            panic!("it must back off");
        };
        waits.push(until - now);
        now = until;
    }
    assert!(waits[0] <= watch::BACKOFF.mul_f64(1.5));
    assert!(waits[7] >= watch::MAX_BACKOFF / 2);
    watch.record_completion(now, Completion::Value(Revision(3)), &mut rng);
    let next = Call::Watch {
        after: Revision(3),
        wait: PLATFORM_WATCH,
    };
    assert_eq!(watch.next(now, Role::Watcher), next);
}

#[test]
fn a_poll_does_not_fetch_a_value_received_from_a_peer() {
    let now = Instant::now();
    let mut watch = Watch::new(now, PLATFORM_WATCH);
    assert_eq!(watch.next(now, Role::Poller), Call::Get);
    watch.observe(Revision(7));
    let poll = Call::Watch {
        after: Revision(7),
        wait: Duration::ZERO,
    };
    assert_eq!(watch.next(now, Role::Poller), poll);
    watch.record_completion(now, Completion::Unchanged, &mut StdRng::seed_from_u64(1));
    let next = watch.next(now, Role::Poller);
    assert!(matches!(next, Call::Sleep { until } if until - now >= watch::POLL_INTERVAL / 2));
}

#[test]
fn the_watchers_of_a_zone_are_replaced_when_they_are_lost() {
    let hosts: Vec<_> = (0..42_u8)
        .map(|host| ident::Host::from(format!("e-{host}").as_str()))
        .collect();
    let watchers = |live: &[ident::Host]| -> Vec<ident::Host> {
        let watches = |host: &&ident::Host| Role::of(host, live.iter()) == Role::Watcher;
        live.iter().filter(watches).cloned().collect()
    };
    let before = watchers(&hosts);
    assert_eq!(before.len(), watch::WATCHERS_PER_ZONE);
    let left: Vec<_> = hosts
        .into_iter()
        .filter(|host| *host != before[0])
        .collect();
    let after = watchers(&left);
    assert_eq!(after.len(), watch::WATCHERS_PER_ZONE);
    assert!(after.contains(&before[1]));
    assert_eq!(
        Role::of(&before[0], [].iter()),
        Role::Watcher,
        "it knows no live host"
    );
    assert_eq!("rules".parse(), Ok(Key::Rules));
}
