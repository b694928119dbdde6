//! Merges the datagrams of other hosts into the shared tables.

use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::gateway::capacity::exchange::Reading;
use crate::gateway::datagram;
use crate::gateway::datagram::Datagram;
use crate::gateway::datagram::Received;
use crate::gateway::datagram::Report;
use crate::gateway::datagram::Sender;
use crate::gateway::load;
use crate::gateway::notice;
use crate::gateway::relay;
use crate::gateway::relay::Relay;
use crate::gateway::state::State;
use crate::lock::lock;

/// Merges a datagram into the shared tables, and returns whether it is to be forwarded
/// to the hosts of this zone. It may have waited for the time `unread`.
pub(super) fn receive(
    state: &State,
    from: SocketAddr,
    bytes: &[u8],
    relay: &mut Relay,
    unread: Duration,
) -> bool {
    let IpAddr::V4(address) = from.ip() else {
        return false;
    };
    let Received {
        datagram,
        format,
        readings,
    } = match datagram::decode(bytes) {
        Ok(received) => received,
        Err(error) => {
            warn!(%error, %from, "peers: can't decode a datagram");
            state.meter.unreadable((&error).into());
            return false;
        }
    };
    let zone = &state.options.host.zone;
    match datagram {
        Datagram::Message(message) if message.sender.process == state.process => false,
        Datagram::Message(message) => {
            let is_same_zone = message.sender.zone == *zone;
            let (is_relayed, is_settling) = {
                let now = Instant::now();
                let peers = lock(&state.peers);
                let others = peers.sharing_peers(now).count();
                (relay::is_relayed(others), peers.is_settling(now))
            };
            let source = match is_same_zone || !is_relayed {
                true => load::Source::Host(message.sender.process),
                false => load::Source::RemoteHost(message.sender.process),
            };
            match is_same_zone {
                true => relay.record(&message.report.placements),
                false if message.is_settling && !is_settling => {
                    relay.record_starting(address, &message.sender.zone);
                }
                false => {}
            }
            merge_notices(state, &message.report.notices, unread);
            merge_readings(state, &readings, unread);
            let from = Reporter {
                address,
                format,
                sender: &message.sender,
            };
            merge(state, from, source, message.report);
            false
        }
        Datagram::Origins(origins) => {
            let now = Instant::now();
            let mut table = lock(&state.origins);
            for (key, version) in &origins.streams {
                table.record(now, *key, version);
            }
            false
        }
        Datagram::Summary(summary) if summary.sender.zone == *zone => false,
        Datagram::Summary(summary) => {
            let is_direct = summary.address == address;
            let source = summary.source();
            merge_notices(state, &summary.report.notices, unread);
            merge_readings(state, &readings, unread);
            let from = Reporter {
                address: summary.address,
                format,
                sender: &summary.sender,
            };
            merge(state, from, source, summary.report);
            is_direct
        }
    }
}

/// The host that a report comes from.
struct Reporter<'a> {
    address: Ipv4Addr,
    /// Format of its datagram.
    format: u8,
    sender: &'a Sender,
}

/// Merges the report of a host or of a zone into the shared tables.
fn merge(state: &State, from: Reporter<'_>, source: load::Source, report: Report) {
    let Reporter {
        address,
        format,
        sender,
    } = from;
    let now = Instant::now();
    let is_same_zone = sender.zone == state.options.host.zone;
    if sender.progress.is_ahead(&state.progress()) {
        state.store_behind.notify_one();
    }
    let lost = {
        let announcement = sender.announcement(format);
        let mut peers = lock(&state.peers);
        let lost = peers.newly_unreachable(address, &announcement);
        if peers.receive(now, address, announcement) {
            info!(%address, process = sender.process, "peers: new host");
        }
        for contact in &report.contacts {
            peers.add(now, contact);
        }
        lost
    };
    for service in lost {
        info!(%address, %service, "peers: a host can connect to no upstream of a service");
        // It may have reported them before it knew.
        let view = state.view();
        let mut health = lock(&state.health);
        for record in view.listed(&service) {
            health.forget_reports(&record.upstream.id);
        }
    }
    {
        let mut health = lock(&state.health);
        for (upstream, left, is_down) in &report.suspects {
            let left = Duration::from_millis(*left);
            health.merge(now, upstream, left, *is_down, is_same_zone);
        }
    }
    let loads = report.loads.into_iter().collect();
    lock(&state.loads).report(now, source, loads);
    {
        let mut cache = lock(&state.prefix_cache);
        for (prompt, upstream) in &report.placements {
            cache.record_remote(now, *prompt, upstream);
        }
    }
    {
        let mut crashes = lock(&state.crashes);
        for crash in &report.crashes {
            crashes.merge(now, crash);
        }
    }
    let mut quarantine = lock(&state.quarantine);
    for segment in &report.segments {
        quarantine.merge(now, segment);
    }
}

/// Merges what other hosts read in responses of upstreams, from a datagram that may have waited
/// for the time `unread`.
fn merge_notices(state: &State, reports: &[notice::Report], unread: Duration) {
    let now = Instant::now();
    for report in reports {
        let news = lock(&state.notices).merge(now, report, unread);
        let (upstream, age_ms) = (&report.upstream, report.age_ms);
        if news.is_leaving {
            info!(%upstream, age_ms, "upstream: announced to another host that it leaves");
        }
        if news.is_rejection_limit_changed {
            let rejection_limit = report.rejection_limit;
            info!(%upstream, age_ms, rejection_limit, "upstream: brittle, as another host read");
        }
        if news.is_limit_changed {
            let limit = report.limit;
            info!(%upstream, age_ms, limit, "upstream: limit changed, as another host read");
        }
    }
}

/// Merges slowdowns that upstreams stated to other hosts.
fn merge_readings(state: &State, readings: &[Reading], unread: Duration) {
    let now = Instant::now();
    let mut capacity = lock(&state.capacity);
    for reading in readings {
        capacity.merge(now, reading, unread);
    }
}
