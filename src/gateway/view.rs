//! The decoded content of the store: the route table, upstreams and evacuated zones.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use crate::boot;
use crate::gateway::history;
use crate::gateway::history::History;
use crate::gateway::source::Entry;
use crate::gateway::table::Table;
use crate::gateway::upstream::Record;
use crate::gateway::upstream::Upstream;
use crate::ident;
use crate::log::millis;
use crate::mirror::Position;

/// How long after an outage of the store an upstream's expired entry may be restored.
/// The platform states about two seconds.
pub const RESTORE_WINDOW: Duration = Duration::from_millis(2_300);

/// How long versions of a service that are no longer listed are remembered, longer than
/// any stream lasts.
const VERSION_RETENTION: Duration = Duration::from_secs(600);

/// The decoded items, by their keys in the store.
#[derive(Clone, Debug, Default)]
pub struct View {
    table: Option<Arc<Table>>,
    table_key: Option<String>,
    upstreams: BTreeMap<String, Arc<Record>>,
    evacuated: BTreeMap<String, ident::Zone>,
    /// Since when no change of the store was missed.
    covered_since: Option<boot::Instant>,
    /// The store's position then.
    covered_from: Position,
    /// When a version of a service was last listed, for versions of upstreams that were
    /// replaced or removed.
    past_versions: BTreeMap<(ident::Service, ident::Version), boot::Instant>,
}

impl View {
    /// Returns the latest route table; `None` until one was read.
    pub fn route_table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the upstreams that may get new requests.
    pub fn usable(&self, now: boot::Instant) -> impl Iterator<Item = &Arc<Record>> {
        let all = self.upstreams.values();
        all.filter(move |record| record.accepts_requests(now) && !self.is_evacuated(record))
    }

    /// Returns all upstreams of a service, including those that get no new requests.
    pub fn listed(&self, service: &ident::Service) -> impl Iterator<Item = &Arc<Record>> {
        let all = self.upstreams.values();
        all.filter(move |record| record.upstream.service == *service)
    }

    /// Returns the record of an upstream by its id.
    pub fn upstream(&self, id: &ident::Upstream) -> Option<&Arc<Record>> {
        let mut all = self.upstreams.values();
        all.find(|record| record.upstream.id == *id)
    }

    /// Returns the record of an upstream by its address.
    pub fn upstream_at(&self, address: SocketAddr) -> Option<&Arc<Record>> {
        let mut all = self.upstreams.values();
        all.find(|record| record.upstream.address == address)
    }

    /// Returns whether an upstream may get new requests.
    pub fn is_usable(&self, now: boot::Instant, id: &ident::Upstream) -> bool {
        let record = self.upstream(id);
        record.is_some_and(|record| record.accepts_requests(now) && !self.is_evacuated(record))
    }

    /// Returns the number of upstreams, including those kept after an outage.
    pub fn upstreams(&self) -> usize {
        self.upstreams.len()
    }

    /// Returns the version that all upstreams of a service run, if they have run no other
    /// one within `lookback`. `None` if changes before that may have been missed.
    pub fn only_version(
        &self,
        now: boot::Instant,
        service: &ident::Service,
        lookback: Duration,
    ) -> Option<&ident::Version> {
        if self.covered(now) < lookback {
            return None;
        }
        let past = self.past_versions.iter();
        let past = past.filter(|((it, _), at)| it == service && now.since(**at) < lookback);
        let past = past.map(|((_, version), _)| version);
        let listed = self.listed(service).map(|it| &it.upstream.version);
        let mut versions: BTreeSet<_> = listed.chain(past).collect();
        let version = versions.pop_first()?;
        versions.is_empty().then_some(version)
    }

    /// Returns how long no change of the store was missed; zero before the first read.
    pub fn covered(&self, now: boot::Instant) -> Duration {
        self.covered_since
            .map_or(Duration::ZERO, |since| now.since(since))
    }

    /// Records that changes before now, when the store is at a position, may have been missed.
    pub fn record_gap(&mut self, now: boot::Instant, position: Position) {
        self.covered_since = Some(now);
        self.covered_from = position;
    }

    /// Returns which versions were listed lately, for another host. `position` is that of the copy
    /// of the store.
    pub fn history(&self, now: boot::Instant, position: Position) -> History {
        let listed = self.upstreams.values().map(|record| {
            let upstream = &record.upstream;
            (&upstream.service, &upstream.version, Duration::ZERO)
        });
        let past = self.past_versions.iter();
        let past = past.map(|((service, version), at)| (service, version, now.since(*at)));
        let mut versions: BTreeMap<_, Duration> = BTreeMap::new();
        for (service, version, since) in past.chain(listed) {
            versions.insert((service, version), since);
        }
        let versions = versions.into_iter().map(|((service, version), since)| {
            let since_ms = millis(since);
            history::Version {
                service: service.clone(),
                version: version.clone(),
                since_ms,
            }
        });
        History {
            covered_ms: millis(self.covered(now)),
            position,
            versions: versions.collect(),
        }
    }

    /// Adds the history of another host to that of this view. Returns whether it reaches further
    /// back, and up to the beginning of this one.
    pub fn extend_history(&mut self, now: boot::Instant, history: &History) -> bool {
        let is_contiguous = history.position >= self.covered_from;
        let covered = Duration::from_millis(history.covered_ms);
        let extends = |since: boot::Instant| is_contiguous && now.before(covered) < since;
        if !self.covered_since.is_some_and(extends) {
            return false;
        }
        self.covered_since = Some(now.before(covered));
        for it in &history.versions {
            let key = (it.service.clone(), it.version.clone());
            let at = now.before(Duration::from_millis(it.since_ms));
            let known = self.past_versions.entry(key).or_insert(at);
            *known = at.max(*known);
        }
        true
    }

    /// Records that an upstream's version was listed until now.
    fn retire_version(&mut self, now: boot::Instant, upstream: &Upstream) {
        let version = (upstream.service.clone(), upstream.version.clone());
        self.past_versions
            .retain(|_, at| now.since(*at) < VERSION_RETENTION);
        self.past_versions.insert(version, now);
    }

    /// Inserts or replaces an item. Returns the id of an upstream whose entry now shows
    /// another start, address or version: state recorded for the id no longer applies.
    pub fn insert(
        &mut self,
        now: boot::Instant,
        key: &str,
        entry: Entry,
    ) -> Option<ident::Upstream> {
        self.covered_since.get_or_insert(now);
        match entry {
            Entry::Table(table) => {
                self.table = Some(Arc::new(*table));
                self.table_key = Some(key.to_owned());
            }
            Entry::Upstream(upstream) => {
                let record = Record {
                    cold_until: now + upstream.cold_left,
                    upstream,
                    expires_at: None,
                };
                let record = Arc::new(record);
                let old = self.upstreams.insert(key.to_owned(), record.clone());
                let old = old?;
                let (old, new) = (&old.upstream, &record.upstream);
                if old.version != new.version || old.service != new.service {
                    self.retire_version(now, old);
                }
                let is_same = old.started_ms == new.started_ms
                    && old.address == new.address
                    && old.version == new.version;
                return (!is_same).then(|| new.id.clone());
            }
            Entry::Evacuated(zone) => {
                self.evacuated.insert(key.to_owned(), zone);
            }
        }
        None
    }

    /// Removes an item that is gone from the store, and returns the id of the upstream
    /// that this removes.
    ///
    /// An upstream stays in use until `restored_by`, the time by which an entry that
    /// expired in an outage is restored. The latest route table stays in use.
    pub fn remove(
        &mut self,
        now: boot::Instant,
        key: &str,
        restored_by: boot::Instant,
    ) -> Option<ident::Upstream> {
        self.evacuated.remove(key);
        let is_expired = |record: &Record| record.expires_at.is_some_and(|at| at <= now);
        let all = std::mem::take(&mut self.upstreams);
        let (expired, kept): (BTreeMap<_, _>, _) =
            all.into_iter().partition(|(_, record)| is_expired(record));
        self.upstreams = kept;
        for record in expired.into_values() {
            self.retire_version(now, &record.upstream);
        }
        match self.upstreams.get_mut(key) {
            Some(record) if restored_by > now => {
                Arc::make_mut(record).expires_at = Some(restored_by);
                None
            }
            Some(_) => {
                let removed = self.upstreams.remove(key)?;
                self.retire_version(now, &removed.upstream);
                Some(removed.upstream.id.clone())
            }
            None => None,
        }
    }

    /// Handles an item that can't be decoded: removes the upstream that was listed under
    /// its key, and leaves the route table and evacuations as they are.
    pub fn invalidate(&mut self, now: boot::Instant, key: &str) {
        if let Some(removed) = self.upstreams.remove(key) {
            self.retire_version(now, &removed.upstream);
        }
    }

    fn is_evacuated(&self, record: &Record) -> bool {
        let mut zones = self.evacuated.values();
        zones.any(|zone| *zone == record.upstream.zone)
    }
}
