//! Confirms the end of a response that ends with its connection.
//!
//! The system closes the connections of a process that was killed in order, which looks like the end
//! of a response without a length or chunks. Such an end is believed only if the process that sent
//! the response is alive after it. No request is sent, so that nothing runs twice and the retry
//! budget is left to losses.
//!
//! That somebody accepts a connection at the address isn't enough for a host that learns late of the
//! end: the process may have been started again, and another upstream may have the address. That the
//! platform doesn't list the upstream any more says nothing of the process, which may serve on. The
//! [`witness`] tells, and where there is none, whether this host was suspended.

use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use strum::Display;
use tokio::time::Instant;
use tokio::time::timeout_at;
use tracing::info;

use crate::boot;
use crate::framing::Framing;
use crate::gateway::connection::Connection;
use crate::gateway::connection::Fault;
use crate::gateway::job::Job;
use crate::gateway::reach;
use crate::gateway::reader;
use crate::gateway::state::State;
use crate::gateway::upstream::Record;
use crate::gateway::witness;
use crate::lock::lock;
use crate::log::millis;
use crate::outcome::Code;

/// How long the new connection has to stay open. The sockets of a process that ends close one after
/// another, the listening one possibly last, and with it the connections that nobody accepted.
pub const HOLD_TIME: Duration = Duration::from_millis(50);

/// Number of new connections in a row that are accepted and reset before the upstream counts as being
/// at its limit of connections. A process that ends refuses the later ones.
const MAX_PROBES: u32 = 3;

/// Why the end of a response can't be believed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Doubt {
    /// The request was still being written when the response ended.
    Unwritten,
    /// The connection was refused.
    Refused,
    /// No connection could be opened in time. The network may have failed.
    Timeout,
    /// The connection ended at once.
    Closed,
    /// The upstream is not listed any more, and nothing else shows that its process is the same.
    NotListed,
    /// Another process has the upstream's address or identifier.
    Replaced,
    /// The host was suspended, and can't tell whether its copy of the store is current.
    Outdated,
    /// The deadline of the request has passed.
    Late,
}

/// What is collected while a response arrives, to tell at its end whether its process is alive.
#[derive(Clone, Debug)]
pub struct Watch {
    /// When the request was sent.
    sent: boot::Instant,
    /// Connections to the process; `None` if the end of the response is marked otherwise.
    witness: Option<witness::Share>,
}

impl Watch {
    /// Begins with the head of a response, whose request was sent at `sent`.
    pub fn start(
        state: &Arc<State>,
        address: SocketAddr,
        framing: Framing,
        sent: boot::Instant,
    ) -> Self {
        let needs_witness = framing == Framing::Close;
        Self {
            sent,
            witness: needs_witness.then(|| witness::join(state, address)),
        }
    }

    /// Records that bytes of the response arrived, for which its reader waited.
    pub fn record_arrival(&mut self, now: Instant, waited: Duration) {
        if let Some(witness) = &mut self.witness {
            witness.record_arrival(now, waited);
        }
    }
}

/// Where a response came from.
pub struct Sender<'a> {
    /// The upstream.
    pub record: &'a Record,
    /// Connection on which the response arrived.
    pub connection: &'a Connection,
    /// What was collected meanwhile.
    pub watch: &'a Watch,
    /// Whether this host sent the request to the upstream, rather than another host.
    pub is_own: bool,
}

/// What became of a new connection to the address of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Probe {
    /// It stayed open.
    Held,
    /// It was accepted and closed at once. Something between may do so whose upstream has ended.
    Closed,
    /// It was accepted and reset at once.
    Reset,
    /// So were several one after another: the upstream has as many as it takes.
    AtLimit,
    /// It was refused.
    Refused,
    /// There was no response.
    Timeout,
}

/// What the platform lists of an upstream that began a response.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Listing {
    /// The same process.
    Same,
    /// Another process at its address or with its identifier.
    Replaced,
    /// Neither.
    Missing,
}

/// What is known of the process that sent a response, after its end.
#[derive(Clone, Copy, Debug)]
pub struct Evidence {
    /// A new connection.
    pub probe: Probe,
    /// An earlier connection.
    pub witness: witness::Status,
    /// Whether the host was suspended since it sent the request, and may have found the end late.
    pub was_suspended: bool,
    /// Whether it is known to leave, so that it may have stopped to accept connections.
    pub is_leaving: bool,
    /// What the platform lists; of a host that was suspended, `None` if its copy may be outdated.
    pub listing: Option<Listing>,
}

impl Evidence {
    /// Decides whether the end of the response is that of its process.
    pub fn judge(&self) -> Result<(), Doubt> {
        let has_witness = self.witness == witness::Status::Open;
        // A process takes longer to start again than a host that wasn't suspended to find the end.
        let is_prompt = self.witness == witness::Status::Missing && !self.was_suspended;
        match (self.probe, self.listing) {
            (Probe::Timeout, _) => Err(Doubt::Timeout),
            // A lost packet may hide from an idle connection that the process has ended.
            (Probe::Refused, _) if has_witness && self.is_leaving => Ok(()),
            (Probe::Refused, _) => Err(Doubt::Refused),
            (Probe::Held | Probe::Closed | Probe::Reset | Probe::AtLimit, _) if has_witness => {
                Ok(())
            }
            (_, Some(Listing::Replaced)) => Err(Doubt::Replaced),
            (Probe::Closed | Probe::Reset, _) => Err(Doubt::Closed),
            (Probe::Held | Probe::AtLimit, Some(Listing::Same)) => Ok(()),
            (Probe::Held | Probe::AtLimit, Some(Listing::Missing)) if is_prompt => Ok(()),
            (Probe::Held | Probe::AtLimit, Some(Listing::Missing)) => Err(Doubt::NotListed),
            (Probe::Held | Probe::AtLimit, None) => Err(Doubt::Outdated),
        }
    }
}

/// Returns whether the end of a response, which was just read, is confirmed: the process that sent
/// it is alive.
pub async fn confirm(state: &Arc<State>, job: &Job, sender: &Sender<'_>) -> Result<(), Code> {
    let started = Instant::now();
    let record = sender.record;
    let (evidence, judged) = match sender.connection.is_request_written(job.body.len()) {
        true => {
            let collected = timeout_at(job.deadline, collect(state, sender)).await.ok();
            (
                collected,
                collected.map_or(Err(Doubt::Late), |it| it.judge()),
            )
        }
        false => (None, Err(Doubt::Unwritten)),
    };
    let Err(doubt) = judged else {
        return Ok(());
    };
    let listing = evidence.and_then(|it| it.listing);
    info!(id = job.id, upstream = %record.upstream.id, %doubt,
        probe = evidence.map(|it| tracing::field::display(it.probe)),
        witness = evidence.map(|it| tracing::field::display(it.witness)),
        listing = listing.map(tracing::field::display),
        was_suspended = evidence.map(|it| it.was_suspended), after_ms = millis(started.elapsed()),
        "request: end of the response can't be confirmed");
    Err(match doubt {
        Doubt::Late => Code::StreamTimeout,
        Doubt::Refused | Doubt::Replaced => Code::AnswerCut,
        // They accuse the request of no crash. An upstream at its limit of connections closes new
        // ones at once, too.
        Doubt::Unwritten | Doubt::Closed | Doubt::Timeout | Doubt::NotListed | Doubt::Outdated => {
            Code::UpstreamFailed
        }
    })
}

/// Returns whether an upstream is leaving. It may have stopped to accept connections before it
/// completes its last responses. One that isn't listed any more may have left without a word.
pub fn is_leaving(state: &State, record: &Record) -> bool {
    let view = state.view();
    let listed = view.upstream(&record.upstream.id);
    let is_draining = listed.is_none_or(|listed| listed.upstream.is_draining);
    is_draining || lock(&state.notices).is_leaving(&record.upstream)
}

async fn collect(state: &Arc<State>, sender: &Sender<'_>) -> Evidence {
    let Sender {
        record,
        connection: _,
        watch,
        is_own,
    } = *sender;
    let end = Instant::now();
    let status = || {
        let witness = watch.witness.as_ref();
        witness.map_or(witness::Status::Missing, |it| it.status(end))
    };
    let is_leaving = is_own && is_leaving(state, record);
    let mut probe = connect(state, sender, is_leaving).await;
    let mut probes = 1;
    while probe == Probe::Reset && status() != witness::Status::Open {
        if probes == MAX_PROBES {
            probe = Probe::AtLimit;
            break;
        }
        probe = connect(state, sender, is_leaving).await;
        probes += 1;
    }
    let witness = status();
    let now = boot::Instant::now();
    let was_suspended = lock(&state.pulse).was_suspended(now, watch.sent);
    // The witness goes before the platform's list, and a refused connection needs neither.
    let accepts = matches!(probe, Probe::Held | Probe::AtLimit);
    let needs_listing = accepts && witness != witness::Status::Open;
    let listing = match is_own {
        true if was_suspended && needs_listing && !reader::confirm(state, now).await => None,
        true => Some(listing(state, record)),
        false => Some(Listing::Same),
    };
    Evidence {
        probe,
        witness,
        was_suspended,
        is_leaving,
        listing,
    }
}

/// Opens a connection to an upstream, and returns what becomes of it.
async fn connect(state: &State, sender: &Sender<'_>, is_leaving: bool) -> Probe {
    let upstream = &sender.record.upstream;
    let connection = state.pool.acquire(upstream.address, true).await;
    if sender.is_own {
        reach::record(state, upstream, connection.as_ref().map(|_| ()));
    }
    let fault = connection.as_ref().err().and_then(Fault::connect_error);
    // The reset may arrive before the connection is set up.
    let is_accepted = connection.is_ok() || fault == Some(ErrorKind::ConnectionReset);
    if is_accepted || is_leaving {
        tokio::time::sleep(HOLD_TIME).await;
    }
    match (connection, fault) {
        (Ok(connection), _) if connection.is_open() => {
            state.release_connection(connection, upstream.slots);
            Probe::Held
        }
        (Ok(connection), _) if connection.was_reset() => Probe::Reset,
        (Ok(_), _) => Probe::Closed,
        (Err(_), Some(ErrorKind::ConnectionReset)) => Probe::Reset,
        (Err(_), Some(ErrorKind::TimedOut)) => Probe::Timeout,
        (Err(_), _) => Probe::Refused,
    }
}

/// Returns what the platform lists in place of an upstream. An entry of an earlier start comes from a
/// copy of the store that was restored, and says nothing of the process.
fn listing(state: &State, record: &Record) -> Listing {
    let view = state.view();
    let before = &record.upstream;
    let entries = [view.upstream(&before.id), view.upstream_at(before.address)];
    let mut entries = entries.iter().flatten().map(|it| &it.upstream);
    match entries.clone().any(|it| it.is_process(before)) {
        true => Listing::Same,
        false if entries.any(|it| !it.is_earlier(before)) => Listing::Replaced,
        false => Listing::Missing,
    }
}
