//! Gossip between hosts over UDP.
//!
//! Periodically sends this host's liveness, loads, suspect upstreams, prompt placements
//! and crash counts, and merges what other hosts send into the shared tables. The
//! recipients of each round come from [`relay`]. The versions that began streams are sent
//! at once, to the hosts that [`origin`] selects.

pub mod pace;
mod receive;

use std::collections::BTreeMap;
use std::io;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use strum::VariantArray;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tracing::warn;

use crate::boot;
use crate::gateway::capacity;
use crate::gateway::datagram;
use crate::gateway::datagram::List;
use crate::gateway::datagram::Message;
use crate::gateway::datagram::Origins;
use crate::gateway::datagram::Placements;
use crate::gateway::datagram::Report;
use crate::gateway::datagram::Sender;
use crate::gateway::datagram::Summary;
use crate::gateway::datagram::format::Encoded;
use crate::gateway::datagram::format::Extension;
use crate::gateway::gossip::pace::Round;
use crate::gateway::gossip::receive::receive;
use crate::gateway::health::Scope;
use crate::gateway::origin;
use crate::gateway::peers::Selection;
use crate::gateway::pulse;
use crate::gateway::relay;
use crate::gateway::relay::LocalHost;
use crate::gateway::relay::Recipients;
use crate::gateway::relay::Relay;
use crate::gateway::state::State;
use crate::ident;
use crate::lock::lock;
use crate::log::millis;

/// Maximum number of crash counts in a message.
const MAX_CRASHES: usize = 8;

/// Maximum number of prompt segments with crashes in a message.
const MAX_SEGMENTS: usize = 5;

/// Number of suspects by which each message begins later than the one before.
const SUSPECTS_STEP: usize = 8;

/// Time in which the datagrams that arrived during a suspension are read.
const BACKLOG_TIME: Duration = Duration::from_millis(200);

/// Sends and receives datagrams until the process stops.
pub async fn run(state: Arc<State>, socket: UdpSocket) {
    let mut buffer = vec![0; 64 * 1024];
    let mut next = Instant::now();
    let mut earliest = next;
    let mut relay = Relay::default();
    let mut backlog = Backlog::default();
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    let bytes = buffer.get(..length).unwrap_or_default();
                    let unread = backlog.delay(Instant::now(), next);
                    if receive(&state, from, bytes, &mut relay, unread) {
                        forward(&state, &socket, bytes).await;
                    }
                }
                Err(error) => warn!(%error, "peers: can't receive a datagram"),
            },
            () = tokio::time::sleep_until(next) => {
                backlog.observe(Instant::now(), next);
                let sent = send(&state, &socket, &mut relay).await;
                let now = Instant::now();
                next = now + sent.interval(state.live_options().gossip_pause);
                earliest = now + sent.urgent_interval(slowest_link(&state, now));
            }
            () = state.gossip_urgent.notified() => next = next.min(earliest),
            () = state.origin_recorded.notified() => send_origins(&state, &socket).await,
        }
        lock(&state.pulse).beat(boot::Instant::now());
    }
}

/// Tells how long datagrams may have waited to be read.
///
/// A host that was suspended finds those that arrived meanwhile. Their contents look newer than
/// they are by up to the time in which nothing was read.
#[derive(Clone, Copy, Debug, Default)]
pub struct Backlog {
    /// How long nothing was read, and until when such datagrams may still be read.
    late: Option<(Duration, Instant)>,
}

impl Backlog {
    /// Records that a round is due, or was: one that is late shows that the host was suspended.
    pub fn observe(&mut self, now: Instant, due: Instant) {
        let delay = now.saturating_duration_since(due);
        if delay >= pulse::MIN_SUSPENSION {
            let longest = self.late.map_or(delay, |(late, _)| delay.max(late));
            self.late = Some((longest, now + BACKLOG_TIME));
        }
    }

    /// Returns how long a datagram that is read now may have waited.
    pub fn delay(&mut self, now: Instant, due: Instant) -> Duration {
        self.observe(now, due);
        self.late = self.late.filter(|(_, until)| *until > now);
        self.late.map_or(Duration::ZERO, |(late, _)| late)
    }
}

/// Returns the speed of the slowest link of this host and those that it exchanges gossip with.
fn slowest_link(state: &State, now: Instant) -> u32 {
    let own = state.live_options().link_mbps;
    let slowest = lock(&state.peers).slowest_link(now);
    slowest.map_or(own, |link| link.min(own))
}

/// Sends the messages and summaries of one round.
async fn send(state: &State, socket: &UdpSocket, relay: &mut Relay) -> Round {
    let now = Instant::now();
    lock(&state.loads).expire(now);
    capacity::review(state, now);
    let (recipients, is_relayed, is_settling) = {
        let mut peers = lock(&state.peers);
        let targets = peers.targets(now);
        let recipients = relay.next_round(now, &local_host(state), &peers, &targets);
        let is_relayed = relay::is_relayed(targets.len());
        (recipients, is_relayed, peers.is_settling(now))
    };
    let round = relay.round();
    let Recipients {
        direct,
        remote,
        starting,
        summary,
    } = &recipients;
    let mut sent = Round {
        recipients: direct.len() + remote.len() + starting.len() + summary.len(),
        bytes: 0,
        is_relayed,
    };
    let placements = lock(&state.prefix_cache).take_updates();
    let recent = relay.record_own(&placements);
    let mut full = message(state, now, round, placements, Selection::Sample);
    if let Some(bytes) = encode(state, now, &mut full) {
        sent.add(bytes.len(), direct.len());
        let mut encoded = Encoded::new(&bytes);
        for address in direct {
            send_to(state, socket, *address, &mut encoded).await;
        }
    }
    if !remote.is_empty()
        && let Some(bytes) = encode(
            state,
            now,
            &mut message(state, now, round, recent, Selection::Sample),
        )
    {
        sent.add(bytes.len(), remote.len());
        let mut encoded = Encoded::new(&bytes);
        for address in remote {
            send_to(state, socket, *address, &mut encoded).await;
        }
    }
    for (address, zone) in starting {
        let mut message = message(state, now, round, Vec::new(), Selection::Zone(zone));
        if !is_settling {
            // The zone's summary already contains the loads.
            message.report.loads.clear();
        }
        if let Some(bytes) = encode(state, now, &mut message) {
            sent.add(bytes.len(), 1);
            send_to(state, socket, *address, &mut Encoded::new(&bytes)).await;
        }
    }
    if !summary.is_empty() {
        let datagrams = encode_summary(state, now, round, relay.take_placements());
        for (index, bytes) in datagrams.iter().enumerate() {
            let mut encoded = Encoded::new(bytes);
            for address in recipients.summary_hosts(index) {
                sent.add(bytes.len(), 1);
                send_to(state, socket, address, &mut encoded).await;
            }
        }
    }
    sent
}

/// Tells other hosts which versions began streams at this host.
async fn send_origins(state: &State, socket: &UdpSocket) {
    let streams = lock(&state.origins).take_updates();
    let mut recipients: BTreeMap<Ipv4Addr, Origins> = BTreeMap::new();
    {
        let now = Instant::now();
        let peers = lock(&state.peers);
        for (key, version) in streams {
            let zone = &state.options.host.zone;
            for host in origin::witnesses(key, zone, peers.addressable(now)) {
                let origins = recipients.entry(host).or_default();
                origins.streams.push((key, version.clone()));
            }
        }
    }
    for (host, origins) in recipients {
        match origins.encode() {
            Ok(datagrams) => {
                for bytes in datagrams {
                    send_to(state, socket, host, &mut Encoded::new(&bytes)).await;
                }
            }
            Err(error) => warn!(%error, "peers: can't encode the versions of streams"),
        }
    }
}

/// Forwards a summary of another zone to the hosts of this zone.
async fn forward(state: &State, socket: &UdpSocket, bytes: &[u8]) {
    let hosts: Vec<Ipv4Addr> = {
        let peers = lock(&state.peers);
        let zone = &state.options.host.zone;
        let hosts = peers
            .live(Instant::now())
            .filter(|(_, it)| it.zone == *zone);
        hosts.map(|(address, _)| *address).collect()
    };
    let mut encoded = Encoded::new(bytes);
    for address in hosts {
        send_to(state, socket, address, &mut encoded).await;
    }
}

/// Sends a datagram in the format that a host reads.
async fn send_to(state: &State, socket: &UdpSocket, address: Ipv4Addr, datagram: &mut Encoded<'_>) {
    let to = SocketAddr::new(address.into(), state.options.gateway.gossip_port);
    let draw = state.random_fraction();
    let format = lock(&state.peers).format(Instant::now(), &address, draw);
    let bytes = match datagram.in_format(format) {
        Ok(bytes) => bytes,
        Err(error) => {
            warn!(%error, %to, format, "peers: can't encode a datagram for another build");
            return;
        }
    };
    // Gossip tolerates loss: a message to a host that is down, or over a full link,
    // isn't sent again.
    if let Err(error) = socket.send_to(bytes, to).await
        && error.kind() != io::ErrorKind::ConnectionRefused
    {
        warn!(%error, %to, "peers: can't send a datagram");
    }
}

/// Encodes a message, and records what it reports.
fn encode(state: &State, now: Instant, message: &mut Message) -> Option<Vec<u8>> {
    let full = lengths(&message.report);
    match message.encode() {
        Ok(mut bytes) => {
            record_reported(state, now, &full, &message.report);
            append_readings(state, now, &mut bytes, false);
            Some(bytes)
        }
        Err(error) => {
            warn!(%error, "peers: can't encode a message");
            None
        }
    }
}

/// Appends the slowdowns that upstreams stated to this host, or in a summary to any, as far as they
/// fit.
fn append_readings(state: &State, now: Instant, bytes: &mut Vec<u8>, is_summary: bool) {
    let readings = lock(&state.capacity).readings(now, is_summary);
    match Extension::append_readings(bytes, &readings) {
        Ok(0) => {}
        Ok(left_out) => state.meter.left_out("capacity", left_out),
        Err(error) => warn!(%error, "peers: can't append to a message"),
    }
}

/// Returns the number of items of each list of a report.
fn lengths(report: &Report) -> Vec<(List, usize)> {
    let lists = List::VARIANTS.iter();
    lists.map(|list| (*list, report.len(*list))).collect()
}

/// Records which crashes were reported, so that the others come next, and counts what had no room
/// in a message.
fn record_reported(state: &State, now: Instant, full: &[(List, usize)], report: &Report) {
    for (list, length) in full {
        let left_out = length.saturating_sub(report.len(*list));
        if left_out > 0 {
            state.meter.left_out((*list).into(), left_out);
        }
    }
    let fingerprints = report.crashes.iter().map(|crash| crash.fingerprint);
    lock(&state.notices).record_reported(now, &report.notices);
    lock(&state.crashes).record_reported(now, fingerprints);
    lock(&state.quarantine).record_reported(now, &report.segments);
}

fn local_host(state: &State) -> LocalHost<'_> {
    LocalHost {
        address: state.address,
        zone: &state.options.host.zone,
        link_mbps: state.live_options().link_mbps,
    }
}

fn sender(state: &State) -> Sender {
    let age = state.store_age(boot::Instant::now());
    Sender {
        process: state.process,
        zone: state.options.host.zone.clone(),
        is_leaving: state.draining.is_cancelled(),
        progress: state.progress(),
        has_joined: state.has_joined.load(Ordering::Relaxed),
        age_ms: age.map(millis),
        link_mbps: state.live_options().link_mbps,
        is_informed: state.is_informed.load(Ordering::Relaxed),
        fleet_size: lock(&state.peers).counted_size(Instant::now()),
        unreachable: lock(&state.reach).confirmed_lost(Instant::now()),
    }
}

fn message(
    state: &State,
    now: Instant,
    round: usize,
    placements: Placements,
    contacts: Selection<'_>,
) -> Message {
    let sender = sender(state);
    let (contacts, is_settling) = {
        let mut peers = lock(&state.peers);
        (peers.contacts(now, contacts), peers.is_settling(now))
    };
    let suspects = suspects(state, now, round, Scope::Host);
    let loads = lock(&state.loads).own_counts().clone();
    let crashes = lock(&state.crashes).reports(now, MAX_CRASHES);
    let notices = lock(&state.notices).reports(now);
    let segments = lock(&state.quarantine).reports(now, MAX_SEGMENTS);
    Message {
        sender,
        is_settling,
        report: Report {
            loads: loads.into_iter().collect(),
            suspects: datagram::suspects(suspects),
            crashes,
            segments,
            notices,
            placements,
            contacts,
        },
    }
}

/// Returns the suspect upstreams to report. What may be this host's own failure isn't reported.
/// Each round begins with others, since a message may not have room for all.
fn suspects(
    state: &State,
    now: Instant,
    round: usize,
    scope: Scope,
) -> Vec<(ident::Upstream, Duration, bool)> {
    let mut suspects = lock(&state.health).suspects(now, scope);
    let skip = round.wrapping_mul(SUSPECTS_STEP) % suspects.len().max(1);
    suspects.rotate_left(skip);
    let view = state.view();
    let reach = lock(&state.reach);
    if reach.is_empty() {
        return suspects;
    }
    suspects.retain(|(id, _, _)| {
        let service = view.upstream(id).map(|it| &it.upstream.service);
        !reach.is_in_doubt(id) && !service.is_some_and(|it| reach.is_lost(it))
    });
    suspects
}

/// Returns the datagrams that summarize this zone for another one.
fn encode_summary(
    state: &State,
    now: Instant,
    round: usize,
    placements: Placements,
) -> Vec<Vec<u8>> {
    let Message { sender, report, .. } =
        message(state, now, round, placements, Selection::LargeSample);
    let suspects = suspects(state, now, round, Scope::Zone);
    let mut summary = Summary {
        sender,
        address: state.address,
        shard: (0, 1),
        report: Report {
            loads: lock(&state.loads).host_totals().into_iter().collect(),
            suspects: datagram::suspects(suspects),
            ..report
        },
    };
    let full = lengths(&Report {
        placements: Vec::new(),
        ..summary.report.clone()
    });
    match summary.encode() {
        Ok(mut datagrams) => {
            record_reported(state, now, &full, &summary.report);
            if let Some(shortest) = datagrams.iter_mut().min_by_key(|it| it.len()) {
                append_readings(state, now, shortest, true);
            }
            datagrams
        }
        Err(error) => {
            warn!(%error, "peers: can't encode a summary");
            Vec::new()
        }
    }
}
