//! Estimates how much upstreams can take at present.
//!
//! Upstreams share their machines with other work and slow down before all of their slots are in
//! use. [`estimate`] follows one of them as pure code, [`table`] holds the estimates of all, and
//! [`usual`] tells how long responses usually take where an upstream doesn't say so itself. The
//! choice that [`placement`](crate::gateway::placement) makes from them is pure as well. See
//! `docs/design/upstream-capacity.md`.

pub mod estimate;
pub mod exchange;
pub mod table;
pub mod usual;

pub use estimate::Estimate;
pub use table::Table;

use std::time::Duration;

use tokio::time::Instant;
use tracing::info;

use crate::boot;
use crate::gateway::job::Job;
use crate::gateway::state::State;
use crate::gateway::upstream::Upstream;
use crate::lock::lock;
use crate::log::millis;

/// What a response tells of an upstream.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Sample {
    /// How many times as long as usual work takes there, by its own statement.
    Stated(f64),
    /// How long it took to do some work, as this host saw it.
    Observed(usual::Work, Duration),
}

/// Records how long an upstream took for some work of a request, as this host saw it.
pub fn observe(state: &State, job: &Job, upstream: &Upstream, took: Duration) {
    let now = Instant::now();
    let sample = Sample::Observed(usual::Work::of(job.route.kind), took);
    lock(&state.capacity).record(now, upstream, sample);
}

/// Logs and counts the upstreams whose limits were lowered or restored since the last call, and
/// forgets those that were not heard of for long.
pub fn review(state: &State, now: Instant) {
    let changes = lock(&state.capacity).review(now);
    if changes.is_empty() {
        return;
    }
    let view = state.view();
    for change in changes {
        let records = view.usable(boot::Instant::now());
        let upstream = records
            .map(|record| &record.upstream)
            .find(|upstream| table::Key::of(upstream) == change.key);
        let Some(upstream) = upstream else {
            continue;
        };
        let Estimate {
            concurrency,
            slowdown,
        } = change.status.estimate(upstream.slots);
        let (upstream, slots) = (&upstream.id, upstream.slots);
        let lasting = change.status.lasting;
        let age_ms = millis(change.age);
        match change.is_lowered {
            true => info!(%upstream, concurrency, slots, slowdown, lasting, age_ms,
                "upstream: limit on concurrency lowered"),
            false => info!(%upstream, concurrency, slots, slowdown, lasting, age_ms,
                "upstream: limit on concurrency restored"),
        }
        state.meter.capacity_changed(match change.is_lowered {
            true => "lowered",
            false => "restored",
        });
    }
}
