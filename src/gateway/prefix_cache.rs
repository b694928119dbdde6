//! Index of the prompt segments that engines hold in their prefix caches.
//!
//! Many requests share prompts, and prefilling a shared prompt again costs more than
//! joining a longer batch. Hosts exchange where they sent requests, so that a
//! prompt stays on its engine when others come and go, which the order of
//! rendezvous hashing alone does not ensure. After a restart of all hosts, the
//! engines' own listings replace the lost index.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;

use crate::ident;
use crate::log::millis;

/// How long an upstream is assumed to hold a segment that is not sent there again.
const PLACEMENT_LIFETIME: Duration = Duration::from_secs(60);

/// How long an upstream's own listing is valid. By then, the segments that matter
/// have been sent again.
const LISTING_LIFETIME: Duration = Duration::from_secs(20);

/// Shortest interval between two announcements of the same placement to other hosts.
/// Far below the lifetime of a placement, so that a lost datagram is made up for in
/// time.
const ANNOUNCE_INTERVAL: Duration = Duration::from_secs(5);

/// Maximum number of segments in the index.
const MAX_SEGMENTS: usize = 16_384;

/// Maximum number of placements queued for other hosts.
const MAX_UPDATES: usize = 48;

/// The index of one host, as sent to a host that starts. Times are in milliseconds.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Segments, and for each the upstreams that hold it with the time since it was
    /// last sent there.
    pub used: Vec<(u64, Vec<(ident::Upstream, u64)>)>,
    /// Upstreams with the age of their listing and the segments that it names.
    pub listed: Vec<(ident::Upstream, u64, BTreeSet<u64>)>,
}

/// The index: placements by segment, and listings by upstream.
#[derive(Clone, Debug, Default)]
pub struct Table {
    placements: BTreeMap<u64, BTreeMap<ident::Upstream, Placement>>,
    listings: BTreeMap<ident::Upstream, Listing>,
    /// Placements to announce to other hosts.
    updates: Vec<(u64, ident::Upstream)>,
}

/// A segment sent to an upstream.
#[derive(Clone, Copy, Debug)]
struct Placement {
    /// When a host last sent it there, as far as this host knows.
    sent_at: Instant,
    /// When a host last announced it to the others, if one did.
    announced_at: Option<Instant>,
}

/// The segments that an upstream reported to hold.
#[derive(Clone, Debug)]
struct Listing {
    received_at: Instant,
    segments: BTreeSet<u64>,
}

impl Table {
    /// Returns whether an upstream holds a segment, as far as this host knows.
    pub fn holds(&self, now: Instant, segment: u64, upstream: &ident::Upstream) -> bool {
        let holders = self.placements.get(&segment);
        let placement = holders.and_then(|holders| holders.get(upstream));
        let is_placed = placement.is_some_and(|placement| placement.is_fresh(now));
        let listing = self.listings.get(upstream);
        is_placed || listing.is_some_and(|listing| listing.holds(now, segment))
    }

    /// Returns how many leading segments of a prompt an upstream holds. The others
    /// have to be prefilled.
    pub fn prefix_len(&self, now: Instant, segments: &[u64], upstream: &ident::Upstream) -> usize {
        let held = segments.iter();
        held.take_while(|segment| self.holds(now, **segment, upstream))
            .count()
    }

    /// Returns the upstreams that hold a segment, as far as this host knows.
    pub fn holders(&self, now: Instant, segment: u64) -> BTreeSet<&ident::Upstream> {
        let holders = self.placements.get(&segment).into_iter().flatten();
        let placed = holders.filter(|(_, placement)| placement.is_fresh(now));
        let placed = placed.map(|(upstream, _)| upstream);
        let listed = self
            .listings
            .iter()
            .filter(|(_, listing)| listing.holds(now, segment));
        placed.chain(listed.map(|(upstream, _)| upstream)).collect()
    }

    /// Records that this host sent a segment to an upstream, and returns whether the
    /// upstream was not known to hold it.
    ///
    /// The placement is queued for other hosts unless it was announced recently or
    /// the queue is full.
    pub fn record(&mut self, now: Instant, segment: u64, upstream: &ident::Upstream) -> bool {
        let is_new = !self.holds(now, segment, upstream);
        let placement = self
            .placements
            .get(&segment)
            .and_then(|it| it.get(upstream));
        let announced_at = placement.and_then(|placement| placement.announced_at);
        let is_announced =
            announced_at.is_some_and(|at| now.duration_since(at) < ANNOUNCE_INTERVAL);
        match is_announced || self.updates.len() >= MAX_UPDATES {
            true => self.insert(
                now,
                segment,
                upstream,
                Placement {
                    sent_at: now,
                    announced_at,
                },
            ),
            false => {
                self.record_remote(now, segment, upstream);
                self.updates.push((segment, upstream.clone()));
            }
        }
        is_new
    }

    /// Records that another host announced that it sent a segment to an upstream.
    pub fn record_remote(&mut self, now: Instant, segment: u64, upstream: &ident::Upstream) {
        let placement = Placement {
            sent_at: now,
            announced_at: Some(now),
        };
        self.insert(now, segment, upstream, placement);
    }

    fn insert(&mut self, now: Instant, segment: u64, upstream: &ident::Upstream, new: Placement) {
        if self.placements.len() >= MAX_SEGMENTS && !self.placements.contains_key(&segment) {
            self.expire(now);
        }
        let holders = self.placements.entry(segment).or_default();
        let entry = holders.entry(upstream.clone()).or_insert(new);
        entry.sent_at = entry.sent_at.max(new.sent_at);
        entry.announced_at = entry.announced_at.max(new.announced_at);
    }

    /// Replaces the listing of an upstream.
    pub fn record_listing(
        &mut self,
        now: Instant,
        upstream: &ident::Upstream,
        segments: BTreeSet<u64>,
    ) {
        let listing = Listing {
            received_at: now,
            segments,
        };
        self.listings.insert(upstream.clone(), listing);
    }

    /// Returns a snapshot of all valid placements and listings.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let placed = self.placements.iter().map(|(segment, holders)| {
            let fresh = holders
                .iter()
                .filter(|(_, placement)| placement.is_fresh(now));
            let fresh = fresh.map(|(upstream, placement)| {
                let since = now.duration_since(placement.sent_at);
                (upstream.clone(), millis(since))
            });
            (*segment, fresh.collect::<Vec<_>>())
        });
        let listed = self
            .listings
            .iter()
            .filter(|(_, listing)| listing.is_fresh(now));
        let listed = listed.map(|(upstream, listing)| {
            let since = now.duration_since(listing.received_at);
            (upstream.clone(), millis(since), listing.segments.clone())
        });
        Snapshot {
            used: placed.filter(|(_, held)| !held.is_empty()).collect(),
            listed: listed.collect(),
        }
    }

    /// Merges another host's snapshot.
    pub fn merge(&mut self, now: Instant, snapshot: Snapshot) {
        let before = |since_ms| now.checked_sub(Duration::from_millis(since_ms));
        for (segment, holders) in snapshot.used {
            for (upstream, since_ms) in holders {
                if let Some(at) = before(since_ms) {
                    let placement = Placement {
                        sent_at: at,
                        announced_at: Some(at),
                    };
                    self.insert(now, segment, &upstream, placement);
                }
            }
        }
        for (upstream, since_ms, segments) in snapshot.listed {
            if let Some(at) = before(since_ms) {
                self.record_listing(at, &upstream, segments);
            }
        }
    }

    /// Returns and clears the placements queued for other hosts.
    pub fn take_updates(&mut self) -> Vec<(u64, ident::Upstream)> {
        std::mem::take(&mut self.updates)
    }

    /// Removes an upstream that is gone or has restarted.
    pub fn remove(&mut self, upstream: &ident::Upstream) {
        for holders in self.placements.values_mut() {
            holders.remove(upstream);
        }
        self.placements.retain(|_, holders| !holders.is_empty());
        self.listings.remove(upstream);
    }

    /// Removes expired placements, or all of them if the index is still full then.
    fn expire(&mut self, now: Instant) {
        for holders in self.placements.values_mut() {
            holders.retain(|_, placement| placement.is_fresh(now));
        }
        self.placements.retain(|_, holders| !holders.is_empty());
        if self.placements.len() >= MAX_SEGMENTS {
            self.placements.clear();
        }
    }
}

impl Placement {
    fn is_fresh(&self, now: Instant) -> bool {
        now.duration_since(self.sent_at) < PLACEMENT_LIFETIME
    }
}

impl Listing {
    fn is_fresh(&self, now: Instant) -> bool {
        now.duration_since(self.received_at) < LISTING_LIFETIME
    }

    fn holds(&self, now: Instant, segment: u64) -> bool {
        self.is_fresh(now) && self.segments.contains(&segment)
    }
}
