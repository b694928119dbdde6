//! The inputs and results of admission.

use std::time::Duration;

use tokio::time::Instant;

use crate::class::Class;
use crate::ident;
use crate::outcome::Refusal;
use crate::policy::fair;
use crate::policy::ramp;
use crate::register::upstream::Pool;

/// An upstream to take over.
#[derive(Clone, Debug)]
pub struct Takeover {
    /// The upstream.
    pub upstream: ident::Upstream,
    /// The pools that it serves.
    pub pools: Vec<Pool>,
    /// Requests that it runs at a time when warm.
    pub slots: u32,
    /// Requests that it runs at a time when cold.
    pub cold_slots: u32,
    /// What is known about its warmth.
    pub start: ramp::Start,
    /// The most requests that a predecessor may still run there: the allowance
    /// that it last reported, or what it has in flight once it reports that it
    /// released the upstream.
    pub predecessor_share: u32,
}

/// A request for admission.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its workspace.
    pub workspace: ident::Workspace,
    /// The weight of the workspace.
    pub weight: u32,
    /// Its class.
    pub class: Class,
    /// When its wait ends.
    pub deadline: Instant,
    /// The key of its chat, see [`rank::key`](crate::policy::rank::key).
    pub chat: u64,
    /// Whether to refuse it unless its chat was answered at the upstream
    /// recently and its prefix is cached there.
    pub only_warm: bool,
    /// Whether to refuse it rather than queue it, because its entry has other
    /// upstreams to try.
    pub bypass: bool,
}

/// The permit to run one request, returned with
/// [`Scheduler::complete`](super::Scheduler::complete).
#[derive(Debug, PartialEq, Eq)]
#[must_use = "return the permit with `Scheduler::complete`"]
pub struct Permit {
    pub(super) upstream: ident::Upstream,
    pub(super) serial: u64,
}

impl Permit {
    /// Returns the upstream at which the request may run.
    pub fn upstream(&self) -> &ident::Upstream {
        &self.upstream
    }
}

/// The position of a queued request.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Position {
    pub(super) upstream: ident::Upstream,
    pub(super) position: fair::Position,
}

/// The decision on a request.
#[derive(Debug)]
pub enum Decision<T> {
    /// It is admitted.
    Admit(T, Permit),
    /// It was queued. Its ticket is returned with a [`Resolution`] later.
    Queue(Position),
    /// It was refused and did not run.
    Refuse(T, Refusal),
}

/// How a queued request left the queue.
#[derive(Debug, PartialEq, Eq)]
pub enum Resolution {
    /// It is admitted.
    Admit(Permit),
    /// It was refused and did not run.
    Refuse(Refusal),
}

/// How an admitted request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// The complete response was forwarded.
    Answered {
        /// The time to the first byte of the response.
        first_byte: Duration,
    },
    /// The upstream refused the request or failed it.
    Failed,
    /// The connection was lost or timed out.
    Lost,
    /// The caller went away, or the request never reached the upstream.
    Cancelled,
}
