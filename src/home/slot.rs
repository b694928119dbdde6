//! The right of one request to run at an upstream, taken from the desk and
//! given back whatever happens.

use std::sync::Arc;
use std::time::Duration;

use tokio::sync::oneshot;
use tokio::time::Instant;

use crate::home::desk;
use crate::ident;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::state::ResolutionSender;
use crate::state::State;

/// A permit that goes back to the desk when dropped.
pub struct Slot {
    state: Arc<State>,
    permit: Option<desk::Permit>,
    end: desk::End,
}

impl Slot {
    /// Waits for the right to run at an upstream.
    pub async fn take(
        state: &Arc<State>,
        upstream: &ident::Upstream,
        ask: desk::Ask,
    ) -> Result<Self, Refusal> {
        let (ticket, grant) = oneshot::channel();
        let verdict = lock(&state.scheduler).ask(Instant::now(), upstream, ask, ticket);
        match verdict {
            desk::Verdict::Go(_, permit) => Ok(Self::new(state, permit)),
            desk::Verdict::Refuse(_, refusal) => Err(refusal),
            desk::Verdict::Wait(place) => Wait::new(state, place, grant).granted().await,
        }
    }

    /// Notes how the request ended. Without it, it counts as cancelled.
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
            give_back(&self.state, permit, self.end);
        }
    }
}

/// A place in the queue, given up when dropped.
struct Wait {
    state: Arc<State>,
    place: desk::Place,
    grant: oneshot::Receiver<desk::Grant>,
}

impl Wait {
    fn new(state: &Arc<State>, place: desk::Place, grant: oneshot::Receiver<desk::Grant>) -> Self {
        Self {
            state: state.clone(),
            place,
            grant,
        }
    }

    async fn granted(mut self) -> Result<Slot, Refusal> {
        match (&mut self.grant).await {
            Ok(desk::Grant::Go(permit)) => Ok(Slot::new(&self.state, permit)),
            Ok(desk::Grant::Refuse(refusal)) => Err(refusal),
            // The desk let the upstream go with everything that waited.
            Err(_) => Err(Refusal::not_run(Code::NotHome).after(Duration::ZERO)),
        }
    }
}

impl Drop for Wait {
    fn drop(&mut self) {
        if lock(&self.state.scheduler).withdraw(&self.place).is_some() {
            return;
        }
        self.grant.close();
        if let Ok(desk::Grant::Go(permit)) = self.grant.try_recv() {
            give_back(&self.state, permit, desk::End::Cancelled);
        }
    }
}

/// Ends the waits that are over.
pub fn tick(state: &State) {
    let granted = lock(&state.scheduler).tick(Instant::now());
    deliver(state, granted);
}

fn give_back(state: &State, permit: desk::Permit, end: desk::End) {
    let granted = lock(&state.scheduler).done(Instant::now(), permit, end);
    deliver(state, granted);
}

/// Wakes those whose turn it is; the turn of one that is gone goes on to the
/// next.
fn deliver(state: &State, granted: Vec<(ResolutionSender, desk::Grant)>) {
    let mut open = granted;
    while let Some((ticket, grant)) = open.pop() {
        if let Err(desk::Grant::Go(permit)) = ticket.send(grant) {
            let now = Instant::now();
            open.extend(lock(&state.scheduler).done(now, permit, desk::End::Cancelled));
        }
    }
}
