//! Measures the project's decisions: synthetic traces through its own code,
//! with small engines in memory, under virtual time and a seed.

mod admission;
mod deployment;
mod engine;
mod plan;
mod report;
mod results;
mod simulation;
mod strategy;
mod trace;

use std::time::Duration;

pub use plan::END;
pub use plan::Phase;
pub use report::Measures;
pub use report::Report;
pub use report::Run;
pub use results::Counts;
pub use strategy::Strategy;

/// What to measure.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The ways to measure; ratios need the oracle among them.
    pub strategies: Vec<Strategy>,
    /// When no more requests come; the whole plan takes [`END`].
    pub end: Duration,
    /// The seed of the traces and faults.
    pub seed: u64,
    /// Control traffic of one host, in bytes per second, measured elsewhere.
    pub control_bytes_per_second: Option<f64>,
}

/// Measures all deployments in all ways.
pub fn run(options: Options) -> Report {
    let mut report = Report::new(&options);
    for deployment in deployment::ALL {
        for strategy in options.strategies.iter().copied() {
            let results = simulation::run(&deployment, strategy, options.seed, options.end);
            report.add(deployment.name, strategy, &results);
        }
    }
    report
}
