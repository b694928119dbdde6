//! When a refused caller is to return, and the place that is kept for it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::admit::Estimate;

/// Minimum time after which a refused caller returns.
pub const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Wait that is assumed before any request was served from the queue.
const DEFAULT_WAIT: Duration = Duration::from_millis(400);

/// Maximum time for which callers are told to stay away.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(10);

/// Share of its remaining time for which a caller stays away; it gives up if told to stay longer.
const CALLER_SHARE: u32 = 3;

/// Maximum number of places that are kept.
const MAX_PLACES: usize = 4_096;

/// How long a place is kept after the caller was to return.
const PLACE_LIFETIME: Duration = Duration::from_secs(3);

/// Times at which the refused callers of a service are to return.
#[derive(Clone, Copy, Debug, Default)]
pub struct Schedule {
    /// When the last one is to return.
    last: Option<Instant>,
}

impl Schedule {
    /// Returns the time after which a caller is to return that has the time `left`; `draw` is
    /// uniform in `0..1`.
    ///
    /// Callers return in the order in which they were refused, about as fast as the queue drains,
    /// between half and one and a half times the expected wait. Any more are spread over that
    /// time.
    pub fn book(
        &mut self,
        now: Instant,
        expected: Option<Estimate>,
        left: Duration,
        draw: f64,
    ) -> Duration {
        let wait = expected.map_or(DEFAULT_WAIT, |it| it.wait);
        let wait = wait.clamp(MIN_RETRY_AFTER * 2, MAX_RETRY_AFTER);
        let interval = expected.map_or(wait / 16, |it| it.interval);
        let latest = (wait + wait / 2).min(left / CALLER_SHARE);
        let earliest = MIN_RETRY_AFTER.max((wait / 2).min(latest / 2));
        let spread = latest.saturating_sub(earliest);
        let next = self.last.unwrap_or(now) + interval.mul_f64(2.0 * draw);
        let next = next.saturating_duration_since(now).max(earliest);
        if next >= latest {
            return earliest + spread.mul_f64(draw);
        }
        self.last = Some(now + next);
        next
    }
}

/// The due times of refused requests, for callers that return.
#[derive(Clone, Debug, Default)]
pub struct Places {
    places: BTreeMap<u64, Place>,
    expiries: BTreeSet<(Instant, u64)>,
}

#[derive(Clone, Copy, Debug)]
struct Place {
    due: Instant,
    /// When the caller was told to return.
    returns: Instant,
    expires: Instant,
}

impl Places {
    /// Keeps the place of a request that was due at `due`, and whose caller is to return at
    /// `returns`. `fingerprint` identifies the request and its workspace.
    pub fn keep(&mut self, now: Instant, fingerprint: u64, due: Instant, returns: Instant) {
        self.remove(fingerprint);
        while let Some((expires, oldest)) = self.expiries.first().copied()
            && (expires <= now || self.places.len() >= MAX_PLACES)
        {
            self.remove(oldest);
        }
        let expires = returns + PLACE_LIFETIME;
        self.expiries.insert((expires, fingerprint));
        self.places.insert(
            fingerprint,
            Place {
                due,
                returns,
                expires,
            },
        );
    }

    /// Takes the due time that is kept for a request. A caller that returns earlier than it was
    /// told gets none, and its place stays.
    pub fn take(&mut self, now: Instant, fingerprint: u64) -> Option<Instant> {
        let place = *self.places.get(&fingerprint)?;
        if now < place.returns {
            return None;
        }
        self.remove(fingerprint);
        (now < place.expires).then_some(place.due)
    }

    /// Returns the number of places.
    pub fn len(&self) -> usize {
        self.places.len()
    }

    /// Returns whether no place is kept.
    pub fn is_empty(&self) -> bool {
        self.places.is_empty()
    }

    fn remove(&mut self, fingerprint: u64) {
        if let Some(place) = self.places.remove(&fingerprint) {
            self.expiries.remove(&(place.expires, fingerprint));
        }
    }
}
