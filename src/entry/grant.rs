//! Issues tokens to callers.

use poem::Response;
use serde_json::json;
use tokio::time::Instant;

use crate::entry::classify;
use crate::entry::header;
use crate::ident;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Outcome;
use crate::outcome::Refusal;
use crate::state::State;

/// Counts a token that a workspace requests in advance. Workspaces that are not
/// in the register share one quota.
pub fn charge_quota(state: &State, workspace: &ident::Workspace) -> Result<(), Refusal> {
    let shared = classify::NO_WORKSPACE.into();
    let workspace = match state.plan().register.workspaces.contains_key(workspace) {
        true => workspace,
        false => &shared,
    };
    lock(&state.quota)
        .take(Instant::now(), workspace)
        .map_err(|wait| Refusal::not_run(Code::TooManyRequests).with_retry_after(wait))
}

/// Answers a workspace that requests a token in advance.
pub fn issue(state: &State, workspace: &ident::Workspace) -> Result<Response, Refusal> {
    charge_quota(state, workspace)?;
    let token = state.issuer.issue(Instant::now())?.to_string();
    Ok(Response::builder()
        .header(header::OUTCOME, <&str>::from(Outcome::Answered))
        .header(header::TOKEN, token.as_str())
        .content_type("application/json")
        .body(json!({ "token": token }).to_string()))
}

/// Adds a token for the next request to a response, if one can be issued.
pub fn attach(state: &State, mut response: Response) -> Response {
    if let Ok(token) = state.issuer.issue(Instant::now())
        && let Ok(value) = http::HeaderValue::try_from(token.to_string())
    {
        response.headers_mut().insert(header::TOKEN, value);
    }
    response
}
