//! Another zone, as the register and the summaries of its hosts describe it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;
use crate::member::incarnation::Incarnation;
use crate::member::roster::Roster;
use crate::member::summary::Summary;
use crate::member::timing::Timing;

/// The state of another zone, as seen by the own host.
#[derive(Clone, Debug)]
pub struct RemoteZone {
    /// Its hosts and their addresses.
    pub hosts: BTreeMap<ident::Host, SocketAddr>,
    /// The zones that take over its requests, nearest first.
    pub near: Vec<ident::Zone>,
    last_seen: Instant,
    is_quiet: bool,
    is_silent: bool,
    hosts_hash: u16,
    summary: Option<Summary>,
    is_direct: bool,
    senders: BTreeMap<ident::Host, (Incarnation, u64)>,
}

impl RemoteZone {
    /// Returns a zone from which nothing was received yet. Its silence is
    /// counted from now on.
    pub fn new(now: Instant) -> Self {
        Self {
            hosts: BTreeMap::new(),
            near: Vec::new(),
            last_seen: now,
            is_quiet: true,
            is_silent: false,
            hosts_hash: 0,
            summary: None,
            is_direct: false,
            senders: BTreeMap::new(),
        }
    }

    /// Applies what the register says about the zone.
    pub fn describe(&mut self, hosts: BTreeMap<ident::Host, SocketAddr>, near: &[ident::Zone]) {
        self.hosts_hash = Roster::of(hosts.keys(), |_| false).hosts_hash;
        self.senders.retain(|host, _| hosts.contains_key(host));
        self.hosts = hosts;
        self.near = near.to_vec();
    }

    /// Processes a summary, which the zone sent to this host or another host
    /// relayed. Returns whether it is newer than the last one of its sender.
    pub fn receive(&mut self, now: Instant, summary: &Summary, is_direct: bool) -> bool {
        let sender = &summary.from;
        let last_received = self.senders.get(&sender.host);
        let is_stale = last_received.is_some_and(|(from, sequence)| {
            from.start == sender.start && summary.sequence <= *sequence
        });
        if is_stale || !self.hosts.contains_key(&sender.host) {
            return false;
        }
        let entry = (sender.clone(), summary.sequence);
        self.senders.insert(sender.host.clone(), entry);
        self.last_seen = now;
        self.is_quiet = false;
        self.is_silent = false;
        self.summary = Some(summary.clone());
        self.is_direct = is_direct;
        true
    }

    /// Updates the state of the zone for the passage of time. Returns whether
    /// the zone has just become silent.
    pub fn tick(&mut self, now: Instant, timing: &Timing) -> bool {
        let was_silent = self.is_silent;
        let silence = now.duration_since(self.last_seen);
        self.is_quiet |= silence > timing.lease;
        self.is_silent = silence > timing.zone_lease;
        self.is_silent && !was_silent
    }

    /// Extends the leases of the zone by the length of a pause of the own
    /// process.
    pub fn extend_lease(&mut self, pause: Duration) {
        self.last_seen += pause;
    }

    /// Tells whether nothing was received for a lease, or ever.
    pub fn is_quiet(&self) -> bool {
        self.is_quiet
    }

    /// Tells whether nothing was received for the zone lease.
    pub fn is_silent(&self) -> bool {
        self.is_silent
    }

    /// Tells whether the zone itself sent the last summary to this host.
    pub fn is_direct(&self) -> bool {
        self.is_direct
    }

    /// Returns the last summary, regardless of its age.
    pub fn summary(&self) -> Option<&Summary> {
        self.summary.as_ref()
    }

    /// Tells whether the host at this index of the sorted list is live, or
    /// `None` without a summary about the current hosts.
    pub fn is_live(&self, index: usize) -> Option<bool> {
        self.summary
            .as_ref()
            .filter(|summary| summary.live.hosts_hash == self.hosts_hash)
            .map(|summary| !self.is_silent && summary.live.contains(index))
    }
}
