//! Selects the upstreams to try for a request: rendezvous hashing with bounded
//! loads. Upstreams are tried in the rank order of the chat, so that a chat
//! that spills over finds a warm cache at its second choice too.

use std::time::Duration;

use tokio::time::Instant;

use crate::ident;
use crate::policy::load;
use crate::policy::rank;

/// The limits of one selection.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// Upstreams to try in the preferred tier of zones.
    pub near: usize,
    /// Upstreams to try in the next tier.
    pub far: usize,
    /// Prompt bytes that an engine prefills per second.
    pub prefill_rate: u64,
    /// The longest wait for an upstream that has the chat cached, as a multiple
    /// of the time to prefill the prompt again.
    pub warm_wait_multiple: f64,
    /// The upper bound of that wait.
    pub max_warm_wait: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            near: 4,
            far: 2,
            prefill_rate: 32_000,
            warm_wait_multiple: 3.0,
            max_warm_wait: Duration::from_secs(5),
        }
    }
}

/// The chat and what is known about the upstreams.
pub struct Query<L, F> {
    /// The key of the chat, see [`rank::key`].
    pub key: u64,
    /// Returns the last load report of an upstream, which may be stale.
    pub load: L,
    /// Returns whether an upstream failed recently.
    pub failed: F,
}

/// One round of attempts along the rank order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Round {
    /// Whether to refuse the request unless the upstream has the chat cached.
    pub only_warm: bool,
    /// Whether to refuse the request instead of queueing it.
    pub bypass: bool,
    /// When a wait in this round ends.
    pub deadline: Instant,
}

impl Round {
    /// Returns the last round: any upstream, with queueing.
    pub fn last(deadline: Instant) -> Self {
        Self {
            only_warm: false,
            bypass: false,
            deadline,
        }
    }
}

/// Returns the rounds of attempts until a home admits or queues the request:
/// first the upstreams that have the chat cached, for a limited multiple of the
/// time to prefill it again; then any with a free slot; then any, with
/// queueing.
///
/// `prompt` is the length of a chat's prompt in bytes, `None` for a request
/// that no upstream caches.
pub fn rounds(
    limits: Limits,
    now: Instant,
    deadline: Instant,
    prompt: Option<u64>,
) -> impl Iterator<Item = Round> {
    let round = |only_warm, bypass, deadline| Round {
        only_warm,
        bypass,
        deadline,
    };
    let warm = prompt.map(|bytes| {
        let until = now + max_wait_for_cached(limits, bytes);
        round(true, false, until.min(deadline))
    });
    let rest = [round(false, true, deadline), Round::last(deadline)];
    warm.into_iter().chain(rest)
}

fn max_wait_for_cached(limits: Limits, bytes: u64) -> Duration {
    let seconds = bytes as f64 / limits.prefill_rate.max(1) as f64 * limits.warm_wait_multiple;
    let wait = Duration::try_from_secs_f64(seconds).unwrap_or(limits.max_warm_wait);
    wait.min(limits.max_warm_wait)
}

/// Returns the upstreams to try, best first.
pub fn choose<'a, L, F>(
    limits: Limits,
    tiers: impl Iterator<Item = &'a [rank::Candidate]>,
    query: &Query<L, F>,
) -> Vec<&'a ident::Upstream>
where
    L: Fn(&ident::Upstream) -> Option<load::Report>,
    F: Fn(&ident::Upstream) -> bool,
{
    let mut chosen = Vec::with_capacity(limits.near + limits.far);
    let mut limit = limits.near;
    for tier in tiers {
        let healthy = tier.iter().filter(|it| !(query.failed)(&it.upstream));
        let order = rank::order(
            query.key,
            healthy.map(|it| (&it.upstream, it.weight)),
            limit,
        );
        match (chosen.is_empty(), order.is_empty()) {
            (_, true) => continue,
            (true, false) => limit = limits.far,
            (false, false) => limit = 0,
        }
        chosen.extend(closed_last(order, query));
        if limit == 0 {
            break;
        }
    }
    chosen
}

/// Moves upstreams that accept no requests to the end. Full upstreams keep
/// their rank: the last report may be stale, while their home knows the current
/// load, and a chat that leaves its upstream because of a stale report loses
/// its cache.
fn closed_last<'a, L, F>(
    mut order: Vec<&'a ident::Upstream>,
    query: &Query<L, F>,
) -> Vec<&'a ident::Upstream>
where
    L: Fn(&ident::Upstream) -> Option<load::Report>,
{
    order.sort_by_cached_key(|upstream| {
        let report = (query.load)(upstream);
        report.is_some_and(|report| report.is_closed())
    });
    order
}
