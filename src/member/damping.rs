//! Flap damping: a host that is lost repeatedly must be heard for a growing
//! time before it is accepted again.

use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

/// The number of losses within [`WINDOW`] that have no consequence.
pub const FREE_LOSSES: u32 = 2;

/// How long a loss counts.
pub const WINDOW: Duration = Duration::from_secs(120);

/// How long a host must be heard after the first loss beyond [`FREE_LOSSES`].
/// Each further loss doubles it.
pub const HOLD_TIME: Duration = Duration::from_secs(8);

/// The maximum time that a host must be heard before it is accepted.
pub const MAX_HOLD_TIME: Duration = Duration::from_secs(64);

/// The maximum number of losses remembered per host.
const MAX_LOSSES: usize = 8;

/// The recent losses of one host.
#[derive(Clone, Debug, Default)]
pub struct Damping {
    losses: VecDeque<Instant>,
}

impl Damping {
    /// Records a loss of the host.
    pub fn record_loss(&mut self, now: Instant) {
        if self.losses.len() == MAX_LOSSES {
            self.losses.pop_front();
        }
        self.losses.push_back(now);
    }

    /// Returns how long the host must be heard from now on before it is
    /// accepted.
    pub fn hold_time(&self, now: Instant) -> Duration {
        let recent_losses = self
            .losses
            .iter()
            .filter(|at| now.duration_since(**at) < WINDOW)
            .count();
        let recent_losses = u32::try_from(recent_losses).unwrap_or(u32::MAX);
        match recent_losses.checked_sub(FREE_LOSSES + 1) {
            Some(doublings) => (HOLD_TIME * 2_u32.saturating_pow(doublings)).min(MAX_HOLD_TIME),
            None => Duration::ZERO,
        }
    }
}
