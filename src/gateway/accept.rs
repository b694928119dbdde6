//! A caller's request becomes a job: its route, its key, its body.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::header;
use http_body_util::BodyExt;
use http_body_util::LengthLimitError;
use http_body_util::Limited;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::boot;
use crate::gateway::job;
use crate::gateway::job::Job;
use crate::gateway::state::State;
use crate::gateway::table::Route;
use crate::gateway::table::Table;
use crate::gateway::table::Workspace;
use crate::lock::lock;
use crate::log::millis;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// The deadline of a request whose caller states none.
const DEADLINE: Duration = Duration::from_secs(30);

/// When to come back while this host has no configuration or can't vouch for
/// keys: other hosts may, and the balancer finds them within two seconds.
pub const COME_BACK_ELSEWHERE: Duration = Duration::from_millis(300);

/// When to come back while no upstream is in service.
pub const COME_BACK_UPSTREAM: Duration = Duration::from_millis(1_000);

/// Checks a request and reads its body.
pub async fn accept(
    state: &Arc<State>,
    request: Request<Incoming>,
    arrived: Instant,
    id: &str,
) -> Result<Job, Refusal> {
    let names = &state.names;
    let view = state.view();
    let not_ready = || Refusal::not_run(Code::NotReady).after(COME_BACK_ELSEWHERE);
    let table = view.route_table().ok_or_else(not_ready)?;
    let host = text(request.headers(), &header::HOST).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let path = request.uri().path().to_owned();
    let key = text(request.headers(), &names.key).map(str::to_owned);
    let (route, workspace) = authorize(state, table, &host, &path, key.as_deref())?;
    let asked = text(request.headers(), &names.deadline).and_then(|it| it.trim().parse().ok());
    let asked = asked.map_or(DEADLINE, Duration::from_millis);
    let deadline = arrived + asked.min(route.timeout);
    let last_event = text(request.headers(), &names.last_event);
    let last_event = last_event.and_then(|it| it.trim().parse().ok());
    let (parts, body) = request.into_parts();
    let body = Limited::new(body, table.limits.body_bytes).collect();
    let body = match timeout_at(deadline, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) if error.is::<LengthLimitError>() => {
            return Err(Refusal::not_run(Code::BodyTooLarge));
        }
        Ok(Err(_)) => return Err(Refusal::not_run(Code::BadRequest)),
        Err(_) => return Err(Refusal::not_run(Code::BodyTooSlow)),
    };
    let nowhere = || Refusal::not_run(Code::NoUpstream).after(COME_BACK_UPSTREAM);
    let service = route.backend(state.draw()).ok_or_else(nowhere)?.clone();
    let limits = state.bounds().retries();
    lock(&state.retry_budget).record_request(arrived, &service, &limits);
    let fingerprint = job::fingerprint(workspace.as_deref(), &path, &body);
    if let Some(left) = lock(&state.strikes).refused(arrived, fingerprint) {
        info!(
            id,
            fingerprint,
            left_ms = millis(left),
            "request: crashed several upstreams"
        );
        return Err(Refusal::not_run(Code::CrashedRepeatedly).after(left));
    }
    let (prompt, shared) = job::shared_prompt(&(names.parts)(&parts.headers), &path);
    Ok(Job {
        id: id.to_owned(),
        service,
        workspace,
        key,
        host,
        method: parts.method,
        headers: job::forwardable(names, &parts.headers),
        prompt,
        segments: shared,
        uri: parts.uri,
        body,
        fingerprint,
        arrived,
        deadline,
        last_event,
        route,
    })
}

/// A route, and the workspace of the key if the route needs one.
type Authorized = (Arc<Route>, Option<Arc<Workspace>>);

/// Finds the route of a request and the workspace of its key.
///
/// What isn't in the table is refused for good only while the table is known to
/// be recent: it may have been added since.
pub fn authorize(
    state: &State,
    table: &Table,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<Authorized, Refusal> {
    let vouches = state.vouches_for_keys(boot::Instant::now());
    let stale = || Refusal::not_run(Code::KeysStale).after(COME_BACK_ELSEWHERE);
    let missing = |code| match vouches {
        true => Refusal::not_run(code),
        false => stale(),
    };
    let route = table.route(host, path);
    let route = route.ok_or_else(|| missing(Code::NoRoute))?;
    if route.is_public || !table.is_keyed {
        return Ok((route.clone(), None));
    }
    if !vouches {
        return Err(stale());
    }
    let workspace = key.and_then(|key| table.workspace(key));
    let workspace = workspace.ok_or_else(|| missing(Code::UnknownKey))?;
    Ok((route.clone(), Some(workspace.clone())))
}

/// Returns a header as text.
pub fn text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
