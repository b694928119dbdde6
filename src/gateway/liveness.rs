//! Confirms the end of a response that ends with its connection.
//!
//! The system closes the connections of a process that was killed in order, which looks like the end
//! of a response without a length or chunks. Such an end is believed only if the upstream's process
//! is alive after it: it accepts a connection, and keeps it open for a moment. No request is sent, so
//! that nothing runs twice and the retry budget is left to losses.

use std::io::ErrorKind;
use std::time::Duration;

use strum::Display;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::gateway::connection::Fault;
use crate::gateway::job::Job;
use crate::gateway::reach;
use crate::gateway::state::State;
use crate::gateway::upstream::Record;
use crate::lock::lock;
use crate::log::millis;
use crate::outcome::Code;

/// How long the new connection has to stay open. The sockets of a process that ends close one after
/// another, the listening one possibly last, and with it the connections that nobody accepted.
const HOLD_TIME: Duration = Duration::from_millis(50);

/// Why the end of a response can't be believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
enum Doubt {
    /// The connection was refused.
    Refused,
    /// No connection could be opened in time. The network may have failed.
    Timeout,
    /// The connection ended at once.
    Closed,
    /// The upstream is not listed any more.
    NotListed,
    /// The upstream is listed at another address, or with a process that started later.
    Replaced,
    /// The deadline of the request has passed.
    Late,
}

/// Returns whether the end of a response is confirmed by its upstream, which is alive. `is_own` is
/// whether this host sent the request to it, rather than another host.
pub async fn confirm(state: &State, job: &Job, record: &Record, is_own: bool) -> Result<(), Code> {
    let started = Instant::now();
    let checked = timeout_at(job.deadline, check(state, record, is_own)).await;
    let Err(doubt) = checked.unwrap_or(Err(Doubt::Late)) else {
        return Ok(());
    };
    info!(id = job.id, upstream = %record.upstream.id, %doubt, after_ms = millis(started.elapsed()),
        "request: end of the response can't be confirmed");
    Err(match doubt {
        Doubt::Late => Code::StreamTimeout,
        Doubt::Refused | Doubt::Replaced => Code::AnswerCut,
        // They accuse the request of no crash. An upstream at its limit of connections closes new
        // ones at once, too.
        Doubt::Closed | Doubt::Timeout | Doubt::NotListed => Code::UpstreamFailed,
    })
}

/// Returns whether an upstream is leaving. It may have stopped to accept connections before it
/// completes its last responses.
pub fn is_leaving(state: &State, record: &Record) -> bool {
    let view = state.view();
    let listed = view.upstream(&record.upstream.id);
    let is_draining = listed.is_some_and(|listed| listed.upstream.is_draining);
    is_draining || lock(&state.notices).is_leaving(&record.upstream)
}

async fn check(state: &State, record: &Record, is_own: bool) -> Result<(), Doubt> {
    let upstream = &record.upstream;
    if is_own {
        check_listed(state, record)?;
    }
    let connection = state.pool.acquire(upstream.address, true).await;
    if is_own {
        reach::record(state, upstream, connection.as_ref().map(|_| ()));
    }
    let connection = connection.map_err(|fault| match fault {
        Fault::Connect(error) if error.kind() == ErrorKind::TimedOut => Doubt::Timeout,
        Fault::Connect(_) | Fault::Unsent | Fault::Broken(_) => Doubt::Refused,
    })?;
    tokio::time::sleep(HOLD_TIME).await;
    match connection.is_open() {
        true => {
            state.release_connection(connection, upstream.slots);
            Ok(())
        }
        false => Err(Doubt::Closed),
    }
}

/// Another upstream may have the address now, or another process the identifier.
fn check_listed(state: &State, record: &Record) -> Result<(), Doubt> {
    let view = state.view();
    let before = &record.upstream;
    let listed = view.upstream(&before.id).ok_or(Doubt::NotListed)?;
    let is_same = listed.upstream.address == before.address
        && listed.upstream.started_ms == before.started_ms;
    match is_same {
        true => Ok(()),
        false => Err(Doubt::Replaced),
    }
}
