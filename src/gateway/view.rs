//! What the store's items mean: the route table, upstreams, evacuated zones.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::boot;
use crate::gateway::source::Entry;
use crate::gateway::table::Table;
use crate::gateway::upstream::Record;
use crate::ident;

/// How long after the store's return an upstream's lapsed entry may still be
/// restored; the platform says about two seconds.
pub const RESTORE_WINDOW: Duration = Duration::from_millis(2_300);

/// The decoded items.
#[derive(Clone, Debug, Default)]
pub struct View {
    table: Option<Arc<Table>>,
    table_key: Option<String>,
    upstreams: BTreeMap<String, Arc<Record>>,
    evacuated: BTreeMap<String, ident::Zone>,
}

impl View {
    /// Returns the route table, once one is known.
    pub fn route_table(&self) -> Option<&Arc<Table>> {
        self.table.as_ref()
    }

    /// Returns the upstreams that may get new work.
    pub fn usable(&self, now: boot::Instant) -> impl Iterator<Item = &Arc<Record>> {
        let all = self.upstreams.values();
        all.filter(move |record| record.accepts_requests(now) && !self.is_evacuated(record))
    }

    /// Returns the upstreams of a service, those that get no new work included.
    pub fn listed(&self, service: &ident::Service) -> impl Iterator<Item = &Arc<Record>> {
        let all = self.upstreams.values();
        all.filter(move |record| record.upstream.service == *service)
    }

    /// Returns the start of an upstream that is listed under a name.
    pub fn upstream(&self, id: &ident::Upstream) -> Option<&Arc<Record>> {
        let mut all = self.upstreams.values();
        all.find(|record| record.upstream.id == *id)
    }

    /// Tells whether an upstream may get new work.
    pub fn is_usable(&self, now: boot::Instant, id: &ident::Upstream) -> bool {
        let record = self.upstream(id);
        record.is_some_and(|record| record.accepts_requests(now) && !self.is_evacuated(record))
    }

    /// Returns how many upstreams are listed.
    pub fn upstreams(&self) -> usize {
        self.upstreams.len()
    }

    /// Takes in what an item says now. Returns an upstream that was started anew
    /// under the name that it had.
    pub fn insert(
        &mut self,
        now: boot::Instant,
        key: &str,
        entry: Entry,
    ) -> Option<ident::Upstream> {
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
                let (old, new) = (&old?.upstream, &record.upstream);
                let is_same = old.started_ms == new.started_ms && old.address == new.address;
                return (!is_same).then(|| new.id.clone());
            }
            Entry::Evacuated(zone) => {
                self.evacuated.insert(key.to_owned(), zone);
            }
        }
        None
    }

    /// Takes in that an item is gone. An upstream stays in use until
    /// `restored_by`, the end of the time in which a lapsed entry may come back.
    /// The last route table stays in force. Returns an upstream that is gone.
    pub fn remove(
        &mut self,
        now: boot::Instant,
        key: &str,
        restored_by: boot::Instant,
    ) -> Option<ident::Upstream> {
        self.evacuated.remove(key);
        self.upstreams
            .retain(|_, record| record.expires_at.is_none_or(|at| at > now));
        match self.upstreams.get_mut(key) {
            Some(record) if restored_by > now => {
                Arc::make_mut(record).expires_at = Some(restored_by);
                None
            }
            Some(_) => {
                let gone = self.upstreams.remove(key)?;
                Some(gone.upstream.id.clone())
            }
            None => None,
        }
    }

    /// Takes in that an item can't be read: it names no upstream to use, and a
    /// route table or an evacuation stays as it was.
    pub fn invalidate(&mut self, key: &str) {
        self.upstreams.remove(key);
    }

    fn is_evacuated(&self, record: &Record) -> bool {
        let mut zones = self.evacuated.values();
        zones.any(|zone| *zone == record.upstream.zone)
    }
}
