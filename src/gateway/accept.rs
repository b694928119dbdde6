//! Validation of callers' requests.
//!
//! Finds the route, authorizes the key, reads the body within the limits and builds
//! the [`Job`] that is sent to upstreams.

use std::sync::Arc;
use std::time::Duration;

use http::HeaderMap;
use http::Request;
use http::header;
use http::request::Parts;
use hyper::body::Body;
use hyper::body::Incoming;
use tokio::time::Instant;
use tracing::info;

use crate::boot;
use crate::gateway::attempt::History;
use crate::gateway::crash;
use crate::gateway::handoff::Handoff;
use crate::gateway::intake::read;
use crate::gateway::intake::read::Received;
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

/// Time limit of a request without a deadline header.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(30);

/// Time after which to retry while this host has no configuration or only an outdated
/// one. Other hosts may have a recent one, and the load balancer switches to them
/// within two seconds.
pub const RETRY_AFTER_OTHER_HOST: Duration = Duration::from_millis(300);

/// Time after which to retry while no upstream is in service.
pub const RETRY_AFTER_NO_UPSTREAM: Duration = Duration::from_millis(1_000);

/// The refusal of a request, with what becomes of its connection.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Rejection {
    /// The refusal, which says that the request has not run.
    pub refusal: Refusal,
    /// Whether its body was not read to the end, so that the connection carries no other request.
    pub is_unread: bool,
}

impl From<Refusal> for Rejection {
    fn from(refusal: Refusal) -> Self {
        Self {
            refusal,
            is_unread: false,
        }
    }
}

/// What the head of a request says.
struct Head {
    parts: Parts,
    host: String,
    path: String,
    key: Option<String>,
    route: Arc<Route>,
    workspace: Option<Arc<Workspace>>,
    deadline: Instant,
}

/// Validates a request and reads its body.
///
/// `id` is the caller's identifier of the attempt, `handoff` what another host states that hands
/// the request on.
pub async fn accept(
    state: &Arc<State>,
    request: Request<Incoming>,
    arrived: Instant,
    id: &str,
    handoff: Option<Handoff>,
) -> Result<Job, Rejection> {
    let has_body = !request.body().is_end_stream();
    let received = receive(state, request, arrived).await;
    let (head, (body, memory)) = received.map_err(|refusal| {
        record_refusal(state, id, refusal.code);
        Rejection {
            refusal,
            is_unread: has_body,
        }
    })?;
    let Head {
        parts,
        host,
        path,
        key,
        route,
        workspace,
        deadline,
    } = head;
    let names = &state.names;
    let last_event = header_text(&parts.headers, &names.last_event);
    let last_event = last_event.and_then(|it| it.trim().parse().ok());
    let origin = header_text(&parts.headers, &names.origin).map(str::to_owned);
    let no_upstream =
        || Refusal::not_run(Code::NoUpstream).with_retry_after(RETRY_AFTER_NO_UPSTREAM);
    let service = route
        .backend(state.random_fraction())
        .ok_or_else(no_upstream)?
        .clone();
    // The host that hands a request on has counted it.
    if handoff.is_none() {
        let limits = state.live_options().retries();
        lock(&state.retry_budget).record_request(arrived, &service, &limits);
    }
    let fingerprint = job::fingerprint(workspace.as_deref(), &path, &body);
    if let Some(left) = lock(&state.crashes).refused(arrived, fingerprint) {
        info!(
            id,
            fingerprint,
            left_ms = millis(left),
            "request: crashed several upstreams"
        );
        return Err(Refusal::not_run(Code::CrashedRepeatedly)
            .with_retry_after(left)
            .into());
    }
    let (prompt, shared) = job::shared_prompt(&(names.segments)(&parts.headers), &path);
    let job = Job {
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
        memory: Arc::new(memory),
        fingerprint,
        arrived,
        deadline,
        last_event,
        origin,
        handoff,
        route,
    };
    crash::check(state, &job, &History::default())?;
    Ok(job)
}

/// Validates the head of a request and reads its body.
async fn receive(
    state: &Arc<State>,
    request: Request<Incoming>,
    arrived: Instant,
) -> Result<(Head, Received), Refusal> {
    let names = &state.names;
    let view = state.view();
    let not_ready = || Refusal::not_run(Code::NotReady).with_retry_after(RETRY_AFTER_OTHER_HOST);
    let table = view.route_table().ok_or_else(not_ready)?;
    let host = header_text(request.headers(), &header::HOST).unwrap_or_default();
    let host = host.split(':').next().unwrap_or_default().to_owned();
    let path = request.uri().path().to_owned();
    let key = header_text(request.headers(), &names.key).map(str::to_owned);
    let (route, workspace) = authorize(state, table, &host, &path, key.as_deref())?;
    let timeout =
        header_text(request.headers(), &names.deadline).and_then(|it| it.trim().parse().ok());
    let timeout = timeout.map_or(DEFAULT_TIMEOUT, Duration::from_millis);
    let deadline = arrived + timeout.min(route.timeout);
    let limits = state.intake_limits(table.limits.body_bytes);
    let connection = read::connection(&request);
    let (parts, body) = request.into_parts();
    let connection = connection.as_deref();
    let received = read::read(state, body, &limits, arrived, deadline, connection).await?;
    let head = Head {
        parts,
        host,
        path,
        key,
        route,
        workspace,
        deadline,
    };
    Ok((head, received))
}

/// Logs that a body was not received because of a bound, with the state of all bodies.
fn record_refusal(state: &State, id: &str, code: Code) {
    if let Code::NoRoom | Code::BodyTooLarge | Code::BodyTooSlow = code {
        let (bodies, body_bytes, evicted) = {
            let table = lock(&state.bodies);
            (table.count(), table.used(), table.evicted())
        };
        info!(id, %code, bodies, body_bytes, evicted, "request: body not received");
    }
}

/// A route, and the workspace of the key if the route requires a key.
type Authorized = (Arc<Route>, Option<Arc<Workspace>>);

/// Finds the route of a request and the workspace of its key.
///
/// An unknown route or key is refused as such only while the table is recent.
/// Otherwise it may have been added since, and the refusal asks for a retry.
pub fn authorize(
    state: &State,
    table: &Table,
    host: &str,
    path: &str,
    key: Option<&str>,
) -> Result<Authorized, Refusal> {
    let is_fresh = state.has_fresh_keys(boot::Instant::now());
    let stale = || Refusal::not_run(Code::KeysStale).with_retry_after(RETRY_AFTER_OTHER_HOST);
    let missing = |code| match is_fresh {
        true => Refusal::not_run(code),
        false => stale(),
    };
    let route = table.route(host, path);
    let route = route.ok_or_else(|| missing(Code::NoRoute))?;
    if route.is_public || !table.requires_keys {
        return Ok((route.clone(), None));
    }
    if !is_fresh {
        return Err(stale());
    }
    let workspace = key.and_then(|key| table.workspace(key));
    let workspace = workspace.ok_or_else(|| missing(Code::UnknownKey))?;
    Ok((route.clone(), Some(workspace.clone())))
}

/// Returns a header's value if it is present and visible ASCII.
pub fn header_text<'a>(headers: &'a HeaderMap, name: &http::HeaderName) -> Option<&'a str> {
    headers.get(name)?.to_str().ok()
}
