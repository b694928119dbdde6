//! Discrete-event simulation that compares placement strategies on synthetic
//! traces. It runs the project's own admission and selection code against
//! in-memory upstreams, in virtual time and reproducibly by its seed.

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

/// Options of a measurement.
#[derive(Clone, Debug, PartialEq)]
pub struct Options {
    /// The strategies to compare; the oracle comes first, as ratios refer to it.
    pub strategies: Vec<Strategy>,
    /// When requests stop arriving; the complete plan lasts until [`END`].
    pub end: Duration,
    /// The seed of the traces and faults.
    pub seed: u64,
    /// Control traffic of one host, measured elsewhere and only reported.
    pub control_bytes_per_second: Option<f64>,
}

/// Runs each deployment with each strategy.
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
