//! Decides which hosts watch the platform and how often each host calls it.

use std::time::Duration;

use rand::Rng;
use rand::RngExt;
use tokio::time::Instant;

use crate::ident;
use crate::member::placement;
use crate::revision::Revision;

/// The number of hosts per zone that keep a watch open.
pub const WATCHERS_PER_ZONE: usize = 2;

/// The mean interval between two polls of a host that keeps no watch open.
pub const POLL_INTERVAL: Duration = Duration::from_secs(300);

/// The maximum rate of calls of a host to the platform, per second. Even a
/// whole fleet that starts at once stays below the capacity of the platform.
pub const CALLS_PER_SECOND: f64 = 2.5;

/// The maximum number of calls of a host in a burst.
pub const CALL_BURST: f64 = 2.0;

/// The mean wait after the first failure. It doubles with each further one.
pub const BACKOFF: Duration = Duration::from_secs(1);

/// The maximum mean wait after a failure.
pub const MAX_BACKOFF: Duration = Duration::from_secs(5);

/// The maximum number of times that the mean wait doubles.
const MAX_BACKOFF_DOUBLINGS: u32 = 3;

/// The role of a host in watching the platform.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Role {
    /// It keeps a watch open.
    Watcher,
    /// It polls at long intervals, in case the watchers fail.
    Poller,
}

impl Role {
    /// Returns the role of a host, given the live hosts of its zone.
    pub fn of<'a>(own: &ident::Host, live: impl Iterator<Item = &'a ident::Host>) -> Self {
        match placement::top_ranked("watch", live, WATCHERS_PER_ZONE) {
            chosen if chosen.is_empty() || chosen.contains(&own) => Self::Watcher,
            _ => Self::Poller,
        }
    }
}

/// The next call for a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Call {
    /// Wait until the platform has a newer value.
    Watch {
        /// The revision that the value must exceed.
        after: Revision,
        /// How long the platform may hold the request.
        wait: Duration,
    },
    /// Request the value.
    Get,
    /// Make no call before the given time.
    Sleep {
        /// When to decide again.
        until: Instant,
    },
}

/// The result of a call for a value.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Completion {
    /// The platform returned a value with this revision.
    Value(Revision),
    /// The platform has nothing newer.
    Unchanged,
    /// The platform has no such value.
    Missing,
    /// The call failed.
    Failed,
}

/// The state of a host's calls for one value.
#[derive(Clone, Debug)]
pub struct Watch {
    wait: Duration,
    seen: Revision,
    failures: u32,
    next_poll: Option<Instant>,
    next_call: Instant,
}

impl Watch {
    /// Returns the state of a host that has made no call yet. `wait` is how
    /// long the platform may hold a watch.
    pub fn new(now: Instant, wait: Duration) -> Self {
        Self {
            wait,
            seen: Revision::default(),
            failures: 0,
            next_poll: None,
            next_call: now,
        }
    }

    /// Returns the call to make now.
    pub fn next(&self, now: Instant, role: Role) -> Call {
        let poll_due = self.next_poll.unwrap_or(now);
        match role {
            _ if now < self.next_call => Call::Sleep {
                until: self.next_call,
            },
            Role::Poller if now < poll_due => Call::Sleep { until: poll_due },
            _ if self.seen == Revision::default() => Call::Get,
            // A poll is a watch with no wait, so that a value received from a
            // peer is not fetched again.
            role => Call::Watch {
                after: self.seen,
                wait: match role {
                    Role::Watcher => self.wait,
                    Role::Poller => Duration::ZERO,
                },
            },
        }
    }

    /// Records the result of a call.
    ///
    /// A replica that returns an old value counts as failed; otherwise a watch
    /// on it would return at once, again and again. A newer value counts as
    /// seen even if it is invalid.
    pub fn record_completion(&mut self, now: Instant, completion: Completion, rng: &mut impl Rng) {
        self.next_poll = Some(now + jittered(POLL_INTERVAL, rng));
        let succeeded = match completion {
            Completion::Value(revision) => revision > self.seen,
            Completion::Unchanged => true,
            Completion::Missing | Completion::Failed => false,
        };
        if let Completion::Value(revision) = completion {
            self.seen = self.seen.max(revision);
        }
        match succeeded {
            true => {
                self.failures = 0;
                self.next_call = now;
            }
            false => {
                let wait = BACKOFF * 2_u32.saturating_pow(self.failures);
                self.next_call = now + jittered(wait.min(MAX_BACKOFF), rng);
                self.failures = (self.failures + 1).min(MAX_BACKOFF_DOUBLINGS);
            }
        }
    }

    /// Records that a peer supplied a newer value, so that the watch waits for
    /// a later one.
    pub fn observe(&mut self, revision: Revision) {
        self.seen = self.seen.max(revision);
    }
}

/// Returns a random time between 0.5 and 1.5 times the mean.
fn jittered(mean: Duration, rng: &mut impl Rng) -> Duration {
    mean.mul_f64(rng.random_range(0.5..=1.5))
}
