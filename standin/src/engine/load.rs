//! Load report of an engine: periodic samples, reported with a lag.

use std::collections::VecDeque;
use std::sync::Arc;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::time::Instant;
use tokio::time::MissedTickBehavior;
use tokio_util::sync::CancellationToken;

use super::work::Engine;

/// Interval between samples of the load.
const SAMPLE_PERIOD: Duration = Duration::from_millis(50);

/// The load of an upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Load {
    /// Number of requests that are running.
    pub running: u64,
    /// Number of requests that are waiting.
    pub queued: u64,
}

/// Samples of the load, oldest first.
#[derive(Debug, Default)]
pub struct Samples(VecDeque<(Instant, Load)>);

impl Samples {
    /// Adds a sample and removes those older than the newest that is at least `lag`
    /// old.
    pub fn push(&mut self, now: Instant, load: Load, lag: Duration) {
        self.0.push_back((now, load));
        while self.0.get(1).is_some_and(|(at, _)| *at + lag <= now) {
            self.0.pop_front();
        }
    }

    /// Returns the oldest sample that is kept, or no load if there is none.
    pub fn report(&self) -> Load {
        self.0.front().map(|(_, load)| *load).unwrap_or_default()
    }
}

/// Samples the load until the token is cancelled.
pub(super) async fn sample(engine: Arc<Engine>, token: CancellationToken) {
    let mut ticks = tokio::time::interval(SAMPLE_PERIOD);
    ticks.set_missed_tick_behavior(MissedTickBehavior::Skip);
    loop {
        tokio::select! {
            () = token.cancelled() => return,
            now = ticks.tick() => engine.sample(now),
        }
    }
}
