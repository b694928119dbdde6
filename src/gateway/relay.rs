//! Recipients of gossip, chosen so that traffic between zones doesn't grow with the
//! square of the fleet.
//!
//! In a small fleet each host sends its message to every other host in each round. In
//! a larger one it sends to hosts of other zones in every fifth round only. In a very
//! large one it sends to its own zone, and two relays of the zone each send a summary
//! to every other zone: each of its datagrams to another host, which forwards it there. One
//! host that forwarded them all would fill its link for a second, and most would be lost. A
//! host that has just started sends to all hosts that it finds.

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

/// Minimum number of other hosts at which messages to other zones are less frequent.
const MIN_LARGE_FLEET: usize = 16;

/// Minimum number of other hosts at which zones exchange summaries through relays. In
/// smaller fleets direct messages are fresher and cost less than relays save.
const MIN_RELAYED_FLEET: usize = 128;

/// Number of relays per zone.
const RELAYS_PER_ZONE: usize = 2;

/// Minimum time between two summaries of a relay. In a zone of a hundred hosts,
/// messages within the zone are no more frequent.
const SUMMARY_INTERVAL: Duration = Duration::from_secs(1);

/// Number of hosts by which the recipients of a summary begin later than those of the one before,
/// about as many as a summary has datagrams.
const SUMMARY_STEP: usize = 23;

/// Number of rounds in which each host of another zone gets one message, where zones
/// don't exchange summaries.
const REMOTE_ROUNDS: usize = 5;

/// Maximum number of prompt placements queued for the next summary.
const MAX_QUEUED_PLACEMENTS: usize = 512;

/// A host that gossip may be sent to, and its zone if it is known.
pub type Target = (Ipv4Addr, Option<ident::Zone>);

/// Recipients of one round of gossip.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Recipients {
    /// Hosts that get this host's message: those of its zone, or all in a small fleet.
    pub direct: Vec<Ipv4Addr>,
    /// Hosts of other zones that get this host's message in this round.
    pub remote: Vec<Ipv4Addr>,
    /// Hosts of other zones that have just started and look for hosts of their zone.
    pub starting: Vec<(Ipv4Addr, ident::Zone)>,
    /// The hosts of each other zone, in the order in which they get the datagrams of this zone's
    /// summary; empty if none is due.
    pub summary: Vec<Vec<Ipv4Addr>>,
}

impl Recipients {
    /// Returns the host of each other zone that gets a datagram of the summary.
    pub fn summary_hosts(&self, datagram: usize) -> impl Iterator<Item = Ipv4Addr> {
        let zones = self.summary.iter();
        zones.filter_map(move |hosts| hosts.get(datagram % hosts.len().max(1)).copied())
    }
}

/// State that a host keeps between rounds.
#[derive(Clone, Debug, Default)]
pub struct Relay {
    /// Number of rounds so far.
    round: usize,
    /// Number of summaries sent, to rotate their recipients.
    summaries: usize,
    /// When the last summary was sent.
    summarized_at: Option<Instant>,
    /// Placements to send with the next summary.
    placements: BTreeSet<(u64, ident::Upstream)>,
    /// Placements by this host in each of the last [`REMOTE_ROUNDS`] rounds.
    recent: VecDeque<datagram::Placements>,
    /// Hosts of other zones that have just started.
    starting: BTreeMap<Ipv4Addr, ident::Zone>,
}

impl Relay {
    /// Records prompt placements by hosts of this zone.
    pub fn record(&mut self, placements: &[(u64, ident::Upstream)]) {
        let capacity = MAX_QUEUED_PLACEMENTS.saturating_sub(self.placements.len());
        self.placements
            .extend(placements.iter().take(capacity).cloned());
    }

    /// Records prompt placements by this host, and returns those of its last rounds that
    /// hosts of other zones may not have received yet.
    pub fn record_own(&mut self, placements: &datagram::Placements) -> datagram::Placements {
        self.record(placements);
        self.recent.push_back(placements.clone());
        if self.recent.len() > REMOTE_ROUNDS {
            self.recent.pop_front();
        }
        self.recent.iter().flatten().cloned().collect()
    }

    /// Records a host of another zone that has just started and sent its message to
    /// this host to find others.
    pub fn record_starting(&mut self, address: Ipv4Addr, zone: &ident::Zone) {
        self.starting.insert(address, zone.clone());
    }

    /// Removes and returns the placements for the next summary.
    pub fn take_placements(&mut self) -> datagram::Placements {
        std::mem::take(&mut self.placements).into_iter().collect()
    }

    /// Returns the number of the current round.
    pub fn round(&self) -> usize {
        self.round
    }

    fn is_summary_due(&self, now: Instant) -> bool {
        let summarized_at = self.summarized_at;
        summarized_at.is_none_or(|at| now.duration_since(at) >= SUMMARY_INTERVAL)
    }

    /// Begins a round and returns its recipients.
    pub fn next_round(
        &mut self,
        now: Instant,
        local: &LocalHost<'_>,
        peers: &peers::Table,
        targets: &[Target],
    ) -> Recipients {
        self.round = self.round.wrapping_add(1);
        let starting = std::mem::take(&mut self.starting);
        if targets.len() < MIN_LARGE_FLEET {
            self.placements.clear();
            return Recipients {
                direct: targets.iter().map(|(address, _)| *address).collect(),
                ..Recipients::default()
            };
        }
        let may_be_local =
            |zone: &Option<ident::Zone>| zone.as_ref().is_none_or(|it| it == local.zone);
        let direct = targets.iter().filter(|(_, zone)| may_be_local(zone));
        let mut remote: BTreeMap<&ident::Zone, Vec<Ipv4Addr>> = BTreeMap::new();
        for (address, zone) in targets {
            if let Some(zone) = zone.as_ref().filter(|zone| *zone != local.zone) {
                remote.entry(zone).or_default().push(*address);
            }
        }
        let is_relayed = is_relayed(targets.len());
        let remote_due = match peers.is_settling(now) || !is_relayed {
            true => {
                let due = remote.values().flatten().enumerate();
                let due =
                    due.filter(|(index, _)| (index + self.round).is_multiple_of(REMOTE_ROUNDS));
                due.map(|(_, address)| *address).collect()
            }
            false => Vec::new(),
        };
        let starting = match is_relayed {
            true => starting.into_iter().collect(),
            false => Vec::new(),
        };
        let summary = match relay_rank(now, local, peers).filter(|_| is_relayed) {
            Some(rank) if self.is_summary_due(now) => {
                let number = self.summaries * RELAYS_PER_ZONE + rank;
                self.summaries = self.summaries.wrapping_add(1);
                self.summarized_at = Some(now);
                let up: BTreeSet<_> = peers.addressable(now).map(|(host, _)| host).collect();
                let zones = remote.into_values();
                let summary = zones.map(|hosts| in_turn(hosts, &up, number));
                summary.collect()
            }
            Some(_) => Vec::new(),
            None => {
                self.placements.clear();
                Vec::new()
            }
        };
        Recipients {
            direct: direct.map(|(address, _)| *address).collect(),
            remote: remote_due,
            starting,
            summary,
        }
    }
}

/// Returns the hosts of a zone, those that are up if any is, beginning with another one for each
/// summary.
fn in_turn(hosts: Vec<Ipv4Addr>, up: &BTreeSet<Ipv4Addr>, summary: usize) -> Vec<Ipv4Addr> {
    let live = hosts.iter().filter(|host| up.contains(host));
    let live: Vec<_> = live.copied().collect();
    let mut hosts = if live.is_empty() { hosts } else { live };
    let first = summary.wrapping_mul(SUMMARY_STEP) % hosts.len().max(1);
    hosts.rotate_left(first);
    hosts
}

/// Returns whether zones exchange summaries in a fleet with this many other hosts.
pub fn is_relayed(hosts: usize) -> bool {
    hosts >= MIN_RELAYED_FLEET
}

/// The host that this process runs on.
#[derive(Clone, Copy, Debug)]
pub struct LocalHost<'a> {
    /// Its address.
    pub address: Ipv4Addr,
    /// Its zone.
    pub zone: &'a ident::Zone,
    /// Speed of its link in Mbit/s.
    pub link_mbps: u32,
}

/// Returns this host's rank among the relays of its zone, `None` if it isn't one. A
/// host that has just started doesn't know the hosts of its zone and isn't a relay yet.
fn relay_rank(now: Instant, local: &LocalHost<'_>, peers: &peers::Table) -> Option<usize> {
    if peers.is_settling(now) {
        return None;
    }
    let rank = reader::rank(local.link_mbps, &local.address);
    let zone = peers.live(now).filter(|(_, peer)| peer.zone == *local.zone);
    let ahead = zone.filter(|(address, peer)| reader::rank(peer.link_mbps, address) > rank);
    Some(ahead.count()).filter(|rank| *rank < RELAYS_PER_ZONE)
}
