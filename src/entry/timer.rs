//! Measures one request for the histograms of its workspace and class.

use std::sync::Arc;

use tokio::time::Instant;

use crate::class::Class;
use crate::ident;
use crate::lock::lock;
use crate::meter::Phase;
use crate::outcome::Refusal;
use crate::peer::frame::Call;
use crate::state::State;

/// The timer of one request.
pub struct Timer {
    state: Arc<State>,
    workspace: ident::Workspace,
    class: Class,
    arrived: Instant,
    last_chunk: Option<Instant>,
}

impl Timer {
    /// Starts the timer of a request that arrived at `arrived`.
    pub fn new(state: &Arc<State>, call: &Call, arrived: Instant) -> Self {
        Self {
            state: state.clone(),
            workspace: call.workspace.clone(),
            class: call.class,
            arrived,
            last_chunk: None,
        }
    }

    /// Records a chunk of the response.
    pub fn record_chunk(&mut self) {
        let now = Instant::now();
        match self.last_chunk {
            None => self.record(Phase::FirstToken, now, self.arrived),
            Some(last) => self.record(Phase::BetweenTokens, now, last),
        }
        self.last_chunk = Some(now);
    }

    /// Records how long the request waited before it was dispatched.
    pub fn record_wait(&self, wait: std::time::Duration) {
        let mut meter = lock(&self.state.meter);
        meter.record(&self.workspace, self.class, Phase::Wait, wait);
    }

    /// Records the end of the response.
    pub fn record_end(&self) {
        self.record(Phase::Total, Instant::now(), self.arrived);
    }

    /// Records that the response was refused or truncated.
    pub fn record_refusal(&self, refusal: &Refusal) {
        lock(&self.state.meter).record_refusal(refusal.code);
    }

    fn record(&self, phase: Phase, now: Instant, since: Instant) {
        let elapsed = now.duration_since(since);
        lock(&self.state.meter).record(&self.workspace, self.class, phase, elapsed);
    }
}
