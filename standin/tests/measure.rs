//! What the measured runs of both deployments have to show.

use std::time::Duration;

use standin::measure;
use standin::measure::Options;
use standin::measure::Phase;
use standin::measure::Strategy;

/// How much longer lookups may take while a zone leaves and returns.
const MAX_SLOWDOWN: f64 = 2.0;

/// The end of the part in which a zone leaves and returns.
const ZONE_BACK: Duration = Duration::from_secs(675);

fn options(seed: u64, end: Duration) -> Options {
    Options {
        strategies: vec![Strategy::Homed],
        end,
        seed,
        control_bytes_per_second: None,
    }
}

#[test]
fn lookups_are_answered_and_cold_engines_spared_while_upstreams_and_a_zone_leave() {
    let report = measure::run(options(5, ZONE_BACK));
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
fn a_run_repeats_with_its_seed() {
    let end = Duration::from_secs(200);
    let report = |seed| measure::run(options(seed, end)).to_string();
    let first = report(6);
    assert_eq!(first, report(6));
    assert_ne!(first, report(7));
}
