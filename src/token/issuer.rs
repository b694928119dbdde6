//! The ledger as shared by the tasks of one process.
//!
//! One lock protects the ledger and the waiters together, so that no task joins
//! a lease that is being settled. It is never held across an await.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::PoisonError;

use tokio::time::Instant;

use super::Completion;
use super::Counters;
use super::Ledger;
use super::Response;
use super::Settlement;
use super::Size;
use super::Token;
use super::lease;
use super::waiter::Waiter;
use super::waiter::Waiters;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// A shared ledger.
#[derive(Clone, Debug)]
pub struct Issuer {
    shared: Arc<Mutex<Shared>>,
}

#[derive(Debug)]
struct Shared {
    ledger: Ledger,
    waiters: Waiters,
}

/// Permission to run the request of a token.
///
/// If it is dropped before it is settled, for instance because its task was
/// cancelled, the request ends with an unknown outcome.
#[derive(Debug)]
#[must_use]
pub struct Lease {
    inner: Option<lease::Lease>,
    issuer: Issuer,
}

/// What may be done with a request that carries a token.
#[derive(Debug)]
#[must_use]
pub enum Decision {
    /// Run the request now, then settle the lease.
    Run(Lease),
    /// The request is already running: wait for its result.
    Join(Waiter),
    /// The request was answered: repeat the stored response.
    Replay(Arc<Response>),
    /// Refuse the request. A new token may be sent along only if
    /// [`super::allows_new_token`] returns true.
    Refuse(Refusal),
}

impl Issuer {
    /// Wraps a ledger for sharing.
    pub fn new(ledger: Ledger) -> Self {
        let waiters = Waiters::default();
        Self {
            shared: Arc::new(Mutex::new(Shared { ledger, waiters })),
        }
    }

    /// Issues a token, or returns why none can be issued.
    pub fn issue(&self, now: Instant) -> Result<Token, Refusal> {
        self.lock().ledger.issue(now)
    }

    /// Decides what to do with a request that carries a token. If the request
    /// may run, the token is spent when this returns.
    pub fn spend(&self, now: Instant, token: &Token, fingerprint: u64) -> Decision {
        let mut shared = self.lock();
        match shared.ledger.spend(now, token, fingerprint) {
            lease::Decision::Run(lease) => Decision::Run(Lease {
                inner: Some(lease),
                issuer: self.clone(),
            }),
            lease::Decision::Join(lease) => Decision::Join(shared.waiters.join(lease)),
            lease::Decision::Replay(response) => Decision::Replay(response),
            lease::Decision::Refuse(refusal) => Decision::Refuse(refusal),
        }
    }

    /// Removes tokens whose retention period after expiry has passed.
    pub fn sweep(&self, now: Instant) {
        self.lock().ledger.sweep(now);
    }

    /// Stops issuing. Tokens already issued remain valid until they expire.
    pub fn close(&self) {
        self.lock().ledger.close();
    }

    /// Returns whether the ledger is closed and no request runs or can still
    /// start.
    pub fn is_drained(&self, now: Instant) -> bool {
        self.lock().ledger.is_drained(now)
    }

    /// Returns the counters since the start.
    pub fn counters(&self) -> Counters {
        self.lock().ledger.counters()
    }

    /// Returns the current size of the ledger.
    pub fn size(&self) -> Size {
        self.lock().ledger.size()
    }

    fn settle(&self, lease: lease::Lease, completion: Completion) -> Settlement {
        let mut shared = self.lock();
        let id = lease.id();
        let settlement = shared.ledger.settle(Instant::now(), lease, completion);
        shared.waiters.settle(id, &settlement);
        settlement
    }

    fn lock(&self) -> MutexGuard<'_, Shared> {
        self.shared.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Lease {
    /// Ends the lease, and returns the result that its waiters get.
    pub fn settle(mut self, completion: Completion) -> Settlement {
        match self.inner.take() {
            Some(lease) => self.issuer.settle(lease, completion),
            None => Settlement::Refused(abandoned()),
        }
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        if let Some(lease) = self.inner.take() {
            self.issuer.settle(lease, Completion::Refused(abandoned()));
        }
    }
}

fn abandoned() -> Refusal {
    Refusal::unknown(Code::HomeLost)
}
