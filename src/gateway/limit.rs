//! Divides the request rate that an upstream takes from all hosts together.
//!
//! No host asks another before it sends. A few hosts, the first in the upstream's rendezvous
//! order, share the rate evenly, and the others send nothing there. In a small fleet with a
//! high limit these are all hosts. Few hosts are chosen because each may save up one request:
//! that bounds how many can come at once.

use std::time::Duration;

use tokio::time::Instant;

/// Number of chosen hosts at a limit of zero. Each request per second adds one.
const MIN_CHOSEN_HOSTS: f64 = 2.0;

/// Requests per second of the first host at least, as only a response tells that the limit has
/// risen or ended.
const MIN_RATE: f64 = 0.1;

/// Time in which a host may save up requests, if that is more than one.
const BURST: Duration = Duration::from_millis(300);

/// Longest wait that is told apart from longer ones. A duration can't represent those of the
/// smallest rates that an upstream may name.
const MAX_WAIT: Duration = Duration::from_secs(24 * 3_600);

/// How long a share is used before it is computed again.
const SHARE_LIFETIME: Duration = Duration::from_secs(1);

/// Returns the requests per second that a host may send to an upstream.
///
/// `limit` is the rate for all `hosts` together, and `rank` the host's rank in the upstream's
/// rendezvous order, 0 first. A host that `is_settling` may not know most others yet, so its
/// share doesn't depend on their number.
pub fn share(limit: f64, hosts: usize, rank: usize, is_settling: bool) -> f64 {
    let chosen = chosen_hosts(limit, hosts, is_settling);
    let rate = match rank < chosen {
        true => limit / chosen as f64,
        false => 0.0,
    };
    match rank {
        0 => rate.max(MIN_RATE),
        _ => rate,
    }
}

/// Returns the number of hosts that share a limit: those of a lower rank.
pub fn chosen_hosts(limit: f64, hosts: usize, is_settling: bool) -> usize {
    let most = (limit + MIN_CHOSEN_HOSTS) as usize;
    match is_settling {
        true => most,
        false => most.min(hosts.max(1)),
    }
}

/// A host's share of one upstream's limit, and what it has saved up of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bucket {
    /// Limit that the share was computed for.
    limit: f64,
    /// Requests per second.
    rate: f64,
    shared_at: Instant,
    /// Requests that may be sent now.
    tokens: f64,
    filled_at: Instant,
}

impl Bucket {
    /// Creates a bucket for an upstream that has just named its limit. It is half full: the
    /// upstream has got requests until now.
    pub fn new(now: Instant, limit: f64, rate: f64) -> Self {
        Self {
            limit,
            rate,
            shared_at: now,
            tokens: capacity(rate) / 2.0,
            filled_at: now,
        }
    }

    /// Returns whether the share has to be computed again.
    pub fn is_outdated(&self, now: Instant, limit: f64) -> bool {
        self.limit != limit || now.duration_since(self.shared_at) >= SHARE_LIFETIME
    }

    /// Changes the share.
    pub fn set_rate(&mut self, now: Instant, limit: f64, rate: f64) {
        self.fill(now);
        self.limit = limit;
        self.rate = rate;
        self.shared_at = now;
        self.tokens = self.tokens.min(capacity(rate));
    }

    /// Returns how many requests may be sent now.
    pub fn available(&self, now: Instant) -> usize {
        self.tokens_at(now) as usize
    }

    /// Returns the time until a request may be sent; `None` if the host has no share.
    pub fn wait(&self, now: Instant) -> Option<Duration> {
        let missing = 1.0 - self.tokens_at(now);
        match missing {
            missing if missing <= 0.0 => Some(Duration::ZERO),
            missing if self.rate > 0.0 => {
                let wait = Duration::try_from_secs_f64(missing / self.rate);
                Some(wait.unwrap_or(MAX_WAIT).min(MAX_WAIT))
            }
            _ => None,
        }
    }

    /// Counts a request that is sent.
    pub fn take(&mut self, now: Instant) {
        self.fill(now);
        self.tokens -= 1.0;
    }

    fn fill(&mut self, now: Instant) {
        self.tokens = self.tokens_at(now);
        self.filled_at = now;
    }

    fn tokens_at(&self, now: Instant) -> f64 {
        let elapsed = now.duration_since(self.filled_at).as_secs_f64();
        (self.tokens + elapsed * self.rate).min(capacity(self.rate))
    }
}

/// Returns the number of requests that may be saved up at a rate.
fn capacity(rate: f64) -> f64 {
    match rate > 0.0 {
        true => (rate * BURST.as_secs_f64()).max(1.0),
        false => 0.0,
    }
}
