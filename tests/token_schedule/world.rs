//! Issuers and callers that a schedule drives.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use masticmoor::outcome::Refusal;
use masticmoor::token::Completion;
use masticmoor::token::Decision;
use masticmoor::token::Key;
use masticmoor::token::Lease;
use masticmoor::token::Ledger;
use masticmoor::token::Limits;
use masticmoor::token::Response;
use masticmoor::token::Settlement;
use masticmoor::token::Token;
use masticmoor::token::issuer_unreachable;
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use crate::step::End;
use crate::step::Step;

pub const ISSUERS: usize = 3;
pub const CALLERS: usize = 3;
/// Requests above this number use the token of another one.
const OTHERS: u64 = 1_000;
const LIMITS: Limits = Limits {
    lifetime: Duration::from_secs(10),
    retention: Duration::from_secs(5),
    capacity: 16,
    kept_bytes: 1_000,
    kept_answer_bytes: 500,
};

/// One attempt: whose request, and with which token.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    request: u64,
    token: String,
}

struct Issuer {
    ledger: Ledger,
    running: Vec<(Attempt, Lease)>,
    joined: Vec<Attempt>,
    paused: bool,
    cut: bool,
}

/// Issuers, callers, and what was seen of them.
pub struct World {
    start: Instant,
    now: Instant,
    births: u64,
    issuers: Vec<Issuer>,
    tokens: BTreeMap<u64, Token>,
    flight: Vec<Attempt>,
    others: u64,
    /// How often each request ran, and on which tokens.
    runs: BTreeMap<u64, Vec<String>>,
    not_run: BTreeSet<Attempt>,
    answers: BTreeMap<u64, Bytes>,
    mixed: bool,
}

fn name(number: usize) -> String {
    format!("10.0.0.{number}")
}

fn birth(number: usize, births: u64, now: Instant) -> Issuer {
    let key = Key::new(&mut StdRng::seed_from_u64(births));
    let host = name(number).as_str().into();
    Issuer {
        ledger: Ledger::new(now, host, births, key, LIMITS).expect("a short name"),
        running: Vec::new(),
        joined: Vec::new(),
        paused: false,
        cut: false,
    }
}

impl World {
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            start: now,
            now,
            births: ISSUERS as u64,
            issuers: (0..ISSUERS).map(|n| birth(n, n as u64, now)).collect(),
            tokens: BTreeMap::new(),
            flight: Vec::new(),
            others: 0,
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
            answers: BTreeMap::new(),
            mixed: false,
        }
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::Ask(caller, issuer) => self.ask(caller as u64, issuer),
            Step::Send(caller, entries) => self.send(caller as u64, caller as u64, entries),
            Step::Misuse(caller) => self.misuse(caller as u64),
            Step::Arrive(at, lost) if !self.flight.is_empty() => self.arrive(at, lost),
            Step::End(at, end) => self.end(at, end),
            Step::Kill(issuer) => self.kill(issuer),
            Step::Pause(issuer) => self.issuers[issuer].paused ^= true,
            Step::Cut(issuer) => self.issuers[issuer].cut ^= true,
            Step::Wait(seconds) => self.now += Duration::from_secs(seconds),
            Step::Sweep(issuer) => self.issuers[issuer].ledger.sweep(self.now),
            Step::Arrive(..) => (),
        }
    }

    fn ask(&mut self, caller: u64, issuer: usize) {
        let issuer = &mut self.issuers[issuer];
        if !self.tokens.contains_key(&caller)
            && !issuer.paused
            && let Ok(token) = issuer.ledger.issue(self.now)
        {
            self.tokens.insert(caller, token);
        }
    }

    fn send(&mut self, caller: u64, request: u64, entries: usize) {
        if let Some(token) = self.tokens.get(&caller) {
            let token = token.to_string();
            let attempt = Attempt { request, token };
            self.flight.extend(vec![attempt; entries]);
        }
    }

    fn misuse(&mut self, caller: u64) {
        self.others += 1;
        self.send(caller, OTHERS + self.others, 1);
    }

    fn arrive(&mut self, at: usize, lost: bool) {
        let attempt = self.flight.swap_remove(at % self.flight.len());
        let token = Token::parse(&attempt.token).expect("an issued token");
        let number = (0..ISSUERS).find(|n| name(*n) == token.issuer.as_str());
        let issuer = &mut self.issuers[number.expect("an issuer")];
        match issuer {
            Issuer { paused: true, .. } => return self.flight.push(attempt),
            Issuer { cut: true, .. } => {
                return self.hear(
                    &attempt,
                    Settlement::Refused(issuer_unreachable(LIMITS.lifetime)),
                );
            }
            _ => (),
        }
        // A task may hold a time that it read long ago.
        let now = if lost { self.start } else { self.now };
        let told = match issuer.ledger.spend(now, &token, attempt.request) {
            Decision::Run(lease) => return issuer.running.push((attempt, lease)),
            Decision::Join(_) => return issuer.joined.push(attempt),
            Decision::Replay(kept) => Settlement::Answered(kept),
            Decision::Refuse(refusal) => Settlement::Refused(refusal),
        };
        if !lost {
            self.hear(&attempt, told);
        }
    }

    fn end(&mut self, at: usize, end: End) {
        let issuer = &mut self.issuers[at % ISSUERS];
        if issuer.running.is_empty() || issuer.paused {
            return;
        }
        let (attempt, lease) = issuer.running.swap_remove(at % issuer.running.len());
        let runs = self.runs.entry(attempt.request).or_default();
        let completion = match end {
            End::NotRun => Completion::Refused(Refusal::not_run(Code::ConnectFailed)),
            End::Lost => {
                runs.push(attempt.token.clone());
                Completion::Refused(Refusal::unknown(Code::UpstreamLost))
            }
            End::Answered(length) => {
                runs.push(attempt.token.clone());
                Completion::Answered(answer(&attempt, runs.len(), length))
            }
        };
        let settled = issuer.ledger.settle(self.now, lease, completion);
        let (joined, rest) = issuer.joined.drain(..).partition(|other| *other == attempt);
        issuer.joined = rest;
        for other in joined {
            self.hear(&other, settled.clone());
        }
        self.hear(&attempt, settled);
    }

    fn kill(&mut self, number: usize) {
        let next = birth(number, self.births, self.now);
        self.births += 1;
        let old = std::mem::replace(&mut self.issuers[number], next);
        for (attempt, _) in old.running {
            let runs = self.runs.entry(attempt.request).or_default();
            runs.push(attempt.token.clone());
            self.hear(
                &attempt,
                Settlement::Refused(issuer_unreachable(LIMITS.lifetime)),
            );
        }
    }

    /// The caller hears the end of an attempt.
    fn hear(&mut self, attempt: &Attempt, settled: Settlement) {
        match settled {
            Settlement::Answered(kept) => {
                let first = self
                    .answers
                    .entry(attempt.request)
                    .or_insert(kept.body.clone());
                self.mixed |= *first != kept.body;
            }
            Settlement::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                self.not_run.insert(attempt.clone());
                let token = self.tokens.get(&attempt.request);
                if token.map(Token::to_string).as_ref() == Some(&attempt.token) {
                    self.tokens.remove(&attempt.request);
                }
            }
            Settlement::Refused(_) => (),
        }
    }

    pub fn check(&self) -> Result<(), TestCaseError> {
        for (request, runs) in &self.runs {
            prop_assert!(runs.len() <= 1, "request {} ran on {:?}", request, runs);
        }
        let tokens: Vec<_> = self.runs.values().flatten().collect();
        let distinct: BTreeSet<_> = tokens.iter().collect();
        prop_assert_eq!(distinct.len(), tokens.len(), "a token ran twice");
        for attempt in &self.not_run {
            let runs = self.runs.get(&attempt.request);
            let ran = runs.is_some_and(|runs| runs.contains(&attempt.token));
            prop_assert!(!ran, "{:?} ran after all", attempt);
        }
        prop_assert!(!self.mixed, "two answers to one request");
        Ok(())
    }
}

fn answer(attempt: &Attempt, run: usize, length: usize) -> Response {
    let mut body = format!("{attempt:?} {run} ").into_bytes();
    body.resize(body.len() + length, b'.');
    Response {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    }
}
