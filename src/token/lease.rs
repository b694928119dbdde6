//! What a ledger decides about a request, and how the request ended.

use std::sync::Arc;

use super::Response;
use crate::outcome::Refusal;

/// Permission to run the request of a token. There is one for each token.
///
/// It must be settled; [`super::Issuer`] does so when its lease is dropped.
#[derive(Debug, PartialEq, Eq)]
#[must_use]
pub struct Lease {
    pub(super) sequence: u64,
}

/// What may be done with a request that carries a token.
#[derive(Debug, PartialEq)]
#[must_use]
pub enum Decision {
    /// Run the request now, then settle the lease.
    Run(Lease),
    /// The request is already running: wait for the lease with this id.
    Join(u64),
    /// The request was answered: repeat the stored response.
    Replay(Arc<Response>),
    /// Refuse the request. A new token may be sent along only if
    /// [`super::allows_new_token`] returns true.
    Refuse(Refusal),
}

/// How the request of a lease ended, as its holder reports it.
#[derive(Clone, Debug, PartialEq)]
pub enum Completion {
    /// The upstream answered with this response.
    Answered(Response),
    /// The upstream answered, with a response that is too long to be stored.
    Streamed,
    /// The request was refused. The outcome may be "not run" only if it is
    /// proven that no byte was sent to an upstream.
    Refused(Refusal),
}

/// The result of a lease, as each of its waiters gets it.
#[derive(Clone, Debug, PartialEq)]
pub enum Settlement {
    /// The response.
    Answered(Arc<Response>),
    /// The refusal.
    Refused(Refusal),
}

impl Lease {
    /// Returns the id under which other requests wait for the lease.
    pub fn id(&self) -> u64 {
        self.sequence
    }
}
