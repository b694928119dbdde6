//! The HTTP routes for operators and the load balancer. They only read the state
//! of the host.

use std::sync::Arc;

use poem::EndpointExt;
use poem::IntoEndpoint;
use poem::Route;
use poem::get;
use poem::handler;
use poem::web::Data;
use poem::web::Json;

use crate::daemon::status;
use crate::entry::caller;
use crate::query;
use crate::query::render;
use crate::state::State;

/// The path of the status in JSON.
pub const STATUS_PATH: &str = "/status";

/// Returns the routes of the operator listener.
pub fn routes(state: Arc<State>) -> impl IntoEndpoint {
    Route::new()
        .at("/healthz", get(health))
        .at("/readyz", get(ready))
        .at(STATUS_PATH, get(status_json))
        .at("/status.txt", get(status_text))
        .data(state)
}

#[handler]
fn health() -> &'static str {
    "ok\n"
}

#[handler]
fn ready(state: Data<&Arc<State>>) -> (http::StatusCode, &'static str) {
    match caller::is_ready(state.0) {
        true => (http::StatusCode::OK, "ready\n"),
        false => (http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
    }
}

#[handler]
fn status_json(state: Data<&Arc<State>>) -> Json<query::Status> {
    Json(status::status(state.0))
}

#[handler]
fn status_text(state: Data<&Arc<State>>) -> String {
    render::text(&status::status(state.0))
}
