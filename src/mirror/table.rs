//! The items, their revision, and until when the store vouched for them.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::boot;

/// The most events kept for followers that lag; one further behind reads all.
const LOG_EVENTS: usize = 1_024;

/// An item of the store.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Item {
    /// Its content.
    pub value: Bytes,
    /// The store's revision at its last change.
    pub revision: u64,
}

/// A change of one item.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Event {
    /// The key of the item.
    pub key: String,
    /// The store's revision at the change.
    pub revision: u64,
    /// The new content; none if the item was deleted.
    pub value: Option<Bytes>,
}

/// The items of the store as of one revision.
#[derive(Clone, Debug, Default)]
pub struct Table {
    items: BTreeMap<String, Item>,
    revision: u64,
    log: VecDeque<Event>,
    /// The log holds every change after this revision.
    log_start: u64,
    vouched: Option<boot::Instant>,
}

impl Table {
    /// Returns the store's revision that the items are of, 0 before any.
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// Returns the items by key.
    pub fn items(&self) -> &BTreeMap<String, Item> {
        &self.items
    }

    /// Returns how long ago the store is known to have held just these items.
    pub fn age(&self, now: boot::Instant) -> Option<Duration> {
        self.vouched.map(|vouched| now.since(vouched))
    }

    /// Replaces all items by a full read that began at `as_of`, and returns what
    /// changed. A read older than the table changes nothing.
    pub fn replace(
        &mut self,
        items: BTreeMap<String, Item>,
        revision: u64,
        as_of: boot::Instant,
    ) -> Vec<Event> {
        if revision < self.revision {
            return Vec::new();
        }
        let gone = self.items.keys().filter(|key| !items.contains_key(*key));
        let gone = gone.map(|key| Event {
            key: key.clone(),
            revision,
            value: None,
        });
        let new = items.iter().filter(|(key, item)| {
            let old = self.items.get(*key);
            old.is_none_or(|old| old.value != item.value)
        });
        let new = new.map(|(key, item)| Event {
            key: key.clone(),
            revision: item.revision,
            value: Some(item.value.clone()),
        });
        let changes: Vec<Event> = gone.chain(new).collect();
        self.items = items;
        self.log.clear();
        self.log_start = revision;
        self.revision = revision;
        self.vouch(as_of);
        changes
    }

    /// Applies the changes up to a revision, from an answer whose request
    /// began at `as_of`, and returns those that were new.
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
        while self.log.len() > LOG_EVENTS {
            if let Some(dropped) = self.log.pop_front() {
                self.log_start = dropped.revision;
            }
        }
        self.revision = revision;
        self.vouch(as_of);
        changes
    }

    /// Returns the changes after a revision, unless some are no longer kept.
    pub fn since(&self, after: u64) -> Option<Vec<Event>> {
        let known = after >= self.log_start && after <= self.revision;
        let new = self.log.iter().filter(|event| event.revision > after);
        known.then(|| new.cloned().collect())
    }

    fn vouch(&mut self, as_of: boot::Instant) {
        self.vouched = self.vouched.max(Some(as_of));
    }
}
