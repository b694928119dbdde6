//! What changes a view.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use crate::ident;
use crate::member::beat::Digest;
use crate::member::beat::Report;
use crate::member::beat::State;
use crate::member::change::Change;
use crate::member::held::Held;
use crate::member::listing::Listing;
use crate::member::neighbour::Neighbour;
use crate::member::peer::Fate;
use crate::member::peer::Peer;
use crate::member::roll::Roll;
use crate::member::standing::Standing;
use crate::member::summary::Summary;
use crate::member::view::View;
use crate::register::Register;

impl View {
    /// Takes over who may exist, and where, from the register.
    pub fn register(&mut self, now: Instant, register: &Register) -> Vec<Change> {
        let own = register.hosts.get(&self.own.host);
        self.zone = own.map(|spec| spec.zone.clone());
        self.near = register
            .zones
            .iter()
            .map(|(zone, spec)| (zone.clone(), spec.near.clone()))
            .collect();
        let mut changes = self.register_peers(register);
        self.register_neighbours(now, register);
        self.timing = self.base.for_zone(self.roster.len());
        changes.extend(self.stand(now));
        changes
    }

    /// Takes over the platform's list.
    pub fn listed(&mut self, list: &[Listing]) {
        self.listed = Some(list.to_vec());
    }

    /// Notes which configuration the own host has in force.
    pub fn set_held(&mut self, held: Held) {
        self.held = held;
    }

    /// Takes in a heartbeat of a host of the zone.
    pub fn hear(&mut self, now: Instant, from: SocketAddr, digest: &Digest) -> Vec<Change> {
        let host = &digest.from.host;
        if *host == self.own.host {
            self.counts.twin += u64::from(digest.from != self.own);
            return Vec::new();
        }
        let Some(peer) = self.peers.get_mut(host) else {
            self.counts.unknown += 1;
            return Vec::new();
        };
        if peer.address.ip() != from.ip() {
            self.counts.foreign += 1;
            return Vec::new();
        }
        let mut changes = match peer.hear(now, digest) {
            Fate::Taken(changes) => changes,
            Fate::Stale => {
                self.counts.stale += 1;
                return Vec::new();
            }
            Fate::Rival => {
                self.counts.rival += 1;
                return Vec::new();
            }
        };
        self.note_answer(now, host);
        for summary in &digest.summaries {
            changes.extend(self.take_summary(now, summary, false));
        }
        changes.extend(self.stand(now));
        changes
    }

    /// Takes in a summary that a host of another zone sent to this host, to be
    /// passed on to the own zone with the next beat.
    pub fn hear_summary(
        &mut self,
        now: Instant,
        from: SocketAddr,
        summary: &Summary,
    ) -> Vec<Change> {
        let address = self
            .neighbours
            .get(&summary.zone)
            .and_then(|zone| zone.hosts.get(&summary.from.host));
        match address {
            None => {
                self.counts.unknown += 1;
                Vec::new()
            }
            Some(address) if address.ip() != from.ip() => {
                self.counts.foreign += 1;
                Vec::new()
            }
            Some(_) => {
                self.relayed.insert(summary.zone.clone(), summary.clone());
                self.take_summary(now, summary, true).into_iter().collect()
            }
        }
    }

    /// Notes that time has passed. To be called at least four times a lease.
    pub fn tick(&mut self, now: Instant) -> Vec<Change> {
        let mut changes = Vec::new();
        if now.duration_since(self.ticked) > self.timing.doubt() {
            changes.extend(self.woke(now));
        }
        self.ticked = now;
        let lease = self.timing.lease;
        changes.extend(
            self.peers
                .values_mut()
                .filter_map(|peer| peer.tick(now, lease)),
        );
        for (zone, neighbour) in &mut self.neighbours {
            if neighbour.tick(now, &self.timing) {
                changes.push(Change::ZoneSilent(zone.clone()));
            }
        }
        changes.extend(self.stand(now));
        changes
    }

    /// Notes that the own process slept: its peers may have replaced it.
    pub fn woke(&mut self, now: Instant) -> Option<Change> {
        let pause = now.duration_since(self.ticked);
        self.ticked = now;
        for peer in self.peers.values_mut() {
            peer.forgive(pause);
        }
        for neighbour in self.neighbours.values_mut() {
            neighbour.forgive(pause);
        }
        self.electors = self
            .peers
            .iter()
            .filter(|(_, peer)| peer.is_live())
            .map(|(host, _)| host.clone())
            .collect();
        self.answered.clear();
        match self.standing {
            Standing::Draining => None,
            Standing::Starting { .. } => self.change_to(Standing::Starting { since: now }),
            _ => self.change_to(Standing::Suspect { since: now }),
        }
    }

    /// Notes that the host has nothing to act on yet: it goes on listening.
    pub fn hold(&mut self, now: Instant) {
        if let Standing::Starting { .. } = self.standing {
            self.standing = Standing::Starting { since: now };
        }
    }

    /// Stops taking new work, for good.
    pub fn drain(&mut self) -> Option<Change> {
        self.change_to(Standing::Draining)
    }

    /// Makes the digest of the next beat.
    pub fn digest(&mut self, report: &Report) -> Digest {
        let state = match self.standing {
            Standing::Steady => State::Live,
            Standing::Draining => State::Draining,
            _ => State::Starting,
        };
        self.digest_as(state, report)
    }

    /// Makes the last digest of the process.
    pub fn goodbye(&mut self, report: &Report) -> Digest {
        self.standing = Standing::Draining;
        self.digest_as(State::Gone, report)
    }

    /// Makes the summary that tells other zones about the own.
    pub fn summary(&mut self, report: &Report) -> Option<Summary> {
        let zone = self.zone.clone()?;
        self.sequence += 1;
        Some(Summary {
            zone,
            from: self.own.clone(),
            sequence: self.sequence,
            live: Roll::of(self.roster.iter(), |host| self.is_live(host)),
            held: report.held,
            pools: self.pools(report),
        })
    }

    fn digest_as(&mut self, state: State, report: &Report) -> Digest {
        self.sequence += 1;
        self.beats += 1;
        let own = &self.own.host;
        let peer = |host: &ident::Host| self.peers.get(host);
        let accepted =
            |host: &ident::Host| host == own || peer(host).is_some_and(Peer::is_accepted);
        let live = |host: &ident::Host| match host == own {
            true => state == State::Live,
            false => peer(host).is_some_and(Peer::is_live),
        };
        Digest {
            from: self.own.clone(),
            sequence: self.sequence,
            state,
            held: report.held,
            heard: Roll::of(self.roster.iter(), accepted),
            live: Roll::of(self.roster.iter(), live),
            pools: report.pools.clone(),
            upstreams: report.upstreams.clone(),
            strikes: report.strikes.clone(),
            summaries: std::mem::take(&mut self.relayed).into_values().collect(),
        }
        .fit()
    }

    fn register_peers(&mut self, register: &Register) -> Vec<Change> {
        let zone = self.zone.as_ref();
        let hosts: BTreeMap<_, _> = register
            .hosts
            .iter()
            .filter(|(_, spec)| Some(&spec.zone) == zone)
            .collect();
        self.roster = hosts.keys().map(|host| (*host).clone()).collect();
        self.names = Roll::of(self.roster.iter(), |_| false).names;
        self.place = self.roster.iter().position(|host| *host == self.own.host);
        let mut changes = Vec::new();
        self.peers.retain(|host, peer| {
            let stays = hosts.contains_key(host);
            if !stays && peer.is_accepted() {
                changes.push(Change::Left(host.clone()));
            }
            stays
        });
        for (host, spec) in hosts {
            if *host == self.own.host {
                continue;
            }
            self.peers
                .entry(host.clone())
                .or_insert_with(|| Peer::new(spec.peer))
                .address = spec.peer;
        }
        changes
    }

    fn register_neighbours(&mut self, now: Instant, register: &Register) {
        let own = self.zone.as_ref();
        self.neighbours
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
            self.neighbours
                .entry(zone.clone())
                .or_insert_with(|| Neighbour::new(now))
                .describe(hosts, &spec.near);
        }
    }

    fn take_summary(&mut self, now: Instant, summary: &Summary, direct: bool) -> Option<Change> {
        let neighbour = self.neighbours.get_mut(&summary.zone)?;
        let first = neighbour.summary().is_none() || neighbour.is_silent();
        let news = neighbour.hear(now, summary, direct);
        self.counts.stale += u64::from(!news);
        (news && first).then(|| Change::ZoneHeard(summary.zone.clone()))
    }
}
