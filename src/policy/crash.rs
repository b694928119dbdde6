//! Requests that crash upstreams: after several upstreams were lost while
//! running a request, the request is refused for a while.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;
use crate::log::millis;
use crate::policy::report;

/// The limits on crashes: when they lead to a refusal, and how long and for how
/// many requests they are kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Distinct upstreams lost before a request is refused.
    pub upstreams: usize,
    /// How long crashes are kept after the last one.
    pub retention: Duration,
    /// The maximum number of requests whose crashes are kept.
    pub max_requests: usize,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            upstreams: 2,
            retention: Duration::from_secs(600),
            max_requests: 4096,
        }
    }
}

/// A lost upstream, as hosts report it to each other.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Crash {
    /// The fingerprint of the request.
    pub fingerprint: u64,
    /// The upstream that was lost while it ran the request.
    pub upstream: ident::Upstream,
    /// How long the crash still counts, in milliseconds; 0 if the request was
    /// answered since.
    pub left_ms: u64,
}

/// Lost upstreams, by the fingerprint of the request that they ran.
#[derive(Clone, Debug)]
pub struct Table {
    limits: Limits,
    entries: BTreeMap<u64, Entry>,
    expiries: BTreeSet<(Instant, u64)>,
}

#[derive(Clone, Debug)]
struct Entry {
    /// Whether an upstream has answered the request since.
    cleared: bool,
    upstreams: BTreeSet<ident::Upstream>,
    until: Instant,
    turn: report::Turn,
}

impl Entry {
    fn crashes(&self, now: Instant, fingerprint: u64) -> impl Iterator<Item = Crash> {
        let left = match self.cleared {
            true => Duration::ZERO,
            false => self.until.duration_since(now),
        };
        self.upstreams.iter().map(move |upstream| Crash {
            fingerprint,
            upstream: upstream.clone(),
            left_ms: millis(left),
        })
    }
}

impl Table {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            entries: BTreeMap::new(),
            expiries: BTreeSet::new(),
        }
    }

    /// Records that an upstream was lost while it ran the request.
    pub fn record(&mut self, now: Instant, fingerprint: u64, upstream: &ident::Upstream) {
        self.add(now, self.limits.retention, fingerprint, upstream);
        self.expire(now);
    }

    /// Merges a crash reported by a peer, for at most the local retention. A
    /// crash with no time left means that the request was answered since.
    pub fn merge(&mut self, now: Instant, crash: &Crash) {
        if crash.left_ms == 0 {
            return self.clear(now, crash.fingerprint);
        }
        let left = Duration::from_millis(crash.left_ms).min(self.limits.retention);
        self.add(now, left, crash.fingerprint, &crash.upstream);
        self.expire(now);
    }

    /// Returns how long the request is still refused, or `None` if it isn't.
    pub fn refused(&self, now: Instant, fingerprint: u64) -> Option<Duration> {
        let entry = self.entries.get(&fingerprint)?;
        let over_limit = !entry.cleared && entry.upstreams.len() >= self.limits.upstreams;
        let refused = over_limit && entry.until > now;
        refused.then(|| entry.until - now)
    }

    /// Returns whether an upstream was lost while it ran the request and the
    /// request has not been answered since.
    pub fn is_suspect(&self, now: Instant, fingerprint: u64) -> bool {
        let entry = self.entries.get(&fingerprint);
        entry.is_some_and(|entry| !entry.cleared && entry.until > now)
    }

    /// Clears the crashes of a request that was answered: its upstreams were
    /// lost for another reason.
    pub fn clear(&mut self, now: Instant, fingerprint: u64) {
        if let Some(entry) = self.entries.get_mut(&fingerprint)
            && !entry.cleared
        {
            entry.cleared = true;
            entry.turn.record_change(now);
        }
    }

    /// Returns crashes to report to peers: `max` or slightly more, as a request's crashes are
    /// reported together. Those of requests that were answered since have no time left.
    pub fn reports(&self, now: Instant, max: usize) -> Vec<Crash> {
        let live = self.entries.iter().filter(|(_, entry)| entry.until > now);
        let items = live.map(|item| report::Item {
            content: item,
            turn: item.1.turn,
            is_urgent: !item.1.cleared && item.1.upstreams.len() > 1,
        });
        let mut crashes = Vec::new();
        for (fingerprint, entry) in report::in_order(now, items) {
            if crashes.len() >= max {
                break;
            }
            crashes.extend(entry.crashes(now, *fingerprint));
        }
        crashes
    }

    /// Records that crashes were reported to peers.
    pub fn record_reported(&mut self, now: Instant, fingerprints: impl Iterator<Item = u64>) {
        for fingerprint in fingerprints.collect::<BTreeSet<_>>() {
            if let Some(entry) = self.entries.get_mut(&fingerprint) {
                entry.turn.record_report(now);
            }
        }
    }

    /// Returns the number of requests with crashes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request has crashes.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn add(&mut self, now: Instant, left: Duration, fingerprint: u64, upstream: &ident::Upstream) {
        let until = now + left;
        let entry = self.entries.entry(fingerprint).or_insert_with(|| Entry {
            cleared: false,
            upstreams: BTreeSet::new(),
            until,
            turn: report::Turn::new(now),
        });
        self.expiries.remove(&(entry.until, fingerprint));
        entry.until = entry.until.max(until);
        self.expiries.insert((entry.until, fingerprint));
        if entry.upstreams.len() < self.limits.upstreams && entry.upstreams.insert(upstream.clone())
        {
            entry.turn.record_change(now);
        }
    }

    /// Drops expired entries, and the next to expire while there are too many.
    fn expire(&mut self, now: Instant) {
        while let Some((until, fingerprint)) = self.expiries.first().copied()
            && (until <= now || self.entries.len() > self.limits.max_requests)
        {
            self.expiries.pop_first();
            self.entries.remove(&fingerprint);
        }
    }
}
