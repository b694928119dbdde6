//! The estimates of all upstreams.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

use crate::gateway::capacity::Estimate;
use crate::gateway::capacity::Sample;
use crate::gateway::capacity::estimate::Status;
use crate::gateway::capacity::estimate::Tracker;
use crate::gateway::capacity::usual;
use crate::gateway::upstream::Upstream;

/// Maximum number of upstreams, several times those of the largest fleet.
const MAX_ENTRIES: usize = 16_384;

/// Time without a reading after which an upstream is forgotten, long after its estimate has
/// returned to what is usual.
const RETENTION: Duration = Duration::from_secs(10);

/// How long the statements of an upstream count alone. After it, this host's own view of its
/// responses counts.
const STATED_LIFETIME: Duration = Duration::from_secs(5);

/// Weight of a reading from this host's own view of a response, relative to a statement of the
/// upstream. Responses differ by what was asked.
const OBSERVED_WEIGHT: f64 = 0.3;

/// Share of the slots below which a limit is logged as lowered, and above which as restored.
const LOWERED: f64 = 0.7;
const RESTORED: f64 = 0.95;

/// Identifies one run of an upstream's process. A later run begins as a usual upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key(pub u32);

impl Key {
    /// Returns the key of a listed upstream.
    pub fn of(upstream: &Upstream) -> Self {
        let id = xxh3_64(upstream.id.as_str().as_bytes());
        let hash = id
            ^ upstream
                .started_ms
                .unwrap_or_default()
                .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        // The lower half of the hash, which keeps messages small.
        Self((hash ^ (hash >> 32)) as u32)
    }
}

#[derive(Clone, Copy, Debug)]
pub(super) struct Entry {
    pub(super) tracker: Tracker,
    /// The latest slowdown that the upstream stated to any host.
    pub(super) stated: Option<(Instant, f64)>,
    /// The latest that it stated to this host.
    pub(super) own: Option<(Instant, f64)>,
    /// Whether the limit counts as lowered.
    is_lowered: bool,
}

/// A limit that was lowered or restored.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Change {
    /// The upstream.
    pub key: Key,
    /// Whether the limit was lowered.
    pub is_lowered: bool,
    /// The upstream's status.
    pub status: Status,
    /// Age of the latest reading.
    pub age: Duration,
}

/// Figures of the table for metrics.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Figures {
    /// Upstreams whose limits are lowered.
    pub lowered: usize,
    /// Largest present slowdown.
    pub slowest: f64,
}

/// The estimates, by upstream.
#[derive(Clone, Debug, Default)]
pub struct Table {
    pub(super) entries: BTreeMap<Key, Entry>,
    usual: usual::Table,
}

impl Table {
    /// Records what a response tells of an upstream.
    pub fn record(&mut self, now: Instant, upstream: &Upstream, sample: Sample) {
        let key = Key::of(upstream);
        match sample {
            Sample::Stated(slowdown) => {
                self.insert(key, now, slowdown, true);
                if let Some(entry) = self.entries.get_mut(&key) {
                    entry.own = Some((now, slowdown));
                }
            }
            Sample::Observed(work, took) => {
                let ratio = self.usual.record(&upstream.service, work, took);
                let stated = self.entries.get(&key).and_then(|it| it.stated);
                let is_recent = |(at, _)| now.saturating_duration_since(at) < STATED_LIFETIME;
                if !stated.is_some_and(is_recent) {
                    self.insert(key, now, ratio, false);
                }
            }
        }
    }

    /// Returns the estimate of an upstream.
    pub fn estimate(&self, now: Instant, upstream: &Upstream) -> Estimate {
        match self.entries.get(&Key::of(upstream)) {
            Some(entry) => entry.tracker.status(now).estimate(upstream.slots),
            None => Estimate::usual(upstream.slots),
        }
    }

    /// Returns the limits that were lowered or restored since the last call, and removes
    /// upstreams without recent readings.
    pub fn review(&mut self, now: Instant) -> Vec<Change> {
        self.entries.retain(|_, entry| {
            let age = now.duration_since(entry.tracker.read_at());
            age < RETENTION || entry.is_lowered
        });
        let changes = self.entries.iter_mut().filter_map(|(key, entry)| {
            let status = entry.tracker.status(now);
            let is_lowered = match entry.is_lowered {
                true => status.share < RESTORED,
                false => status.share < LOWERED,
            };
            let was_lowered = std::mem::replace(&mut entry.is_lowered, is_lowered);
            (is_lowered != was_lowered).then(|| Change {
                key: *key,
                is_lowered,
                status,
                age: now.duration_since(entry.tracker.read_at()),
            })
        });
        changes.collect()
    }

    /// Returns figures for metrics.
    pub fn figures(&self, now: Instant) -> Figures {
        let entries = self.entries.values();
        let slowdowns = entries.map(|entry| entry.tracker.status(now).present);
        Figures {
            lowered: self.entries.values().filter(|it| it.is_lowered).count(),
            slowest: slowdowns.fold(1.0, f64::max),
        }
    }

    /// Records a reading unless a younger one is known. `is_stated` tells whether the upstream
    /// stated it.
    pub(super) fn insert(&mut self, key: Key, read_at: Instant, slowdown: f64, is_stated: bool) {
        let weight = if is_stated { 1.0 } else { OBSERVED_WEIGHT };
        let stated = is_stated.then_some((read_at, slowdown));
        let has_room = self.entries.len() < MAX_ENTRIES;
        match self.entries.get_mut(&key) {
            Some(entry) if read_at < entry.tracker.read_at() => {}
            Some(entry) => {
                entry.tracker.record(read_at, slowdown, weight);
                entry.stated = stated.or(entry.stated);
            }
            None if has_room => {
                let entry = Entry {
                    tracker: Tracker::new(read_at, slowdown, weight),
                    stated,
                    own: None,
                    is_lowered: false,
                };
                self.entries.insert(key, entry);
            }
            None => {}
        }
    }
}
