//! The issuer's table: which of its tokens are used, and how that ended.
//!
//! The table decides alone, so a token runs at most once whatever clocks,
//! views and networks do. Time only bounds the memory: the ledger's own time
//! never runs backwards, so a caller of it that was paused with an old `now`
//! can't use a token that another one has swept meanwhile.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use super::Ending;
use super::Fault;
use super::HOST_BYTES;
use super::Kept;
use super::Key;
use super::Lease;
use super::Limits;
use super::Settled;
use super::Size;
use super::Spend;
use super::Tally;
use super::Token;
use super::cache::Answers;
use super::record::End;
use super::record::Slot;
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
    origin: Instant,
    latest: Instant,
    next: u64,
    slots: BTreeMap<u64, Slot>,
    answers: Answers,
    running: u64,
    closed: bool,
    tally: Tally,
}

impl Ledger {
    /// Makes the empty ledger of an incarnation that starts now.
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
            origin: now,
            latest: now,
            next: 0,
            slots: BTreeMap::new(),
            answers: Answers::default(),
            running: 0,
            closed: false,
            tally: Tally::default(),
        })
    }

    /// Issues a token.
    pub fn issue(&mut self, now: Instant) -> Result<Token, Refusal> {
        let now = self.advance(now);
        if let Err(refusal) = self.room(now) {
            self.tally.withheld += 1;
            return Err(refusal);
        }
        let expires = now + millis(self.limits.lifetime);
        let token = self.sign(expires);
        let state = State::Fresh;
        self.slots.insert(self.next, Slot { expires, state });
        self.next += 1;
        self.tally.issued += 1;
        Ok(token)
    }

    /// Decides on a request that came with a token. If it may run, the token
    /// is spent when this returns.
    pub fn spend(&mut self, now: Instant, token: &Token, fingerprint: u64) -> Spend {
        let now = self.advance(now);
        if token.issuer != self.issuer || token.start != self.start {
            self.tally.foreign += 1;
            return Spend::Refuse(Refusal::unknown(Code::IssuerLost));
        }
        if !self.key.verify(&token.signed(), &token.check) {
            self.tally.forged += 1;
            return Spend::Refuse(Refusal::not_run(Code::TokenForged));
        }
        let Some(slot) = self.slots.get_mut(&token.sequence) else {
            self.tally.forgotten += 1;
            return Spend::Refuse(Refusal::unknown(Code::TokenExpired));
        };
        match &slot.state {
            State::Fresh if slot.expires <= now => {
                self.tally.expired += 1;
                Spend::Refuse(Refusal::not_run(Code::TokenExpired))
            }
            State::Fresh => {
                slot.state = State::Running { fingerprint };
                self.running += 1;
                self.tally.spent += 1;
                Spend::Run(Lease {
                    sequence: token.sequence,
                })
            }
            state if state.fingerprint() != Some(fingerprint) => {
                self.tally.mismatched += 1;
                Spend::Refuse(Refusal::not_run(Code::TokenMismatch))
            }
            State::Running { .. } => {
                self.tally.joined += 1;
                Spend::Join(token.sequence)
            }
            State::Ended { end, .. } => {
                self.tally.replayed += 1;
                replay(end, self.answers.get(token.sequence))
            }
        }
    }

    /// Ends a lease, and returns what those get who wait for it.
    pub fn settle(&mut self, now: Instant, lease: Lease, ending: Ending) -> Settled {
        self.advance(now);
        let settled = self.count(ending);
        let end = match &settled {
            Settled::Answered(kept) => self.keep(lease.sequence, kept),
            Settled::Refused(refusal) => End::Refused(refusal.clone()),
        };
        if let Some(slot) = self.slots.get_mut(&lease.sequence)
            && let State::Running { fingerprint } = slot.state
        {
            slot.state = State::Ended { fingerprint, end };
            self.running = self.running.saturating_sub(1);
        }
        settled
    }

    /// Forgets tokens that are past their expiry and its memory.
    pub fn sweep(&mut self, now: Instant) {
        let now = self.advance(now);
        let memory = millis(self.limits.memory);
        let old: Vec<u64> = self
            .slots
            .iter()
            .take_while(|(_, slot)| slot.expires.saturating_add(memory) <= now)
            .filter(|(_, slot)| !matches!(slot.state, State::Running { .. }))
            .map(|(sequence, _)| *sequence)
            .collect();
        for sequence in old {
            self.slots.remove(&sequence);
            self.answers.remove(sequence);
        }
    }

    /// Stops issuing. Tokens already issued can be used until they expire.
    pub fn close(&mut self) {
        self.closed = true;
    }

    /// Tells whether nothing can run any more: the ledger is closed, every
    /// token is spent or expired, and no request runs.
    pub fn is_drained(&mut self, now: Instant) -> bool {
        let now = self.advance(now);
        let live = self
            .slots
            .values()
            .rev()
            .take_while(|slot| slot.expires > now)
            .any(|slot| matches!(slot.state, State::Fresh));
        self.closed && self.running == 0 && !live
    }

    /// Returns what was counted since the start.
    pub fn tally(&self) -> Tally {
        self.tally
    }

    /// Returns what the ledger holds.
    pub fn size(&self) -> Size {
        Size {
            tokens: self.slots.len() as u64,
            running: self.running,
            answers: self.answers.count(),
            bytes: self.answers.bytes(),
        }
    }

    /// Moves the ledger's time on, and returns it in milliseconds.
    fn advance(&mut self, now: Instant) -> u64 {
        self.latest = self.latest.max(now);
        millis(self.latest.duration_since(self.origin))
    }

    fn room(&self, now: u64) -> Result<(), Refusal> {
        if self.closed {
            return Err(Refusal::not_run(Code::ShuttingDown));
        }
        if self.slots.len() < self.limits.count {
            return Ok(());
        }
        let oldest = self.slots.values().next().map_or(now, |slot| slot.expires);
        let free = oldest.saturating_add(millis(self.limits.memory));
        let wait = Duration::from_millis(free.saturating_sub(now));
        Err(Refusal::not_run(Code::TooManyRequests).after(wait))
    }

    fn sign(&self, expires: u64) -> Token {
        let mut token = Token {
            issuer: self.issuer.clone(),
            start: self.start,
            sequence: self.next,
            expires,
            check: Default::default(),
        };
        token.check = self.key.sign(&token.signed());
        token
    }

    fn count(&mut self, ending: Ending) -> Settled {
        match ending {
            Ending::Answered(kept) => {
                self.tally.answered += 1;
                Settled::Answered(Arc::new(kept))
            }
            Ending::Streamed => {
                self.tally.answered += 1;
                Settled::Refused(dropped())
            }
            Ending::Refused(refusal) if refusal.outcome == Outcome::NotRun => {
                self.tally.not_run += 1;
                Settled::Refused(refusal)
            }
            Ending::Refused(refusal) => {
                self.tally.unknown += 1;
                let outcome = Outcome::Unknown;
                Settled::Refused(Refusal { outcome, ..refusal })
            }
        }
    }

    fn keep(&mut self, sequence: u64, kept: &Kept) -> End {
        if kept.size() > self.limits.kept_answer_bytes {
            return End::Refused(dropped());
        }
        self.answers.insert(sequence, Arc::new(kept.compact()));
        self.tally.dropped += self.answers.shrink(self.limits.kept_bytes);
        End::Answered
    }
}

fn replay(end: &End, kept: Option<&Arc<Kept>>) -> Spend {
    match (end, kept) {
        (End::Answered, Some(kept)) => Spend::Replay(kept.clone()),
        (End::Answered, None) => Spend::Refuse(dropped()),
        (End::Refused(refusal), _) if refusal.outcome == Outcome::NotRun => {
            Spend::Refuse(Refusal::not_run(Code::TokenExpired))
        }
        (End::Refused(refusal), _) => Spend::Refuse(refusal.clone()),
    }
}

fn dropped() -> Refusal {
    Refusal::unknown(Code::AnswerDropped)
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
