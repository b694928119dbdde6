//! The table of items with their position in the store's history, the recent changes for
//! followers, and the time at which the store last confirmed the items.
//!
//! The store may come back from an older copy, in a new era. What the copy lacks is retained
//! until it is written again, or for a limited time: see [`retained`].

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::boot;
use crate::mirror::retained;
use crate::mirror::retained::Fact;
use crate::mirror::stamp::Stamp;

/// The maximum number of events kept for followers that lag. A follower that is
/// further behind reads all items.
const MAX_LOG_EVENTS: usize = 1_024;

/// The time between two reads from which on changes may have been missed: an upstream is listed
/// for longer, as it drains before it leaves.
const MAX_GAP: Duration = Duration::from_secs(2);

/// A point in the history of the store. A later era is later at any revision.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct Position {
    /// Era of the store, which rises when it comes back from an older copy.
    pub era: u64,
    /// Revision within the era. Revisions go back when the era rises.
    pub revision: u64,
}

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its content.
    pub value: Bytes,
    /// The revision of the store at the last change of the item.
    pub revision: u64,
}

/// A change of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The key of the item.
    pub key: String,
    /// The revision of the store at the change.
    pub revision: u64,
    /// The new content, or `None` if the item was deleted.
    pub value: Option<Bytes>,
}

/// Returns the stamp of an item by its key and value, if its writer stamps it.
pub type StampOf = fn(&str, &[u8]) -> Option<Stamp>;

/// The items of the store as of one position.
#[derive(Clone, Debug, Default)]
pub struct Table {
    /// What the store holds.
    stored: BTreeMap<String, Item>,
    /// What holds instead of the stored items.
    retained: retained::Table,
    position: Position,
    log: VecDeque<Event>,
    /// The log contains every change after this revision of the era.
    log_start: u64,
    confirmed_at: Option<boot::Instant>,
    /// Number of full reads before which changes may have been missed.
    gaps: u64,
}

impl Table {
    /// Returns the position in the store's history that the items correspond to, the
    /// lowest one before the first read.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the items that the store holds, by key.
    pub fn stored(&self) -> &BTreeMap<String, Item> {
        &self.stored
    }

    /// Returns the items that are in effect, by key.
    pub fn items(&self) -> BTreeMap<String, Item> {
        let mut items = self.stored.clone();
        for (key, retained) in self.retained.entries() {
            match &retained.item {
                Some(item) => items.insert(key.clone(), item.clone()),
                None => items.remove(key),
            };
        }
        items
    }

    /// Returns the number of keys under which something else than the stored item is in
    /// effect.
    pub fn retained(&self) -> usize {
        self.retained.entries().len()
    }

    /// Returns the item that is in effect under a key.
    fn in_effect(&self, key: &str) -> Option<&Item> {
        match self.retained.entries().get(key) {
            Some(retained) => retained.item.as_ref(),
            None => self.stored.get(key),
        }
    }

    /// Returns what is retained from earlier eras at a time, for other hosts.
    pub fn facts(&self, now: boot::Instant) -> Vec<Fact> {
        self.retained.facts(now)
    }

    /// Returns the time since the store is known to have held exactly these
    /// items, or `None` before the first read.
    pub fn age(&self, now: boot::Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Returns whether the items are known to be those that the store held at a time, or later.
    pub fn is_as_of(&self, at: boot::Instant) -> bool {
        self.confirmed_at >= Some(at)
    }

    /// Returns how often changes may have been missed, as an item may have come and gone between two
    /// full reads. The first read counts.
    pub fn gaps(&self) -> u64 {
        self.gaps
    }

    /// Replaces all items by the result of a full read that started at `as_of`, and
    /// returns the changes of what is in effect. A read of an earlier position changes
    /// nothing.
    ///
    /// In a new era, items that are newer than the store's are retained.
    pub fn replace(
        &mut self,
        items: BTreeMap<String, Item>,
        position: Position,
        as_of: boot::Instant,
        stamp: StampOf,
    ) -> Vec<Event> {
        if position < self.position {
            return Vec::new();
        }
        let seen_at = self
            .confirmed_at
            .filter(|_| position.era == self.position.era);
        let is_unchanged = position == self.position;
        if !is_unchanged && seen_at.is_none_or(|at| as_of.since(at) > MAX_GAP) {
            self.gaps += 1;
        }
        let before = self.items();
        match position.era > self.position.era && self.confirmed_at.is_some() {
            true => self.retained.retain_lost(&before, &items, as_of, stamp),
            false => self.retained.review_all(&self.stored, &items, stamp),
        }
        self.stored = items;
        self.log.clear();
        self.log_start = position.revision;
        self.position = position;
        self.confirm(as_of);
        self.changes_since(&before, as_of, stamp)
    }

    /// Applies the changes up to a position in the same era from a response whose request
    /// started at `as_of`, and returns those that were new and are in effect.
    pub fn apply(
        &mut self,
        events: Vec<Event>,
        position: Position,
        as_of: boot::Instant,
        stamp: StampOf,
    ) -> Vec<Event> {
        if position < self.position || position.era != self.position.era {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for event in events {
            if event.revision <= self.position.revision {
                continue;
            }
            let old = self.in_effect(&event.key).map(|item| item.value.clone());
            match &event.value {
                Some(value) => {
                    let item = Item {
                        value: value.clone(),
                        revision: event.revision,
                    };
                    self.stored.insert(event.key.clone(), item);
                }
                None => {
                    self.stored.remove(&event.key);
                }
            }
            let stored = self.stored.get(&event.key);
            if self.retained.review(&event.key, stored, stamp) {
                let is_present = stored.is_some();
                self.retained
                    .record_change(&event.key, old.as_deref(), is_present, as_of, stamp);
                changes.push(event.clone());
            }
            self.log.push_back(event);
        }
        while self.log.len() > MAX_LOG_EVENTS {
            if let Some(dropped) = self.log.pop_front() {
                self.log_start = dropped.revision;
            }
        }
        self.position = position;
        self.confirm(as_of);
        changes
    }

    /// Retains what another host knows and this one doesn't, at any position, and returns
    /// the changes of what is in effect.
    pub fn recall(&mut self, facts: Vec<Fact>, now: boot::Instant, stamp: StampOf) -> Vec<Event> {
        if facts.is_empty() || self.confirmed_at.is_none() {
            return Vec::new();
        }
        let before = self.items();
        for fact in facts {
            let own = before.get(&fact.key);
            self.retained.recall(fact, own, now, stamp);
        }
        self.changes_since(&before, now, stamp)
    }

    /// Ends what is retained for a limited time, and returns the changes of what is in
    /// effect.
    pub fn expire(&mut self, now: boot::Instant, stamp: StampOf) -> Vec<Event> {
        if !self.retained.is_any_due(now) {
            return Vec::new();
        }
        let before = self.items();
        self.retained.expire(now);
        self.changes_since(&before, now, stamp)
    }

    /// Returns the changes after a position, or `None` if some of them are no longer kept,
    /// or the position is later than the table's or in another era.
    pub fn events_after(&self, after: Position) -> Option<Vec<Event>> {
        let is_covered = after.era == self.position.era
            && after.revision >= self.log_start
            && after.revision <= self.position.revision;
        let new = self
            .log
            .iter()
            .filter(|event| event.revision > after.revision);
        is_covered.then(|| new.cloned().collect())
    }

    fn confirm(&mut self, as_of: boot::Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }

    /// Returns the differences between the items that were in effect before and those that
    /// are now.
    fn changes_since(
        &mut self,
        before: &BTreeMap<String, Item>,
        now: boot::Instant,
        stamp: StampOf,
    ) -> Vec<Event> {
        let after = self.items();
        let removed = before.keys().filter(|key| !after.contains_key(*key));
        let removed = removed.map(|key| Event {
            key: key.clone(),
            revision: self.position.revision,
            value: None,
        });
        let new = after.iter().filter(|(key, item)| {
            let previous = before.get(*key);
            previous.is_none_or(|previous| previous.value != item.value)
        });
        let new = new.map(|(key, item)| Event {
            key: key.clone(),
            revision: item.revision,
            value: Some(item.value.clone()),
        });
        let changes: Vec<Event> = removed.chain(new).collect();
        for event in &changes {
            let old = before.get(&event.key).map(|item| &item.value[..]);
            let is_present = event.value.is_some();
            self.retained
                .record_change(&event.key, old, is_present, now, stamp);
        }
        changes
    }
}

/// Converts the items of a host that is behind into facts, as some may still be newer than the
/// store's older copy.
pub fn facts_of(items: BTreeMap<String, Item>, stamp: StampOf) -> Vec<Fact> {
    let facts = items.into_iter().filter_map(|(key, item)| {
        let stamp = stamp(&key, &item.value)?;
        Some(Fact {
            key,
            item: Some(item),
            stamp,
            left_ms: None,
        })
    });
    facts.collect()
}
