//! Which other hosts there are: found through seeds, kept up to date by messages.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::ident;
use crate::log::millis;

/// Silence after which a host no longer counts as live.
pub const LIVE_FOR: Duration = Duration::from_secs(3);

/// Silence after which a host no longer counts in the division of budgets. Cut
/// off hosts go on spending their part.
const COUNTED_FOR: Duration = Duration::from_secs(60);

/// Silence after which a host is no longer spoken to.
const SPOKEN_TO_FOR: Duration = Duration::from_secs(120);

/// The addresses in one message.
const ADDRESSES: usize = 3;

/// The same while hosts still find each other.
const ADDRESSES_EARLY: usize = 16;

/// How long hosts find each other after a start.
const EARLY: Duration = Duration::from_secs(8);

/// How long after a start a host may not know its zone: in a fleet of hundreds that
/// starts whole, hosts need about that long to find each other.
const SETTLING: Duration = Duration::from_secs(6);

/// A host as other hosts know it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its availability zone.
    pub zone: ident::Zone,
    /// How long ago the sender last received a message of it, in milliseconds.
    pub silent_ms: u64,
}

/// Which hosts to tell others of.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Contacts<'a> {
    /// Some of all, more of them after a start.
    Some,
    /// More of all.
    Many,
    /// Those of the zone of one that asks.
    Near(&'a ident::Zone),
}

/// A host that sent a message, or that another host knows.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its zone.
    pub zone: ident::Zone,
    /// The run of its process, once it sent a message itself.
    pub process: Option<u64>,
    /// When its last message was received.
    pub received: Option<Instant>,
    /// When any host last received a message of it, as far as is known.
    pub seen: Instant,
    /// Whether it said that it is leaving.
    pub is_leaving: bool,
    /// The revision of the store that it holds.
    pub revision: u64,
    /// The age of its copy of the store at its last message, if it has one.
    pub age: Option<Duration>,
    /// The speed of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Whether it knows which upstreams hold which prompts.
    pub is_informed: bool,
}

impl Peer {
    /// Returns the age of what it holds now, at the most.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let received = self.received?;
        self.age.map(|age| age + now.duration_since(received))
    }
}

/// What a message says about its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// The sender's zone.
    pub zone: ident::Zone,
    /// The run of its process.
    pub process: u64,
    /// Whether it is leaving.
    pub is_leaving: bool,
    /// The revision of the store that it holds.
    pub revision: u64,
    /// The age of what it holds, if it holds anything.
    pub age: Option<Duration>,
    /// The speed of its link, in Mbit/s.
    pub link_mbps: u32,
    /// Whether it knows which upstreams hold which prompts.
    pub is_informed: bool,
}

/// The other hosts, by address.
#[derive(Clone, Debug)]
pub struct Table {
    own: Ipv4Addr,
    seeds: Vec<Ipv4Addr>,
    peers: BTreeMap<Ipv4Addr, Peer>,
    turn: usize,
    began: Option<Instant>,
}

impl Table {
    /// Creates a table that knows the seeds only.
    pub fn new(own: Ipv4Addr, seeds: Vec<Ipv4Addr>) -> Self {
        let mut table = Self {
            own,
            seeds: Vec::new(),
            peers: BTreeMap::new(),
            turn: 0,
            began: None,
        };
        table.set_seeds(seeds);
        table
    }

    /// Replaces the seeds, and tells whether they are others.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) -> bool {
        let own = self.own;
        let seeds = seeds.into_iter().filter(|seed| *seed != own).collect();
        let old = std::mem::replace(&mut self.seeds, seeds);
        old != self.seeds
    }

    /// Takes in a message of a host, and tells whether it is a new run of it.
    pub fn receive(&mut self, now: Instant, address: Ipv4Addr, message: Announcement) -> bool {
        let old = self.peers.get(&address);
        let is_new = old.and_then(|peer| peer.process) != Some(message.process);
        let peer = Peer {
            zone: message.zone,
            process: Some(message.process),
            received: Some(now),
            seen: now,
            is_leaving: message.is_leaving,
            revision: message.revision,
            age: message.age,
            link_mbps: message.link_mbps,
            is_informed: message.is_informed,
        };
        self.peers.insert(address, peer);
        is_new
    }

    /// Adds a host that another knows.
    pub fn add(&mut self, now: Instant, contact: &Contact) {
        let silent = Duration::from_millis(contact.silent_ms);
        let seen = now.checked_sub(silent);
        let Some(seen) = seen.filter(|_| silent < COUNTED_FOR && contact.address != self.own)
        else {
            return;
        };
        let peer = self.peers.entry(contact.address).or_insert_with(|| Peer {
            zone: contact.zone.clone(),
            process: None,
            received: None,
            seen,
            is_leaving: false,
            revision: 0,
            age: None,
            link_mbps: 0,
            is_informed: false,
        });
        peer.seen = peer.seen.max(seen);
    }

    /// Returns the hosts that are live, with their addresses.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            let received = peer.received.map(|received| now.duration_since(received));
            received.is_some_and(|silent| silent < LIVE_FOR) && !peer.is_leaving
        })
    }

    /// Returns the host to ask for what it holds of the store: one that holds a later
    /// revision, or whose copy is younger than `stale`. One of the own zone comes
    /// first, as a whole copy is large when hundreds of hosts start.
    pub fn ahead(
        &self,
        now: Instant,
        zone: &ident::Zone,
        revision: u64,
        stale: Duration,
    ) -> Option<Ipv4Addr> {
        let useful = self.live(now).filter_map(|(address, peer)| {
            let age = peer.age(now)?;
            (age < stale || peer.revision > revision).then_some((address, peer, age))
        });
        let best = useful.max_by_key(|(_, peer, age)| {
            (peer.zone == *zone, peer.revision, std::cmp::Reverse(*age))
        });
        best.map(|(address, _, _)| *address)
    }

    /// Returns a live host that knows which upstreams hold which prompts, except for
    /// some, preferably one of a zone.
    pub fn informed(
        &self,
        now: Instant,
        zone: &ident::Zone,
        except: &BTreeSet<Ipv4Addr>,
    ) -> Option<Ipv4Addr> {
        let informed = self.live(now).filter(|(_, peer)| peer.is_informed);
        let others = informed.filter(|(address, _)| !except.contains(address));
        let best = others.max_by_key(|(_, peer)| peer.zone == *zone);
        best.map(|(address, _)| *address)
    }

    /// Returns the time since the last message of any host of a zone, if there was one.
    pub fn silence(&self, now: Instant, zone: &ident::Zone) -> Option<Duration> {
        let peers = self.peers.values().filter(|peer| peer.zone == *zone);
        let received = peers.filter_map(|peer| peer.received).max();
        received.map(|received| now.duration_since(received))
    }

    /// Returns how many hosts share the fleet's budgets, this one included.
    pub fn sharing(&self, now: Instant) -> usize {
        let counted = self.peers.values();
        let counted = counted.filter(|peer| now.duration_since(peer.seen) < COUNTED_FOR);
        counted.count() + 1
    }

    /// Returns the hosts that share budgets, with their zones, without this one.
    pub fn counted(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| now.duration_since(peer.seen) < COUNTED_FOR)
    }

    /// Returns the addresses to speak to: hosts that were seen, and seeds that
    /// sent nothing lately.
    pub fn targets(&mut self, now: Instant) -> Vec<(Ipv4Addr, Option<ident::Zone>)> {
        self.peers
            .retain(|_, peer| now.duration_since(peer.seen) < SPOKEN_TO_FOR);
        let known = self.peers.iter();
        let known = known.map(|(address, peer)| (*address, Some(peer.zone.clone())));
        let seeds = self.seeds.iter();
        let unknown = seeds.filter(|seed| !self.peers.contains_key(*seed));
        known.chain(unknown.map(|seed| (*seed, None))).collect()
    }

    /// Returns some hosts to tell a zone of, another part each time.
    pub fn contacts(&mut self, now: Instant, of: Contacts<'_>) -> Vec<Contact> {
        let began = *self.began.get_or_insert(now);
        let (most, zone) = match of {
            Contacts::Some if now.duration_since(began) < EARLY => (ADDRESSES_EARLY, None),
            Contacts::Some => (ADDRESSES, None),
            Contacts::Many => (ADDRESSES_EARLY, None),
            Contacts::Near(zone) => (ADDRESSES_EARLY, Some(zone)),
        };
        let told = |peer: &Peer| zone.is_none_or(|zone| peer.zone == *zone);
        let told: Vec<_> = self.peers.iter().filter(|(_, peer)| told(peer)).collect();
        let skip = self.turn % told.len().max(1);
        self.turn = self.turn.wrapping_add(most);
        let count = told.len().min(most);
        let peers = told.into_iter().cycle().skip(skip).take(count);
        let contacts = peers.map(|(address, peer)| Contact {
            address: *address,
            zone: peer.zone.clone(),
            silent_ms: millis(now.duration_since(peer.seen)),
        });
        contacts.collect()
    }

    /// Tells whether this host started so recently that it may not know its zone.
    pub fn is_settling(&self, now: Instant) -> bool {
        let began = self.began;
        began.is_none_or(|began| now.duration_since(began) < SETTLING)
    }
}
