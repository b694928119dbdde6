//! Tries upstreams one after another until one responds. Relies on the policy
//! for the candidates and on the view for their homes.

mod candidates;
mod target;

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::entry::source::Source;
use crate::framing;
use crate::home;
use crate::ident;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::peer::frame::Call;
use crate::peer::frame::Frame;
use crate::peer::frame::Head;
use crate::peer::frame::Run;
use crate::peer::server::RESPONSE_FRAMES;
use crate::plan::Plan;
use crate::policy::choose;
use crate::policy::rank;
use crate::register::upstream::Pool;
use crate::state::State;

/// The retry hint when nothing serves the request for now.
const RETRY_AFTER: Duration = Duration::from_secs(1);

/// The pause before the next try while hosts disagree on who is home.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

/// The shortest prompt, in bytes, for which cached upstreams are tried first;
/// prefilling a shorter prompt is faster than trying them.
const MIN_CACHED_PROMPT_BYTES: usize = 4_096;

/// A response of which the head has arrived.
#[derive(Debug)]
pub struct Response {
    /// The upstream that responded.
    pub upstream: ident::Upstream,
    /// The head of the response.
    pub head: Head,
    /// The frames that follow the head.
    pub rest: Source,
}

/// Runs a call on the best upstream that admits it.
pub async fn run(state: &Arc<State>, call: &Call, deadline: Instant) -> Result<Response, Refusal> {
    lock(&state.retry_budget).record_request();
    let mut attempts = Attempts {
        state,
        call,
        key: rank::key(&call.workspace, &call.chat),
        deadline,
        last: Refusal::not_run(Code::NoUpstream).with_retry_after(RETRY_AFTER),
        unknowns: 0,
        lost: Vec::new(),
        avoid: Vec::new(),
        had_extra_try: false,
    };
    let settle_until = deadline.min(Instant::now() + state.options.queue.wait);
    loop {
        let failed_before = attempts.avoid.len();
        match attempts.run_rounds().await {
            ControlFlow::Break(result) => return result,
            // An upstream failed the call; others may be left.
            ControlFlow::Continue(_) if attempts.avoid.len() > failed_before => {}
            ControlFlow::Continue(code) if is_unsettled(code) && Instant::now() < settle_until => {
                sleep(SETTLE_PAUSE).await;
            }
            ControlFlow::Continue(_) => return Err(attempts.last),
        }
    }
}

/// Returns whether hosts disagree for the moment on who is home.
fn is_unsettled(code: Code) -> bool {
    matches!(code, Code::NotHome | Code::HomeUnreachable)
}

/// The attempts at one call.
struct Attempts<'a> {
    state: &'a Arc<State>,
    call: &'a Call,
    /// The key of the chat, see [`rank::key`].
    key: u64,
    deadline: Instant,
    /// The refusal to return if no upstream responds.
    last: Refusal,
    /// Attempts of which the outcome is unknown.
    unknowns: u32,
    /// The upstreams that were lost while they ran the call.
    lost: Vec<ident::Upstream>,
    /// The upstreams that failed the call in any way.
    avoid: Vec<ident::Upstream>,
    /// Whether the best upstream had its extra try after all had failed.
    had_extra_try: bool,
}

/// The result of a call, or why to continue.
type Step = ControlFlow<Result<Response, Refusal>, Code>;

impl Attempts<'_> {
    /// Tries upstreams in the rounds that the policy returns.
    async fn run_rounds(&mut self) -> Step {
        let plan = self.state.plan();
        let chosen = candidates::choose(self.state, &plan, self.call, self.key);
        let is_left = |upstream: &&ident::Upstream| !self.avoid.contains(upstream);
        let left: Vec<_> = chosen.iter().filter(is_left).collect();
        let mut code = Code::NoUpstream;
        for round in self.rounds(left.len()) {
            for upstream in &left {
                if !self.avoid.contains(upstream) {
                    code = self.attempt(&plan, upstream, round).await?;
                }
            }
        }
        let all_failed = left.iter().all(|upstream| self.avoid.contains(upstream));
        match chosen.first() {
            // If all failed, the best one gets an extra try.
            Some(best) if all_failed && !self.had_extra_try => {
                self.had_extra_try = true;
                let round = choose::Round::last(self.deadline);
                self.attempt(&plan, best, round).await
            }
            _ => ControlFlow::Continue(code),
        }
    }

    /// Returns the rounds of attempts; a single upstream needs only the last.
    fn rounds(&self, upstreams: usize) -> Vec<choose::Round> {
        let is_long = self.call.body.len() >= MIN_CACHED_PROMPT_BYTES;
        let prompt = match self.call.pool {
            Pool::Model(_) if is_long => Some(self.call.body.len() as u64),
            _ => None,
        };
        let limits = choose::Limits::default();
        match upstreams {
            0 | 1 => vec![choose::Round::last(self.deadline)],
            _ => choose::rounds(limits, Instant::now(), self.deadline, prompt).collect(),
        }
    }

    async fn attempt(
        &mut self,
        plan: &Plan,
        upstream: &ident::Upstream,
        round: choose::Round,
    ) -> Step {
        if Instant::now() >= self.deadline {
            return ControlFlow::Break(Err(self.last.clone()));
        }
        if let Some(refusal) = self.quarantined() {
            return ControlFlow::Break(Err(refusal));
        }
        match self.try_one(plan, upstream, round).await {
            Ok(response) => ControlFlow::Break(Ok(response)),
            Err(refusal) => self.record_refusal(upstream, refusal),
        }
    }

    /// Returns why the call is refused, if too many upstreams were lost while
    /// they ran it.
    fn quarantined(&self) -> Option<Refusal> {
        let now = Instant::now();
        let left = lock(&self.state.crashes).refused(now, self.call.fingerprint)?;
        let refusal = match self.unknowns {
            0 => Refusal::not_run(Code::Quarantined),
            _ => Refusal::unknown(Code::Quarantined),
        };
        Some(refusal.with_retry_after(left))
    }

    /// Records a refusal and decides whether to continue.
    fn record_refusal(&mut self, upstream: &ident::Upstream, refusal: Refusal) -> Step {
        let code = refusal.code;
        let retry = match refusal.outcome {
            Outcome::NotRun => may_run_elsewhere(code),
            _ => self.call.idempotent && self.unknowns + 1 < self.state.options.retry.attempts,
        };
        if refusal.outcome != Outcome::NotRun {
            self.unknowns += 1;
            self.record_loss(upstream, code);
        }
        if refusal.outcome != Outcome::NotRun || code == Code::ConnectFailed {
            self.avoid.push(upstream.clone());
        }
        let retry = retry && (puts_no_load(code) || lock(&self.state.retry_budget).try_spend());
        self.last = merge(self.last.clone(), refusal, self.call);
        match retry {
            true => ControlFlow::Continue(code),
            false => ControlFlow::Break(Err(self.last.clone())),
        }
    }

    fn record_loss(&mut self, upstream: &ident::Upstream, code: Code) {
        let now = Instant::now();
        self.state.record_failure(now, upstream);
        if code.is_crash() {
            self.lost.push(upstream.clone());
            lock(&self.state.crashes).record(now, self.call.fingerprint, upstream);
        }
    }

    async fn try_one(
        &self,
        plan: &Plan,
        upstream: &ident::Upstream,
        round: choose::Round,
    ) -> Result<Response, Refusal> {
        match self.send(plan, upstream, round).await {
            // The view may have changed while the call was on its way.
            Err(refusal) if refusal.code == Code::NotHome => self.send(plan, upstream, round).await,
            response => response,
        }
    }

    async fn send(
        &self,
        plan: &Plan,
        upstream: &ident::Upstream,
        round: choose::Round,
    ) -> Result<Response, Refusal> {
        let target =
            target::find(self.state, plan, upstream).ok_or(Refusal::not_run(Code::NotHome))?;
        let mut rest = self.hand_over(&target, round).await?;
        match rest.next().await {
            Frame::Head(head) if framing::is_final(head.status) => Ok(Response {
                upstream: target.upstream,
                head,
                rest,
            }),
            Frame::Refused(refusal) => Err(refusal),
            _ => Err(Refusal::unknown(Code::HomeLost)),
        }
    }

    /// Hands the call to the home, on this host or another.
    async fn hand_over(
        &self,
        target: &target::Target,
        round: choose::Round,
    ) -> Result<Source, Refusal> {
        let state = self.state;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let millis = |until: Instant| {
            let left = until.saturating_duration_since(Instant::now());
            u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
        };
        let run = Run {
            exchange: state.next_exchange(),
            from: state.incarnation.clone(),
            home: target.host.clone(),
            start: target.start,
            upstream: target.upstream.clone(),
            bypass: round.bypass,
            only_warm: round.only_warm,
            wait_ms: millis(round.deadline),
            lost: self.lost.clone(),
            call: Call {
                left_ms: millis(self.deadline),
                ..self.call.clone()
            },
        };
        match target.address {
            None => {
                let (sender, receiver) = mpsc::channel(RESPONSE_FRAMES);
                let run = home::run::run(state.clone(), run, sender);
                state.tasks.spawn(run);
                Ok(Source::Local(receiver))
            }
            Some(address) => {
                let exchange = run.exchange;
                let frame = Frame::Run(Box::new(run));
                match timeout(left, state.peers.call(address, exchange, frame)).await {
                    Ok(Ok(response)) => Ok(Source::Remote(response)),
                    Ok(Err(fault)) => Err(target.refusal(&fault)),
                    Err(_) => Err(Refusal::unknown(Code::HomeLost)),
                }
            }
        }
    }
}

/// Merges two refusals: a call that may have run once may have run, whatever
/// came after.
fn merge(before: Refusal, after: Refusal, call: &Call) -> Refusal {
    match (before.outcome, after.outcome) {
        (Outcome::Unknown, Outcome::NotRun) => before,
        _ => with_retry_after(after, call),
    }
}

fn with_retry_after(refusal: Refusal, call: &Call) -> Refusal {
    let may_help = match refusal.outcome {
        Outcome::NotRun => may_run_elsewhere(refusal.code),
        _ => call.idempotent,
    };
    match refusal.retry_after_ms {
        None if may_help => refusal.with_retry_after(RETRY_AFTER),
        _ => refusal,
    }
}

/// Returns whether another upstream may take what this one refused.
fn may_run_elsewhere(code: Code) -> bool {
    matches!(
        code,
        Code::Full
            | Code::WorkspaceFull
            | Code::NotHome
            | Code::NoUpstream
            | Code::ConnectFailed
            | Code::ShuttingDown
            | Code::Version
            | Code::HomeUnreachable
    )
}

/// Returns whether the refused attempt put no load on an upstream, so that a
/// retry needs no retry budget.
fn puts_no_load(code: Code) -> bool {
    may_run_elsewhere(code) && code != Code::ConnectFailed
}
