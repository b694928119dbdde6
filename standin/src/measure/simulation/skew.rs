//! Load of an upstream compared with the true mean of its pool.

use masticmoor::ident;
use masticmoor::policy::load::Mean;
use masticmoor::register::upstream::Pool;

use super::Simulation;
use crate::measure::deployment;

impl Simulation {
    /// Records the load of an upstream that a request is about to start at.
    pub(super) fn record_skew(&mut self, upstream: &ident::Upstream) {
        let Some(engine) = self.engines.get(upstream) else {
            return;
        };
        let pool = match engine.spec().serves(&deployment::engines()) {
            true => deployment::engines(),
            false => deployment::plain(),
        };
        let eligible = self.eligible(&pool);
        let loads = eligible.iter().filter_map(|it| self.engines.get(*it));
        let mean = Mean {
            sum: loads.map(|it| u64::from(it.inflight())).sum(),
            count: u32::try_from(eligible.len()).unwrap_or(u32::MAX),
        };
        let load = self.rules.load;
        let cap = mean.times(load.multiple).max(load.floor);
        let inflight = engine.inflight() + 1;
        let mean = mean.sum as f64 / f64::from(mean.count.max(1));
        self.results.record_start(inflight, cap, mean);
    }

    /// Returns the upstreams of a pool that are up and not drained.
    pub(super) fn eligible(&self, pool: &Pool) -> Vec<&ident::Upstream> {
        let eligible = self.engines.iter().filter(|(_, engine)| {
            let spec = engine.spec();
            engine.is_alive() && spec.serves(pool) && !self.rules.draining.contains(&spec.zone)
        });
        eligible.map(|it| it.0).collect()
    }
}
