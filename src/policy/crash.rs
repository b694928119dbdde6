//! Requests that crash upstreams: after several upstreams were lost while
//! running a request, the request is refused for a while.

use std::cmp::Reverse;
use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

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
        self.add(now + self.limits.retention, fingerprint, upstream);
        self.expire(now);
    }

    /// Merges a crash reported by a peer, for at most the local retention. A
    /// crash with no time left means that the request was answered since.
    pub fn merge(&mut self, now: Instant, crash: &Crash) {
        if crash.left_ms == 0 {
            return self.clear(crash.fingerprint);
        }
        let left = Duration::from_millis(crash.left_ms).min(self.limits.retention);
        self.add(now + left, crash.fingerprint, &crash.upstream);
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
    pub fn clear(&mut self, fingerprint: u64) {
        if let Some(entry) = self.entries.get_mut(&fingerprint) {
            entry.cleared = true;
        }
    }

    /// Returns the crashes to report to peers: first those of the requests that
    /// crashed the most upstreams, and among these the newest. Crashes of
    /// requests that were answered since come last, with no time left.
    pub fn crashes(&self, now: Instant) -> Vec<Crash> {
        let live = self.entries.iter().filter(|(_, entry)| entry.until > now);
        let mut live: Vec<_> = live.collect();
        live.sort_by_key(|(_, entry)| {
            let upstreams = entry.upstreams.len();
            (entry.cleared, Reverse(upstreams), Reverse(entry.until))
        });
        let crashes = live.into_iter().flat_map(|(fingerprint, entry)| {
            let left = match entry.cleared {
                true => Duration::ZERO,
                false => entry.until - now,
            };
            entry.upstreams.iter().map(move |upstream| Crash {
                fingerprint: *fingerprint,
                upstream: upstream.clone(),
                left_ms: u64::try_from(left.as_millis()).unwrap_or(u64::MAX),
            })
        });
        crashes.collect()
    }

    /// Returns the number of requests with crashes.
    pub fn len(&self) -> usize {
        self.entries.len()
    }

    /// Returns whether no request has crashes.
    pub fn is_empty(&self) -> bool {
        self.entries.is_empty()
    }

    fn add(&mut self, until: Instant, fingerprint: u64, upstream: &ident::Upstream) {
        let entry = self.entries.entry(fingerprint).or_insert_with(|| Entry {
            cleared: false,
            upstreams: BTreeSet::new(),
            until,
        });
        self.expiries.remove(&(entry.until, fingerprint));
        entry.until = entry.until.max(until);
        self.expiries.insert((entry.until, fingerprint));
        if entry.upstreams.len() < self.limits.upstreams {
            entry.upstreams.insert(upstream.clone());
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
