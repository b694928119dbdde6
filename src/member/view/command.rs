//! The operations that change a view.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use crate::ident;
use crate::member::change::Change;
use crate::member::config_state::ConfigState;
use crate::member::health::Health;
use crate::member::heartbeat::Digest;
use crate::member::heartbeat::Report;
use crate::member::heartbeat::State;
use crate::member::listing::Listing;
use crate::member::peer::Disposition;
use crate::member::peer::Peer;
use crate::member::remote_zone::RemoteZone;
use crate::member::roster::Roster;
use crate::member::summary::Summary;
use crate::member::view::View;
use crate::register::Register;

impl View {
    /// Applies the register: which hosts may exist, and their addresses.
    pub fn apply_register(&mut self, now: Instant, register: &Register) -> Vec<Change> {
        let own = register.hosts.get(&self.incarnation.host);
        self.zone = own.map(|spec| spec.zone.clone());
        self.near = register
            .zones
            .iter()
            .map(|(zone, spec)| (zone.clone(), spec.near.clone()))
            .collect();
        let mut changes = self.update_peers(register);
        self.update_remote_zones(now, register);
        self.timing = self.base_timing.for_zone(self.hosts.len());
        changes.extend(self.evaluate_health(now));
        changes
    }

    /// Replaces the platform's list of hosts.
    pub fn set_listings(&mut self, list: &[Listing]) {
        self.listings = Some(list.to_vec());
    }

    /// Sets the configuration that the own host has applied.
    pub fn set_config(&mut self, config: ConfigState) {
        self.config = config;
    }

    /// Processes a heartbeat of a host of the zone, received from an address.
    pub fn receive(&mut self, now: Instant, from: SocketAddr, digest: &Digest) -> Vec<Change> {
        let host = &digest.from.host;
        if *host == self.incarnation.host {
            self.dropped.impostor += u64::from(digest.from != self.incarnation);
            return Vec::new();
        }
        let Some(peer) = self.peers.get_mut(host) else {
            self.dropped.unknown += 1;
            return Vec::new();
        };
        if peer.address.ip() != from.ip() {
            self.dropped.foreign += 1;
            return Vec::new();
        }
        let mut changes = match peer.receive(now, digest) {
            Disposition::Accepted(changes) => changes,
            Disposition::Stale => {
                self.dropped.stale += 1;
                return Vec::new();
            }
            Disposition::Duplicate => {
                self.dropped.duplicate += 1;
                return Vec::new();
            }
        };
        self.record_reply(now, host);
        for summary in &digest.summaries {
            changes.extend(self.process_summary(now, summary, false));
        }
        changes.extend(self.evaluate_health(now));
        changes
    }

    /// Processes a summary that a host of another zone sent to this host. It is
    /// relayed to the own zone with the next heartbeat.
    pub fn receive_summary(
        &mut self,
        now: Instant,
        from: SocketAddr,
        summary: &Summary,
    ) -> Vec<Change> {
        let address = self
            .remote_zones
            .get(&summary.zone)
            .and_then(|zone| zone.hosts.get(&summary.from.host));
        match address {
            None => {
                self.dropped.unknown += 1;
                Vec::new()
            }
            Some(address) if address.ip() != from.ip() => {
                self.dropped.foreign += 1;
                Vec::new()
            }
            Some(_) => {
                self.pending_summaries
                    .insert(summary.zone.clone(), summary.clone());
                self.process_summary(now, summary, true)
                    .into_iter()
                    .collect()
            }
        }
    }

    /// Updates the view for the passage of time. To be called at least four
    /// times per lease.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        if now.duration_since(self.last_tick) > self.timing.max_tick_delay() {
            changes.extend(self.resume(now));
        }
        self.last_tick = now;
        let lease = self.timing.lease;
        changes.extend(
            self.peers
                .values_mut()
                .filter_map(|peer| peer.tick(now, lease)),
        );
        for (zone, remote_zone) in &mut self.remote_zones {
            if remote_zone.tick(now, &self.timing) {
                changes.push(Change::ZoneSilent(zone.clone()));
            }
        }
        changes.extend(self.evaluate_health(now));
        changes
    }

    /// Handles a pause of the own process, after which its peers may have taken
    /// over its upstreams. Extends the leases of peers and zones by the pause.
    pub fn resume(&mut self, now: Instant) -> Option<Change> {
        let pause = now.duration_since(self.last_tick);
        self.last_tick = now;
        for peer in self.peers.values_mut() {
            peer.extend_lease(pause);
        }
        for remote_zone in self.remote_zones.values_mut() {
            remote_zone.extend_lease(pause);
        }
        self.live_before_pause = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_live())
            .map(|(host, _)| host.clone())
            .collect();
        self.confirmed.clear();
        match self.health {
            Health::Draining => None,
            Health::Starting { .. } => self.set_health(Health::Starting { since: now }),
            _ => self.set_health(Health::Suspect { since: now }),
        }
    }

    /// Restarts the settling time of a starting host that has no configuration
    /// yet.
    pub fn restart_settling(&mut self, now: Instant) {
        if let Health::Starting { .. } = self.health {
            self.health = Health::Starting { since: now };
        }
    }

    /// Stops taking new work until the process ends.
    pub fn drain(&mut self) -> Option<Change> {
        self.set_health(Health::Draining)
    }

    /// Returns the digest of the next heartbeat.
    pub fn digest(&mut self, report: &Report) -> Digest {
        let state = match self.health {
            Health::Steady => State::Live,
            Health::Draining => State::Draining,
            _ => State::Starting,
        };
        self.digest_with_state(state, report)
    }

    /// Returns the last digest of the process.
    pub fn final_digest(&mut self, report: &Report) -> Digest {
        self.health = Health::Draining;
        self.digest_with_state(State::Gone, report)
    }

    /// Returns the summary of the own zone for other zones, or `None` if the
    /// zone is not known.
    pub fn summary(&mut self, report: &Report) -> Option<Summary> {
        let zone = self.zone.clone()?;
        self.sequence += 1;
        Some(Summary {
            zone,
            from: self.incarnation.clone(),
            sequence: self.sequence,
            live: Roster::of(self.hosts.iter(), |host| self.is_live(host)),
            config: report.config,
            pools: self.pools(report),
        })
    }

    fn digest_with_state(&mut self, state: State, report: &Report) -> Digest {
        self.sequence += 1;
        self.heartbeats += 1;
        let own = &self.incarnation.host;
        let peer = |host: &ident::Host| self.peers.get(host);
        let accepted =
            |host: &ident::Host| host == own || peer(host).is_some_and(Peer::is_accepted);
        let live = |host: &ident::Host| match host == own {
            true => state == State::Live,
            false => peer(host).is_some_and(Peer::is_live),
        };
        Digest {
            from: self.incarnation.clone(),
            sequence: self.sequence,
            state,
            config: report.config,
            accepted: Roster::of(self.hosts.iter(), accepted),
            live: Roster::of(self.hosts.iter(), live),
            pools: report.pools.clone(),
            upstreams: report.upstreams.clone(),
            crashes: report.crashes.clone(),
            summaries: std::mem::take(&mut self.pending_summaries)
                .into_values()
                .collect(),
            segments: report.segments.clone(),
        }
        .truncate()
    }

    fn update_peers(&mut self, register: &Register) -> Vec<Change> {
        let zone = self.zone.as_ref();
        let hosts: BTreeMap<_, _> = register
            .hosts
            .iter()
            .filter(|(_, spec)| Some(&spec.zone) == zone)
            .collect();
        self.hosts = hosts.keys().map(|host| (*host).clone()).collect();
        self.hosts_hash = Roster::of(self.hosts.iter(), |_| false).hosts_hash;
        self.own_index = self
            .hosts
            .iter()
            .position(|host| *host == self.incarnation.host);
        let mut changes = Vec::new();
        self.peers.retain(|host, peer| {
            let is_listed = hosts.contains_key(host);
            if !is_listed && peer.is_accepted() {
                changes.push(Change::Left(host.clone()));
            }
            is_listed
        });
        for (host, spec) in hosts {
            if *host == self.incarnation.host {
                continue;
            }
            self.peers
                .entry(host.clone())
                .or_insert_with(|| Peer::new(spec.peer))
                .address = spec.peer;
        }
        changes
    }

    fn update_remote_zones(&mut self, now: Instant, register: &Register) {
        let own = self.zone.as_ref();
        self.remote_zones
            .retain(|zone, _| register.zones.contains_key(zone) && Some(zone) != own);
        for (zone, spec) in &register.zones {
            if Some(zone) == own {
                continue;
            }
            let hosts = register
                .hosts
                .iter()
                .filter(|(_, host)| host.zone == *zone)
                .map(|(host, spec)| (host.clone(), spec.peer))
                .collect();
            self.remote_zones
                .entry(zone.clone())
                .or_insert_with(|| RemoteZone::new(now))
                .describe(hosts, &spec.near);
        }
    }

    fn process_summary(&mut self, now: Instant, summary: &Summary, direct: bool) -> Option<Change> {
        let remote_zone = self.remote_zones.get_mut(&summary.zone)?;
        let is_first = remote_zone.summary().is_none() || remote_zone.is_silent();
        let is_new = remote_zone.receive(now, summary, direct);
        self.dropped.stale += u64::from(!is_new);
        (is_new && is_first).then(|| Change::ZoneHeard(summary.zone.clone()))
    }
}
