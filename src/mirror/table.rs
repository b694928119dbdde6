//! The table of items with their revision, the recent changes for followers,
//! and the time at which the store last confirmed the items.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::boot;

/// The maximum number of events kept for followers that lag. A follower that is
/// further behind reads all items.
const MAX_LOG_EVENTS: usize = 1_024;

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

/// The items of the store as of one revision.
#[derive(Clone, Debug, Default)]
pub struct Table {
    items: BTreeMap<String, Item>,
    revision: u64,
    log: VecDeque<Event>,
    /// The log contains every change after this revision.
    log_start: u64,
    confirmed_at: Option<boot::Instant>,
}

impl Table {
    /// Returns the revision of the store that the items correspond to, 0 before
    /// the first read.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the items by key.
    pub fn items(&self) -> &BTreeMap<String, Item> {
        &self.items
    }

    /// Returns the time since the store is known to have held exactly these
    /// items, or `None` before the first read.
    pub fn age(&self, now: boot::Instant) -> Option<Duration> {
        self.confirmed_at
            .map(|confirmed_at| now.since(confirmed_at))
    }

    /// Replaces all items by the result of a full read that started at `as_of`,
    /// and returns the changes. A read that is older than the table changes
    /// nothing.
    pub fn replace(
        &mut self,
        items: BTreeMap<String, Item>,
        revision: u64,
        as_of: boot::Instant,
    ) -> Vec<Event> {
        if revision < self.revision {
            return Vec::new();
        }
        let removed = self.items.keys().filter(|key| !items.contains_key(*key));
        let removed = removed.map(|key| Event {
            key: key.clone(),
            revision,
            value: None,
        });
        let new = items.iter().filter(|(key, item)| {
            let previous = self.items.get(*key);
            previous.is_none_or(|previous| previous.value != item.value)
        });
        let new = new.map(|(key, item)| Event {
            key: key.clone(),
            revision: item.revision,
            value: Some(item.value.clone()),
        });
        let changes: Vec<Event> = removed.chain(new).collect();
        self.items = items;
        self.log.clear();
        self.log_start = revision;
        self.revision = revision;
        self.confirm(as_of);
        changes
    }

    /// Applies the changes up to a revision from a response whose request
    /// started at `as_of`, and returns those that were new.
    pub fn apply(&mut self, events: Vec<Event>, revision: u64, as_of: boot::Instant) -> Vec<Event> {
        if revision < self.revision {
            return Vec::new();
        }
        let mut changes = Vec::new();
        for event in events {
            if event.revision <= self.revision {
                continue;
            }
            match &event.value {
                Some(value) => {
                    let item = Item {
                        value: value.clone(),
                        revision: event.revision,
                    };
                    self.items.insert(event.key.clone(), item);
                }
                None => {
                    self.items.remove(&event.key);
                }
            }
            changes.push(event);
        }
        self.log.extend(changes.iter().cloned());
        while self.log.len() > MAX_LOG_EVENTS {
            if let Some(dropped) = self.log.pop_front() {
                self.log_start = dropped.revision;
            }
        }
        self.revision = revision;
        self.confirm(as_of);
        changes
    }

    /// Returns the changes after a revision, or `None` if some of them are no
    /// longer kept or the revision is greater than the table's.
    pub fn events_after(&self, after: u64) -> Option<Vec<Event>> {
        let is_covered = after >= self.log_start && after <= self.revision;
        let new = self.log.iter().filter(|event| event.revision > after);
        is_covered.then(|| new.cloned().collect())
    }

    fn confirm(&mut self, as_of: boot::Instant) {
        self.confirmed_at = self.confirmed_at.max(Some(as_of));
    }
}
