//! What hosts send each other as datagrams: that they live, what runs at
//! upstreams, which hold which prompt, which were lost, which requests crash
//! them.

use std::io;
use std::net::IpAddr;
use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::net::UdpSocket;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::boot;
use crate::gateway::datagram;
use crate::gateway::datagram::Datagram;
use crate::gateway::datagram::Message;
use crate::gateway::datagram::Prompts;
use crate::gateway::datagram::Report;
use crate::gateway::datagram::Sender;
use crate::gateway::datagram::Summary;
use crate::gateway::health::Scope;
use crate::gateway::load;
use crate::gateway::peers::Contacts;
use crate::gateway::relay;
use crate::gateway::relay::Own;
use crate::gateway::relay::Relay;
use crate::gateway::relay::Round;
use crate::gateway::state::State;
use crate::lock::lock;
use crate::log::millis;

/// The most strikes in a message.
const STRIKES: usize = 8;

/// Messages that a host sends a second at most. Larger fleets speak more seldom.
const MESSAGES_PER_SECOND: f64 = 60.0;

/// The least time between two messages for urgent updates.
const URGENT_PAUSE: Duration = Duration::from_millis(20);

/// Messages that a host sends a second at most while updates are urgent.
const URGENT_PER_SECOND: f64 = 1_000.0;

/// Sends and receives messages until the process stops.
pub async fn run(state: Arc<State>, socket: UdpSocket) {
    let mut buffer = vec![0; 64 * 1024];
    let mut next = Instant::now();
    let mut earliest = next;
    let mut relay = Relay::default();
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    let bytes = buffer.get(..length).unwrap_or_default();
                    if receive(&state, from, bytes, &mut relay) {
                        pass_on(&state, &socket, bytes).await;
                    }
                }
                Err(error) => warn!(%error, "peers: can't receive"),
            },
            () = tokio::time::sleep_until(next) => {
                let sent = send(&state, &socket, &mut relay).await;
                next = Instant::now() + pause(&state, sent.count);
                earliest = Instant::now() + urgent_pause(&sent);
            }
            () = state.urgent.notified() => next = next.min(earliest),
        }
    }
}

/// Returns the time to the next message, by how many hosts each goes to.
fn pause(state: &State, hosts: usize) -> Duration {
    let least = state.bounds().gossip_pause;
    least.max(Duration::from_secs_f64(hosts as f64 / MESSAGES_PER_SECOND))
}

/// Returns the least time to the next message.
fn urgent_pause(sent: &Sent) -> Duration {
    let pause = Duration::from_secs_f64(sent.count as f64 / URGENT_PER_SECOND);
    match sent.is_relayed {
        true => URGENT_PAUSE.max(pause),
        false => URGENT_PAUSE,
    }
}

/// Sends what is due now.
async fn send(state: &State, socket: &UdpSocket, relay: &mut Relay) -> Sent {
    let now = Instant::now();
    lock(&state.loads).expire(now);
    let (round, is_relayed, is_settling) = {
        let mut peers = lock(&state.peers);
        let targets = peers.targets(now);
        let round = relay.next(now, &own(state), &peers, &targets);
        let is_relayed = relay::is_relayed(targets.len());
        (round, is_relayed, peers.is_settling(now))
    };
    let Round {
        hosts,
        strangers,
        askers,
        links,
    } = round;
    let count = hosts.len() + strangers.len() + askers.len() + links.len();
    let prompts = lock(&state.prefix_cache).take_updates();
    let recent = relay.learn_own(&prompts);
    if let Some(bytes) = encode(message(state, now, prompts, Contacts::Some)) {
        for address in hosts {
            send_to(state, socket, address, &bytes).await;
        }
    }
    if !strangers.is_empty()
        && let Some(bytes) = encode(message(state, now, recent, Contacts::Some))
    {
        for address in strangers {
            send_to(state, socket, address, &bytes).await;
        }
    }
    for (address, zone) in askers {
        let mut message = message(state, now, Vec::new(), Contacts::Near(&zone));
        if !is_settling {
            // They are in the summary of the zone.
            message.report.loads.clear();
        }
        if let Some(bytes) = encode(message) {
            send_to(state, socket, address, &bytes).await;
        }
    }
    if !links.is_empty() {
        for bytes in summary(state, now, relay.take_prompts()) {
            for address in &links {
                send_to(state, socket, *address, &bytes).await;
            }
        }
    }
    Sent { count, is_relayed }
}

/// What was sent in a turn.
struct Sent {
    /// To how many hosts.
    count: usize,
    /// Whether the fleet is so large that zones tell each other.
    is_relayed: bool,
}

/// Passes a summary of another zone on to this one.
async fn pass_on(state: &State, socket: &UdpSocket, bytes: &[u8]) {
    let near: Vec<Ipv4Addr> = {
        let peers = lock(&state.peers);
        let own = &state.options.host.zone;
        let near = peers.live(Instant::now()).filter(|(_, it)| it.zone == *own);
        near.map(|(address, _)| *address).collect()
    };
    for address in near {
        send_to(state, socket, address, bytes).await;
    }
}

async fn send_to(state: &State, socket: &UdpSocket, address: Ipv4Addr, bytes: &[u8]) {
    let to = SocketAddr::new(address.into(), state.options.gateway.gossip_port);
    // A full link or a host that is down loses the message, as on the way.
    if let Err(error) = socket.send_to(bytes, to).await
        && error.kind() != io::ErrorKind::ConnectionRefused
    {
        warn!(%error, %to, "peers: can't send");
    }
}

fn encode(message: Message) -> Option<Vec<u8>> {
    match message.encode() {
        Ok(bytes) => Some(bytes),
        Err(error) => {
            warn!(%error, "peers: message can't be encoded");
            None
        }
    }
}

fn own(state: &State) -> Own<'_> {
    Own {
        address: state.address,
        zone: &state.options.host.zone,
        link_mbps: state.bounds().link_mbps,
    }
}

fn sender(state: &State) -> Sender {
    let boot = boot::Instant::now();
    let (revision, age) = {
        let mirror = lock(&state.mirror);
        (mirror.revision(), mirror.age(boot))
    };
    Sender {
        process: state.process,
        zone: state.options.host.zone.clone(),
        is_leaving: state.draining.is_cancelled(),
        revision,
        age_ms: age.map(millis),
        link_mbps: state.bounds().link_mbps,
        is_informed: state.is_informed.load(Ordering::Relaxed),
    }
}

fn message(state: &State, now: Instant, prompts: Prompts, contacts: Contacts<'_>) -> Message {
    let sender = sender(state);
    let (contacts, is_settling) = {
        let mut peers = lock(&state.peers);
        (peers.contacts(now, contacts), peers.is_settling(now))
    };
    let suspects = lock(&state.health).suspects(now, Scope::Host);
    let loads = lock(&state.loads).own_counts().clone();
    let mut strikes = lock(&state.strikes).strikes(now);
    strikes.truncate(STRIKES);
    Message {
        sender,
        is_settling,
        report: Report {
            loads: loads.into_iter().collect(),
            suspects: datagram::suspects(suspects),
            strikes,
            prompts,
            contacts,
        },
    }
}

/// Returns the datagrams that tell another zone about this one.
fn summary(state: &State, now: Instant, prompts: Prompts) -> Vec<Vec<u8>> {
    let Message { sender, report, .. } = message(state, now, prompts, Contacts::Many);
    let suspects = lock(&state.health).suspects(now, Scope::Zone);
    let summary = Summary {
        sender,
        address: state.address,
        part: (0, 1),
        report: Report {
            loads: lock(&state.loads).host_totals().into_iter().collect(),
            suspects: datagram::suspects(suspects),
            ..report
        },
    };
    match summary.encode() {
        Ok(datagrams) => datagrams,
        Err(error) => {
            warn!(%error, "peers: summary can't be encoded");
            Vec::new()
        }
    }
}

/// Takes in a datagram, and tells whether it is to be passed on to the zone.
fn receive(state: &State, from: SocketAddr, bytes: &[u8], relay: &mut Relay) -> bool {
    let IpAddr::V4(address) = from.ip() else {
        return false;
    };
    let datagram = match datagram::decode(bytes) {
        Ok(datagram) => datagram,
        Err(error) => {
            warn!(%error, %from, "peers: message can't be read");
            return false;
        }
    };
    let own = &state.options.host.zone;
    match datagram {
        Datagram::Message(message) if message.sender.process == state.process => false,
        Datagram::Message(message) => {
            let is_near = message.sender.zone == *own;
            let (is_relayed, is_settling) = {
                let now = Instant::now();
                let peers = lock(&state.peers);
                let others = peers.counted(now).count();
                (relay::is_relayed(others), peers.is_settling(now))
            };
            let source = match is_near || !is_relayed {
                true => load::Source::Host(message.sender.process),
                false => load::Source::RemoteHost(message.sender.process),
            };
            match is_near {
                true => relay.learn(&message.report.prompts),
                false if message.is_settling && !is_settling => {
                    relay.note_asker(address, &message.sender.zone);
                }
                false => {}
            }
            take(state, address, &message.sender, source, message.report);
            false
        }
        Datagram::Summary(summary) if summary.sender.zone == *own => false,
        Datagram::Summary(summary) => {
            let is_direct = summary.address == address;
            let source = summary.source();
            take(
                state,
                summary.address,
                &summary.sender,
                source,
                summary.report,
            );
            is_direct
        }
    }
}

/// Takes in what a host tells of itself or of its zone.
fn take(state: &State, address: Ipv4Addr, sender: &Sender, source: load::Source, report: Report) {
    let now = Instant::now();
    let is_near = sender.zone == state.options.host.zone;
    if sender.revision > lock(&state.mirror).revision() {
        state.behind.notify_one();
    }
    {
        let mut peers = lock(&state.peers);
        if peers.receive(now, address, sender.announcement()) {
            info!(%address, process = sender.process, "peers: new host");
        }
        for contact in &report.contacts {
            peers.add(now, contact);
        }
    }
    {
        let mut health = lock(&state.health);
        for (upstream, left, is_down) in &report.suspects {
            let left = Duration::from_millis(*left);
            health.merge(now, upstream, left, *is_down, is_near);
        }
    }
    let loads = report.loads.into_iter().collect();
    lock(&state.loads).report(now, source, loads);
    {
        let mut cache = lock(&state.prefix_cache);
        for (prompt, upstream) in &report.prompts {
            cache.record_remote(now, *prompt, upstream);
        }
    }
    let mut strikes = lock(&state.strikes);
    for strike in &report.strikes {
        strikes.merge(now, strike);
    }
}
