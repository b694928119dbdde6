//! Another host of the own zone, as its heartbeats describe it: whether it is
//! heard, accepted and live.

use std::net::SocketAddr;
use std::time::Duration;

use tokio::time::Instant;

use crate::member::change::Change;
use crate::member::damping::Damping;
use crate::member::heartbeat::Digest;
use crate::member::heartbeat::State;

/// The state of another host of the zone.
#[derive(Clone, Debug)]
pub struct Peer {
    /// Its address according to the register.
    pub address: SocketAddr,
    presence: Presence,
    current: Option<Seen>,
    other_process: Option<Seen>,
    damping: Damping,
}

#[derive(Clone, Copy, Debug, PartialEq)]
enum Presence {
    Absent,
    Damped { until: Instant },
    Present,
}

#[derive(Clone, Debug)]
struct Seen {
    digest: Digest,
    at: Instant,
}

/// How a heartbeat was handled.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Disposition {
    /// It was accepted, with these changes.
    Accepted(Vec<Change>),
    /// It is not newer than the last one of its process.
    Stale,
    /// It comes from another process than the current one, which has not been
    /// confirmed as its successor yet.
    Duplicate,
}

impl Peer {
    /// Returns a host that has not been heard yet.
    pub fn new(address: SocketAddr) -> Self {
        Self {
            address,
            presence: Presence::Absent,
            current: None,
            other_process: None,
            damping: Damping::default(),
        }
    }

    /// Returns when its last heartbeat arrived.
    pub fn last_seen(&self) -> Option<Instant> {
        self.current.as_ref().map(|seen| seen.at)
    }

    /// Returns the last heartbeat of its current process, regardless of its
    /// age.
    pub fn last_digest(&self) -> Option<&Digest> {
        self.current.as_ref().map(|seen| &seen.digest)
    }

    /// Tells whether the host is heard and not held back by flap damping.
    pub fn is_accepted(&self) -> bool {
        self.presence == Presence::Present
    }

    /// Tells whether the host may be home of upstreams.
    pub fn is_live(&self) -> bool {
        self.is_accepted() && self.state() == Some(State::Live)
    }

    /// Tells whether the host is not accepted, though it did not report the end
    /// of its process.
    pub fn is_unheard(&self) -> bool {
        !self.is_accepted() && self.state() != Some(State::Gone)
    }

    /// Returns the state that the host reports for itself.
    pub fn state(&self) -> Option<State> {
        self.last_digest().map(|digest| digest.state)
    }

    /// Processes a heartbeat.
    pub fn receive(&mut self, now: Instant, digest: &Digest) -> Disposition {
        let seen = Seen {
            digest: digest.clone(),
            at: now,
        };
        match &self.current {
            None => self.accept_first(seen),
            Some(current) if current.is_same_process(digest) => {
                if digest.sequence <= current.digest.sequence {
                    return Disposition::Stale;
                }
                self.accept_next(seen)
            }
            Some(_) if self.presence == Presence::Absent => self.replace(seen),
            Some(_) if self.is_confirmed_successor(digest) => self.replace(seen),
            Some(_) => {
                self.other_process = Some(seen);
                Disposition::Duplicate
            }
        }
    }

    /// Updates the host for the passage of time. Returns a change if it has
    /// just become silent.
    pub fn tick(&mut self, now: Instant, lease: Duration) -> Option<Change> {
        let current = self.current.as_ref()?;
        let silent = now.duration_since(current.at) > lease;
        if !silent || self.presence == Presence::Absent {
            return None;
        }
        let was_accepted = self.is_accepted();
        let host = current.digest.from.host.clone();
        self.mark_lost(now);
        was_accepted.then_some(Change::Silent(host))
    }

    /// Extends the lease of the host by the length of a pause of the own
    /// process.
    pub fn extend_lease(&mut self, pause: Duration) {
        if let Some(current) = &mut self.current {
            current.at += pause;
        }
    }

    /// Tells whether this is a second, later heartbeat of the other process,
    /// with none of the current process in between. A single late datagram of a
    /// predecessor changes nothing.
    fn is_confirmed_successor(&self, digest: &Digest) -> bool {
        self.other_process.as_ref().is_some_and(|other_process| {
            other_process.is_same_process(digest) && other_process.digest.sequence < digest.sequence
        })
    }

    fn accept_first(&mut self, seen: Seen) -> Disposition {
        let changes = match seen.digest.state {
            State::Gone => Vec::new(),
            _ => self.admit(seen.at, &seen.digest),
        };
        self.current = Some(seen);
        Disposition::Accepted(changes)
    }

    fn replace(&mut self, seen: Seen) -> Disposition {
        let from = self.last_digest().map(|digest| digest.from.clone());
        if self.presence != Presence::Absent {
            self.mark_lost(seen.at);
        }
        self.other_process = None;
        let to = seen.digest.from.clone();
        let mut changes: Vec<_> = from
            .map(|from| Change::Replaced { from, to })
            .into_iter()
            .collect();
        match self.accept_first(seen) {
            Disposition::Accepted(more) => changes.extend(more),
            Disposition::Stale | Disposition::Duplicate => {}
        }
        Disposition::Accepted(changes)
    }

    fn accept_next(&mut self, seen: Seen) -> Disposition {
        self.other_process = None;
        let was_live = self.is_live();
        let state_before = self.state();
        let state = seen.digest.state;
        let mut changes = Vec::new();
        match (state, self.presence) {
            (State::Gone, Presence::Absent) => {}
            (State::Gone, _) => {
                self.mark_lost(seen.at);
                changes.push(Change::Left(seen.digest.from.host.clone()));
            }
            (_, Presence::Absent) => changes = self.admit(seen.at, &seen.digest),
            (_, Presence::Damped { until }) if seen.at >= until => {
                self.presence = Presence::Present;
            }
            _ => {}
        }
        let from = seen.digest.from.clone();
        self.current = Some(seen);
        if state == State::Draining && state_before != Some(State::Draining) {
            changes.push(Change::Draining(from.host.clone()));
        }
        if was_live && state == State::Starting {
            changes.push(Change::Suspended(from.host.clone()));
        }
        let joined = Change::Joined(from);
        if !was_live && self.is_live() && !changes.contains(&joined) {
            changes.push(joined);
        }
        Disposition::Accepted(changes)
    }

    fn admit(&mut self, now: Instant, digest: &Digest) -> Vec<Change> {
        let hold_time = self.damping.hold_time(now);
        if hold_time > Duration::ZERO {
            let until = now + hold_time;
            self.presence = Presence::Damped { until };
            let host = digest.from.host.clone();
            return vec![Change::Damped { host, until }];
        }
        self.presence = Presence::Present;
        match digest.state {
            State::Live => vec![Change::Joined(digest.from.clone())],
            _ => Vec::new(),
        }
    }

    fn mark_lost(&mut self, now: Instant) {
        self.presence = Presence::Absent;
        self.damping.record_loss(now);
    }
}

impl Seen {
    fn is_same_process(&self, digest: &Digest) -> bool {
        self.digest.from.start == digest.from.start
    }
}
