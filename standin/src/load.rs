//! Runs the callers that a command describes.

use std::process::ExitCode;
use std::time::Duration;

use eyre::WrapErr;
use standin::caller;
use standin::caller::Options;
use standin::caller::Pace;
use standin::caller::table::Table;
use standin::caller::tally::Report;
use tokio_util::sync::CancellationToken;

use crate::flags::Caller;

/// How many callers there are when the command names none.
const USUAL_CALLERS: u32 = 16;
/// How long a run lasts when the command doesn't say, in seconds.
const USUAL_SECONDS: f64 = 10.0;
/// How long an attempt may take when the command doesn't say, in milliseconds.
const USUAL_TIMEOUT_MS: f64 = 10_000.0;

/// Runs the callers, prints what came out, and returns whether it was sound.
pub async fn run(flags: Caller, token: CancellationToken) -> eyre::Result<ExitCode> {
    let mut sound = true;
    for pace in paces(&flags) {
        let options = options(&flags, pace)?;
        let report = caller::run(&options, token.clone()).await?;
        print(&flags, pace, &report)?;
        sound &= report.is_sound() && (!flags.strict || report.lookups_answered());
    }
    match sound {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

fn paces(flags: &Caller) -> Vec<Pace> {
    match flags.rate {
        Some(rate) => vec![Pace::Open(rate)],
        None if flags.callers.is_empty() => vec![Pace::Closed(USUAL_CALLERS)],
        None => flags.callers.iter().copied().map(Pace::Closed).collect(),
    }
}

fn options(flags: &Caller, pace: Pace) -> eyre::Result<Options> {
    let seconds = flags.seconds.unwrap_or(USUAL_SECONDS);
    let timeout = flags.timeout_ms.unwrap_or(USUAL_TIMEOUT_MS) / 1_000.0;
    let workspaces = match flags.workspace.is_empty() {
        true => vec!["association".to_owned()],
        false => flags.workspace.clone(),
    };
    Ok(Options {
        entries: flags.entry.clone(),
        direct: flags.direct,
        pace,
        duration: Duration::try_from_secs_f64(seconds).wrap_err("--seconds is out of range")?,
        mix: flags.mix.clone().unwrap_or_default(),
        workspaces,
        model: flags
            .model
            .clone()
            .unwrap_or_else(|| "assistant".to_owned()),
        timeout: Duration::try_from_secs_f64(timeout).wrap_err("--timeout-ms is out of range")?,
        journals: flags.journal.clone(),
        seed: flags.seed.unwrap_or(1),
    })
}

fn print(flags: &Caller, pace: Pace, report: &Report) -> eyre::Result<()> {
    match (flags.json, pace) {
        (true, _) => println!("{}", serde_json::to_string(report)?),
        (false, Pace::Closed(callers)) => println!("callers: {callers}\n{}", Table(report)),
        (false, Pace::Open(rate)) => println!("calls per second: {rate}\n{}", Table(report)),
    }
    Ok(())
}
