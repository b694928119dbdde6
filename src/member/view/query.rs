//! The queries of a view.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use tokio::time::Instant;

use crate::ident;
use crate::member::config_state::ConfigState;
use crate::member::health::Health;
use crate::member::heartbeat::Digest;
use crate::member::heartbeat::Report;
use crate::member::incarnation::Incarnation;
use crate::member::listing;
use crate::member::load;
use crate::member::peer::Peer;
use crate::member::placement;
use crate::member::summary::Summary;
use crate::member::timing::Timing;
use crate::member::view::Counts;
use crate::member::view::SUMMARY_HEARTBEATS;
use crate::member::view::TAKEOVER_SHARE;
use crate::member::view::View;
use crate::member::view::ZONE_LINKS;
use crate::register::upstream;

/// The number of own heartbeats after which a host sends its summaries to other
/// hosts of a zone from which nothing is received.
const ROTATION_HEARTBEATS: u64 = 8;

impl View {
    /// Returns the incarnation of the own host.
    pub fn incarnation(&self) -> &Incarnation {
        &self.incarnation
    }

    /// Returns the own zone, or `None` if no register is known or it doesn't
    /// list the own host.
    pub fn zone(&self) -> Option<&ident::Zone> {
        self.zone.as_ref()
    }

    /// Returns the intervals for the size of the zone.
    pub fn timing(&self) -> &Timing {
        &self.timing
    }

    /// Returns the numbers of datagrams dropped so far.
    pub fn counts(&self) -> &Counts {
        &self.dropped
    }

    /// Returns the health of the own host. It is [`Health::Suspect`] as soon as
    /// a tick is overdue.
    pub fn health(&self, now: Instant) -> Health {
        match self.health {
            Health::Steady if now.duration_since(self.last_tick) > self.timing.max_tick_delay() => {
                Health::Suspect { since: now }
            }
            health => health,
        }
    }

    /// Tells whether the host may admit work for upstreams it is home of.
    pub fn admits(&self, now: Instant) -> bool {
        self.health(now).admits()
    }

    /// Lists the live hosts of a zone, in the order of their names.
    pub fn live<'a>(
        &'a self,
        zone: &ident::Zone,
    ) -> impl Iterator<Item = &'a ident::Host> + use<'a> {
        let own: &[ident::Host] = match self.zone.as_ref() == Some(zone) {
            true => &self.hosts,
            false => &[],
        };
        let other = self.remote_zones.get(zone).into_iter().flat_map(|zone| {
            zone.hosts
                .keys()
                .enumerate()
                .filter(|(index, host)| {
                    zone.is_live(*index)
                        .unwrap_or_else(|| self.is_listed_live(host).unwrap_or(true))
                })
                .map(|(_, host)| host)
        });
        own.iter().filter(|host| self.is_live(host)).chain(other)
    }

    /// Returns the host that is home of an upstream, or `None` if no host that
    /// could be is live.
    pub fn home(&self, name: &ident::Upstream, spec: &upstream::Spec) -> Option<&ident::Host> {
        match (&self.zone, self.takeover_share(&spec.zone)) {
            (Some(own), Some(_)) => placement::home(name, self.live(own)),
            _ => placement::home(name, self.live(&spec.zone)),
        }
    }

    /// Returns the address and the incarnation of an accepted host of the own
    /// zone.
    pub fn peer(&self, host: &ident::Host) -> Option<(SocketAddr, &Incarnation)> {
        let peer = self.peers.get(host).filter(|peer| peer.is_accepted())?;
        peer.last_digest()
            .map(|digest| (peer.address, &digest.from))
    }

    /// Returns the address of another host of any zone.
    pub fn address(&self, host: &ident::Host) -> Option<SocketAddr> {
        let own = self.peers.get(host).map(|peer| peer.address);
        let mut zones = self.remote_zones.values();
        own.or_else(|| zones.find_map(|zone| zone.hosts.get(host).copied()))
    }

    /// Lists the addresses of the hosts of the zone to which heartbeats are
    /// sent, including silent ones.
    pub fn heartbeat_targets(&self) -> impl Iterator<Item = SocketAddr> {
        self.peers.values().map(|peer| peer.address)
    }

    /// Returns the last heartbeat of a host of the zone, regardless of its age.
    pub fn last_digest(&self, host: &ident::Host) -> Option<&Digest> {
        self.peers.get(host).and_then(Peer::last_digest)
    }

    /// Returns when the last heartbeat of a host of the zone arrived.
    pub fn last_seen(&self, host: &ident::Host) -> Option<Instant> {
        self.peers.get(host).and_then(Peer::last_seen)
    }

    /// Lists the last heartbeats of the hosts of the zone, regardless of their
    /// age.
    pub fn last_digests(&self) -> impl Iterator<Item = &Digest> {
        self.peers.values().filter_map(Peer::last_digest)
    }

    /// Lists the last heartbeats of the accepted hosts of the zone.
    pub fn current_digests(&self) -> impl Iterator<Item = &Digest> {
        self.peers
            .values()
            .filter(|peer| peer.is_accepted())
            .filter_map(Peer::last_digest)
    }

    /// Returns the last summary of another zone, regardless of its age.
    pub fn zone_summary(&self, zone: &ident::Zone) -> Option<&Summary> {
        self.remote_zones.get(zone).and_then(|zone| zone.summary())
    }

    /// Lists the hosts to pull values from, and the configuration that each has
    /// applied: the accepted hosts of the own zone, and the hosts of other
    /// zones that sent a summary directly to this host.
    pub fn config_sources(&self) -> impl Iterator<Item = (&ident::Host, &ConfigState)> {
        let other = self
            .remote_zones
            .values()
            .filter(|zone| zone.is_direct() && !zone.is_silent())
            .filter_map(|zone| zone.summary())
            .map(|summary| (&summary.from.host, &summary.config));
        self.current_digests()
            .map(|digest| (&digest.from.host, &digest.config))
            .chain(other)
    }

    /// Lists the addresses in another zone to which this host sends a summary
    /// with this heartbeat. The list is empty if other hosts of the own zone
    /// send the summaries, or if no summary is due.
    pub fn summary_targets(&self, zone: &ident::Zone) -> Vec<SocketAddr> {
        let (Some(own), Some(remote_zone)) = (&self.zone, self.remote_zones.get(zone)) else {
            return Vec::new();
        };
        let senders = placement::top_ranked(&format!("{own}>{zone}"), self.live(own), ZONE_LINKS);
        let is_sender = senders.is_empty() || senders.contains(&&self.incarnation.host);
        if !is_sender || !self.heartbeats.is_multiple_of(SUMMARY_HEARTBEATS) {
            return Vec::new();
        }
        let receivers = match self.live(zone).next().is_none() || remote_zone.is_quiet() {
            true => {
                let round = self.heartbeats / ROTATION_HEARTBEATS;
                let key = format!("{own}>{zone}#{round}");
                placement::top_ranked(&key, remote_zone.hosts.keys(), ZONE_LINKS)
            }
            false => placement::top_ranked(&format!("{own}>{zone}"), self.live(zone), ZONE_LINKS),
        };
        receivers
            .into_iter()
            .filter_map(|host| remote_zone.hosts.get(host).copied())
            .collect()
    }

    /// Lists the other zones.
    pub fn remote_zones(&self) -> impl Iterator<Item = &ident::Zone> {
        self.remote_zones.keys()
    }

    /// Returns the share of their usual load that the upstreams of another zone
    /// get while the own zone takes them over. Returns `None` unless that zone
    /// is empty and the own zone is the nearest zone to it that is not empty.
    pub fn takeover_share(&self, zone: &ident::Zone) -> Option<f64> {
        let own = self.zone.as_ref()?;
        if zone == own || !self.is_empty(zone) {
            return None;
        }
        let near = self.near.get(zone)?;
        let successor = near.iter().find(|zone| !self.is_empty(zone))?;
        (successor == own).then_some(TAKEOVER_SHARE)
    }

    /// Sums the load over the live hosts of the own zone, by pool.
    pub(super) fn pools(&self, report: &Report) -> Vec<load::Total> {
        let mut sums: BTreeMap<u16, load::Total> = BTreeMap::new();
        let others = self.current_digests().flat_map(|digest| &digest.pools);
        for pool in report.pools.iter().chain(others) {
            let sum = sums.entry(pool.key).or_insert(load::Total {
                key: pool.key,
                in_flight: 0,
                upstreams: 0,
            });
            sum.in_flight = sum.in_flight.saturating_add(pool.in_flight);
            sum.upstreams = sum.upstreams.saturating_add(pool.upstreams);
        }
        sums.into_values().collect()
    }

    /// Tells whether a host of the own zone may be home of upstreams.
    pub(super) fn is_live(&self, host: &ident::Host) -> bool {
        match *host == self.incarnation.host {
            true => self.health.admits(),
            false => self
                .peers
                .get(host)
                .is_some_and(|peer| peer.is_live() || peer.is_unheard() && self.seen_live(host)),
        }
    }

    /// Tells whether most of the live peers that report on the same hosts
    /// consider a host live that this host doesn't hear: then only the path
    /// between the two is cut.
    fn seen_live(&self, host: &ident::Host) -> bool {
        let index = self.hosts.binary_search(host).ok();
        index.is_some_and(|index| {
            let (live, reports) = self.reports(|digest| digest.live.contains(index));
            live * 2 > reports
        })
    }

    /// Returns the number of live peers whose digest fulfils a condition, and
    /// the number of live peers whose digests refer to the same list of hosts.
    pub(super) fn reports(&self, matches: impl Fn(&Digest) -> bool) -> (usize, usize) {
        self.peers
            .values()
            .filter(|peer| peer.is_live())
            .filter_map(Peer::last_digest)
            .filter(|digest| digest.accepted.hosts_hash == self.hosts_hash)
            .fold((0, 0), |(matching, reports), digest| {
                (matching + usize::from(matches(digest)), reports + 1)
            })
    }

    /// Tells whether the zone has been silent for the zone lease and the
    /// platform lists no live host of it. Without a list of the platform, no
    /// zone counts as empty.
    fn is_empty(&self, zone: &ident::Zone) -> bool {
        self.remote_zones.get(zone).is_some_and(|zone| {
            zone.is_silent()
                && zone
                    .hosts
                    .keys()
                    .all(|host| self.is_listed_live(host) == Some(false))
        })
    }

    /// Tells whether the platform lists a host as live, or `None` without a
    /// list.
    fn is_listed_live(&self, host: &ident::Host) -> Option<bool> {
        let list = self.listings.as_ref()?;
        let live =
            |entry: &listing::Listing| entry.host == *host && entry.state == listing::State::Live;
        Some(list.iter().any(live))
    }
}
