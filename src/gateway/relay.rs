//! Which hosts tell other zones what, so that bytes between zones don't grow with
//! the square of the fleet.
//!
//! In a small fleet each host tells every other, in a larger one those of other
//! zones more seldom. In a very large one it tells its zone, and two hosts of the
//! zone each tell one host of each other zone, which passes that on. A
//! host that has just started speaks to all that it finds.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::collections::VecDeque;
use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::datagram;
use crate::gateway::peers;
use crate::gateway::reader;
use crate::ident;

/// Hosts from which on messages to other zones are less frequent.
const LARGE_FLEET: usize = 16;

/// Hosts from which on zones tell each other through some hosts only. Below, what
/// hosts hear of each other directly is fresher and costs less than it saves.
const RELAYED_FLEET: usize = 128;

/// Hosts of a zone that tell other zones.
const RELAYS: usize = 2;

/// The least time between two summaries of one of them: hosts of a zone of a hundred
/// hear of each other no more often.
const LINK_PAUSE: Duration = Duration::from_secs(1);

/// A host of another zone is spoken to once in so many turns, where that isn't
/// left to others.
const FAR_TURNS: usize = 5;

/// The most placements of prompts that wait to be told to other zones.
const PROMPTS: usize = 512;

/// A host to speak to, and its zone if it is known.
pub type Target = (Ipv4Addr, Option<ident::Zone>);

/// Who gets what in one turn.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Round {
    /// Hosts that get this host's own message.
    pub hosts: Vec<Ipv4Addr>,
    /// Hosts of other zones that get it, too.
    pub strangers: Vec<Ipv4Addr>,
    /// Hosts of other zones that look for theirs.
    pub askers: Vec<(Ipv4Addr, ident::Zone)>,
    /// Hosts of other zones that get the summary of this one.
    pub links: Vec<Ipv4Addr>,
}

/// What a host keeps from turn to turn.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    turn: usize,
    links: usize,
    linked_at: Option<Instant>,
    prompts: BTreeSet<(u64, ident::Upstream)>,
    recent: VecDeque<datagram::Prompts>,
    askers: BTreeMap<Ipv4Addr, ident::Zone>,
}

impl Relay {
    /// Records where hosts of this zone sent prompts.
    pub fn learn(&mut self, prompts: &[(u64, ident::Upstream)]) {
        let room = PROMPTS.saturating_sub(self.prompts.len());
        self.prompts.extend(prompts.iter().take(room).cloned());
    }

    /// Records where this host sent prompts, and returns what hosts of other zones
    /// didn't get from it yet.
    pub fn learn_own(&mut self, prompts: &datagram::Prompts) -> datagram::Prompts {
        self.learn(prompts);
        self.recent.push_back(prompts.clone());
        if self.recent.len() > FAR_TURNS {
            self.recent.pop_front();
        }
        self.recent.iter().flatten().cloned().collect()
    }

    /// Records that a host of another zone spoke to this one directly, since it
    /// looks for others.
    pub fn note_asker(&mut self, address: Ipv4Addr, zone: &ident::Zone) {
        self.askers.insert(address, zone.clone());
    }

    /// Returns the placements to tell other zones.
    pub fn take_prompts(&mut self) -> datagram::Prompts {
        std::mem::take(&mut self.prompts).into_iter().collect()
    }

    fn is_link_due(&self, now: Instant) -> bool {
        let linked_at = self.linked_at;
        linked_at.is_none_or(|at| now.duration_since(at) >= LINK_PAUSE)
    }

    /// Begins a turn and returns who gets what.
    pub fn next(
        &mut self,
        now: Instant,
        own: &Own<'_>,
        peers: &peers::Table,
        targets: &[Target],
    ) -> Round {
        self.turn = self.turn.wrapping_add(1);
        let askers = std::mem::take(&mut self.askers);
        if targets.len() < LARGE_FLEET {
            self.prompts.clear();
            return Round {
                hosts: targets.iter().map(|(address, _)| *address).collect(),
                ..Round::default()
            };
        }
        let is_near = |zone: &Option<ident::Zone>| zone.as_ref().is_none_or(|it| it == own.zone);
        let hosts = targets.iter().filter(|(_, zone)| is_near(zone));
        let mut far: BTreeMap<&ident::Zone, Vec<Ipv4Addr>> = BTreeMap::new();
        for (address, zone) in targets {
            if let Some(zone) = zone.as_ref().filter(|zone| *zone != own.zone) {
                far.entry(zone).or_default().push(*address);
            }
        }
        let is_relayed = is_relayed(targets.len());
        let strangers = match peers.is_settling(now) || !is_relayed {
            true => {
                let due = far.values().flatten().enumerate();
                let due = due.filter(|(index, _)| (index + self.turn).is_multiple_of(FAR_TURNS));
                due.map(|(_, address)| *address).collect()
            }
            false => Vec::new(),
        };
        let askers = match is_relayed {
            true => askers.into_iter().collect(),
            false => Vec::new(),
        };
        let links = match rank(now, own, peers).filter(|_| is_relayed) {
            Some(rank) if self.is_link_due(now) => {
                let number = self.links * RELAYS + rank;
                self.links = self.links.wrapping_add(1);
                self.linked_at = Some(now);
                let zones = far.values();
                let links = zones.filter_map(|hosts| hosts.get(number % hosts.len().max(1)));
                links.copied().collect()
            }
            Some(_) => Vec::new(),
            None => {
                self.prompts.clear();
                Vec::new()
            }
        };
        Round {
            hosts: hosts.map(|(address, _)| *address).collect(),
            strangers,
            askers,
            links,
        }
    }
}

/// Tells whether zones of a fleet of so many other hosts tell each other through
/// some hosts only.
pub fn is_relayed(hosts: usize) -> bool {
    hosts >= RELAYED_FLEET
}

/// The host itself.
#[derive(Clone, Copy, Debug)]
pub struct Own<'a> {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its zone.
    pub zone: &'a ident::Zone,
    /// The speed of its link, in Mbit/s.
    pub link_mbps: u32,
}

/// Returns which of the hosts that tell other zones this one is, if it is one.
/// One that has just started doesn't know its zone yet.
fn rank(now: Instant, own: &Own<'_>, peers: &peers::Table) -> Option<usize> {
    if peers.is_settling(now) {
        return None;
    }
    let rank = reader::rank(own.link_mbps, &own.address);
    let near = peers.live(now).filter(|(_, peer)| peer.zone == *own.zone);
    let before = near.filter(|(address, peer)| reader::rank(peer.link_mbps, address) > rank);
    Some(before.count()).filter(|rank| *rank < RELAYS)
}
