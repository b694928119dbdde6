//! The simulated issuers and callers on which the steps of a schedule act.

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

/// The number of issuers.
pub const ISSUERS: usize = 3;

/// The number of callers, each with one request.
pub const CALLERS: usize = 3;

/// Requests from this number on use a token that belongs to another request.
const FIRST_OTHER_REQUEST: u64 = 1_000;

const LIMITS: Limits = Limits {
    lifetime: Duration::from_secs(10),
    retention: Duration::from_secs(5),
    capacity: 16,
    kept_bytes: 1_000,
    kept_answer_bytes: 500,
};

/// One attempt: the number of the request, and the token it carries.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct Attempt {
    request: u64,
    token: String,
}

struct Issuer {
    ledger: Ledger,
    running: Vec<(Attempt, Lease)>,
    joined: Vec<Attempt>,
    suspended: bool,
    partitioned: bool,
}

/// The issuers, the messages in flight, and what the callers observed.
pub struct World {
    start: Instant,
    now: Instant,
    incarnations: u64,
    issuers: Vec<Issuer>,
    tokens: BTreeMap<u64, Token>,
    in_flight: Vec<Attempt>,
    other_requests: u64,
    /// The tokens under which each request ran.
    runs: BTreeMap<u64, Vec<String>>,
    not_run: BTreeSet<Attempt>,
    responses: BTreeMap<u64, Bytes>,
    responses_differ: bool,
}

fn name(number: usize) -> String {
    format!("10.0.0.{number}")
}

fn new_issuer(number: usize, incarnations: u64, now: Instant) -> Issuer {
    let key = Key::new(&mut StdRng::seed_from_u64(incarnations));
    let host = name(number).as_str().into();
    Issuer {
        ledger: Ledger::new(now, host, incarnations, key, LIMITS)
            .expect("the host name should fit into a token"),
        running: Vec::new(),
        joined: Vec::new(),
        suspended: false,
        partitioned: false,
    }
}

impl World {
    pub fn new() -> Self {
        let now = Instant::now();
        Self {
            start: now,
            now,
            incarnations: ISSUERS as u64,
            issuers: (0..ISSUERS).map(|n| new_issuer(n, n as u64, now)).collect(),
            tokens: BTreeMap::new(),
            in_flight: Vec::new(),
            other_requests: 0,
            runs: BTreeMap::new(),
            not_run: BTreeSet::new(),
            responses: BTreeMap::new(),
            responses_differ: false,
        }
    }

    pub fn step(&mut self, step: Step) {
        match step {
            Step::RequestToken(caller, issuer) => self.request_token(caller as u64, issuer),
            Step::Send(caller, entries) => self.send(caller as u64, caller as u64, entries),
            Step::ReuseToken(caller) => self.reuse_token(caller as u64),
            Step::Arrive(at, lost) if !self.in_flight.is_empty() => self.arrive(at, lost),
            Step::End(at, end) => self.end(at, end),
            Step::Replace(issuer) => self.replace(issuer),
            Step::Suspend(issuer) => self.issuers[issuer].suspended ^= true,
            Step::Partition(issuer) => self.issuers[issuer].partitioned ^= true,
            Step::Wait(seconds) => self.now += Duration::from_secs(seconds),
            Step::Sweep(issuer) => self.issuers[issuer].ledger.sweep(self.now),
            Step::Arrive(..) => (),
        }
    }

    fn request_token(&mut self, caller: u64, issuer: usize) {
        let issuer = &mut self.issuers[issuer];
        if !self.tokens.contains_key(&caller)
            && !issuer.suspended
            && let Ok(token) = issuer.ledger.issue(self.now)
        {
            self.tokens.insert(caller, token);
        }
    }

    fn send(&mut self, caller: u64, request: u64, entries: usize) {
        if let Some(token) = self.tokens.get(&caller) {
            let token = token.to_string();
            let attempt = Attempt { request, token };
            self.in_flight.extend(vec![attempt; entries]);
        }
    }

    fn reuse_token(&mut self, caller: u64) {
        self.other_requests += 1;
        self.send(caller, FIRST_OTHER_REQUEST + self.other_requests, 1);
    }

    fn arrive(&mut self, at: usize, lost: bool) {
        let attempt = self.in_flight.swap_remove(at % self.in_flight.len());
        let token = Token::parse(&attempt.token).expect("the token was issued by an issuer");
        let number = (0..ISSUERS).find(|n| name(*n) == token.issuer.as_str());
        let issuer = &mut self.issuers[number.expect("the token names one of the issuers")];
        match issuer {
            Issuer {
                suspended: true, ..
            } => return self.in_flight.push(attempt),
            Issuer {
                partitioned: true, ..
            } => {
                return self.observe(
                    &attempt,
                    Settlement::Refused(issuer_unreachable(LIMITS.lifetime)),
                );
            }
            _ => (),
        }
        // A task may use a time that it read long ago.
        let now = if lost { self.start } else { self.now };
        let settlement = match issuer.ledger.spend(now, &token, attempt.request) {
            Decision::Run(lease) => return issuer.running.push((attempt, lease)),
            Decision::Join(_) => return issuer.joined.push(attempt),
            Decision::Replay(response) => Settlement::Answered(response),
            Decision::Refuse(refusal) => Settlement::Refused(refusal),
        };
        if !lost {
            self.observe(&attempt, settlement);
        }
    }

    fn end(&mut self, at: usize, end: End) {
        let issuer = &mut self.issuers[at % ISSUERS];
        if issuer.running.is_empty() || issuer.suspended {
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
                Completion::Answered(response(&attempt, runs.len(), length))
            }
        };
        let settlement = issuer.ledger.settle(self.now, lease, completion);
        let (joined, rest) = issuer.joined.drain(..).partition(|other| *other == attempt);
        issuer.joined = rest;
        for other in joined {
            self.observe(&other, settlement.clone());
        }
        self.observe(&attempt, settlement);
    }

    fn replace(&mut self, number: usize) {
        let next = new_issuer(number, self.incarnations, self.now);
        self.incarnations += 1;
        let old = std::mem::replace(&mut self.issuers[number], next);
        for (attempt, _) in old.running {
            let runs = self.runs.entry(attempt.request).or_default();
            runs.push(attempt.token.clone());
            self.observe(
                &attempt,
                Settlement::Refused(issuer_unreachable(LIMITS.lifetime)),
            );
        }
    }

    /// Records the result of an attempt as its caller observes it.
    fn observe(&mut self, attempt: &Attempt, settlement: Settlement) {
        match settlement {
            Settlement::Answered(response) => {
                let first = self
                    .responses
                    .entry(attempt.request)
                    .or_insert(response.body.clone());
                self.responses_differ |= *first != response.body;
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
            prop_assert!(
                runs.len() <= 1,
                "request {} ran under several tokens or several times: {:?}",
                request,
                runs
            );
        }
        let tokens: Vec<_> = self.runs.values().flatten().collect();
        let distinct: BTreeSet<_> = tokens.iter().collect();
        prop_assert_eq!(distinct.len(), tokens.len(), "a token ran more than once");
        for attempt in &self.not_run {
            let runs = self.runs.get(&attempt.request);
            let ran = runs.is_some_and(|runs| runs.contains(&attempt.token));
            prop_assert!(
                !ran,
                "{:?} ran although it was reported as not run",
                attempt
            );
        }
        prop_assert!(
            !self.responses_differ,
            "two different responses to one request"
        );
        Ok(())
    }
}

fn response(attempt: &Attempt, run: usize, length: usize) -> Response {
    let mut body = format!("{attempt:?} {run} ").into_bytes();
    body.resize(body.len() + length, b'.');
    Response {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from(body),
    }
}
