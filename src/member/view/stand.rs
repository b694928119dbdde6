//! How a host judges its own standing.

use tokio::time::Instant;

use crate::ident;
use crate::member::change::Change;
use crate::member::standing::Standing;
use crate::member::view::View;

/// How many leases a host that woke waits for a configuration that a peer has,
/// as many as a starting host waits at its gate.
const BEHIND_LEASES: u32 = 4;

impl View {
    /// Notes that a peer was heard while the host doubts itself.
    ///
    /// What arrives right after waking may have waited in the socket's buffer
    /// since before the pause, so it proves nothing.
    pub(super) fn note_answer(&mut self, now: Instant, host: &ident::Host) {
        match self.standing {
            Standing::Suspect { since }
                if now.duration_since(since) >= self.timing.beat / 2
                    && self.electors.contains(host) =>
            {
                self.answered.insert(host.clone());
            }
            _ => {}
        }
    }

    /// Judges the standing anew.
    pub(super) fn stand(&mut self, now: Instant) -> Option<Change> {
        let deaf = self.is_deaf_majority();
        let next = match self.standing {
            Standing::Draining => Standing::Draining,
            current if self.place.is_none() => current,
            Standing::Steady if deaf => Standing::Unheard { since: now },
            Standing::Unheard { .. } if !deaf => Standing::Steady,
            Standing::Starting { since } if self.has_settled(now, since) && !deaf => {
                Standing::Steady
            }
            Standing::Suspect { since } if self.is_behind(now, since) => self.standing,
            Standing::Suspect { since } if self.is_answered(now, since) => match deaf {
                true => Standing::Unheard { since: now },
                false => Standing::Steady,
            },
            current => current,
        };
        self.change_to(next)
    }

    pub(super) fn change_to(&mut self, next: Standing) -> Option<Change> {
        let from = self.standing;
        self.standing = next;
        (from != next).then_some(Change::Standing { from, to: next })
    }

    fn has_settled(&self, now: Instant, since: Instant) -> bool {
        now.duration_since(since) >= self.timing.settle()
    }

    /// Most of the hosts that were live before the pause were heard again, or
    /// nobody else can be for a whole lease.
    fn is_answered(&self, now: Instant, since: Instant) -> bool {
        let majority = self.answered.len() * 2 > self.electors.len();
        majority || now.duration_since(since) > self.timing.lease
    }

    /// A peer has a later configuration in force; after some leases it counts
    /// as one that can't be asked.
    fn is_behind(&self, now: Instant, since: Instant) -> bool {
        now.duration_since(since) <= self.timing.lease * BEHIND_LEASES
            && self
                .digests()
                .any(|digest| digest.held.is_ahead(&self.held))
    }

    /// Most of the live peers say that they don't hear or accept this host.
    fn is_deaf_majority(&self) -> bool {
        let (heard, reports) = match self.place {
            Some(place) => self.reports(|digest| digest.heard.contains(place)),
            None => (0, 0),
        };
        (reports - heard) * 2 > reports
    }
}
