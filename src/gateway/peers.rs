//! Table of the other hosts of the fleet.
//!
//! Hosts are discovered through seeds and through the contacts in gossip messages, and
//! expire when no messages from them are received.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::gateway::datagram;
use crate::gateway::datagram::format;
use crate::gateway::join::Others;
use crate::gateway::upstream::Upstream;
use crate::ident;
use crate::log::millis;
use crate::mirror::Position;

/// Time without a message after which a host no longer counts as live.
pub const LIVE_TIMEOUT: Duration = Duration::from_secs(3);

/// Time after which a host that sends no messages to this one no longer counts as live
/// unless another host has received one. Zones of a large fleet list each of their hosts
/// to others that often.
const SEEN_TIMEOUT: Duration = Duration::from_secs(15);

/// Time without a message after which a host no longer shares the fleet's budgets. It
/// is long because hosts that are partitioned off go on spending their share.
const SHARE_TIMEOUT: Duration = Duration::from_secs(60);

/// Time without a message after which a host is removed and no longer sent gossip.
const REMOVAL_TIMEOUT: Duration = Duration::from_secs(120);

/// Number of contacts in a message.
const CONTACTS: usize = 3;

/// Number of contacts in a message during discovery and in summaries.
const MAX_CONTACTS: usize = 16;

/// Duration of discovery after a start, in which messages list more contacts.
const DISCOVERY: Duration = Duration::from_secs(8);

/// Time after a start in which a host may not know the hosts of its zone. In a fleet
/// of hundreds of hosts that start together, discovery takes about that long.
const SETTLING_TIME: Duration = Duration::from_secs(6);

/// First format whose hosts take requests from other hosts.
const HANDOFF_FORMAT: u8 = 10;

/// A host as another host knows it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Contact {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its availability zone.
    pub zone: ident::Zone,
    /// Time since its last message was received by any host, in milliseconds.
    pub silent_ms: u64,
}

/// Selection of hosts for the contacts of a message.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Selection<'a> {
    /// A few hosts of all zones; more during discovery.
    Sample,
    /// A larger number of hosts of all zones.
    LargeSample,
    /// Hosts of the given zone.
    Zone(&'a ident::Zone),
}

/// How far a host's knowledge of the store has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// Position of its copy of the store.
    pub position: Position,
    /// Version of the route table in effect, 0 without one. After the store came back from
    /// an older copy, a host may know a later one than the store.
    pub table_version: u64,
}

impl Progress {
    /// Returns whether a host with this progress knows something that one with `other`
    /// doesn't.
    pub fn is_ahead(&self, other: &Self) -> bool {
        self.position > other.position || self.table_version > other.table_version
    }
}

/// A host that sent a message to this one, or that another host listed as a contact.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its zone.
    pub zone: ident::Zone,
    /// Random identifier of the run of its process, once it sent a message itself.
    pub process: Option<u64>,
    /// Format of its datagrams, once it sent a message itself.
    pub format: Option<u8>,
    /// When this host last received a message from it.
    pub last_received: Option<Instant>,
    /// When any host last received a message from it, as far as this host knows.
    pub last_seen: Instant,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// How far its knowledge of the store has come.
    pub progress: Progress,
    /// Whether it has compared its route table with those of others since its start.
    pub has_joined: bool,
    /// Age of its copy of the store at its last message, if it has one.
    pub age: Option<Duration>,
    /// Speed of its link in Mbit/s.
    pub link_mbps: u32,
    /// Whether it knows which upstreams hold which prompts.
    pub is_informed: bool,
    /// Number of hosts that it counted, if it may know all of them.
    pub fleet_size: Option<usize>,
    /// Services whose upstreams it can't connect to.
    pub unreachable: Vec<ident::Service>,
}

impl Peer {
    /// Returns an upper bound of the age of its copy of the store.
    pub fn age(&self, now: Instant) -> Option<Duration> {
        let received = self.last_received?;
        self.age.map(|age| age + now.duration_since(received))
    }

    /// Returns whether requests for a service may be handed to it, as far as this host knows.
    fn accepts_handoffs(&self, service: &ident::Service) -> bool {
        let is_able = self.format.is_none_or(|it| it >= HANDOFF_FORMAT);
        is_able && !self.unreachable.contains(service)
    }
}

/// Content of a message about its sender.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Announcement {
    /// Format of the message.
    pub format: u8,
    /// The sender's zone.
    pub zone: ident::Zone,
    /// Random identifier of the run of its process.
    pub process: u64,
    /// Whether it is shutting down.
    pub is_leaving: bool,
    /// How far its knowledge of the store has come.
    pub progress: Progress,
    /// Whether it has compared its route table with those of others since its start.
    pub has_joined: bool,
    /// Age of its copy of the store, if it has one.
    pub age: Option<Duration>,
    /// Speed of its link in Mbit/s.
    pub link_mbps: u32,
    /// Whether it knows which upstreams hold which prompts.
    pub is_informed: bool,
    /// Number of hosts that it counted, if it may know all of them.
    pub fleet_size: Option<usize>,
    /// Services whose upstreams it can't connect to.
    pub unreachable: Vec<ident::Service>,
}

/// The other hosts, by address.
#[derive(Clone, Debug)]
pub struct Table {
    /// Address of this host.
    local: Ipv4Addr,
    /// Hosts that others are discovered through, without this one.
    seeds: Vec<Ipv4Addr>,
    /// Whether the settings name any seed, so that there may be other hosts.
    has_seeds: bool,
    peers: BTreeMap<Ipv4Addr, Peer>,
    /// Number of contacts selected so far, to rotate them.
    offset: usize,
    /// When contacts were first selected.
    started_at: Option<Instant>,
}

impl Table {
    /// Creates a table without peers. `local` is the address of this host.
    pub fn new(local: Ipv4Addr, seeds: Vec<Ipv4Addr>) -> Self {
        let mut table = Self {
            local,
            seeds: Vec::new(),
            has_seeds: false,
            peers: BTreeMap::new(),
            offset: 0,
            started_at: None,
        };
        table.set_seeds(seeds);
        table
    }

    /// Replaces the seeds, and returns whether they differ from the old ones.
    pub fn set_seeds(&mut self, seeds: Vec<Ipv4Addr>) -> bool {
        let local = self.local;
        self.has_seeds = !seeds.is_empty();
        let seeds = seeds.into_iter().filter(|seed| *seed != local).collect();
        let old = std::mem::replace(&mut self.seeds, seeds);
        old != self.seeds
    }

    /// Returns the services that a host could connect to before, as far as this one knows, and can't
    /// by its new message.
    pub fn newly_unreachable(
        &self,
        address: Ipv4Addr,
        message: &Announcement,
    ) -> Vec<ident::Service> {
        let known = self.peers.get(&address).map(|peer| &peer.unreachable);
        let is_new = |service: &&ident::Service| known.is_none_or(|it| !it.contains(service));
        message.unreachable.iter().filter(is_new).cloned().collect()
    }

    /// Records a message from a host, and returns whether its process is new.
    pub fn receive(&mut self, now: Instant, address: Ipv4Addr, message: Announcement) -> bool {
        let old = self.peers.get(&address);
        let is_new = old.and_then(|peer| peer.process) != Some(message.process);
        let peer = Peer {
            zone: message.zone,
            process: Some(message.process),
            format: Some(message.format),
            last_received: Some(now),
            last_seen: now,
            is_leaving: message.is_leaving,
            progress: message.progress,
            has_joined: message.has_joined,
            age: message.age,
            link_mbps: message.link_mbps,
            is_informed: message.is_informed,
            fleet_size: message.fleet_size,
            unreachable: message.unreachable,
        };
        self.peers.insert(address, peer);
        is_new
    }

    /// Records a contact from another host's message, unless the contact has been silent
    /// for too long.
    pub fn add(&mut self, now: Instant, contact: &Contact) {
        let silent = Duration::from_millis(contact.silent_ms);
        let seen = now.checked_sub(silent);
        let Some(seen) = seen.filter(|_| silent < SHARE_TIMEOUT && contact.address != self.local)
        else {
            return;
        };
        let peer = self.peers.entry(contact.address).or_insert_with(|| Peer {
            zone: contact.zone.clone(),
            process: None,
            format: None,
            last_received: None,
            last_seen: seen,
            is_leaving: false,
            progress: Progress::default(),
            has_joined: false,
            age: None,
            link_mbps: 0,
            is_informed: false,
            fleet_size: None,
            unreachable: Vec::new(),
        });
        peer.last_seen = peer.last_seen.max(seen);
    }

    /// Returns the live hosts: those that sent a message lately and aren't shutting
    /// down.
    pub fn live(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            let received = peer
                .last_received
                .map(|received| now.duration_since(received));
            received.is_some_and(|silent| silent < LIVE_TIMEOUT) && !peer.is_leaving
        })
    }

    /// Returns the speed of the slowest link of the live hosts in Mbit/s; `None` if none is known.
    pub fn slowest_link(&self, now: Instant) -> Option<u32> {
        let links = self.live(now).map(|(_, peer)| peer.link_mbps);
        links.filter(|link| *link > 0).min()
    }

    /// Returns what this host knows of others when it starts.
    pub fn others(&mut self, now: Instant) -> Others {
        let joined = self.live(now).filter(|(_, peer)| peer.has_joined);
        let latest = joined.map(|(_, peer)| peer.progress.table_version).max();
        let targets = self.targets(now);
        let is_starting = |address: &Ipv4Addr| {
            let peer = self.peers.get(address);
            peer.is_some_and(|peer| peer.last_received.is_some() && !peer.has_joined)
        };
        match latest {
            Some(latest) => Others::Latest(latest),
            None if targets.is_empty() => Others::None,
            None if targets.iter().all(|(address, _)| is_starting(address)) => Others::Starting,
            None => Others::Silent,
        }
    }

    /// Returns the hosts that may be sent requests: the live ones and, in a large fleet,
    /// hosts of other zones, which send no messages to this one but are seen by others.
    pub fn addressable(&self, now: Instant) -> impl Iterator<Item = (Ipv4Addr, &ident::Zone)> {
        let hosts = self.up(now);
        hosts.map(|(address, peer)| (*address, &peer.zone))
    }

    /// Returns a host that is to send a request for a service in place of this one, which is in
    /// `zone` and can't connect to the upstreams; `None` if no host may be able to. `draw` is
    /// uniform in 0..1.
    ///
    /// Hosts of the zone come first, unless most of them are cut off as well: the rest would get
    /// the requests of all.
    pub fn substitute(
        &self,
        now: Instant,
        zone: &ident::Zone,
        service: &ident::Service,
        except: &[Ipv4Addr],
        draw: f64,
    ) -> Option<Ipv4Addr> {
        let reaches = |peer: &Peer| peer.accepts_handoffs(service);
        let local = self.up(now).filter(|(_, peer)| peer.zone == *zone);
        let (sound, cut): (Vec<_>, Vec<_>) = local.partition(|(_, peer)| reaches(peer));
        let is_local = sound.len() > cut.len();
        let hosts = self.up(now).filter(|(address, peer)| {
            reaches(peer) && !except.contains(address) && (!is_local || peer.zone == *zone)
        });
        let mut hosts: Vec<_> = hosts.map(|(address, _)| *address).collect();
        if hosts.is_empty() && is_local {
            let others = self
                .up(now)
                .filter(|(address, peer)| reaches(peer) && !except.contains(address));
            hosts = others.map(|(address, _)| *address).collect();
        }
        let index = (draw * hosts.len() as f64) as usize;
        hosts.get(index).copied()
    }

    /// Returns the hosts that are up, as far as this one knows.
    fn up(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        self.peers.iter().filter(move |(_, peer)| {
            let silent = |since: Instant| now.duration_since(since);
            let is_up = match peer.last_received.map(silent) {
                Some(silent) if silent < SEEN_TIMEOUT => silent < LIVE_TIMEOUT,
                Some(_) | None => silent(peer.last_seen) < SEEN_TIMEOUT,
            };
            is_up && !peer.is_leaving
        })
    }

    /// Returns the host to copy the store from: one that is ahead of `progress`, or whose copy
    /// is younger than `max_age`. Hosts with a later route table come first, then those of
    /// `zone`, as full copies are large when hundreds of hosts start.
    pub fn best_source(
        &self,
        now: Instant,
        zone: &ident::Zone,
        progress: &Progress,
        max_age: Duration,
    ) -> Option<Ipv4Addr> {
        let eligible = self.live(now).filter_map(|(address, peer)| {
            let age = peer.age(now)?;
            let is_eligible = age < max_age || peer.progress.is_ahead(progress);
            is_eligible.then_some((address, peer, age))
        });
        let best = eligible.max_by_key(|(_, peer, age)| {
            (
                peer.progress.table_version > progress.table_version,
                peer.zone == *zone,
                peer.progress.position,
                std::cmp::Reverse(*age),
            )
        });
        best.map(|(address, _, _)| *address)
    }

    /// Returns any host with a copy of the store that is younger than `max_age`, one of `zone` if
    /// there is any. `draw` is uniform in 0..1: hosts that start together choose different ones.
    pub fn any_source(
        &self,
        now: Instant,
        zone: &ident::Zone,
        max_age: Duration,
        draw: f64,
    ) -> Option<Ipv4Addr> {
        let fresh = self
            .live(now)
            .filter(|(_, peer)| peer.age(now).is_some_and(|age| age < max_age));
        let (near, far): (Vec<_>, Vec<_>) = fresh.partition(|(_, peer)| peer.zone == *zone);
        let hosts = if near.is_empty() { far } else { near };
        let index = (draw * hosts.len() as f64) as usize;
        hosts.get(index).map(|(address, _)| **address)
    }

    /// Returns a live host that knows which upstreams hold which prompts and isn't in
    /// `except`, preferably one of `zone`.
    pub fn informed_peer(
        &self,
        now: Instant,
        zone: &ident::Zone,
        except: &BTreeSet<Ipv4Addr>,
    ) -> Option<Ipv4Addr> {
        self.near_peer(now, zone, except, |peer| peer.is_informed)
    }

    /// Returns a live host that has been up for long enough to know the others and isn't in `except`,
    /// preferably one of `zone`.
    pub fn settled_peer(
        &self,
        now: Instant,
        zone: &ident::Zone,
        except: &BTreeSet<Ipv4Addr>,
    ) -> Option<Ipv4Addr> {
        self.near_peer(now, zone, except, |peer| peer.fleet_size.is_some())
    }

    fn near_peer(
        &self,
        now: Instant,
        zone: &ident::Zone,
        except: &BTreeSet<Ipv4Addr>,
        fits: impl Fn(&Peer) -> bool,
    ) -> Option<Ipv4Addr> {
        let fitting = self.live(now).filter(|(_, peer)| fits(peer));
        let others = fitting.filter(|(address, _)| !except.contains(address));
        let best = others.max_by_key(|(_, peer)| peer.zone == *zone);
        best.map(|(address, _)| *address)
    }

    /// Returns the time since the last message from any host of a zone; `None` if there
    /// was none.
    pub fn zone_silence(&self, now: Instant, zone: &ident::Zone) -> Option<Duration> {
        let peers = self.peers.values().filter(|peer| peer.zone == *zone);
        let received = peers.filter_map(|peer| peer.last_received).max();
        received.map(|received| now.duration_since(received))
    }

    /// Returns the number of hosts that share the fleet's budgets, including this one.
    pub fn sharer_count(&self, now: Instant) -> usize {
        let sharers = self.peers.values();
        let sharers = sharers.filter(|peer| now.duration_since(peer.last_seen) < SHARE_TIMEOUT);
        sharers.count() + 1
    }

    /// Returns the number of hosts that this host has counted; `None` if it started so recently
    /// that it may lack many. One that hasn't heard of a seed may have started in a partition.
    pub fn counted_size(&self, now: Instant) -> Option<usize> {
        let is_complete = match self.started_at.map(|at| now.duration_since(at)) {
            _ if !self.has_seeds => true,
            Some(uptime) if uptime >= SHARE_TIMEOUT => true,
            Some(uptime) if uptime >= SETTLING_TIME => {
                let is_known = |seed: &Ipv4Addr| self.peers.contains_key(seed);
                self.seeds.iter().all(is_known)
            }
            Some(_) | None => false,
        };
        is_complete.then(|| self.sharer_count(now))
    }

    /// Returns the number of hosts among which a budget is divided, by this host's count or that
    /// of another live host, whichever is larger; `None` if no host can have counted all.
    pub fn fleet_size(&self, now: Instant) -> Option<usize> {
        let told = self.live(now).filter_map(|(_, peer)| peer.fleet_size);
        told.chain(self.counted_size(now)).max()
    }

    /// Returns the other hosts that share the fleet's budgets.
    pub fn sharing_peers(&self, now: Instant) -> impl Iterator<Item = (&Ipv4Addr, &Peer)> {
        let peers = self.peers.iter();
        peers.filter(move |(_, peer)| now.duration_since(peer.last_seen) < SHARE_TIMEOUT)
    }

    /// Returns the hosts that are first in an upstream's rendezvous order, up to `most`, as each of
    /// them computes it. This host isn't among them.
    pub fn first_hosts(&self, now: Instant, upstream: &Upstream, most: usize) -> Vec<Ipv4Addr> {
        let score = |address: &Ipv4Addr| {
            let seed = u64::from(u32::from(*address));
            xxh3_64_with_seed(upstream.id.as_str().as_bytes(), seed)
        };
        let hosts = self.sharing_peers(now).map(|(address, peer)| {
            let is_far = peer.zone != upstream.zone;
            (is_far, std::cmp::Reverse(score(address)), *address)
        });
        let mut hosts: Vec<_> = hosts.collect();
        hosts.sort_unstable();
        let first = hosts.into_iter().take(most);
        first.map(|(_, _, address)| address).collect()
    }

    /// Returns whether a host is up and can connect to the upstreams of a service, as far as this
    /// host knows.
    pub fn can_serve(&self, now: Instant, address: &Ipv4Addr, service: &ident::Service) -> bool {
        let mut hosts = self.up(now);
        hosts.any(|(it, peer)| it == address && peer.accepts_handoffs(service))
    }

    /// Returns the rank of this host, which is in `zone`, among the hosts that share an
    /// upstream's limits, 0 first. Counts up to `most`, as few hosts get a share.
    pub fn rank(
        &self,
        now: Instant,
        zone: &ident::Zone,
        upstream: &Upstream,
        most: usize,
    ) -> usize {
        let score = |address: &Ipv4Addr| {
            let seed = u64::from(u32::from(*address));
            xxh3_64_with_seed(upstream.id.as_str().as_bytes(), seed)
        };
        let own_score = score(&self.local);
        let is_near = |peer: &Peer| peer.zone == upstream.zone;
        // Hosts of the upstream's zone rank first, as their prompts stay in the zone.
        let is_local = *zone == upstream.zone;
        let near = self.sharing_peers(now).filter(|(_, peer)| is_near(peer));
        let near = near.filter(|(address, _)| !is_local || score(address) > own_score);
        let near = near.take(most).count();
        if is_local || near == most {
            return near;
        }
        let far = self.sharing_peers(now).filter(|(_, peer)| !is_near(peer));
        let far = far.filter(|(address, _)| score(address) > own_score);
        near + far.take(most - near).count()
    }

    /// Returns the format of a datagram for a host. `draw` is uniform in 0..1.
    ///
    /// A host that was heard lately reads the format in which it sends. Another one may be of any
    /// build that this host has heard, or of any at all while this one looks for others: it gets
    /// every second datagram in the newest format. Hosts of this build read all.
    pub fn format(&self, now: Instant, address: &Ipv4Addr, draw: f64) -> u8 {
        let is_heard = |peer: &&Peer| {
            let received = peer.last_received;
            received.is_some_and(|at| now.duration_since(at) < LIVE_TIMEOUT)
        };
        let heard = self.peers.get(address).filter(is_heard);
        if let Some(format) = heard.and_then(|peer| peer.format) {
            return format;
        }
        let older: Vec<u8> = match self.is_settling(now) {
            true => (format::OLDEST..datagram::VERSION).rev().collect(),
            false => {
                let known = self.peers.values().filter_map(|peer| peer.format);
                let known: BTreeSet<u8> = known.filter(|it| *it < datagram::VERSION).collect();
                known.into_iter().rev().collect()
            }
        };
        let index = (draw * 2.0 * older.len() as f64) as usize;
        older.get(index).copied().unwrap_or(datagram::VERSION)
    }

    /// Returns the hosts that gossip may be sent to: known hosts and unknown seeds.
    /// Removes hosts that have been silent for too long.
    pub fn targets(&mut self, now: Instant) -> Vec<(Ipv4Addr, Option<ident::Zone>)> {
        self.peers
            .retain(|_, peer| now.duration_since(peer.last_seen) < REMOVAL_TIMEOUT);
        let known = self.peers.iter();
        let known = known.map(|(address, peer)| (*address, Some(peer.zone.clone())));
        let seeds = self.seeds.iter();
        let unknown = seeds.filter(|seed| !self.peers.contains_key(*seed));
        known.chain(unknown.map(|seed| (*seed, None))).collect()
    }

    /// Returns the contacts for a message. Each call continues after the hosts of the
    /// call before.
    pub fn contacts(&mut self, now: Instant, selection: Selection<'_>) -> Vec<Contact> {
        let started_at = *self.started_at.get_or_insert(now);
        let (limit, zone) = match selection {
            Selection::Sample if now.duration_since(started_at) < DISCOVERY => (MAX_CONTACTS, None),
            Selection::Sample => (CONTACTS, None),
            Selection::LargeSample => (MAX_CONTACTS, None),
            Selection::Zone(zone) => (MAX_CONTACTS, Some(zone)),
        };
        let matches = |peer: &Peer| zone.is_none_or(|zone| peer.zone == *zone);
        let matching: Vec<_> = self
            .peers
            .iter()
            .filter(|(_, peer)| matches(peer))
            .collect();
        let skip = self.offset % matching.len().max(1);
        self.offset = self.offset.wrapping_add(limit);
        let count = matching.len().min(limit);
        let peers = matching.into_iter().cycle().skip(skip).take(count);
        let contacts = peers.map(|(address, peer)| Contact {
            address: *address,
            zone: peer.zone.clone(),
            silent_ms: millis(now.duration_since(peer.last_seen)),
        });
        contacts.collect()
    }

    /// Returns whether this host started so recently that it may not know the hosts of
    /// its zone.
    pub fn is_settling(&self, now: Instant) -> bool {
        let started_at = self.started_at;
        started_at.is_none_or(|at| now.duration_since(at) < SETTLING_TIME)
    }
}
