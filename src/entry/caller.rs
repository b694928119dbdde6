//! The listener for callers.

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

use crate::entry::attempt;
use crate::entry::classify;
use crate::entry::classify::Route;
use crate::entry::clock::Clock;
use crate::entry::grant;
use crate::entry::guard;
use crate::entry::header;
use crate::entry::problem;
use crate::entry::source::Source;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::peer::frame::Call;
use crate::peer::frame::Frame;
use crate::plan::Plan;
use crate::state::State;
use crate::token;

/// When to come back to a host that has too much under way or is not ready.
const COME_BACK: Duration = Duration::from_millis(500);

/// What a request holds while it is under way: its place among the callers,
/// and its place among what a shutdown waits for.
struct Held {
    _place: OwnedSemaphorePermit,
    _task: TaskTrackerToken,
}

/// Answers one request of a caller.
pub async fn handle(state: Arc<State>, request: Request) -> Response {
    let task = state.tasks.token();
    let busy = || Refusal::not_run(Code::TooManyRequests).after(COME_BACK);
    let Ok(place) = state.request_permits.clone().try_acquire_owned() else {
        return problem::response(&busy());
    };
    let held = Held {
        _place: place,
        _task: task,
    };
    let mut response = match answer(&state, request, held).await {
        Ok(response) => response,
        Err(refusal) => {
            lock(&state.meter).refuse(refusal.code);
            tracing::debug!(%refusal, "entry: request refused");
            problem::response(&refusal)
        }
    };
    if state.draining.is_cancelled() {
        // The next request finds a host that stays.
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    response
}

async fn answer(state: &Arc<State>, mut request: Request, held: Held) -> Result<Response, Refusal> {
    let arrived = Instant::now();
    let deadline = arrived + state.options.caller.request_timeout;
    let limits = &state.options.caller;
    if header::size(request.headers()) > limits.header_bytes {
        return Err(Refusal::not_run(Code::HeadersTooLarge));
    }
    let body = body(state, request.take_body()).await?;
    let plan = state.plan();
    if !plan.is_ready() {
        return Err(Refusal::not_run(Code::NotReady).after(COME_BACK));
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
        Route::Token(workspace) => grant::fresh(state, &workspace),
        Route::Call(call) => {
            let clock = Clock::new(state, &call, arrived);
            match call.idempotent {
                true => stream(state, &call, deadline, clock, held).await,
                false => Ok(guarded(state, &request, &call, deadline, clock).await),
            }
        }
    }
}

async fn body(state: &State, body: Body) -> Result<Bytes, Refusal> {
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

/// Answers an idempotent call as its answer comes.
async fn stream(
    state: &Arc<State>,
    call: &Call,
    deadline: Instant,
    clock: Clock,
    held: Held,
) -> Result<Response, Refusal> {
    let begun = attempt::run(state, call, deadline).await?;
    clock.dispatched(Duration::from_micros(begun.head.waited_us));
    let mut response = Response::builder()
        .status(status(begun.head.status))
        .header(header::OUTCOME, <&str>::from(Outcome::Answered))
        .finish();
    header::put_back(&begun.head.headers, response.headers_mut());
    let events = is_event_stream(&response);
    response.set_body(Body::from_bytes_stream(pieces(
        begun.rest, events, clock, held,
    )));
    Ok(response)
}

/// Answers a non-idempotent call, and gives the caller its next token.
async fn guarded(
    state: &Arc<State>,
    request: &Request,
    call: &Call,
    deadline: Instant,
    mut clock: Clock,
) -> Response {
    let ended = match request.header(header::IDEMPOTENCY_KEY) {
        Some(token) => guard::run(state, call, token, deadline).await,
        None => match grant::count(state, &call.workspace) {
            Ok(()) => Err(Refusal::not_run(Code::TokenRequired)),
            Err(refusal) => return problem::response(&refusal),
        },
    };
    match ended {
        Ok(kept) => {
            clock.piece();
            clock.end();
            grant::with(state, replay(&kept))
        }
        Err(refusal) => {
            clock.cut(&refusal);
            let response = problem::response(&refusal);
            // Elsewhere a new token would invite a second run.
            match token::allows_new_token(&refusal) {
                true => grant::with(state, response),
                false => response,
            }
        }
    }
}

fn replay(kept: &token::Response) -> Response {
    let mut response = Response::builder()
        .status(kept.status)
        .header(header::OUTCOME, <&str>::from(Outcome::Answered))
        .body(kept.body.clone());
    response.headers_mut().extend(
        kept.headers
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

/// An answer that broke off. The caller's connection is closed without the
/// end mark of the body.
#[derive(Debug, thiserror::Error)]
#[error("answer cut: {0}")]
struct Cut(Refusal);

/// Where the body of an answer stands.
enum Stage {
    Open(Source),
    Cut(Refusal),
    Ended,
}

/// Passes the pieces of an answer on. A cut ends with an error, which an
/// event stream tells in an event first.
fn pieces(
    rest: Source,
    events: bool,
    clock: Clock,
    held: Held,
) -> impl Stream<Item = Result<Bytes, std::io::Error>> {
    let first = (Stage::Open(rest), (clock, held));
    futures_util::stream::unfold(first, move |(stage, mut held)| async move {
        let clock = &mut held.0;
        match stage {
            Stage::Open(mut rest) => match rest.next().await {
                Frame::Data(bytes) => {
                    clock.piece();
                    Some((Ok(bytes), (Stage::Open(rest), held)))
                }
                Frame::End => {
                    clock.end();
                    None
                }
                Frame::Refused(refusal) if events => {
                    clock.cut(&refusal);
                    Some((Ok(error_event(&refusal)), (Stage::Cut(refusal), held)))
                }
                Frame::Refused(refusal) => {
                    clock.cut(&refusal);
                    Some((Err(cut(refusal)), (Stage::Ended, held)))
                }
                _ => {
                    let refusal = Refusal::unknown(Code::AnswerCut);
                    clock.cut(&refusal);
                    Some((Err(cut(refusal)), (Stage::Ended, held)))
                }
            },
            Stage::Cut(refusal) => {
                // The event is sent while this waits; an error drops what is not.
                tokio::task::yield_now().await;
                Some((Err(cut(refusal)), (Stage::Ended, held)))
            }
            Stage::Ended => None,
        }
    })
}

fn cut(refusal: Refusal) -> std::io::Error {
    std::io::Error::other(Cut(refusal))
}

fn error_event(refusal: &Refusal) -> Bytes {
    let problem = problem::Problem::new(refusal).body();
    let mut event = b"\n\nevent: error\ndata: ".to_vec();
    event.extend_from_slice(&problem);
    event.extend_from_slice(b"\n\n");
    event.into()
}

/// Tells whether a balancer may send requests here.
pub fn is_ready(state: &State) -> bool {
    state.plan().is_ready()
        && !state.draining.is_cancelled()
        && lock(&state.view).admits(Instant::now())
}
