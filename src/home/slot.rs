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
        request: admission::Request,
    ) -> Result<Self, Refusal> {
        let (sender, reply) = oneshot::channel();
        let decision = lock(&state.scheduler).submit(Instant::now(), upstream, request, sender);
        match decision {
            admission::Decision::Admit(_, permit) => Ok(Self::new(state, permit)),
            admission::Decision::Refuse(_, refusal) => Err(refusal),
            admission::Decision::Queue(position) => Wait::new(state, position, reply).wait().await,
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
struct Wait {
    state: Arc<State>,
    position: admission::Position,
    reply: oneshot::Receiver<admission::Resolution>,
}

impl Wait {
    fn new(
        state: &Arc<State>,
        position: admission::Position,
        reply: oneshot::Receiver<admission::Resolution>,
    ) -> Self {
        Self {
            state: state.clone(),
            position,
            reply,
        }
    }

    async fn wait(mut self) -> Result<Slot, Refusal> {
        match (&mut self.reply).await {
            Ok(admission::Resolution::Admit(permit)) => Ok(Slot::new(&self.state, permit)),
            Ok(admission::Resolution::Refuse(refusal)) => Err(refusal),
            // The upstream was released together with its queue.
            Err(_) => Err(Refusal::not_run(Code::NotHome).with_retry_after(Duration::ZERO)),
        }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if lock(&self.state.scheduler).cancel(&self.position).is_some() {
            return;
        }
        self.reply.close();
        if let Ok(admission::Resolution::Admit(permit)) = self.reply.try_recv() {
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
    while let Some((sender, resolution)) = pending.pop() {
        if let Err(admission::Resolution::Admit(permit)) = sender.send(resolution) {
            let now = Instant::now();
            pending.extend(lock(&state.scheduler).complete(now, permit, admission::End::Cancelled));
        }
    }
}
