//! What hosts send each other as datagrams: that they live, what runs at
//! upstreams, which hold which prompt, which were lost, which requests crash
//! them.

use std::collections::VecDeque;
use std::io;
use std::net::IpAddr;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tracing::info;
use tracing::warn;

use crate::boot;
use crate::gateway::peers;
use crate::gateway::peers::Contact;
use crate::gateway::state::State;
use crate::ident;
use crate::lock::lock;
use crate::log::millis;
use crate::policy::strike::Strike;

/// The version of the form of messages.
const VERSION: u8 = 1;

/// The longest message, in bytes: one that fits a datagram without fragments.
const MESSAGE_BYTES: usize = 1_400;

/// The most strikes in a message.
const STRIKES: usize = 8;

/// Messages that a host sends a second at most. Larger fleets speak more seldom.
const MESSAGES_PER_SECOND: f64 = 60.0;

/// Messages to other zones are this many times as seldom in a large fleet.
const FAR_TURNS: usize = 5;

/// Hosts from which on messages to other zones are less frequent.
const LARGE_FLEET: usize = 16;

/// The least time between two messages for urgent updates.
const URGENT_PAUSE: Duration = Duration::from_millis(20);

/// A message to other hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Message {
    version: u8,
    process: u64,
    zone: ident::Zone,
    is_leaving: bool,
    revision: u64,
    age_ms: Option<u64>,
    link_mbps: u32,
    loads: Vec<(ident::Upstream, u32)>,
    suspects: Vec<(ident::Upstream, u64, bool)>,
    strikes: Vec<Strike>,
    prompts: Vec<(u64, ident::Upstream)>,
    contacts: Vec<Contact>,
}

/// Sends and receives messages until the process stops.
pub async fn run(state: Arc<State>, socket: UdpSocket) {
    let mut buffer = vec![0; 64 * 1024];
    let mut next = Instant::now();
    let mut turn = Turn::default();
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return,
            received = socket.recv_from(&mut buffer) => match received {
                Ok((length, from)) => {
                    let bytes = buffer.get(..length).unwrap_or_default();
                    receive(&state, from, bytes);
                }
                Err(error) => warn!(%error, "peers: can't receive"),
            },
            () = tokio::time::sleep_until(next) => {
                let count = send(&state, &socket, &mut turn).await;
                next = Instant::now() + pause(&state, count);
            }
            () = state.urgent.notified() => {
                next = next.min(Instant::now() + URGENT_PAUSE);
            }
        }
    }
}

/// Returns the time to the next message, by how many hosts each goes to.
fn pause(state: &State, hosts: usize) -> Duration {
    let least = state.options.gateway.gossip_pause;
    least.max(Duration::from_secs_f64(hosts as f64 / MESSAGES_PER_SECOND))
}

/// Sends a message to all hosts of this zone, and to those of other zones whose turn it is.
async fn send(state: &State, socket: &UdpSocket, turn: &mut Turn) -> usize {
    let now = Instant::now();
    lock(&state.loads).expire(now);
    let targets = lock(&state.peers).targets(now);
    let is_large = targets.len() >= LARGE_FLEET;
    let own = &state.options.host.zone;
    let near = |zone: &Option<ident::Zone>| zone.as_ref() == Some(own);
    let updates = lock(&state.warm).take_updates();
    let all = turn.next(updates.clone());
    let (near, far): (Vec<_>, Vec<_>) = targets.iter().partition(|(_, zone)| near(zone));
    // Each host of another zone gets its message in a turn of its own.
    let far = far.into_iter().enumerate();
    let far = far.filter(|(index, _)| !is_large || turn.is_due(*index));
    let far: Vec<_> = far.map(|(_, target)| target).collect();
    let count = near.len() + far.len();
    let far_updates = match is_large {
        true => all,
        false => updates.clone(),
    };
    for (targets, updates) in [(near, updates), (far, far_updates)] {
        if targets.is_empty() {
            continue;
        }
        let Some(bytes) = message(state, now, updates) else {
            return count;
        };
        for (address, _) in targets {
            let to = SocketAddr::new((*address).into(), state.options.gateway.gossip_port);
            // A full link or a host that is down loses the message, as on the way.
            if let Err(error) = socket.send_to(&bytes, to).await
                && error.kind() != io::ErrorKind::ConnectionRefused
            {
                warn!(%error, %to, "peers: can't send");
            }
        }
    }
    count
}

type Updates = Vec<(u64, ident::Upstream)>;

/// Which hosts of other zones get a message, and the updates that they didn't get yet.
#[derive(Debug, Default)]
struct Turn {
    number: usize,
    updates: VecDeque<Updates>,
}

impl Turn {
    /// Begins a turn with the latest updates, and returns those of a whole round.
    fn next(&mut self, updates: Updates) -> Updates {
        self.number = self.number.wrapping_add(1);
        self.updates.push_back(updates);
        if self.updates.len() > FAR_TURNS {
            self.updates.pop_front();
        }
        self.updates.iter().flatten().cloned().collect()
    }

    fn is_due(&self, index: usize) -> bool {
        (index + self.number).is_multiple_of(FAR_TURNS)
    }
}

fn message(state: &State, now: Instant, prompts: Vec<(u64, ident::Upstream)>) -> Option<Vec<u8>> {
    let boot = boot::Instant::now();
    let (revision, age) = {
        let mirror = lock(&state.mirror);
        (mirror.revision(), mirror.age(boot))
    };
    let contacts = lock(&state.peers).contacts(now);
    let suspects = lock(&state.health).suspects(now);
    let suspects = suspects.into_iter();
    let suspects = suspects.map(|(upstream, left, is_down)| (upstream, millis(left), is_down));
    let loads = lock(&state.loads).counts().clone();
    let mut strikes = lock(&state.strikes).strikes(now);
    strikes.truncate(STRIKES);
    let mut message = Message {
        version: VERSION,
        process: state.process,
        zone: state.options.host.zone.clone(),
        is_leaving: state.draining.is_cancelled(),
        revision,
        age_ms: age.map(millis),
        link_mbps: state.options.gateway.link_mbps,
        loads: loads.into_iter().collect(),
        suspects: suspects.collect(),
        strikes,
        prompts,
        contacts,
    };
    loop {
        let bytes = match rmp_serde::to_vec(&message) {
            Ok(bytes) => bytes,
            Err(error) => {
                warn!(%error, "peers: message can't be encoded");
                return None;
            }
        };
        // Loads matter most; the rest comes again with the next message.
        match bytes.len() <= MESSAGE_BYTES {
            true => return Some(bytes),
            false if message.contacts.pop().is_some() => {}
            false if message.strikes.pop().is_some() => {}
            false if message.prompts.pop().is_some() => {}
            false if message.loads.pop().is_some() => {}
            false => return Some(bytes),
        }
    }
}

fn receive(state: &State, from: SocketAddr, bytes: &[u8]) {
    let IpAddr::V4(address) = from.ip() else {
        return;
    };
    let message: Message = match rmp_serde::from_slice(bytes) {
        Ok(message) => message,
        Err(error) => return warn!(%error, %from, "peers: message can't be read"),
    };
    if message.process == state.process || message.version != VERSION {
        return;
    }
    let now = Instant::now();
    let announcement = peers::Announcement {
        zone: message.zone,
        process: message.process,
        is_leaving: message.is_leaving,
        revision: message.revision,
        age: message.age_ms.map(Duration::from_millis),
        link_mbps: message.link_mbps,
    };
    if message.revision > lock(&state.mirror).revision() {
        state.behind.notify_one();
    }
    {
        let mut peers = lock(&state.peers);
        if peers.receive(now, address, announcement) {
            info!(%address, process = message.process, "peers: new host");
        }
        for contact in &message.contacts {
            peers.add(now, contact);
        }
    }
    {
        let mut health = lock(&state.health);
        for (upstream, left, is_down) in &message.suspects {
            health.merge(now, upstream, Duration::from_millis(*left), *is_down);
        }
    }
    let loads = message.loads.into_iter().collect();
    lock(&state.loads).report(now, message.process, loads);
    {
        let mut warm = lock(&state.warm);
        for (prompt, upstream) in &message.prompts {
            warm.learn(now, *prompt, upstream);
        }
    }
    let mut strikes = lock(&state.strikes);
    for strike in &message.strikes {
        strikes.merge(now, strike);
    }
}
