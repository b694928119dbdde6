//! Tries upstreams in turn until one answers.

mod candidates;
mod place;

use std::ops::ControlFlow;
use std::sync::Arc;
use std::time::Duration;

use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::entry::source::Source;
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

/// When to come back if nothing serves the request for now.
const COME_BACK: Duration = Duration::from_secs(1);

/// How long hosts are given to agree on who is home before the next try.
const SETTLE_PAUSE: Duration = Duration::from_millis(100);

/// A shorter prompt is read anew sooner than warm places are asked, in bytes.
const WARM_PROMPT_BYTES: usize = 4_096;

/// An answer that has begun.
#[derive(Debug)]
pub struct Begun {
    /// The upstream that answers.
    pub upstream: ident::Upstream,
    /// The head of the answer.
    pub head: Head,
    /// The rest.
    pub rest: Source,
}

/// Runs a call on the best upstream that takes it.
pub async fn run(state: &Arc<State>, call: &Call, deadline: Instant) -> Result<Begun, Refusal> {
    lock(&state.retry_budget).fresh();
    let mut trial = Trial {
        state,
        call,
        key: rank::key(&call.workspace, &call.chat),
        deadline,
        last: Refusal::not_run(Code::NoUpstream).after(COME_BACK),
        unknowns: 0,
        lost: Vec::new(),
        avoid: Vec::new(),
        is_last: false,
    };
    let settled = deadline.min(Instant::now() + state.options.queue.wait);
    loop {
        let avoided = trial.avoid.len();
        match trial.round().await {
            ControlFlow::Break(ended) => return ended,
            // One failed that the call waited for: there may be others.
            ControlFlow::Continue(_) if trial.avoid.len() > avoided => {}
            ControlFlow::Continue(code) if is_unsettled(code) && Instant::now() < settled => {
                sleep(SETTLE_PAUSE).await;
            }
            ControlFlow::Continue(_) => return Err(trial.last),
        }
    }
}

/// Tells whether hosts disagree for the moment on who is home.
fn is_unsettled(code: Code) -> bool {
    matches!(code, Code::NotHome | Code::HomeUnreachable)
}

/// The attempts at one call so far.
struct Trial<'a> {
    state: &'a Arc<State>,
    call: &'a Call,
    key: u64,
    deadline: Instant,
    last: Refusal,
    unknowns: u32,
    /// The upstreams that were lost while they ran the call.
    lost: Vec<ident::Upstream>,
    /// The upstreams that failed the call in any way.
    avoid: Vec<ident::Upstream>,
    /// Whether all failed and one had its last try.
    is_last: bool,
}

/// The end of a call, or why to go on.
type Step = ControlFlow<Result<Begun, Refusal>, Code>;

impl Trial<'_> {
    /// Tries upstreams in the rounds that the policy gives.
    async fn round(&mut self) -> Step {
        let plan = self.state.plan();
        let chosen = candidates::choose(self.state, &plan, self.call, self.key);
        let sound = |upstream: &&ident::Upstream| !self.avoid.contains(upstream);
        let open: Vec<_> = chosen.iter().filter(sound).collect();
        let mut code = Code::NoUpstream;
        for pass in self.passes(open.len()) {
            for upstream in &open {
                if !self.avoid.contains(upstream) {
                    code = self.attempt(&plan, upstream, pass).await?;
                }
            }
        }
        let all_failed = open.iter().all(|upstream| self.avoid.contains(upstream));
        match chosen.first() {
            // When all failed, the best gets one more try.
            Some(best) if all_failed && !self.is_last => {
                self.is_last = true;
                let pass = choose::Pass::last(self.deadline);
                self.attempt(&plan, best, pass).await
            }
            _ => ControlFlow::Continue(code),
        }
    }

    /// Returns the rounds to ask in; with one upstream there is nothing to
    /// choose.
    fn passes(&self, upstreams: usize) -> Vec<choose::Pass> {
        let is_long = self.call.body.len() >= WARM_PROMPT_BYTES;
        let prompt = match self.call.pool {
            Pool::Model(_) if is_long => Some(self.call.body.len() as u64),
            _ => None,
        };
        let limits = choose::Limits::default();
        match upstreams {
            0 | 1 => vec![choose::Pass::last(self.deadline)],
            _ => choose::passes(limits, Instant::now(), self.deadline, prompt).collect(),
        }
    }

    async fn attempt(
        &mut self,
        plan: &Plan,
        upstream: &ident::Upstream,
        pass: choose::Pass,
    ) -> Step {
        if Instant::now() >= self.deadline {
            return ControlFlow::Break(Err(self.last.clone()));
        }
        if let Some(refusal) = self.quarantined() {
            return ControlFlow::Break(Err(refusal));
        }
        match self.try_one(plan, upstream, pass).await {
            Ok(begun) => ControlFlow::Break(Ok(begun)),
            Err(refusal) => self.refused(upstream, refusal),
        }
    }

    /// Returns why the call is refused, if it lost too many upstreams.
    fn quarantined(&self) -> Option<Refusal> {
        let now = Instant::now();
        let left = lock(&self.state.crashes).refused(now, self.call.fingerprint)?;
        let refusal = match self.unknowns {
            0 => Refusal::not_run(Code::Quarantined),
            _ => Refusal::unknown(Code::Quarantined),
        };
        Some(refusal.after(left))
    }

    /// Notes a refusal and decides whether to go on.
    fn refused(&mut self, upstream: &ident::Upstream, refusal: Refusal) -> Step {
        let code = refusal.code;
        let again = match refusal.outcome {
            Outcome::NotRun => is_elsewhere(code),
            _ => self.call.idempotent && self.unknowns + 1 < self.state.options.retry.attempts,
        };
        if refusal.outcome != Outcome::NotRun {
            self.unknowns += 1;
            self.note_lost(upstream, code);
        }
        if refusal.outcome != Outcome::NotRun || code == Code::ConnectFailed {
            self.avoid.push(upstream.clone());
        }
        let again = again && (is_cheap(code) || lock(&self.state.retry_budget).spend());
        self.last = settle(self.last.clone(), refusal, self.call);
        match again {
            true => ControlFlow::Continue(code),
            false => ControlFlow::Break(Err(self.last.clone())),
        }
    }

    fn note_lost(&mut self, upstream: &ident::Upstream, code: Code) {
        let now = Instant::now();
        self.state.record_failure(now, upstream);
        if code.is_loss() {
            self.lost.push(upstream.clone());
            lock(&self.state.crashes).record(now, self.call.fingerprint, upstream);
        }
    }

    async fn try_one(
        &self,
        plan: &Plan,
        upstream: &ident::Upstream,
        pass: choose::Pass,
    ) -> Result<Begun, Refusal> {
        match self.send(plan, upstream, pass).await {
            // The view may have moved on while the call travelled.
            Err(refusal) if refusal.code == Code::NotHome => self.send(plan, upstream, pass).await,
            begun => begun,
        }
    }

    async fn send(
        &self,
        plan: &Plan,
        upstream: &ident::Upstream,
        pass: choose::Pass,
    ) -> Result<Begun, Refusal> {
        let place =
            place::find(self.state, plan, upstream).ok_or(Refusal::not_run(Code::NotHome))?;
        let mut rest = self.hand_over(&place, pass).await?;
        match rest.next().await {
            Frame::Head(head) => Ok(Begun {
                upstream: place.upstream,
                head,
                rest,
            }),
            Frame::Refused(refusal) => Err(refusal),
            _ => Err(Refusal::unknown(Code::HomeLost)),
        }
    }

    /// Hands the call to its home, here or on another host.
    async fn hand_over(&self, place: &place::Place, pass: choose::Pass) -> Result<Source, Refusal> {
        let state = self.state;
        let left = self.deadline.saturating_duration_since(Instant::now());
        let millis = |until: Instant| {
            let left = until.saturating_duration_since(Instant::now());
            u64::try_from(left.as_millis()).unwrap_or(u64::MAX)
        };
        let run = Run {
            exchange: state.next_exchange(),
            from: state.incarnation.clone(),
            home: place.host.clone(),
            start: place.start,
            upstream: place.upstream.clone(),
            bypass: pass.bypass,
            only_warm: pass.only_warm,
            wait_ms: millis(pass.deadline),
            lost: self.lost.clone(),
            call: Call {
                left_ms: millis(self.deadline),
                ..self.call.clone()
            },
        };
        match place.address {
            None => {
                let (sender, receiver) = mpsc::channel(RESPONSE_FRAMES);
                let run = home::run::run(state.clone(), run, sender);
                state.tasks.spawn(run);
                Ok(Source::Local(receiver))
            }
            Some(address) => {
                let exchange = run.exchange;
                let frame = Frame::Run(Box::new(run));
                match timeout(left, state.links.call(address, exchange, frame)).await {
                    Ok(Ok(answer)) => Ok(Source::Remote(answer)),
                    Ok(Err(fault)) => Err(place.unreached(&fault)),
                    Err(_) => Err(Refusal::unknown(Code::HomeLost)),
                }
            }
        }
    }
}

/// Of two refusals, returns the one that tells the whole truth: a call that
/// may have run once may have run, whatever came after.
fn settle(before: Refusal, after: Refusal, call: &Call) -> Refusal {
    match (before.outcome, after.outcome) {
        (Outcome::Unknown, Outcome::NotRun) => before,
        _ => come_back(after, call),
    }
}

fn come_back(refusal: Refusal, call: &Call) -> Refusal {
    let helps = match refusal.outcome {
        Outcome::NotRun => is_elsewhere(refusal.code),
        _ => call.idempotent,
    };
    match refusal.retry_after_ms {
        None if helps => refusal.after(COME_BACK),
        _ => refusal,
    }
}

/// Tells whether another upstream may take what this one didn't.
fn is_elsewhere(code: Code) -> bool {
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

/// Tells whether trying elsewhere puts no load on an upstream.
fn is_cheap(code: Code) -> bool {
    is_elsewhere(code) && code != Code::ConnectFailed
}
