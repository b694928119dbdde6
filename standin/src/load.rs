//! The `caller` command: runs the load generator with the given flags, once for
//! each number of callers, and prints a report of each run.

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

/// Default number of concurrent callers.
const DEFAULT_CALLERS: u32 = 16;
/// Default duration of a run, in seconds.
const DEFAULT_SECONDS: f64 = 10.0;
/// Default timeout of an attempt, in milliseconds.
const DEFAULT_TIMEOUT_MS: f64 = 10_000.0;

/// Runs the callers and returns a failure if any run had wrong, lost or
/// duplicated answers, or with `--strict` unanswered lookups.
pub async fn run(flags: Caller, token: CancellationToken) -> eyre::Result<ExitCode> {
    let mut passed = true;
    for pace in paces(&flags) {
        let options = options(&flags, pace)?;
        let report = caller::run(&options, token.clone()).await?;
        print(&flags, pace, &report)?;
        passed &= report.is_sound() && (!flags.strict || report.lookups_answered());
    }
    match passed {
        true => Ok(ExitCode::SUCCESS),
        false => Ok(ExitCode::FAILURE),
    }
}

fn paces(flags: &Caller) -> Vec<Pace> {
    match flags.rate {
        Some(rate) => vec![Pace::Open(rate)],
        None if flags.callers.is_empty() => vec![Pace::Closed(DEFAULT_CALLERS)],
        None => flags.callers.iter().copied().map(Pace::Closed).collect(),
    }
}

fn options(flags: &Caller, pace: Pace) -> eyre::Result<Options> {
    let seconds = flags.seconds.unwrap_or(DEFAULT_SECONDS);
    let timeout = flags.timeout_ms.unwrap_or(DEFAULT_TIMEOUT_MS) / 1_000.0;
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
