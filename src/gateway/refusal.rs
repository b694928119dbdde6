//! Converts a refusal to the HTTP response that a caller receives.

use http::HeaderName;
use http::HeaderValue;
use http::Response;
use http::StatusCode;
use http::header;
use http_body_util::BodyExt;
use http_body_util::Full;

use crate::entry::problem::CONTENT_TYPE;
use crate::entry::problem::Problem;
use crate::gateway::stream::Payload;
use crate::outcome::Outcome;
use crate::outcome::Refusal;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Returns whether callers take a status for the promise that the request has not run and won't, so
/// that they may send it again whatever it does.
pub fn promises_not_run(status: StatusCode) -> bool {
    matches!(
        status,
        StatusCode::REQUEST_TIMEOUT
            | StatusCode::MISDIRECTED_REQUEST
            | StatusCode::TOO_MANY_REQUESTS
            | StatusCode::SERVICE_UNAVAILABLE
    )
}

/// Returns the status of the response to a request that was refused. One that promises that nothing
/// ran is left to requests of which that is known.
pub fn status(refusal: &Refusal) -> StatusCode {
    let status = refusal.code.status();
    match refusal.outcome {
        Outcome::Unknown | Outcome::Answered if promises_not_run(status) => StatusCode::BAD_GATEWAY,
        Outcome::Unknown | Outcome::Answered | Outcome::NotRun => status,
    }
}

/// Returns the response to a request that was refused.
///
/// `attempt` is the header that identifies the caller's attempt, which is echoed.
/// `Retry-After` is in seconds with two decimals.
pub fn response(refusal: &Refusal, attempt: Option<(&HeaderName, &str)>) -> Response<Payload> {
    let status = status(refusal);
    let problem = Problem {
        status: status.as_u16(),
        ..Problem::new(refusal)
    };
    let body = Full::from(problem.body()).map_err(|never| match never {});
    let mut response = Response::new(Payload::new(body));
    *response.status_mut() = status;
    let headers = response.headers_mut();
    headers.insert(header::CONTENT_TYPE, HeaderValue::from_static(CONTENT_TYPE));
    if let Some(wait_ms) = refusal.retry_after_ms {
        let seconds = format!("{:.2}", wait_ms as f64 / MILLIS_PER_SECOND);
        if let Ok(value) = HeaderValue::try_from(seconds) {
            headers.insert(header::RETRY_AFTER, value);
        }
    }
    if let Some((name, id)) = attempt
        && let Ok(value) = HeaderValue::try_from(id)
    {
        headers.insert(name.clone(), value);
    }
    response
}
