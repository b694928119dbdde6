//! What is believed instead of the store's items after the store came back from an older copy.
//!
//! Operators and upstreams then write again what the store lost. Until they do, a host keeps
//! what it knew, unless the writer's own order says that the store's item is newer. Each
//! belief ends with the next write under its key, or after a limited time:
//!
//! | Believed | Until |
//! |---|---|
//! | a route table that is newer than the store's | a later version is written: versions never go back, and keys that were revoked must stay so |
//! | an upstream that the copy lacks | [`MISSING_UPSTREAM`], in which live upstreams restore their entries |
//! | an entry of an upstream that is newer than the copy's, such as draining | [`NEWER_ENTRY`]: live ones have renewed the copy's entry by then, and those of others have expired |
//! | that an upstream is gone which the copy lists | the same |
//! | an evacuation that the copy lacks | [`MISSING_EVACUATION`] |

use std::collections::BTreeMap;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::boot;
use crate::mirror::Item;
use crate::mirror::stamp::Stamp;
use crate::mirror::stamp::Writer;
use crate::mirror::table::StampOf;

/// How long an upstream that the copy lacks stays listed. The platform states that live
/// ones are back within about two seconds.
pub const MISSING_UPSTREAM: Duration = Duration::from_millis(2_300);

/// How long an entry that is newer than the copy's is believed.
pub const NEWER_ENTRY: Duration = Duration::from_secs(5);

/// How long an evacuation that the copy lacks stays in force. Upstreams of the zone stay
/// unused meanwhile, which is safe.
pub const MISSING_EVACUATION: Duration = Duration::from_secs(15);

/// Maximum time for which another host's belief is adopted, the longest of all.
const MAX_RECALLED: Duration = MISSING_EVACUATION;

/// How long a host remembers that an upstream is gone. Copies of the store are some seconds
/// old.
const REMOVAL_RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of removals that are remembered. The oldest are forgotten first.
const MAX_REMOVALS: usize = 4_096;

/// An item, or its absence, that is in effect instead of the store's.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Retained {
    /// The item, or `None` if there is none.
    pub item: Option<Item>,
    /// Order of the item, or of the last one if there is none.
    pub stamp: Stamp,
    /// Until when it is believed; `None` for as long as nothing later is written.
    pub until: Option<boot::Instant>,
}

/// A belief of another host.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Fact {
    /// The key.
    pub key: String,
    /// The item, or `None` if there is none.
    pub item: Option<Item>,
    /// Order of the item, or of the last one if there is none.
    pub stamp: Stamp,
    /// How much longer it is believed, in milliseconds, if that is limited.
    pub left_ms: Option<u64>,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Removal {
    stamp: Stamp,
    at: boot::Instant,
}

/// What is believed instead of the store's items, and which upstreams are gone.
#[derive(Clone, Debug, Default)]
pub struct Table {
    entries: BTreeMap<String, Retained>,
    /// Upstreams that are gone, in case an older copy of the store lists them.
    removals: BTreeMap<String, Removal>,
}

impl Table {
    /// Returns what is believed, by key.
    pub fn entries(&self) -> &BTreeMap<String, Retained> {
        &self.entries
    }

    /// Returns what is believed, for other hosts.
    pub fn facts(&self, now: boot::Instant) -> Vec<Fact> {
        let facts = self.entries.iter().map(|(key, retained)| {
            let left = retained.until.map(|until| until.since(now).as_millis());
            Fact {
                key: key.clone(),
                item: retained.item.clone(),
                stamp: retained.stamp,
                left_ms: left.map(|left| u64::try_from(left).unwrap_or(u64::MAX)),
            }
        });
        facts.collect()
    }

    /// Retains what the items of a new era lack of those that were in effect before.
    pub fn retain_lost(
        &mut self,
        before: &BTreeMap<String, Item>,
        items: &BTreeMap<String, Item>,
        as_of: boot::Instant,
        stamp_of: StampOf,
    ) {
        self.entries.clear();
        for (key, item) in before {
            let Some(stamp) = stamp_of(key, &item.value) else {
                continue;
            };
            let stored = items.get(key);
            let is_newer = stored.is_some_and(|it| is_older(key, it, &stamp, stamp_of));
            let until = match (stamp.writer, stored) {
                (_, Some(_)) if !is_newer => continue,
                (Writer::Operator, _) if stamp.sequence.is_some() => None,
                (Writer::Operator, _) => Some(as_of + MISSING_EVACUATION),
                (Writer::Upstream, Some(_)) => Some(as_of + NEWER_ENTRY),
                (Writer::Upstream, None) => Some(as_of + MISSING_UPSTREAM),
            };
            let item = Some(item.clone());
            let retained = Retained { item, stamp, until };
            self.entries.insert(key.clone(), retained);
        }
        for (key, removal) in &self.removals {
            let ghost = items.get(key).filter(|item| {
                let stamp = stamp_of(key, &item.value);
                stamp.is_some_and(|it| !removal.stamp.is_before(&it))
            });
            if ghost.is_some() && !before.contains_key(key) {
                let retained = Retained {
                    item: None,
                    stamp: removal.stamp,
                    until: Some(as_of + NEWER_ENTRY),
                };
                self.entries.insert(key.clone(), retained);
            }
        }
    }

    /// Retains another host's belief if it is newer than `own`, the item that is in effect
    /// here.
    pub fn recall(
        &mut self,
        fact: Fact,
        own: Option<&Item>,
        now: boot::Instant,
        stamp_of: StampOf,
    ) {
        let Fact {
            key,
            item,
            stamp,
            left_ms,
        } = fact;
        let own_stamp = own.and_then(|own| stamp_of(&key, &own.value));
        let removed = self.removals.get(&key).map(|removal| removal.stamp);
        let is_table = stamp.writer == Writer::Operator && stamp.sequence.is_some();
        let is_newer = match (own, own_stamp, &item) {
            (Some(_), Some(own), Some(_)) => own.is_before(&stamp),
            (Some(_), Some(own), None) => !stamp.is_before(&own),
            // Gone here, or never seen: believed only if that host retains it, and only for
            // as long.
            (None, _, Some(_)) if left_ms.is_some() => {
                removed.is_none_or(|removed| removed.is_before(&stamp))
            }
            (None, _, Some(_)) => is_table,
            (_, _, _) => false,
        };
        if !is_newer {
            return;
        }
        let until = match left_ms {
            Some(left) => Some(now + Duration::from_millis(left).min(MAX_RECALLED)),
            None if is_table => None,
            None => Some(now + NEWER_ENTRY),
        };
        self.entries.insert(key, Retained { item, stamp, until });
    }

    /// Ends the belief under a key if the item that was written there since is newer, and
    /// returns whether the stored item is in effect.
    pub fn review(&mut self, key: &str, stored: Option<&Item>, stamp_of: StampOf) -> bool {
        let Some(retained) = self.entries.get(key) else {
            return true;
        };
        let is_kept = match (&retained.item, stored) {
            (Some(_), Some(stored)) => is_older(key, stored, &retained.stamp, stamp_of),
            (Some(_), None) => retained.until.is_none(),
            (None, Some(stored)) => {
                let stamp = stamp_of(key, &stored.value);
                stamp.is_some_and(|it| !retained.stamp.is_before(&it))
            }
            (None, None) => false,
        };
        if !is_kept {
            self.entries.remove(key);
        }
        !is_kept
    }

    /// Reviews the beliefs under all keys whose stored items differ from the old ones.
    pub fn review_all(
        &mut self,
        old: &BTreeMap<String, Item>,
        new: &BTreeMap<String, Item>,
        stamp_of: StampOf,
    ) {
        let keys: Vec<String> = self.entries.keys().cloned().collect();
        for key in keys {
            let stored = new.get(&key);
            if stored != old.get(&key) {
                self.review(&key, stored, stamp_of);
            }
        }
    }

    /// Records a change of what is in effect: remembers an upstream that is gone, and forgets
    /// that about one that is back.
    pub fn record_change(
        &mut self,
        key: &str,
        old: Option<&[u8]>,
        is_present: bool,
        now: boot::Instant,
        stamp_of: StampOf,
    ) {
        let old = old.and_then(|value| stamp_of(key, value));
        match old {
            _ if is_present => {
                self.removals.remove(key);
            }
            Some(stamp) if stamp.writer == Writer::Upstream => {
                self.removals
                    .retain(|_, removal| now.since(removal.at) < REMOVAL_RETENTION);
                if self.removals.len() >= MAX_REMOVALS {
                    let oldest = self.removals.iter().min_by_key(|(_, it)| it.at);
                    let oldest = oldest.map(|(key, _)| key.clone());
                    oldest.and_then(|key| self.removals.remove(&key));
                }
                let removal = Removal { stamp, at: now };
                self.removals.insert(key.to_owned(), removal);
            }
            Some(_) | None => {}
        }
    }

    /// Returns whether a belief has ended.
    pub fn is_any_due(&self, now: boot::Instant) -> bool {
        self.entries.values().any(|it| is_due(it, now))
    }

    /// Removes beliefs that have ended.
    pub fn expire(&mut self, now: boot::Instant) {
        self.entries.retain(|_, retained| !is_due(retained, now));
    }
}

fn is_due(retained: &Retained, now: boot::Instant) -> bool {
    retained.until.is_some_and(|until| until <= now)
}

/// Returns whether an item was written before the one with a stamp.
fn is_older(key: &str, item: &Item, stamp: &Stamp, stamp_of: StampOf) -> bool {
    let own = stamp_of(key, &item.value);
    own.is_some_and(|own| own.is_before(stamp))
}
