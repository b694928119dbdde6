//! Responses that are streams of server-sent events.
//!
//! Complete events are forwarded as they arrive. When an upstream is lost or slow, a
//! resumable stream continues after the last forwarded event at another upstream of the
//! version that began it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use futures_util::StreamExt;
use futures_util::stream;
use http::Response;
use http::response::Parts;
use http_body_util::BodyExt;
use http_body_util::StreamBody;
use http_body_util::combinators::UnsyncBoxBody;
use hyper::body::Frame;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::event::Splitter;
use crate::framing;
use crate::framing::Content;
use crate::gateway::attempt;
use crate::gateway::attempt::Exchange;
use crate::gateway::attempt::History;
use crate::gateway::attempt::Target;
use crate::gateway::capacity;
use crate::gateway::capacity::usual::Pace;
use crate::gateway::continuation;
use crate::gateway::crash;
use crate::gateway::forward;
use crate::gateway::health::Observation;
use crate::gateway::job::Job;
use crate::gateway::liveness;
use crate::gateway::resume;
use crate::gateway::state::State;
use crate::ident;
use crate::lock::lock;
use crate::log::ROUTINE;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// Body of a response to a caller.
pub type Payload = UnsyncBoxBody<Bytes, Truncated>;

/// Maximum gap between events of a resumable stream before it is moved to another
/// upstream, for routes that set none.
const DEFAULT_MAX_GAP: Duration = Duration::from_secs(1);

/// Fraction of the maximum gap after which another upstream is tried. The rest is left
/// for the start there.
const GAP_FRACTION: f64 = 0.9;

/// Maximum size of an event, or of comments between two of them. An upstream that fails
/// may send bytes without end.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// A response that ended early: the caller's connection is closed before the end of
/// the body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("response ended before it was complete: {0}")]
pub struct Truncated(pub Code);

/// A stream in progress.
struct Stream {
    state: Arc<State>,
    job: Arc<Job>,
    history: History,
    /// Head of the caller's response.
    head: Parts,
    /// The upstream's response; `None` only while the stream moves to another upstream.
    exchange: Option<Exchange>,
    splitter: Splitter,
    /// Fault of the current upstream that is handled once the events before it are
    /// forwarded.
    fault: Option<Code>,
    /// Number of the last event that was forwarded, or that the caller already has.
    last_event: Option<u64>,
    /// Whether the current upstream resumed the stream, so that it may repeat events.
    is_resumed: bool,
    /// Whether the current upstream has sent a numbered event of the stream.
    has_numbered_event: bool,
    /// Whether events without a number were forwarded after the last numbered one. The stream
    /// can't be resumed then: they might come again.
    has_unnumbered_tail: bool,
    /// Last event at which an upstream that resumed the stream ended it without an event.
    ended_after: Option<u64>,
    /// Factor of the time limit for the next event, raised by one each time the limit
    /// passes without another upstream to move to.
    limit_factor: u32,
    /// Whether the stream has ended, completely or early.
    is_over: bool,
    /// Time from the request's arrival to the first event; zero before it.
    first_event_after: Duration,
    longest_gap: Duration,
    /// Time that events of the current upstream take.
    pace: Pace,
    /// When the last events were forwarded.
    forwarded_at: Instant,
}

/// Serves a request whose response is a stream.
///
/// The caller's response begins with the first event, so that a stream that fails
/// before it can still be refused.
pub async fn run(state: &Arc<State>, job: Arc<Job>) -> Result<Response<Payload>, Refusal> {
    let mut history = History::new(&job, resume::version(state, &job).await?);
    let mut next = None;
    let exchange = loop {
        let exchange = attempt::send(state, &job, &mut history, next.take(), None).await?;
        if exchange.parts.status.is_success() {
            break exchange;
        }
        let upstream = exchange.record.upstream.id.clone();
        let (parts, body) = match forward::collect(state, &job, exchange).await {
            Ok(response) => response,
            Err(code) => {
                attempt::handle_loss(state, &job, &mut history, &upstream, code).await?;
                continue;
            }
        };
        let target = match forward::is_failure(parts.status) {
            true => attempt::reserve(state, &job, &history, &upstream),
            false => None,
        };
        let Some(target) = target else {
            return forward::complete_response(state, &job, &history, parts, body);
        };
        info!(id = job.id, %upstream, status = parts.status.as_u16(),
            "request: failed, trying another upstream");
        history.tried.push(upstream);
        next = Some(target);
    };
    let mut events = Stream {
        state: state.clone(),
        head: exchange.parts.clone(),
        last_event: job.last_event,
        job,
        history,
        exchange: Some(exchange),
        splitter: Splitter::default(),
        fault: None,
        is_resumed: false,
        has_numbered_event: false,
        has_unnumbered_tail: false,
        ended_after: None,
        limit_factor: 1,
        is_over: false,
        first_event_after: Duration::ZERO,
        longest_gap: Duration::ZERO,
        pace: Pace::default(),
        forwarded_at: Instant::now(),
    };
    let first = match events.next().await {
        Some(Ok(first)) => first,
        Some(Err(Truncated(code))) => return Err(Refusal::unknown(code)),
        None => Bytes::new(),
    };
    let head = events.head.clone();
    let rest = stream::unfold(events, |mut events| async move {
        let next = events.next().await?;
        if next.is_err() {
            // The error makes the server drop what it hasn't written: let it write first.
            tokio::task::yield_now().await;
        }
        Some((next, events))
    });
    let chunks = stream::once(async move { Ok(first) }).chain(rest);
    let frames = chunks.map(|chunk| chunk.map(Frame::data));
    Ok(forward::response_with_body(
        &head,
        StreamBody::new(frames).boxed_unsync(),
    ))
}

impl Stream {
    /// Returns the next complete events; `None` after the end of the stream.
    async fn next(&mut self) -> Option<Result<Bytes, Truncated>> {
        if self.is_over {
            return None;
        }
        loop {
            if let Some(code) = self.fault.take()
                && let Err(error) = self.resume(code).await
            {
                return Some(Err(error));
            }
            let limit = self.limit();
            let Some(exchange) = &mut self.exchange else {
                return Some(Err(self.fail(Code::UpstreamLost)));
            };
            let asked = Instant::now();
            let frame = timeout_at(limit, exchange.body.frame()).await;
            let waited = asked.elapsed();
            self.pace.record_wait(waited);
            let code = match frame {
                Ok(Some(Ok(frame))) => {
                    exchange.watch.record_arrival(asked + waited, waited);
                    if let Ok(chunk) = frame.into_data() {
                        self.splitter.push(&chunk);
                    }
                    match self.take_events() {
                        events if !events.is_empty() => return Some(Ok(events)),
                        _ if self.splitter.len() > MAX_EVENT_BYTES => Code::AnswerTooLarge,
                        _ => continue,
                    }
                }
                Ok(None) if self.is_whole() => match self.check_end().await {
                    Ok(()) => return self.end(),
                    Err(code) => code,
                },
                Ok(None | Some(Err(_))) => Code::AnswerCut,
                Err(_) if Instant::now() >= self.job.deadline => {
                    return Some(Err(self.fail(Code::StreamTimeout)));
                }
                Err(_) => {
                    self.extend_limit();
                    if let Some(target) = self.reserve()
                        && let Err(error) = self.move_to(target).await
                    {
                        return Some(Err(error));
                    }
                    continue;
                }
            };
            if let Err(error) = self.resume(code).await {
                return Some(Err(error));
            }
        }
    }

    /// Returns the complete events that have arrived, without those that were already
    /// forwarded. Stops and records a fault if an event is missing.
    fn take_events(&mut self) -> Bytes {
        let mut events = BytesMut::new();
        let before = self.history.events;
        while let Some(event) = self.splitter.take() {
            match (event.id, self.last_event) {
                (Some(id), Some(last)) if id <= last && self.is_resumed => {
                    self.has_numbered_event = true;
                    continue;
                }
                (Some(id), Some(last)) if id != last + 1 => {
                    self.fault = Some(Code::ForeignAnswer);
                    break;
                }
                (Some(id), _) => {
                    self.last_event = Some(id);
                    self.has_numbered_event = true;
                    self.has_unnumbered_tail = false;
                }
                (None, _) if event.is_comment() => {}
                // It may be an error message, and can't be put in order.
                (None, Some(_)) if self.is_resumed && !self.has_numbered_event => {
                    self.fault = Some(Code::ForeignAnswer);
                    break;
                }
                (None, _) => self.has_unnumbered_tail = true,
            }
            events.extend_from_slice(&event.bytes);
            self.history.events += 1;
        }
        if !events.is_empty() {
            self.record_version();
            self.record_pace(self.history.events - before);
            let now = Instant::now();
            match self.has_begun() {
                true => {
                    let gap = now.duration_since(self.forwarded_at);
                    self.longest_gap = self.longest_gap.max(gap);
                }
                false => self.first_event_after = now.duration_since(self.job.arrived),
            }
            crash::record_events(&self.state, &self.job, before, self.history.events);
            self.forwarded_at = now;
            self.limit_factor = 1;
        }
        events.freeze()
    }

    /// Returns whether an event of this response was forwarded.
    fn has_begun(&self) -> bool {
        !self.first_event_after.is_zero()
    }

    /// Records how long events of the current upstream take.
    fn record_pace(&mut self, events: u64) {
        let events = u32::try_from(events).unwrap_or(u32::MAX);
        if let Some(took) = self.pace.record_events(events)
            && let Some(exchange) = self.exchange.as_ref().filter(|it| it.lease.is_some())
        {
            let upstream = &exchange.record.upstream;
            capacity::observe(&self.state, &self.job, upstream, took);
        }
    }

    /// Binds the stream to the version of the upstream that sends its first events.
    fn record_version(&mut self) {
        if let Some(exchange) = &self.exchange
            && !self.has_begun()
        {
            let version = &exchange.record.upstream.version;
            resume::record(&self.state, &self.job, version);
            self.history.version = Some(version.clone());
        }
    }

    /// Returns whether a stream whose body has ended is complete. An upstream that fails
    /// may end the body in order, but inside an event or before the first one. One that resumes a
    /// stream may have no events left.
    fn is_whole(&self) -> bool {
        let Some(exchange) = &self.exchange else {
            return false;
        };
        let framing = exchange.framing;
        let is_whole = match Content::of(&exchange.parts.headers) {
            Some(Content::Events) | None => {
                let position = self.splitter.position();
                let has_ended = self.is_resumed && self.has_begun() && !position.is_inside_event();
                framing::ends_between_events(framing, position) || has_ended
            }
            Some(Content::Json | Content::Opaque) => true,
        };
        if !is_whole {
            let is_inside_event = self.splitter.position().is_inside_event();
            info!(id = self.job.id, %framing, events = self.history.events, is_inside_event,
                "request: body ended before the stream");
        }
        is_whole
    }

    /// Checks the end of a stream that looks complete. Fails with the code of the loss if it may be
    /// that of the upstream's process.
    async fn check_end(&mut self) -> Result<(), Code> {
        let Some(exchange) = &self.exchange else {
            return Err(Code::UpstreamLost);
        };
        if framing::may_be_cut(exchange.framing, &exchange.parts.headers, &[]) {
            let sender = liveness::Sender {
                record: &exchange.record,
                connection: &exchange.connection,
                watch: &exchange.watch,
                is_own: exchange.lease.is_some(),
            };
            let confirmed = liveness::confirm(&self.state, &self.job, &sender).await;
            let may_have_left =
                || sender.is_own && liveness::is_leaving(&self.state, sender.record);
            if confirmed.is_err() && may_have_left() {
                // One more upstream without an event left confirms it.
                self.ended_after = self.last_event;
            }
            confirmed?;
        }
        match self.is_end_confirmed() {
            true => Ok(()),
            false => Err(Code::ForeignAnswer),
        }
    }

    /// Returns whether the end of the stream can be believed. An upstream that resumes it and sends
    /// no event may have failed, unless a second one does the same.
    fn is_end_confirmed(&mut self) -> bool {
        let is_empty = self.is_resumed && self.has_begun() && !self.has_numbered_event;
        match self.last_event {
            Some(last) if is_empty => self.ended_after.replace(last) == Some(last),
            Some(_) | None => true,
        }
    }

    /// Records the end of a stream that the upstream completed, and returns the bytes
    /// after its last event.
    fn end(&mut self) -> Option<Result<Bytes, Truncated>> {
        self.is_over = true;
        let now = Instant::now();
        let exchange = self.exchange.take()?;
        let id = &exchange.record.upstream.id;
        if exchange.lease.is_some() {
            lock(&self.state.health).record(now, id, Observation::Answered);
        }
        lock(&self.state.crashes).clear(now, self.job.fingerprint);
        crash::record_answer(&self.state, &self.job);
        let slots = exchange.record.upstream.slots;
        self.state.release_connection(exchange.connection, slots);
        self.state.meter.streamed(
            self.job.route.kind,
            self.first_event_after,
            self.longest_gap,
        );
        let framing = self.history.framing.map(tracing::field::display);
        info!(target: ROUTINE, id = self.job.id, kind = %self.job.route.kind, upstream = %id,
            framing, events = self.history.events, sends = self.history.sends,
            first_ms = millis(self.first_event_after),
            pause_ms = millis(self.longest_gap),
            after_ms = millis(self.job.arrived.elapsed()), "request: streamed");
        let rest = self.splitter.rest();
        (!rest.is_empty()).then_some(Ok(rest))
    }

    /// Extends the time limit of a slow upstream by one more maximum gap.
    fn extend_limit(&mut self) {
        self.limit_factor += 1;
    }

    /// Reserves another target while the current upstream is slow, if the request may be
    /// moved.
    fn reserve(&self) -> Option<Target> {
        let upstream = &self.exchange.as_ref()?.record.upstream.id;
        match self.has_unnumbered_tail {
            true => None,
            false => attempt::reserve(&self.state, &self.job, &self.history, upstream),
        }
    }

    /// Closes the connection to the current upstream, so that the request doesn't run
    /// at two upstreams at once, and returns that upstream.
    fn disconnect(&mut self, code: Code) -> Result<ident::Upstream, Truncated> {
        let exchange = self.exchange.take();
        let upstream = exchange.map(|it| it.record.upstream.id.clone());
        upstream.ok_or_else(|| self.fail(code))
    }

    /// Moves the stream from a slow upstream to a reserved target.
    async fn move_to(&mut self, target: Target) -> Result<(), Truncated> {
        let code = Code::StreamTimeout;
        let upstream = self.disconnect(code)?;
        attempt::record_move(&self.state, &self.job, &mut self.history, &upstream, code);
        self.restart(&upstream, Some(target)).await
    }

    /// Resumes the stream at another upstream after the current one was lost. Fails if
    /// the request may not be sent again.
    async fn resume(&mut self, code: Code) -> Result<(), Truncated> {
        let upstream = self.disconnect(code)?;
        let retry =
            attempt::handle_loss(&self.state, &self.job, &mut self.history, &upstream, code).await;
        if retry.is_err() || self.has_unnumbered_tail {
            return Err(self.fail(code));
        }
        self.restart(&upstream, None).await
    }

    /// Sends the request again, to continue after the last forwarded event, until a response can
    /// continue the stream. `next` is a target that is already reserved.
    async fn restart(
        &mut self,
        upstream: &ident::Upstream,
        mut next: Option<Target>,
    ) -> Result<(), Truncated> {
        // Drops the bytes of an incomplete event of the previous upstream.
        self.splitter = Splitter::default();
        self.pace = Pace::default();
        self.is_resumed = true;
        self.has_numbered_event = false;
        self.limit_factor = 1;
        let (state, job) = (self.state.clone(), self.job.clone());
        loop {
            let exchange = attempt::send(
                &state,
                &job,
                &mut self.history,
                next.take(),
                self.last_event,
            )
            .await;
            let exchange = match exchange {
                Ok(exchange) if self.can_continue_with(&exchange.parts) => exchange,
                Ok(exchange) => {
                    self.leave(exchange)?;
                    continue;
                }
                Err(refusal) => return Err(self.fail(refusal.code)),
            };
            info!(id = self.job.id, from = %upstream,
                to = %exchange.record.upstream.id, last_event = self.last_event,
                "request: resumed");
            if !self.has_begun() {
                // Nothing of the previous response was forwarded.
                self.head = exchange.parts.clone();
            }
            self.exchange = Some(exchange);
            return Ok(());
        }
    }

    /// Returns whether the body of a response can follow what was forwarded.
    fn can_continue_with(&self, response: &Parts) -> bool {
        match self.has_begun() {
            true => continuation::fits(&self.head, response),
            false => response.status.is_success(),
        }
    }

    /// Leaves an upstream whose response can't continue the stream. Fails if the request may not be
    /// sent again.
    fn leave(&mut self, exchange: Exchange) -> Result<(), Truncated> {
        let status = exchange.parts.status;
        let upstream = exchange.record.upstream.id.clone();
        info!(id = self.job.id, %upstream, status = status.as_u16(), events = self.history.events,
            "request: response can't continue the stream");
        let observation = match status {
            _ if exchange.lease.is_none() => None,
            _ if forward::is_failure(status) => Some(Observation::Failed),
            _ if status.is_client_error() => None,
            _ => Some(Observation::Lost),
        };
        if let Some(observation) = observation {
            attempt::record_observation(&self.state, &upstream, observation);
        }
        match self.history.host {
            Some(host) => self.history.tried_hosts.push(host),
            None => self.history.tried.push(upstream),
        }
        let code = Code::UpstreamFailed;
        attempt::check_repeat(&self.state, &self.job, &self.history, code)
            .map_err(|_| self.fail(code))
    }

    /// Records that the stream ends early, and returns the error for the caller's
    /// connection.
    fn fail(&mut self, code: Code) -> Truncated {
        self.is_over = true;
        self.state.meter.lost(code);
        info!(id = self.job.id, %code, events = self.history.events, sends = self.history.sends,
            after_ms = millis(self.job.arrived.elapsed()), "request: stream failed");
        Truncated(code)
    }

    /// Returns the time by which the next bytes must arrive. Another upstream is tried
    /// after it, unless it is the deadline.
    fn limit(&self) -> Instant {
        let job = &self.job;
        // The host that a request was handed to moves it by itself.
        let may_move = self.history.may_run_again(job) && self.history.host.is_none();
        if !may_move {
            return job.deadline;
        }
        let sent = self
            .exchange
            .as_ref()
            .map_or(self.forwarded_at, |exchange| exchange.sent);
        let limit = match self.history.events {
            0 => sent + job.route.objective * self.limit_factor,
            _ => {
                let gap = job.route.max_event_gap.unwrap_or(DEFAULT_MAX_GAP);
                // An upstream that resumes a stream prefills the prompt again before it continues.
                let from = self.forwarded_at.max(sent);
                let gap = match self.is_resumed && self.forwarded_at < sent {
                    true => job.route.objective,
                    false => gap,
                };
                from + gap.mul_f64(GAP_FRACTION) * self.limit_factor
            }
        };
        limit.min(job.deadline)
    }
}
