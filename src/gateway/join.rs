//! Decides when a host that starts may accept keys.
//!
//! A store that came back from an older copy lists keys that were revoked, and only hosts that
//! were up before know that. A host that starts therefore compares its route table with theirs.
//! Hosts that are starting themselves know no more than it does, so they don't count.

use std::time::Duration;

use tokio::time::Instant;

/// Maximum time for which a host that has a route table waits for messages of others. Each
/// sends several in that time to the hosts of its zone.
pub const TIMEOUT: Duration = Duration::from_millis(500);

/// Time for which a host waits although all others that it knows are starting too. One that has
/// joined may not have been heard yet.
pub const MIN_WAIT: Duration = Duration::from_millis(200);

/// What a host that starts knows of others.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Others {
    /// There are none.
    None,
    /// None of them was heard yet that has joined, and some were not heard at all.
    Silent,
    /// All of them were heard, and none has joined.
    Starting,
    /// The latest version of the route table among those that have joined.
    Latest(u64),
}

/// What a host that starts does next.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Waits for a route table, or for messages of others.
    Wait,
    /// Copies the store's items from a host with a later route table.
    Follow,
    /// Accepts keys.
    Accept,
}

/// The progress of a host that starts.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Join {
    /// When the host first had a route table.
    has_table_since: Option<Instant>,
}

impl Join {
    /// Returns what to do now. `version` is that of this host's route table, 0 without one.
    pub fn next(&mut self, now: Instant, version: u64, others: Others) -> Step {
        if version == 0 {
            return Step::Wait;
        }
        let waited = now.duration_since(*self.has_table_since.get_or_insert(now));
        match others {
            _ if waited >= TIMEOUT => Step::Accept,
            Others::None => Step::Accept,
            Others::Starting if waited >= MIN_WAIT => Step::Accept,
            Others::Starting | Others::Silent => Step::Wait,
            Others::Latest(latest) if latest > version => Step::Follow,
            Others::Latest(_) => Step::Accept,
        }
    }
}
