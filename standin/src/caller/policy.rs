//! What a caller does until a call has ended: tokens, waits and repeats.

mod tokens;

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tracing::debug;
use tracing::warn;

use super::Options;
use super::call::Call;
use super::check;
use super::completion::Ending;
use super::completion::Trouble;
use super::completion::Verdict;
use super::pool;
use super::pool::Pool;
use super::pool::Reply;
use super::protocol;
use super::protocol::Word;
use crate::sync::lock;
use tokens::Purse;

/// How often a call is sent at most.
const MOST_ATTEMPTS: u32 = 8;
/// The first wait before a repeat.
const FIRST_WAIT: Duration = Duration::from_millis(50);
/// The longest wait before a repeat.
const LONGEST_WAIT: Duration = Duration::from_secs(1);
/// One in so many purchases goes to another entry than the token's issuer.
const CROSSING: u32 = 8;

/// The way calls are made.
#[derive(Debug)]
pub struct Policy {
    entries: Vec<SocketAddr>,
    direct: bool,
    pool: Arc<Pool>,
    purse: Purse,
    rng: Mutex<StdRng>,
}

/// A call under way.
#[derive(Debug)]
struct Course {
    entry: usize,
    token: Option<String>,
    may_have_run: bool,
    ending: Ending,
}

/// What comes after an attempt.
enum Step {
    End(Verdict),
    Again(Duration),
}

impl Policy {
    /// Returns the policy that the options describe.
    pub fn new(options: &Options, pool: Arc<Pool>) -> Self {
        Self {
            entries: options.entries.clone(),
            direct: options.direct,
            pool,
            purse: Purse::default(),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
        }
    }

    /// Makes a call, and repeats it until it has ended.
    pub async fn complete(&self, call: &Call) -> Ending {
        let mut course = self.begin(call);
        loop {
            match self.attempt(call, &mut course).await {
                Step::End(verdict) => return course.end(verdict),
                Step::Again(_) if course.is_spent() => return course.give_up(),
                Step::Again(wait) => tokio::time::sleep(wait).await,
            }
        }
    }

    fn begin(&self, call: &Call) -> Course {
        let entry = lock(&self.rng).random_range(0..self.entries.len().max(1));
        let token = self
            .entries
            .get(entry)
            .filter(|_| call.is_purchase())
            .and_then(|entry| self.purse.take(*entry));
        let crosses = token.is_some() && lock(&self.rng).random_ratio(1, CROSSING);
        Course {
            entry: entry + usize::from(crosses),
            token,
            may_have_run: false,
            ending: Ending::unsent(),
        }
    }

    async fn attempt(&self, call: &Call, course: &mut Course) -> Step {
        course.ending.attempts += 1;
        let at = course.entry.checked_rem(self.entries.len()).unwrap_or(0);
        let Some(entry) = self.entries.get(at).copied() else {
            return Step::End(Verdict::NotRun);
        };
        let Ok(request) = protocol::request(call, entry, course.token.as_deref()) else {
            return Step::End(Verdict::NotRun);
        };
        match self.pool.call(entry, request).await {
            Ok(reply) => self.judge(call, course, entry, &reply),
            Err(error) => self.failed(call, course, &error),
        }
    }

    fn failed(&self, call: &Call, course: &mut Course, error: &pool::Error) -> Step {
        debug!(%error, kind = %call.kind, "caller: attempt failed");
        course.ending.troubles.push(Trouble::of(error));
        match error.is_unsent() {
            true if course.may_have_run => (),
            true => course.token = None,
            false => course.may_have_run = true,
        }
        self.elsewhere(course, None)
    }

    fn judge(&self, call: &Call, course: &mut Course, entry: SocketAddr, reply: &Reply) -> Step {
        let word = match self.direct {
            true => Ok(protocol::direct(reply)),
            false => protocol::word(reply),
        };
        match word {
            Ok(word) if word.outcome == Outcome::Answered => {
                self.keep(call, entry, word.token);
                self.answered(call, course, reply)
            }
            Ok(word) => self.refused(call, course, &word),
            Err(error) => {
                warn!(%error, kind = %call.kind, "caller: answer without a word");
                Step::End(Verdict::Wrong)
            }
        }
    }

    fn keep(&self, call: &Call, entry: SocketAddr, token: Option<String>) {
        match token {
            Some(token) if call.is_purchase() => self.purse.put(entry, token),
            _ => (),
        }
    }

    fn answered(&self, call: &Call, course: &mut Course, reply: &Reply) -> Step {
        match check::check(call, &reply.body) {
            Ok(usage) => {
                course.ending.usage = usage;
                course.ending.first_byte = Some(reply.first_byte);
                Step::End(Verdict::Answered)
            }
            Err(check::Error::BrokenOff) => {
                course.ending.troubles.push(Trouble::BrokenOff);
                course.may_have_run = true;
                self.elsewhere(course, None)
            }
            Err(error) => {
                warn!(%error, kind = %call.kind, status = %reply.status, "caller: wrong answer");
                Step::End(Verdict::Wrong)
            }
        }
    }

    fn refused(&self, call: &Call, course: &mut Course, word: &Word) -> Step {
        let trouble = word.code.map_or(Trouble::UpstreamError, Trouble::Refused);
        debug!(%trouble, kind = %call.kind, "caller: refused");
        if word.code != Some(Code::TokenRequired) {
            course.ending.troubles.push(trouble);
        }
        course.learn(call, word);
        match (word.outcome, word.code) {
            (Outcome::NotRun, Some(Code::TokenRequired | Code::TokenExpired)) => {
                Step::Again(Duration::ZERO)
            }
            (Outcome::Unknown, Some(Code::TokenExpired | Code::AnswerDropped))
                if call.is_purchase() =>
            {
                Step::End(Verdict::Unknown)
            }
            _ => self.elsewhere(course, word.wait),
        }
    }

    /// Goes to the next entry after a wait.
    fn elsewhere(&self, course: &mut Course, wait: Option<Duration>) -> Step {
        course.entry += 1;
        let repeats = course.ending.attempts.saturating_sub(1).min(MOST_ATTEMPTS);
        let wait = wait.unwrap_or(FIRST_WAIT * 2_u32.pow(repeats));
        let jitter = lock(&self.rng).random_range(0.5..1.0);
        Step::Again(wait.min(LONGEST_WAIT).mul_f64(jitter))
    }
}

impl Course {
    /// Takes in a refusal. A token that comes with "not run" proves that
    /// nothing ran, nor will, on the one before.
    fn learn(&mut self, call: &Call, word: &Word) {
        match (word.outcome, &word.token) {
            (Outcome::NotRun, Some(token)) => {
                self.token = Some(token.clone());
                self.may_have_run = false;
            }
            (Outcome::Unknown, _) if call.is_purchase() => self.may_have_run = true,
            (Outcome::Unknown, _) => {
                self.token = None;
                self.may_have_run = true;
            }
            _ => (),
        }
    }

    fn is_spent(&self) -> bool {
        self.ending.attempts >= MOST_ATTEMPTS
    }

    fn give_up(self) -> Ending {
        let verdict = match self.may_have_run {
            true => Verdict::Unknown,
            false => Verdict::NotRun,
        };
        self.end(verdict)
    }

    fn end(mut self, verdict: Verdict) -> Ending {
        self.ending.verdict = verdict;
        self.ending
    }
}
