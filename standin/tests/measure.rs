//! The simulated runs of both deployments must leave no lookup unanswered and
//! crash no cold engine while upstreams and a zone are lost, and must repeat
//! with their seed.

use std::time::Duration;

use standin::measure;
use standin::measure::Options;
use standin::measure::Phase;
use standin::measure::Strategy;

/// Limit of the 99th percentile of lookups while a zone is lost, as a multiple
/// of that in the calm phase.
const MAX_SLOWDOWN: f64 = 2.0;

/// The end of the phase in which a zone is lost and returns.
const ZONE_PHASE_END: Duration = Duration::from_secs(675);

fn options(seed: u64, end: Duration) -> Options {
    Options {
        strategies: vec![Strategy::Homed],
        end,
        seed,
        control_bytes_per_second: None,
    }
}

#[test]
fn lookups_are_answered_and_no_cold_engine_crashes_while_upstreams_and_a_zone_are_lost() {
    let report = measure::run(options(5, ZONE_PHASE_END));
    assert_eq!(report.runs.len(), 2);
    for run in report.runs {
        let counts = &run.churn.counts;
        assert_eq!(
            counts.lookups_answered, counts.lookups,
            "{}",
            run.deployment
        );
        assert_eq!(counts.crashes, 0, "{}", run.deployment);
        let p99 = |phase| run.phases.get(&phase).map_or(0.0, |it| it.lookup_p99_ms);
        assert!(p99(Phase::Calm) > 0.0);
        assert!(
            p99(Phase::Zone) < MAX_SLOWDOWN * p99(Phase::Calm),
            "{}",
            run.deployment
        );
    }
}

#[test]
fn a_run_is_reproducible_by_its_seed() {
    let end = Duration::from_secs(200);
    let report = |seed| measure::run(options(seed, end)).to_string();
    let first = report(6);
    assert_eq!(first, report(6));
    assert_ne!(first, report(7));
}
