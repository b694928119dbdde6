//! The permit of one request to run at an upstream. Returned to the scheduler
//! when dropped, however the request ends.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::home::desk;
use crate::ident;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::state::State;
use crate::state::Ticket;

/// A permit that returns to the scheduler when dropped.
pub struct Slot {
    state: Arc<State>,
    permit: Option<desk::Permit>,
    end: desk::End,
}

impl Slot {
    /// Waits for a permit to run at an upstream.
    pub async fn acquire(
        state: &Arc<State>,
        upstream: &ident::Upstream,
        ask: desk::Ask,
    ) -> Result<Self, Refusal> {
        let (ticket, grant) = oneshot::channel();
        let verdict = lock(&state.desk).ask(Instant::now(), upstream, ask, ticket);
        match verdict {
            desk::Verdict::Go(_, permit) => Ok(Self::new(state, permit)),
            desk::Verdict::Refuse(_, refusal) => Err(refusal),
            desk::Verdict::Wait(position) => Waiter::new(state, position, grant).resolved().await,
        }
    }

    /// Records how the request ended. Without it, the request counts as
    /// cancelled.
    pub fn set_end(&mut self, end: desk::End) {
        self.end = end;
    }

    fn new(state: &Arc<State>, permit: desk::Permit) -> Self {
        Self {
            state: state.clone(),
            permit: Some(permit),
            end: desk::End::Cancelled,
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
struct Waiter {
    state: Arc<State>,
    position: desk::Position,
    grant: oneshot::Receiver<desk::Grant>,
}

impl Waiter {
    fn new(
        state: &Arc<State>,
        position: desk::Position,
        grant: oneshot::Receiver<desk::Grant>,
    ) -> Self {
        Self {
            state: state.clone(),
            position,
            grant,
        }
    }

    async fn resolved(mut self) -> Result<Slot, Refusal> {
        match (&mut self.grant).await {
            Ok(desk::Grant::Go(permit)) => Ok(Slot::new(&self.state, permit)),
            Ok(desk::Grant::Refuse(refusal)) => Err(refusal),
            // The upstream was released together with its queue.
            Err(_) => Err(Refusal::not_run(Code::NotHome).after(Duration::ZERO)),
        }
    }
}

impl Drop for Waiter {
    fn drop(&mut self) {
        if lock(&self.state.desk).withdraw(&self.position).is_some() {
            return;
        }
        self.grant.close();
        if let Ok(desk::Grant::Go(permit)) = self.grant.try_recv() {
            complete(&self.state, permit, desk::End::Cancelled);
        }
    }
}

/// Ends waits that timed out and admits the requests that may run now.
pub fn tick(state: &State) {
    let resolved = lock(&state.desk).tick(Instant::now());
    deliver(state, resolved);
}

fn complete(state: &State, permit: desk::Permit, end: desk::End) {
    let resolved = lock(&state.desk).done(Instant::now(), permit, end);
    deliver(state, resolved);
}

/// Wakes the requests that left the queue. A permit whose owner is gone goes to
/// the next request.
fn deliver(state: &State, resolved: Vec<(Ticket, desk::Grant)>) {
    let mut pending = resolved;
    while let Some((ticket, grant)) = pending.pop() {
        if let Err(desk::Grant::Go(permit)) = ticket.send(grant) {
            let now = Instant::now();
            pending.extend(lock(&state.desk).done(now, permit, desk::End::Cancelled));
        }
    }
}
