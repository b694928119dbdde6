//! What happens to a deployment in the course of a run.

use std::time::Duration;

use masticmoor::ident;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;

use super::deployment;
use super::trace::Surge;

/// A part of a run that is measured on its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Display, EnumIter)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// Caches fill; not measured.
    Start,
    /// Nothing happens.
    Calm,
    /// Two engines are killed and return cold.
    Killed,
    /// One engine comes and goes.
    Flapping,
    /// A zone drains, goes out and returns cold.
    Zone,
    /// One workspace asks more than the engines can answer.
    Surge,
    /// No rules arrive while an engine is killed and returns.
    Platform,
}

/// One thing that happens.
#[derive(Clone, Debug)]
pub enum Step {
    /// A part of the run begins.
    Phase(Phase),
    /// An upstream dies.
    Kill(ident::Upstream),
    /// An upstream starts anew.
    Restart(ident::Upstream),
    /// Operators take a zone out of service.
    Drain(ident::Zone),
    /// All of a zone goes out.
    StopZone(ident::Zone),
    /// All of a zone starts anew.
    StartZone(ident::Zone),
    /// Operators put a zone back into service.
    Undrain(ident::Zone),
}

/// When a run ends.
pub const END: Duration = Duration::from_secs(900);

/// How often an engine goes while it flaps.
const FLAP_COUNT: u64 = 6;

/// Returns when one workspace asks more, and how much.
pub fn surge() -> Surge {
    Surge {
        when: Duration::from_secs(680)..Duration::from_secs(740),
        factor: 4.0,
    }
}

/// Returns what happens when.
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
