//! The retry policy of a caller: tokens, backoff and the choice of an entry.
//!
//! A purchase that may have run is retried only under the same token, so that
//! it runs at most once.

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
use super::completion::Completion;
use super::completion::Failure;
use super::completion::Verdict;
use super::pool;
use super::pool::Pool;
use super::pool::Reply;
use super::protocol;
use super::protocol::Disposition;
use crate::sync::lock;
use tokens::Cache;

/// The maximum number of attempts per call.
const MAX_ATTEMPTS: u32 = 8;
/// The backoff before the first retry; it doubles with each further retry.
const INITIAL_BACKOFF: Duration = Duration::from_millis(50);
/// The upper limit of the backoff.
const MAX_BACKOFF: Duration = Duration::from_secs(1);
/// One in this many purchases goes to an entry that did not issue its token.
const CROSS_ENTRY_ONE_IN: u32 = 8;

/// Makes calls and retries them.
#[derive(Debug)]
pub struct Policy {
    entries: Vec<SocketAddr>,
    direct: bool,
    pool: Arc<Pool>,
    tokens: Cache,
    rng: Mutex<StdRng>,
}

/// The state of a call between attempts.
#[derive(Debug)]
struct Progress {
    entry: usize,
    token: Option<String>,
    may_have_run: bool,
    completion: Completion,
}

/// The next step after an attempt.
enum Step {
    Finish(Verdict),
    Retry(Duration),
}

impl Policy {
    /// Returns the policy that the options describe.
    pub fn new(options: &Options, pool: Arc<Pool>) -> Self {
        Self {
            entries: options.entries.clone(),
            direct: options.direct,
            pool,
            tokens: Cache::default(),
            rng: Mutex::new(StdRng::seed_from_u64(options.seed)),
        }
    }

    /// Makes a call and retries it until it succeeds, its result is final or
    /// its attempts are exhausted.
    pub async fn complete(&self, call: &Call) -> Completion {
        let mut progress = self.start(call);
        loop {
            match self.attempt(call, &mut progress).await {
                Step::Finish(verdict) => return progress.finish(verdict),
                Step::Retry(_) if progress.is_exhausted() => return progress.abandon(),
                Step::Retry(wait) => tokio::time::sleep(wait).await,
            }
        }
    }

    fn start(&self, call: &Call) -> Progress {
        let entry = lock(&self.rng).random_range(0..self.entries.len().max(1));
        let token = self
            .entries
            .get(entry)
            .filter(|_| call.is_purchase())
            .and_then(|entry| self.tokens.take(*entry));
        let switches = token.is_some() && lock(&self.rng).random_ratio(1, CROSS_ENTRY_ONE_IN);
        Progress {
            entry: entry + usize::from(switches),
            token,
            may_have_run: false,
            completion: Completion::unsent(),
        }
    }

    async fn attempt(&self, call: &Call, progress: &mut Progress) -> Step {
        progress.completion.attempts += 1;
        let at = progress.entry.checked_rem(self.entries.len()).unwrap_or(0);
        let Some(entry) = self.entries.get(at).copied() else {
            return Step::Finish(Verdict::NotRun);
        };
        let Ok(request) = protocol::request(call, entry, progress.token.as_deref()) else {
            return Step::Finish(Verdict::NotRun);
        };
        match self.pool.call(entry, request).await {
            Ok(reply) => self.handle_reply(call, progress, entry, &reply),
            Err(error) => self.handle_error(call, progress, &error),
        }
    }

    fn handle_error(&self, call: &Call, progress: &mut Progress, error: &pool::Error) -> Step {
        debug!(%error, kind = %call.kind, "caller: attempt failed");
        progress.completion.failures.push(Failure::of(error));
        match error.is_unsent() {
            true if progress.may_have_run => (),
            true => progress.token = None,
            false => progress.may_have_run = true,
        }
        self.retry_elsewhere(progress, None)
    }

    fn handle_reply(
        &self,
        call: &Call,
        progress: &mut Progress,
        entry: SocketAddr,
        reply: &Reply,
    ) -> Step {
        let disposition = match self.direct {
            true => Ok(protocol::from_status(reply)),
            false => protocol::parse(reply),
        };
        match disposition {
            Ok(disposition) if disposition.outcome == Outcome::Answered => {
                self.store_token(call, entry, disposition.token);
                self.handle_answer(call, progress, reply)
            }
            Ok(disposition) => self.handle_refusal(call, progress, &disposition),
            Err(error) => {
                warn!(%error, kind = %call.kind, "caller: response has no valid outcome");
                Step::Finish(Verdict::Wrong)
            }
        }
    }

    fn store_token(&self, call: &Call, entry: SocketAddr, token: Option<String>) {
        match token {
            Some(token) if call.is_purchase() => self.tokens.put(entry, token),
            _ => (),
        }
    }

    fn handle_answer(&self, call: &Call, progress: &mut Progress, reply: &Reply) -> Step {
        match check::check(call, &reply.body) {
            Ok(usage) => {
                progress.completion.usage = usage;
                progress.completion.first_byte = Some(reply.first_byte);
                Step::Finish(Verdict::Answered)
            }
            Err(check::Error::BrokenOff) => {
                progress.completion.failures.push(Failure::BrokenOff);
                progress.may_have_run = true;
                self.retry_elsewhere(progress, None)
            }
            Err(error) => {
                warn!(%error, kind = %call.kind, status = %reply.status, "caller: response failed its check");
                Step::Finish(Verdict::Wrong)
            }
        }
    }

    fn handle_refusal(
        &self,
        call: &Call,
        progress: &mut Progress,
        disposition: &Disposition,
    ) -> Step {
        let trouble = disposition
            .code
            .map_or(Failure::UpstreamError, Failure::Refused);
        debug!(%trouble, kind = %call.kind, "caller: request refused");
        if disposition.code != Some(Code::TokenRequired) {
            progress.completion.failures.push(trouble);
        }
        progress.apply_refusal(call, disposition);
        match (disposition.outcome, disposition.code) {
            (Outcome::NotRun, Some(Code::TokenRequired | Code::TokenExpired)) => {
                Step::Retry(Duration::ZERO)
            }
            (Outcome::Unknown, Some(Code::TokenExpired | Code::AnswerDropped))
                if call.is_purchase() =>
            {
                Step::Finish(Verdict::Unknown)
            }
            _ => self.retry_elsewhere(progress, disposition.wait),
        }
    }

    /// Retries at the next entry after the given wait, or after an exponential
    /// backoff if the entry gave none. Both are capped and jittered.
    fn retry_elsewhere(&self, progress: &mut Progress, wait: Option<Duration>) -> Step {
        progress.entry += 1;
        let repeats = progress
            .completion
            .attempts
            .saturating_sub(1)
            .min(MAX_ATTEMPTS);
        let wait = wait.unwrap_or(INITIAL_BACKOFF * 2_u32.pow(repeats));
        let jitter = lock(&self.rng).random_range(0.5..1.0);
        Step::Retry(wait.min(MAX_BACKOFF).mul_f64(jitter))
    }
}

impl Progress {
    /// Updates the state from a refusal. A token that comes with "not run"
    /// proves that nothing ran or will run under the previous token.
    fn apply_refusal(&mut self, call: &Call, disposition: &Disposition) {
        match (disposition.outcome, &disposition.token) {
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

    fn is_exhausted(&self) -> bool {
        self.completion.attempts >= MAX_ATTEMPTS
    }

    fn abandon(self) -> Completion {
        let verdict = match self.may_have_run {
            true => Verdict::Unknown,
            false => Verdict::NotRun,
        };
        self.finish(verdict)
    }

    fn finish(mut self, verdict: Verdict) -> Completion {
        self.completion.verdict = verdict;
        self.completion
    }
}
