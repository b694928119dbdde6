//! Schedule of the faults and operations in a run, and the phases in which the
//! run is measured.

use std::time::Duration;

use masticmoor::ident;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;

use super::deployment;
use super::trace::Surge;

/// A phase of a run, which is measured separately.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Caches fill; excluded from the report.
    Start,
    /// There are no faults.
    Calm,
    /// Two engines are killed and restart cold.
    Killed,
    /// One engine is killed and restarted repeatedly.
    Flapping,
    /// A zone is drained, stops and starts cold.
    Zone,
    /// One workspace sends more requests than the engines can answer.
    Surge,
    /// The platform is down, so that no rules arrive, while an engine is killed and
    /// restarts.
    Platform,
}

/// One step of the schedule.
#[derive(Clone, Debug)]
pub enum Step {
    /// Begins a phase.
    Phase(Phase),
    /// Kills an upstream.
    Kill(ident::Upstream),
    /// Restarts an upstream, cold.
    Restart(ident::Upstream),
    /// Drains a zone.
    Drain(ident::Zone),
    /// Stops all hosts and upstreams of a zone.
    StopZone(ident::Zone),
    /// Starts all hosts and upstreams of a zone, cold.
    StartZone(ident::Zone),
    /// Ends the drain of a zone.
    Undrain(ident::Zone),
}

/// End of the complete plan.
pub const END: Duration = Duration::from_secs(900);

/// Number of kills of the flapping engine.
const FLAP_COUNT: u64 = 6;

/// Returns when and by how much the rate of the first workspace rises.
pub fn surge() -> Surge {
    Surge {
        when: Duration::from_secs(680)..Duration::from_secs(740),
        factor: 4.0,
    }
}

/// Returns all steps with their times, in the order of time.
pub fn steps() -> Vec<(Duration, Step)> {
    let zone = deployment::zone(1);
    let runner = |number: usize| ident::Upstream::from(format!("runner-{number}").as_str());
    let mut steps = vec![
        (0, Step::Phase(Phase::Start)),
        (150, Step::Phase(Phase::Calm)),
        (270, Step::Phase(Phase::Killed)),
        (271, Step::Kill(runner(0))),
        (275, Step::Kill(runner(5))),
        (320, Step::Restart(runner(0))),
        (325, Step::Restart(runner(5))),
        (390, Step::Phase(Phase::Flapping)),
        (480, Step::Phase(Phase::Zone)),
        (485, Step::Drain(zone.clone())),
        (515, Step::StopZone(zone.clone())),
        (580, Step::StartZone(zone.clone())),
        (590, Step::Undrain(zone)),
        (675, Step::Phase(Phase::Surge)),
        (780, Step::Phase(Phase::Platform)),
        (785, Step::Kill(runner(3))),
        (835, Step::Restart(runner(3))),
    ];
    for flap in 0..FLAP_COUNT {
        steps.push((395 + flap * 12, Step::Kill(runner(2))));
        steps.push((401 + flap * 12, Step::Restart(runner(2))));
    }
    steps.sort_by_key(|it| it.0);
    let with_duration = |(at, step)| (Duration::from_secs(at), step);
    steps.into_iter().map(with_duration).collect()
}
