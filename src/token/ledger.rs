//! The issuer's table of its tokens: which are used, and how their requests
//! ended.
//!
//! No other state takes part in a decision, so a token runs at most once
//! whatever happens to clocks, membership views and networks. Time only bounds
//! the size of the table. The ledger's time never goes backwards, so a task that
//! was suspended with an old `now` can't use a token that was removed meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Completion;
use super::Counters;
use super::Decision;
use super::Fault;
use super::HOST_BYTES;
use super::Key;
use super::Lease;
use super::Limits;
use super::Response;
use super::Settlement;
use super::Size;
use super::Token;
use super::cache::Cache;
use super::record::Conclusion;
use super::record::Record;
use super::record::State;
use crate::ident;
use crate::outcome::Code;
use crate::outcome::Outcome;
use crate::outcome::Refusal;

/// The tokens of one incarnation of an issuer.
#[derive(Debug)]
pub struct Ledger {
    issuer: ident::Host,
    start: u64,
    key: Key,
    limits: Limits,
    started: Instant,
    /// The latest time that a caller passed in; it never goes backwards.
    clock: Instant,
    next_sequence: u64,
    records: BTreeMap<u64, Record>,
    responses: Cache,
    running: u64,
    closed: bool,
    counters: Counters,
}

impl Ledger {
    /// Returns the empty ledger of an incarnation that starts now. Fails if the
    /// host name is empty or too long for a token.
    pub fn new(
        now: Instant,
        issuer: ident::Host,
        start: u64,
        key: Key,
        limits: Limits,
    ) -> Result<Self, Fault> {
        match issuer.as_str().len() {
            1..=HOST_BYTES => (),
            length => return Err(Fault::HostLength { length }),
        }
        Ok(Self {
            issuer,
            start,
            key,
            limits,
            started: now,
            clock: now,
            next_sequence: 0,
            records: BTreeMap::new(),
            responses: Cache::default(),
            running: 0,
            closed: false,
            counters: Counters::default(),
        })
    }

    /// Issues a token, or returns why none can be issued.
    pub fn issue(&mut self, now: Instant) -> Result<Token, Refusal> {
        let now = self.advance(now);
        if let Err(refusal) = self.check_capacity(now) {
            self.counters.withheld += 1;
            return Err(refusal);
        }
        let expires = now + millis(self.limits.lifetime);
        let token = self.sign(expires);
        let state = State::Unused;
        self.records
            .insert(self.next_sequence, Record { expires, state });
        self.next_sequence += 1;
        self.counters.issued += 1;
        Ok(token)
    }

    /// Decides what to do with a request that carries a token. If the request
    /// may run, the token is spent when this returns.
    pub fn spend(&mut self, now: Instant, token: &Token, fingerprint: u64) -> Decision {
        let now = self.advance(now);
        if token.issuer != self.issuer || token.start != self.start {
            self.counters.foreign += 1;
            return Decision::Refuse(Refusal::unknown(Code::IssuerLost));
        }
        if !self.key.verify(&token.signed(), &token.tag) {
            self.counters.forged += 1;
            return Decision::Refuse(Refusal::not_run(Code::TokenForged));
        }
        let Some(record) = self.records.get_mut(&token.sequence) else {
            self.counters.forgotten += 1;
            return Decision::Refuse(Refusal::unknown(Code::TokenExpired));
        };
        match &record.state {
            State::Unused if record.expires <= now => {
                self.counters.expired += 1;
                Decision::Refuse(Refusal::not_run(Code::TokenExpired))
            }
            State::Unused => {
                record.state = State::Running { fingerprint };
                self.running += 1;
                self.counters.spent += 1;
                Decision::Run(Lease {
                    sequence: token.sequence,
                })
            }
            state if state.fingerprint() != Some(fingerprint) => {
                self.counters.mismatched += 1;
                Decision::Refuse(Refusal::not_run(Code::TokenMismatch))
            }
            State::Running { .. } => {
                self.counters.joined += 1;
                Decision::Join(token.sequence)
            }
            State::Done { conclusion, .. } => {
                self.counters.replayed += 1;
                replay(conclusion, self.responses.get(token.sequence))
            }
        }
    }

    /// Ends a lease, and returns the result that its waiters get.
    pub fn settle(&mut self, now: Instant, lease: Lease, completion: Completion) -> Settlement {
        self.advance(now);
        let settlement = self.record_completion(completion);
        let conclusion = match &settlement {
            Settlement::Answered(response) => self.store(lease.sequence, response),
            Settlement::Refused(refusal) => Conclusion::Refused(refusal.clone()),
        };
        if let Some(record) = self.records.get_mut(&lease.sequence)
            && let State::Running { fingerprint } = record.state
        {
            record.state = State::Done {
                fingerprint,
                conclusion,
            };
            self.running = self.running.saturating_sub(1);
        }
        settlement
    }

    /// Removes tokens whose retention period after expiry has passed, except
    /// tokens whose request is running.
    pub fn sweep(&mut self, now: Instant) {
        let now = self.advance(now);
        let retention = millis(self.limits.retention);
        let stale: Vec<u64> = self
            .records
            .iter()
            .take_while(|(_, record)| record.expires.saturating_add(retention) <= now)
            .filter(|(_, record)| !matches!(record.state, State::Running { .. }))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in stale {
            self.records.remove(&sequence);
            self.responses.remove(sequence);
        }
    }

    /// Stops issuing. Tokens already issued remain valid until they expire.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Returns whether no request runs or can still start: the ledger is
    /// closed, and every token is spent or expired.
    pub fn is_drained(&mut self, now: Instant) -> bool {
        let now = self.advance(now);
        let usable = self
            .records
            .values()
            .rev()
            .take_while(|record| record.expires > now)
            .any(|record| matches!(record.state, State::Unused));
        self.closed && self.running == 0 && !usable
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Returns the current size of the ledger.
    pub fn size(&self) -> Size {
        Size {
            tokens: self.records.len() as u64,
            running: self.running,
            answers: self.responses.count(),
            bytes: self.responses.bytes(),
        }
    }

    /// Advances the ledger's time to `now`, unless it is later already, and
    /// returns it in milliseconds since the start.
    fn advance(&mut self, now: Instant) -> u64 {
        self.clock = self.clock.max(now);
        millis(self.clock.duration_since(self.started))
    }

    fn check_capacity(&self, now: u64) -> Result<(), Refusal> {
        if self.closed {
            return Err(Refusal::not_run(Code::ShuttingDown));
        }
        if self.records.len() < self.limits.capacity {
            return Ok(());
        }
        let oldest = self
            .records
            .values()
            .next()
            .map_or(now, |record| record.expires);
        let free_at = oldest.saturating_add(millis(self.limits.retention));
        let wait = Duration::from_millis(free_at.saturating_sub(now));
        Err(Refusal::not_run(Code::TooManyRequests).with_retry_after(wait))
    }

    fn sign(&self, expires: u64) -> Token {
        let mut token = Token {
            issuer: self.issuer.clone(),
            start: self.start,
            sequence: self.next_sequence,
            expires,
            tag: Default::default(),
        };
        token.tag = self.key.sign(&token.signed());
        token
    }

    fn record_completion(&mut self, completion: Completion) -> Settlement {
        match completion {
            Completion::Answered(response) => {
                self.counters.answered += 1;
                Settlement::Answered(Arc::new(response))
            }
            Completion::Streamed => {
                self.counters.answered += 1;
                Settlement::Refused(response_evicted())
            }
            Completion::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                self.counters.not_run += 1;
                Settlement::Refused(refusal)
            }
            Completion::Refused(refusal) => {
                self.counters.unknown += 1;
                let outcome = Outcome::Unknown;
                Settlement::Refused(Refusal { outcome, ..refusal })
            }
        }
    }

    fn store(&mut self, sequence: u64, response: &Response) -> Conclusion {
        if response.size() > self.limits.kept_answer_bytes {
            return Conclusion::Refused(response_evicted());
        }
        self.responses
            .insert(sequence, Arc::new(response.compact()));
        self.counters.dropped += self.responses.shrink(self.limits.kept_bytes);
        Conclusion::Answered
    }
}

fn replay(conclusion: &Conclusion, response: Option<&Arc<Response>>) -> Decision {
    match (conclusion, response) {
        (Conclusion::Answered, Some(response)) => Decision::Replay(response.clone()),
        (Conclusion::Answered, None) => Decision::Refuse(response_evicted()),
        (Conclusion::Refused(refusal), _) if refusal.outcome == Outcome::NotRun => {
            Decision::Refuse(Refusal::not_run(Code::TokenExpired))
        }
        (Conclusion::Refused(refusal), _) => Decision::Refuse(refusal.clone()),
    }
}

fn response_evicted() -> Refusal {
    Refusal::unknown(Code::AnswerDropped)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
