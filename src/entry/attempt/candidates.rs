//! Selects the upstreams to try for a call, from the loads and failures that
//! this entry knows.

use tokio::time::Instant;

use crate::ident;
use crate::lock::lock;
use crate::peer::frame::Call;
use crate::plan::Plan;
use crate::policy::choose;
use crate::state::FAILURE_PENALTY;
use crate::state::State;

/// Returns the upstreams to try, best first.
pub fn choose(state: &State, plan: &Plan, call: &Call, key: u64) -> Vec<ident::Upstream> {
    let now = Instant::now();
    let zone = &state.options.host.zone;
    let loads = lock(&state.remote_loads);
    let failed = lock(&state.recent_failures);
    let query = choose::Query {
        key,
        load: |upstream: &ident::Upstream| loads.get(upstream).copied(),
        failed: |upstream: &ident::Upstream| {
            let at = failed.get(upstream);
            at.is_some_and(|at| now.duration_since(*at) < FAILURE_PENALTY)
        },
    };
    let limits = choose::Limits::default();
    let chosen = choose::choose(limits, plan.index.tiers(&call.pool, zone), &query);
    match chosen.is_empty() {
        false => chosen.into_iter().cloned().collect(),
        // All failed recently; one of them is better than none.
        true => {
            let query = choose::Query {
                key,
                load: query.load,
                failed: |_: &ident::Upstream| false,
            };
            let chosen = choose::choose(limits, plan.index.tiers(&call.pool, zone), &query);
            chosen.into_iter().cloned().collect()
        }
    }
}
