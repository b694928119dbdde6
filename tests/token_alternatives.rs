//! Compares the ledger with alternative designs for running a request at most
//! once. Each module has a schedule under which the alternative runs the request
//! twice, and checks that the ledger runs it once under the same schedule.

use std::collections::BTreeMap;
use std::time::Duration;

use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use masticmoor::outcome::Refusal;
use masticmoor::token::Completion;
use masticmoor::token::Decision;
use masticmoor::token::Key;
use masticmoor::token::Ledger;
use masticmoor::token::Limits;
use masticmoor::token::Token;
use masticmoor::token::issuer_unreachable;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

/// The idempotency key of the request in these schedules.
const REQUEST: u64 = 42;

/// How long an alternative design remembers a key.
const WINDOW: Duration = Duration::from_secs(60);

/// A host of an alternative design: the idempotency keys it has seen, with the
/// time stamps of their requests.
#[derive(Default)]
struct Host {
    seen: BTreeMap<u64, Duration>,
    runs: u32,
}

impl Host {
    fn knows(&self, key: u64) -> bool {
        self.seen.contains_key(&key)
    }

    fn run(&mut self, key: u64, stamp: Duration) {
        self.seen.insert(key, stamp);
        self.runs += 1;
    }

    fn run_unless_known(&mut self, key: u64) {
        if !self.knows(key) {
            self.run(key, Duration::ZERO);
        }
    }

    /// Runs a request if its time stamp lies within the window and its key is new.
    fn run_in_window(&mut self, key: u64, stamp: Duration, clock: Duration) {
        if stamp + WINDOW > clock && !self.knows(key) {
            self.run(key, stamp);
        }
    }

    fn sweep(&mut self, clock: Duration) {
        self.seen.retain(|_, stamp| *stamp + WINDOW > clock);
    }
}

/// An issuer with a ledger, and how often it ran the request.
struct Issuer {
    ledger: Ledger,
    start: Instant,
    runs: u32,
}

impl Issuer {
    fn new(incarnation: u64) -> Self {
        let start = Instant::now();
        let key = Key::new(&mut StdRng::seed_from_u64(incarnation));
        let limits = Limits {
            lifetime: WINDOW,
            retention: Duration::ZERO,
            ..Limits::default()
        };
        let ledger = Ledger::new(start, "a".into(), incarnation, key, limits);
        Self {
            ledger: ledger.expect("the host name should fit into a token"),
            start,
            runs: 0,
        }
    }

    fn issue(&mut self) -> Token {
        self.ledger
            .issue(self.start)
            .expect("the ledger should have room for a token")
    }

    /// Handles an attempt and returns the refusal, if any.
    fn attempt(&mut self, token: &Token, clock: Duration, end: Completion) -> Option<Refusal> {
        let now = self.start + clock;
        match self.ledger.spend(now, token, REQUEST) {
            Decision::Run(lease) => {
                self.runs += u32::from(end == Completion::Streamed);
                let _ = self.ledger.settle(now, lease, end);
                None
            }
            Decision::Join(_) | Decision::Replay(_) => None,
            Decision::Refuse(refusal) => Some(refusal),
        }
    }
}

/// Returns the listed host with the highest random weight for a key (rendezvous
/// hashing).
fn home(key: u64, listed: &[u64]) -> u64 {
    let weight = |host: &&u64| xxh3_64_with_seed(&key.to_be_bytes(), **host);
    *listed.iter().max_by_key(weight).expect("a listed host")
}

/// Two entries temporarily use different host lists, so that they send the same
/// request to different hosts.
mod disagreement {
    use super::*;

    const FULL: [u64; 3] = [1, 2, 3];

    fn without_home() -> Vec<u64> {
        let missing = home(REQUEST, &FULL);
        FULL.into_iter().filter(|host| *host != missing).collect()
    }

    #[rstest]
    fn a_key_assigned_by_rendezvous_hashing_runs_twice() {
        let mut hosts: BTreeMap<u64, Host> = BTreeMap::new();
        for view in [FULL.to_vec(), without_home()] {
            let home = hosts.entry(home(REQUEST, &view)).or_default();
            home.run_unless_known(REQUEST);
        }
        assert_eq!(hosts.values().map(|host| host.runs).sum::<u32>(), 2);
    }

    #[rstest]
    fn a_token_runs_once() {
        let mut issuer = Issuer::new(1);
        let token = issuer.issue();
        let views = [FULL.to_vec(), without_home()];
        let refusals = views.map(|view| match view.contains(&home(REQUEST, &FULL)) {
            true => issuer.attempt(&token, Duration::ZERO, Completion::Streamed),
            false => Some(issuer_unreachable(WINDOW)),
        });
        assert_eq!(issuer.runs, 1);
        assert_eq!(refusals, [None, Some(issuer_unreachable(WINDOW))]);
    }
}

/// A task reads the clock, is suspended until the window has passed and the key
/// was removed, and then uses the time it read.
mod pause {
    use super::*;

    const READ: Duration = Duration::from_secs(1);
    const RESUMED: Duration = Duration::from_secs(90);

    #[rstest]
    fn a_key_with_a_time_stamp_runs_twice() {
        let mut host = Host::default();
        host.run_in_window(REQUEST, Duration::ZERO, READ);
        host.sweep(RESUMED);
        host.run_in_window(REQUEST, Duration::ZERO, READ);
        assert_eq!(host.runs, 2);
    }

    #[rstest]
    fn a_token_runs_once() {
        let mut issuer = Issuer::new(1);
        let token = issuer.issue();
        let first = issuer.attempt(&token, READ, Completion::Streamed);
        issuer.ledger.sweep(issuer.start + RESUMED);
        let second = issuer.attempt(&token, READ, Completion::Streamed);
        assert_eq!(issuer.runs, 1);
        let forgotten = Refusal::unknown(Code::TokenExpired);
        assert_eq!((first, second), (None, Some(forgotten)));
    }
}

/// The clocks of two hosts differ by more than the window, and a change of the
/// host list moves the key from one to the other.
mod clocks {
    use super::*;

    const AHEAD: Duration = Duration::from_secs(70);

    #[rstest]
    fn a_key_with_a_time_stamp_runs_twice_on_a_host_whose_clock_is_behind() {
        let (mut ahead, mut behind) = (Host::default(), Host::default());
        ahead.run_in_window(REQUEST, AHEAD, AHEAD);
        ahead.sweep(AHEAD + WINDOW);
        behind.run_in_window(REQUEST, AHEAD, WINDOW);
        assert_eq!(ahead.runs + behind.runs, 2);
    }

    #[rstest]
    fn a_token_runs_once() {
        let (mut issuer, mut other) = (Issuer::new(1), Issuer::new(2));
        let token = issuer.issue();
        let first = issuer.attempt(&token, Duration::ZERO, Completion::Streamed);
        let second = other.attempt(&token, Duration::ZERO, Completion::Streamed);
        assert_eq!(issuer.runs + other.runs, 1);
        let lost = Refusal::unknown(Code::IssuerLost);
        assert_eq!((first, second), (None, Some(lost)));
    }
}

/// The host that ran the request is partitioned from the others, or restarted
/// without its state.
mod partition {
    use super::*;

    /// Runs the request at one host unless a reachable host has seen its key.
    fn run_unless_seen(hosts: &mut [Host], at: usize, reachable: &[usize]) {
        let known = reachable
            .iter()
            .filter_map(|host| hosts.get(*host))
            .any(|host| host.knows(REQUEST));
        match hosts.get_mut(at) {
            Some(host) if !known => host.run_unless_known(REQUEST),
            _ => (),
        }
    }

    #[rstest]
    fn a_key_checked_at_all_reachable_hosts_runs_twice() {
        let mut hosts: [Host; 3] = Default::default();
        run_unless_seen(&mut hosts, 0, &[1, 2]);
        run_unless_seen(&mut hosts, 1, &[2]);
        assert_eq!(hosts.iter().map(|host| host.runs).sum::<u32>(), 2);
    }

    #[rstest]
    fn a_token_runs_once() {
        let mut issuer = Issuer::new(1);
        let token = issuer.issue();
        issuer.attempt(&token, Duration::ZERO, Completion::Streamed);
        let mut restarted = Issuer::new(2);
        let refusal = restarted.attempt(&token, Duration::ZERO, Completion::Streamed);
        assert_eq!(issuer.runs + restarted.runs, 1);
        assert_eq!(
            refusal.map(|refusal| refusal.outcome),
            Some(Outcome::Unknown)
        );
        assert_eq!(issuer_unreachable(WINDOW).outcome, Outcome::Unknown);
    }
}

/// The first attempt is proven not to have run, its caller retries with a new key
/// or token, and a delayed copy of the first attempt then arrives.
mod late_copy {
    use super::*;

    #[rstest]
    fn a_key_forgotten_after_not_run_runs_twice() {
        let (first, second) = (REQUEST, REQUEST + 1);
        let mut host = Host::default();
        host.seen.insert(first, Duration::ZERO);
        host.seen.remove(&first);
        host.run_unless_known(second);
        host.run_unless_known(first);
        assert_eq!(host.runs, 2);
    }

    #[rstest]
    fn a_token_runs_once() {
        let mut issuer = Issuer::new(1);
        let (first, second) = (issuer.issue(), issuer.issue());
        let failed = Completion::Refused(Refusal::not_run(Code::ConnectFailed));
        issuer.attempt(&first, Duration::ZERO, failed);
        issuer.attempt(&second, Duration::ZERO, Completion::Streamed);
        let late = issuer.attempt(&first, Duration::ZERO, Completion::Streamed);
        assert_eq!(issuer.runs, 1);
        assert_eq!(late, Some(Refusal::not_run(Code::TokenExpired)));
    }
}
