//! Streams of events, passed on event by event and resumed at another upstream
//! where the route allows it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::gateway::attempt;
use crate::gateway::attempt::Exchange;
use crate::gateway::attempt::History;
use crate::gateway::event::Splitter;
use crate::gateway::forward;
use crate::gateway::health::Observation;
use crate::gateway::job::Job;
use crate::gateway::selection::Lease;
use crate::gateway::state::State;
use crate::ident;
use crate::lock::lock;
use crate::log::CALM;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// The body of an answer to a caller.
pub type Payload = UnsyncBoxBody<Bytes, Cut>;

/// The pause after which a resumable stream goes on elsewhere, where its route
/// states none.
const PAUSE: Duration = Duration::from_secs(1);

/// The part of the longest pause that is waited for: the rest is for the start
/// at the next upstream.
const PATIENCE: f64 = 0.9;

/// An answer that broke off: the caller sees a connection that ends early.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("answer broke off: {0}")]
pub struct Cut(pub Code);

/// A stream under way.
struct Flow {
    state: Arc<State>,
    job: Arc<Job>,
    history: History,
    /// None only between two runs.
    answer: Option<Exchange>,
    splitter: Splitter,
    /// The last event that was passed on, or that the caller has.
    last: Option<u64>,
    /// Whether the answer is a later run that may repeat events.
    is_resumed: bool,
    events: u64,
    /// How many pauses the upstream may take before others are looked at.
    patience: u32,
    is_over: bool,
    first_after: Duration,
    longest_pause: Duration,
    passed_at: Instant,
}

/// Serves a request whose answer is a stream.
///
/// The caller's answer begins with the first event, so that one that breaks off
/// before can still be refused.
pub async fn run(state: &Arc<State>, job: Arc<Job>) -> Result<Response<Payload>, Refusal> {
    let mut history = History::default();
    let mut next = None;
    let answer = loop {
        let answer = attempt::send(state, &job, &mut history, next.take(), None).await?;
        if answer.parts.status.is_success() {
            break answer;
        }
        let upstream = answer.lease.record.upstream.id.clone();
        let (parts, body) = match forward::collect(state, &job, answer).await {
            Ok(answer) => answer,
            Err(code) => {
                attempt::handle_loss(state, &job, &mut history, &upstream, code)?;
                continue;
            }
        };
        let elsewhere = match parts.status.is_server_error() {
            true => attempt::reserve(state, &job, &history, &upstream),
            false => None,
        };
        let Some(lease) = elsewhere else {
            return Ok(forward::whole(state, &job, &history, parts, body));
        };
        info!(id = job.id, %upstream, status = parts.status.as_u16(),
            "request: failed, trying another upstream");
        history.tried.push(upstream);
        next = Some(lease);
    };
    let parts = answer.parts.clone();
    let mut flow = Flow {
        state: state.clone(),
        last: job.last_event,
        job,
        history,
        answer: Some(answer),
        splitter: Splitter::default(),
        is_resumed: false,
        events: 0,
        patience: 1,
        is_over: false,
        first_after: Duration::ZERO,
        longest_pause: Duration::ZERO,
        passed_at: Instant::now(),
    };
    let first = match flow.next().await {
        Some(Ok(first)) => first,
        Some(Err(Cut(code))) => return Err(Refusal::unknown(code)),
        None => Bytes::new(),
    };
    let rest = stream::unfold(flow, |mut flow| async move {
        let next = flow.next().await?;
        Some((next, flow))
    });
    let pieces = stream::once(async move { Ok(first) }).chain(rest);
    let frames = pieces.map(|piece| piece.map(Frame::data));
    Ok(forward::head(
        &parts,
        StreamBody::new(frames).boxed_unsync(),
    ))
}

impl Flow {
    /// Returns the next whole events; none after the end.
    async fn next(&mut self) -> Option<Result<Bytes, Cut>> {
        if self.is_over {
            return None;
        }
        loop {
            let limit = self.limit();
            let Some(answer) = &mut self.answer else {
                return Some(Err(self.cut(Code::UpstreamLost)));
            };
            let frame = timeout_at(limit, answer.body.frame()).await;
            let code = match frame {
                Ok(Some(Ok(frame))) => {
                    if let Ok(piece) = frame.into_data() {
                        self.splitter.push(&piece);
                    }
                    match self.take_events() {
                        Ok(events) if events.is_empty() => continue,
                        Ok(events) => return Some(Ok(events)),
                        Err(code) => code,
                    }
                }
                Ok(None) => return self.end(),
                Ok(Some(Err(_))) => Code::AnswerCut,
                Err(_) if Instant::now() >= self.job.deadline => {
                    return Some(Err(self.cut(Code::StreamTimeout)));
                }
                Err(_) => {
                    self.look_again();
                    if let Some(lease) = self.reserve()
                        && let Err(cut) = self.go_on(lease).await
                    {
                        return Some(Err(cut));
                    }
                    continue;
                }
            };
            if let Err(cut) = self.resume(code).await {
                return Some(Err(cut));
            }
        }
    }

    /// Returns the whole events that have arrived, without those passed on
    /// before.
    fn take_events(&mut self) -> Result<Bytes, Code> {
        let mut events = BytesMut::new();
        while let Some(event) = self.splitter.take() {
            match (event.id, self.last) {
                (Some(id), Some(last)) if id <= last && self.is_resumed => continue,
                (Some(id), Some(last)) if id != last + 1 => return Err(Code::ForeignAnswer),
                (Some(id), _) => self.last = Some(id),
                (None, _) => {}
            }
            events.extend_from_slice(&event.bytes);
            self.events += 1;
        }
        if !events.is_empty() {
            let now = Instant::now();
            match self.first_after.is_zero() {
                true => self.first_after = now.duration_since(self.job.arrived),
                false => {
                    let pause = now.duration_since(self.passed_at);
                    self.longest_pause = self.longest_pause.max(pause);
                }
            }
            self.passed_at = now;
            self.patience = 1;
        }
        Ok(events.freeze())
    }

    /// Ends a stream that the upstream completed.
    fn end(&mut self) -> Option<Result<Bytes, Cut>> {
        self.is_over = true;
        let now = Instant::now();
        let answer = self.answer.take()?;
        let id = &answer.lease.record.upstream.id;
        lock(&self.state.health).record(now, id, Observation::Answered);
        lock(&self.state.strikes).absolve(self.job.fingerprint);
        self.state.pool.put(now, answer.connection);
        self.state
            .meter
            .streamed(self.job.route.kind, self.first_after, self.longest_pause);
        info!(target: CALM, id = self.job.id, kind = %self.job.route.kind, upstream = %id,
            events = self.events, sends = self.history.sends,
            first_ms = millis(self.first_after),
            pause_ms = millis(self.longest_pause),
            after_ms = millis(self.job.arrived.elapsed()), "request: streamed");
        let rest = self.splitter.rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Waits another pause for a slow upstream before it looks elsewhere again.
    fn look_again(&mut self) {
        self.patience += 1;
    }

    /// Takes a place elsewhere while the upstream is slow, if there is one.
    fn reserve(&self) -> Option<Lease> {
        let upstream = &self.answer.as_ref()?.lease.record.upstream.id;
        attempt::reserve(&self.state, &self.job, &self.history, upstream)
    }

    /// Closes the connection to the upstream, so that no two runs go on at once, and
    /// returns which it was.
    fn leave(&mut self, code: Code) -> Result<ident::Upstream, Cut> {
        let answer = self.answer.take();
        let upstream = answer.map(|it| it.lease.record.upstream.id.clone());
        upstream.ok_or_else(|| self.cut(code))
    }

    /// Leaves a slow upstream for a place elsewhere.
    async fn go_on(&mut self, lease: Lease) -> Result<(), Cut> {
        let code = Code::StreamTimeout;
        let upstream = self.leave(code)?;
        attempt::record_move(&self.state, &self.job, &mut self.history, &upstream, code);
        self.follow(&upstream, Some(lease)).await
    }

    /// Goes on at another upstream after the last event that was passed on.
    async fn resume(&mut self, code: Code) -> Result<(), Cut> {
        let upstream = self.leave(code)?;
        let again =
            attempt::handle_loss(&self.state, &self.job, &mut self.history, &upstream, code);
        if again.is_err() {
            return Err(self.cut(code));
        }
        self.follow(&upstream, None).await
    }

    async fn follow(&mut self, upstream: &ident::Upstream, next: Option<Lease>) -> Result<(), Cut> {
        // Bytes of an event that broke off never mix with those of the next run.
        self.splitter = Splitter::default();
        self.is_resumed = true;
        self.patience = 1;
        let (state, job) = (self.state.clone(), self.job.clone());
        let answer = attempt::send(&state, &job, &mut self.history, next, self.last).await;
        match answer {
            Ok(answer) if answer.parts.status.is_success() => {
                info!(id = self.job.id, from = %upstream,
                    to = %answer.lease.record.upstream.id, last_event = self.last,
                    "request: resumed");
                self.answer = Some(answer);
                Ok(())
            }
            Ok(_) => Err(self.cut(Code::UpstreamFailed)),
            Err(refusal) => Err(self.cut(refusal.code)),
        }
    }

    fn cut(&mut self, code: Code) -> Cut {
        self.is_over = true;
        self.state.meter.lost(code);
        info!(id = self.job.id, %code, events = self.events, sends = self.history.sends,
            after_ms = millis(self.job.arrived.elapsed()), "request: broke off");
        Cut(code)
    }

    /// Returns until when the next piece must have come.
    fn limit(&self) -> Instant {
        let job = &self.job;
        let has_other = job.route.kind.is_repeatable() && self.history.runs < job.route.attempts;
        if !has_other {
            return job.deadline;
        }
        let sent = self
            .answer
            .as_ref()
            .map_or(self.passed_at, |answer| answer.sent);
        let limit = match self.events {
            0 => sent + job.route.objective * self.patience,
            _ => {
                let pause = job.route.pause.unwrap_or(PAUSE);
                // A later run reads the prompt again before it goes on.
                let from = self.passed_at.max(sent);
                let pause = match self.is_resumed && self.passed_at < sent {
                    true => job.route.objective,
                    false => pause,
                };
                from + pause.mul_f64(PATIENCE) * self.patience
            }
        };
        limit.min(job.deadline)
    }
}
