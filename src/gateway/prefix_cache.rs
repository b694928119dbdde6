//! Which upstreams hold which parts of prompts.
//!
//! Answers the load of prompts that many requests share: reading one again costs
//! more than a longer batch. Hosts exchange where they sent requests, so
//! that a prompt stays where it is when upstreams come and go, which the order
//! of rendezvous hashing alone would not give. After a restart of all hosts the
//! upstreams' own lists stand in for what nobody remembers.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::ident;
use crate::log::millis;

/// How long an upstream counts as holding a part that it doesn't use.
const KEPT_FOR: Duration = Duration::from_secs(60);

/// How long an upstream's own list is valid: by then the parts that matter were
/// used again.
const LISTED_FOR: Duration = Duration::from_secs(20);

/// How long a placement isn't told again: every host keeps it for much longer, and a
/// datagram that was lost is made up for by then.
const TOLD_FOR: Duration = Duration::from_secs(5);

/// The most parts remembered.
const PARTS: usize = 16_384;

/// The most placements that wait to be sent to other hosts.
const UPDATES: usize = 48;

/// What a host knows, for one that knows nothing. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Parts, and the upstreams that hold them with the time since each used it.
    pub used: Vec<(u64, Vec<(ident::Upstream, u64)>)>,
    /// Upstreams that said which parts they hold, and how long ago.
    pub listed: Vec<(ident::Upstream, u64, BTreeSet<u64>)>,
}

/// Where parts of prompts were sent.
#[derive(Clone, Debug, Default)]
pub struct Table {
    parts: BTreeMap<u64, BTreeMap<ident::Upstream, Use>>,
    listed: BTreeMap<ident::Upstream, List>,
    updates: Vec<(u64, ident::Upstream)>,
}

/// The use of a part at an upstream.
#[derive(Clone, Copy, Debug)]
struct Use {
    /// When any host last sent it there, as far as is known.
    at: Instant,
    /// When a host last told the others, if one did.
    told: Option<Instant>,
}

/// What an upstream said that it holds.
#[derive(Clone, Debug)]
struct List {
    at: Instant,
    parts: BTreeSet<u64>,
}

impl Table {
    /// Tells whether an upstream holds a part, as far as is known.
    pub fn holds(&self, now: Instant, part: u64, upstream: &ident::Upstream) -> bool {
        let holders = self.parts.get(&part);
        let used = holders.and_then(|holders| holders.get(upstream));
        let is_used = used.is_some_and(|used| used.is_fresh(now));
        let list = self.listed.get(upstream);
        is_used || list.is_some_and(|list| list.holds(now, part))
    }

    /// Returns how many parts of a prompt an upstream holds, from the first on: the
    /// rest has to be read.
    pub fn prefix_len(&self, now: Instant, parts: &[u64], upstream: &ident::Upstream) -> usize {
        let held = parts.iter();
        held.take_while(|part| self.holds(now, **part, upstream))
            .count()
    }

    /// Returns the upstreams that hold a part, as far as is known.
    pub fn holders(&self, now: Instant, part: u64) -> BTreeSet<&ident::Upstream> {
        let holders = self.parts.get(&part).into_iter().flatten();
        let used = holders.filter(|(_, used)| used.is_fresh(now));
        let used = used.map(|(upstream, _)| upstream);
        let listed = self.listed.iter().filter(|(_, list)| list.holds(now, part));
        used.chain(listed.map(|(upstream, _)| upstream)).collect()
    }

    /// Records that this host sent a part to an upstream, and tells whether the
    /// upstream wasn't known to hold it.
    pub fn record(&mut self, now: Instant, part: u64, upstream: &ident::Upstream) -> bool {
        let is_new = !self.holds(now, part, upstream);
        let used = self.parts.get(&part).and_then(|it| it.get(upstream));
        let told = used.and_then(|used| used.told);
        let is_told = told.is_some_and(|told| now.duration_since(told) < TOLD_FOR);
        match is_told || self.updates.len() >= UPDATES {
            true => self.keep(now, part, upstream, Use { at: now, told }),
            false => {
                self.record_remote(now, part, upstream);
                self.updates.push((part, upstream.clone()));
            }
        }
        is_new
    }

    /// Takes in that another host sent a part to an upstream.
    pub fn record_remote(&mut self, now: Instant, part: u64, upstream: &ident::Upstream) {
        let used = Use {
            at: now,
            told: Some(now),
        };
        self.keep(now, part, upstream, used);
    }

    fn keep(&mut self, now: Instant, part: u64, upstream: &ident::Upstream, used: Use) {
        if self.parts.len() >= PARTS && !self.parts.contains_key(&part) {
            self.expire(now);
        }
        let holders = self.parts.entry(part).or_default();
        let known = holders.entry(upstream.clone()).or_insert(used);
        known.at = known.at.max(used.at);
        known.told = known.told.max(used.told);
    }

    /// Takes in what an upstream says that it holds.
    pub fn record_listing(
        &mut self,
        now: Instant,
        upstream: &ident::Upstream,
        parts: BTreeSet<u64>,
    ) {
        let list = List { at: now, parts };
        self.listed.insert(upstream.clone(), list);
    }

    /// Returns which upstreams hold which parts, for a host that knows nothing.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let used = self.parts.iter().map(|(part, holders)| {
            let fresh = holders.iter().filter(|(_, used)| used.is_fresh(now));
            let fresh = fresh.map(|(upstream, used)| {
                let since = now.duration_since(used.at);
                (upstream.clone(), millis(since))
            });
            (*part, fresh.collect::<Vec<_>>())
        });
        let listed = self.listed.iter().filter(|(_, list)| list.is_fresh(now));
        let listed = listed.map(|(upstream, list)| {
            let since = now.duration_since(list.at);
            (upstream.clone(), millis(since), list.parts.clone())
        });
        Snapshot {
            used: used.filter(|(_, held)| !held.is_empty()).collect(),
            listed: listed.collect(),
        }
    }

    /// Takes in what another host knows.
    pub fn merge(&mut self, now: Instant, snapshot: Snapshot) {
        let before = |since_ms| now.checked_sub(Duration::from_millis(since_ms));
        for (part, holders) in snapshot.used {
            for (upstream, since_ms) in holders {
                if let Some(at) = before(since_ms) {
                    let used = Use { at, told: Some(at) };
                    self.keep(now, part, &upstream, used);
                }
            }
        }
        for (upstream, since_ms, parts) in snapshot.listed {
            if let Some(at) = before(since_ms) {
                self.record_listing(at, &upstream, parts);
            }
        }
    }

    /// Returns the placements of this host since the last call.
    pub fn take_updates(&mut self) -> Vec<(u64, ident::Upstream)> {
        std::mem::take(&mut self.updates)
    }

    /// Forgets an upstream that is gone or was started anew.
    pub fn remove(&mut self, upstream: &ident::Upstream) {
        for holders in self.parts.values_mut() {
            holders.remove(upstream);
        }
        self.parts.retain(|_, holders| !holders.is_empty());
        self.listed.remove(upstream);
    }

    /// Forgets placements that are old, or all if that makes no room.
    fn expire(&mut self, now: Instant) {
        for holders in self.parts.values_mut() {
            holders.retain(|_, used| used.is_fresh(now));
        }
        self.parts.retain(|_, holders| !holders.is_empty());
        if self.parts.len() >= PARTS {
            self.parts.clear();
        }
    }
}

impl Use {
    fn is_fresh(&self, now: Instant) -> bool {
        now.duration_since(self.at) < KEPT_FOR
    }
}

impl List {
    fn is_fresh(&self, now: Instant) -> bool {
        now.duration_since(self.at) < LISTED_FOR
    }

    fn holds(&self, now: Instant, part: u64) -> bool {
        self.is_fresh(now) && self.parts.contains(&part)
    }
}
