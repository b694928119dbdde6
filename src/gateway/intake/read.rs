//! Reads the body of a request within its bounds.

use std::sync::Arc;

use http_body_util::BodyExt;
use hyper::body::Body;
use hyper::body::Bytes;
use hyper::body::Incoming;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::gateway::intake::Limits;
use crate::gateway::intake::bodies;
use crate::gateway::intake::bodies::Fault;
use crate::gateway::intake::connections;
use crate::gateway::intake::pace::Pace;
use crate::gateway::intake::pace::Progress;
use crate::gateway::intake::retry_after;
use crate::gateway::state::State;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// A complete body, whose memory counts until the lease is dropped.
pub type Received = (Bytes, bodies::Lease);

/// Reads a body to its end. Fails with a refusal that says that the request has not run.
///
/// `begun` is when the head of the request arrived, and `connection` the one that it came by.
pub async fn read(
    state: &State,
    body: Incoming,
    limits: &Limits,
    begun: Instant,
    deadline: Instant,
    connection: Option<&connections::Lease>,
) -> Result<Received, Refusal> {
    let announced = body.size_hint().exact();
    let announced = announced.map(|size| usize::try_from(size).unwrap_or(usize::MAX));
    // Refused before any of it is read, or asked for with 100 Continue.
    if announced.is_some_and(|size| size > limits.body) {
        return Err(Refusal::not_run(Code::BodyTooLarge));
    }
    let lease = bodies::Lease::new(&state.bodies, begun, announced);
    let received = receive(state, body, limits, begun, deadline, connection, &lease);
    let closed = async {
        match connection {
            Some(connection) => connection.closed().await,
            None => std::future::pending().await,
        }
    };
    let result = tokio::select! {
        biased;
        () = lease.ended() => Err(no_room(state)),
        () = closed => Err(no_room(state)),
        result = received => result,
    };
    let bytes = result?;
    // The connection may have been chosen for closing since the last byte arrived. Nothing has been
    // sent to an upstream by then.
    match connection.is_none_or(connections::Lease::run) {
        true => Ok((bytes, lease)),
        false => Err(no_room(state)),
    }
}

async fn receive(
    state: &State,
    mut body: Incoming,
    limits: &Limits,
    begun: Instant,
    deadline: Instant,
    connection: Option<&connections::Lease>,
    lease: &bodies::Lease,
) -> Result<Bytes, Refusal> {
    let options = state.live_options();
    let pace = Pace {
        idle: options.body_idle,
        bytes_per_second: options.body_bytes_per_second,
        deadline,
    };
    let mut progress = Progress::new(begun);
    loop {
        let frame = match timeout_at(pace.ends_at(&progress), body.frame()).await {
            Ok(Some(Ok(frame))) => frame,
            Ok(Some(Err(_))) => return Err(Refusal::not_run(Code::BadRequest)),
            Ok(None) => break,
            Err(_) => return Err(Refusal::not_run(Code::BodyTooSlow)),
        };
        let Ok(chunk) = frame.into_data() else {
            continue;
        };
        let now = Instant::now();
        lease
            .append(now, &chunk, limits)
            .map_err(|fault| refuse(state, fault))?;
        progress.last = now;
        progress.bytes += chunk.len();
        if let Some(connection) = connection {
            connection.progress(&progress);
        }
    }
    lease.complete().map_err(|fault| refuse(state, fault))
}

fn refuse(state: &State, fault: Fault) -> Refusal {
    match fault {
        Fault::TooLarge => Refusal::not_run(Code::BodyTooLarge),
        Fault::NoRoom => no_room(state),
    }
}

fn no_room(state: &State) -> Refusal {
    let wait = retry_after(state.random_fraction());
    Refusal::not_run(Code::NoRoom).with_retry_after(wait)
}

/// Returns the connection that a request came by.
pub fn connection<B>(request: &http::Request<B>) -> Option<Arc<connections::Lease>> {
    request
        .extensions()
        .get::<Arc<connections::Lease>>()
        .cloned()
}
