//! Answers the requests of callers: limits, classification, and the HTTP
//! response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::Stream;
use poem::Body;
use poem::Request;
use poem::Response;
use serde_json::json;
use tokio::sync::OwnedSemaphorePermit;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::task::task_tracker::TaskTrackerToken;

use crate::entry::at_most_once;
use crate::entry::attempt;
use crate::entry::classify;
use crate::entry::classify::Route;
use crate::entry::grant;
use crate::entry::header;
use crate::entry::problem;
use crate::entry::source::Source;
use crate::entry::timer::Timer;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::peer::frame::Call;
use crate::peer::frame::Frame;
use crate::plan::Plan;
use crate::state::State;
use crate::token;

/// The retry hint of a host that has too many requests in progress or is not
/// ready.
const RETRY_AFTER: Duration = Duration::from_millis(500);

/// What a request holds while it is in progress: its permit under the limit on
/// callers, and a token that a shutdown waits for.
struct Slot {
    _permit: OwnedSemaphorePermit,
    _task: TaskTrackerToken,
}

/// Answers one request of a caller.
pub async fn handle(state: Arc<State>, request: Request) -> Response {
    let task = state.tasks.token();
    let busy = || Refusal::not_run(Code::TooManyRequests).with_retry_after(RETRY_AFTER);
    let Ok(permit) = state.request_permits.clone().try_acquire_owned() else {
        return problem::response(&busy());
    };
    let slot = Slot {
        _permit: permit,
        _task: task,
    };
    let mut response = match answer(&state, request, slot).await {
        Ok(response) => response,
        Err(refusal) => {
            lock(&state.meter).record_refusal(refusal.code);
            tracing::debug!(%refusal, "entry: request refused");
            problem::response(&refusal)
        }
    };
    if state.draining.is_cancelled() {
        // Makes the caller reconnect, to a host that stays up.
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

async fn answer(state: &Arc<State>, mut request: Request, slot: Slot) -> Result<Response, Refusal> {
    let arrived = Instant::now();
    let deadline = arrived + state.options.caller.request_timeout;
    let limits = &state.options.caller;
    if header::size(request.headers()) > limits.header_bytes {
        return Err(Refusal::not_run(Code::HeadersTooLarge));
    }
    let body = read_body(state, request.take_body()).await?;
    let plan = state.plan();
    if !plan.is_ready() {
        return Err(Refusal::not_run(Code::NotReady).with_retry_after(RETRY_AFTER));
    }
    let route = classify::classify(
        &plan.register,
        request.method(),
        request.uri(),
        request.headers(),
        &body,
    )?;
    match route {
        Route::Models => Ok(models(&plan)),
        Route::Token(workspace) => grant::issue(state, &workspace),
        Route::Call(call) => {
            let timer = Timer::new(state, &call, arrived);
            match call.idempotent {
                true => stream(state, &call, deadline, timer, slot).await,
                false => Ok(answer_with_token(state, &request, &call, deadline, timer).await),
            }
        }
    }
}

async fn read_body(state: &State, body: Body) -> Result<Bytes, Refusal> {
    let limits = &state.options.caller;
    let read = body.into_bytes_limit(limits.body_bytes);
    match timeout(limits.body_timeout, read).await {
        Ok(Ok(bytes)) => Ok(bytes),
        Ok(Err(poem::error::ReadBodyError::PayloadTooLarge)) => {
            Err(Refusal::not_run(Code::BodyTooLarge))
        }
        Ok(Err(_)) => Err(Refusal::not_run(Code::BadRequest)),
        Err(_) => Err(Refusal::not_run(Code::BodyTooSlow)),
    }
}

fn models(plan: &Plan) -> Response {
    let list: Vec<_> = plan
        .register
        .models
        .iter()
        .map(|model| json!({"id": model, "object": "model", "owned_by": "masticmoor"}))
        .collect();
    Response::builder()
        .header(header::OUTCOME, <&str>::from(Outcome::Answered))
        .content_type("application/json")
        .body(json!({"object": "list", "data": list}).to_string())
}

/// Streams the response to an idempotent call.
async fn stream(
    state: &Arc<State>,
    call: &Call,
    deadline: Instant,
    timer: Timer,
    slot: Slot,
) -> Result<Response, Refusal> {
    let upstream_response = attempt::run(state, call, deadline).await?;
    timer.record_wait(Duration::from_micros(upstream_response.head.waited_us));
    let mut response = Response::builder()
        .status(status(upstream_response.head.status))
        .header(header::OUTCOME, <&str>::from(Outcome::Answered))
        .finish();
    header::restore(&upstream_response.head.headers, response.headers_mut());
    let events = is_event_stream(&response);
    response.set_body(Body::from_bytes_stream(body_stream(
        upstream_response.rest,
        events,
        timer,
        slot,
    )));
    Ok(response)
}

/// Answers a non-idempotent call and issues the caller's next token.
async fn answer_with_token(
    state: &Arc<State>,
    request: &Request,
    call: &Call,
    deadline: Instant,
    mut timer: Timer,
) -> Response {
    let result = match request.header(header::IDEMPOTENCY_KEY) {
        Some(token) => at_most_once::run(state, call, token, deadline).await,
        None => match grant::charge_quota(state, &call.workspace) {
            Ok(()) => Err(Refusal::not_run(Code::TokenRequired)),
            Err(refusal) => return problem::response(&refusal),
        },
    };
    match result {
        Ok(stored) => {
            timer.record_chunk();
            timer.record_end();
            grant::attach(state, stored_response(&stored))
        }
        Err(refusal) => {
            timer.record_refusal(&refusal);
            let response = problem::response(&refusal);
            // After other refusals, a new token would invite a second run.
            match token::allows_new_token(&refusal) {
                true => grant::attach(state, response),
                false => response,
            }
        }
    }
}

fn stored_response(stored: &token::Response) -> Response {
    let mut response = Response::builder()
        .status(stored.status)
        .header(header::OUTCOME, <&str>::from(Outcome::Answered))
        .body(stored.body.clone());
    response.headers_mut().extend(
        stored
            .headers
            .iter()
            .map(|(name, value)| (name.clone(), value.clone())),
    );
    response
}

fn status(code: u16) -> http::StatusCode {
    http::StatusCode::from_u16(code).unwrap_or(http::StatusCode::BAD_GATEWAY)
}

fn is_event_stream(response: &Response) -> bool {
    response
        .content_type()
        .is_some_and(|kind| kind.starts_with("text/event-stream"))
}

/// A truncated response. The caller's connection is closed without the end
/// marker of the body.
#[derive(Debug, thiserror::Error)]
#[error("response truncated: {0}")]
struct Truncated(Refusal);

/// The state of a response body.
enum Stage {
    Open(Source),
    Truncated(Refusal),
    Ended,
}

/// Streams the body of a response. A truncated body ends with an error, which
/// an event stream reports in an event first.
fn body_stream(
    rest: Source,
    events: bool,
    timer: Timer,
    slot: Slot,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let first = (Stage::Open(rest), (timer, slot));
    futures_util::stream::unfold(first, move |(stage, mut context)| async move {
        let timer = &mut context.0;
        match stage {
            Stage::Open(mut rest) => match rest.next().await {
                Frame::Data(bytes) => {
                    timer.record_chunk();
                    Some((Ok(bytes), (Stage::Open(rest), context)))
                }
                Frame::End => {
                    timer.record_end();
                    None
                }
                Frame::Refused(refusal) if events => {
                    timer.record_refusal(&refusal);
                    Some((
                        Ok(error_event(&refusal)),
                        (Stage::Truncated(refusal), context),
                    ))
                }
                Frame::Refused(refusal) => {
                    timer.record_refusal(&refusal);
                    Some((Err(truncation(refusal)), (Stage::Ended, context)))
                }
                _ => {
                    let refusal = Refusal::unknown(Code::AnswerCut);
                    timer.record_refusal(&refusal);
                    Some((Err(truncation(refusal)), (Stage::Ended, context)))
                }
            },
            Stage::Truncated(refusal) => {
                // The event is sent while this yields; the error drops what is
                // still unsent.
                tokio::task::yield_now().await;
                Some((Err(truncation(refusal)), (Stage::Ended, context)))
            }
            Stage::Ended => None,
        }
    })
}

fn truncation(refusal: Refusal) -> std::io::Error {
    std::io::Error::other(Truncated(refusal))
}

fn error_event(refusal: &Refusal) -> Bytes {
    let problem = problem::Problem::new(refusal).body();
    let mut event = b"\n\nevent: error\ndata: ".to_vec();
    event.extend_from_slice(&problem);
    event.extend_from_slice(b"\n\n");
    event.into()
}

/// Returns whether a load balancer may send requests here.
pub fn is_ready(state: &State) -> bool {
    state.plan().is_ready()
        && !state.draining.is_cancelled()
        && lock(&state.view).admits(Instant::now())
}
