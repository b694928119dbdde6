//! The permit of one request to run at an upstream. Returned to the scheduler
//! when dropped, however the request ends.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::home::admission;
use crate::ident;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::state::ResolutionSender;
use crate::state::State;

/// A permit that returns to the scheduler when dropped.
pub struct Slot {
    state: Arc<State>,
    permit: Option<admission::Permit>,
    end: admission::End,
}

impl Slot {
    /// Waits for a permit to run at an upstream.
    pub async fn acquire(
        state: &Arc<State>,
        upstream: &ident::Upstream,
        ask: admission::Request,
    ) -> Result<Self, Refusal> {
        let (ticket, grant) = oneshot::channel();
        let verdict = lock(&state.scheduler).submit(Instant::now(), upstream, ask, ticket);
        match verdict {
            admission::Decision::Admit(_, permit) => Ok(Self::new(state, permit)),
            admission::Decision::Refuse(_, refusal) => Err(refusal),
            admission::Decision::Queue(position) => Entry::new(state, position, grant).wait().await,
        }
    }

    /// Records how the request ended. Without it, the request counts as
    /// cancelled.
    pub fn set_end(&mut self, end: admission::End) {
        self.end = end;
    }

    fn new(state: &Arc<State>, permit: admission::Permit) -> Self {
        Self {
            state: state.clone(),
            permit: Some(permit),
            end: admission::End::Cancelled,
        }
    }
}

impl Drop for Slot {
    fn drop(&mut self) {
        if let Some(permit) = self.permit.take() {
            complete(&self.state, permit, self.end);
        }
    }
}

/// A position in the queue, left when dropped.
struct Entry {
    state: Arc<State>,
    position: admission::Position,
    grant: oneshot::Receiver<admission::Resolution>,
}

impl Entry {
    fn new(
        state: &Arc<State>,
        position: admission::Position,
        grant: oneshot::Receiver<admission::Resolution>,
    ) -> Self {
        Self {
            state: state.clone(),
            position,
            grant,
        }
    }

    async fn wait(mut self) -> Result<Slot, Refusal> {
        match (&mut self.grant).await {
            Ok(admission::Resolution::Admit(permit)) => Ok(Slot::new(&self.state, permit)),
            Ok(admission::Resolution::Refuse(refusal)) => Err(refusal),
            // The upstream was released together with its queue.
            Err(_) => Err(Refusal::not_run(Code::NotHome).with_retry_after(Duration::ZERO)),
        }
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if lock(&self.state.scheduler).cancel(&self.position).is_some() {
            return;
        }
        self.grant.close();
        if let Ok(admission::Resolution::Admit(permit)) = self.grant.try_recv() {
            complete(&self.state, permit, admission::End::Cancelled);
        }
    }
}

/// Ends waits that timed out and admits the requests that may run now.
pub fn tick(state: &State) {
    let resolved = lock(&state.scheduler).tick(Instant::now());
    deliver(state, resolved);
}

fn complete(state: &State, permit: admission::Permit, end: admission::End) {
    let resolved = lock(&state.scheduler).complete(Instant::now(), permit, end);
    deliver(state, resolved);
}

/// Wakes the requests that left the queue. A permit whose owner is gone goes to
/// the next request.
fn deliver(state: &State, resolved: Vec<(ResolutionSender, admission::Resolution)>) {
    let mut pending = resolved;
    while let Some((ticket, grant)) = pending.pop() {
        if let Err(admission::Resolution::Admit(permit)) = ticket.send(grant) {
            let now = Instant::now();
            pending.extend(lock(&state.scheduler).complete(now, permit, admission::End::Cancelled));
        }
    }
}
