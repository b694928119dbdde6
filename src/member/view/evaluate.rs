//! How a host evaluates its own health.

use tokio::time::Instant;

use crate::ident;
use crate::member::change::Change;
use crate::member::health::Health;
use crate::member::view::View;

/// The maximum number of leases for which a host that resumed after a pause
/// waits for the newer configuration of a peer. The wait of a starting host is
/// limited by the same factor.
const MAX_BEHIND_LEASES: u32 = 4;

impl View {
    /// Records that a peer was heard while the own host is suspect.
    ///
    /// Datagrams that arrive right after a pause may have waited in the
    /// socket's buffer since before it, so they prove nothing.
    pub(super) fn record_reply(&mut self, now: Instant, host: &ident::Host) {
        match self.health {
            Health::Suspect { since }
                if now.duration_since(since) >= self.timing.heartbeat / 2
                    && self.live_before_pause.contains(host) =>
            {
                self.confirmed.insert(host.clone());
            }
            _ => {}
        }
    }

    /// Evaluates the health of the own host again.
    pub(super) fn evaluate_health(&mut self, now: Instant) -> Option<Change> {
        let is_isolated = self.is_unheard_by_majority();
        let next = match self.health {
            Health::Draining => Health::Draining,
            current if self.own_index.is_none() => current,
            Health::Steady if is_isolated => Health::Unheard { since: now },
            Health::Unheard { .. } if !is_isolated => Health::Steady,
            Health::Starting { since } if self.has_settled(now, since) && !is_isolated => {
                Health::Steady
            }
            Health::Suspect { since } if self.is_behind(now, since) => self.health,
            Health::Suspect { since } if self.is_confirmed(now, since) => match is_isolated {
                true => Health::Unheard { since: now },
                false => Health::Steady,
            },
            current => current,
        };
        self.set_health(next)
    }

    pub(super) fn set_health(&mut self, next: Health) -> Option<Change> {
        let from = self.health;
        self.health = next;
        (from != next).then_some(Change::Standing { from, to: next })
    }

    fn has_settled(&self, now: Instant, since: Instant) -> bool {
        now.duration_since(since) >= self.timing.settling_time()
    }

    /// Tells whether most of the hosts that were live before the pause have
    /// been heard again. Returns true after a lease, since those hosts may all
    /// be gone.
    fn is_confirmed(&self, now: Instant, since: Instant) -> bool {
        let majority = self.confirmed.len() * 2 > self.live_before_pause.len();
        majority || now.duration_since(since) > self.timing.lease
    }

    /// Tells whether a peer has a newer configuration. After
    /// [`MAX_BEHIND_LEASES`] leases, newer configurations are ignored, since
    /// the peers that have them evidently can't be asked.
    fn is_behind(&self, now: Instant, since: Instant) -> bool {
        now.duration_since(since) <= self.timing.lease * MAX_BEHIND_LEASES
            && self
                .current_digests()
                .any(|digest| digest.config.is_ahead(&self.config))
    }

    /// Tells whether most of the live peers report that they don't receive or
    /// accept the heartbeats of this host.
    fn is_unheard_by_majority(&self) -> bool {
        let (receiving, reports) = match self.own_index {
            Some(index) => self.reports(|digest| digest.accepted.contains(index)),
            None => (0, 0),
        };
        (reports - receiving) * 2 > reports
    }
}
