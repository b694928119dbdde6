//! Command line of the stand-ins: parses the flags, sets up logging to stderr
//! and runs the command until it ends or a signal arrives.

mod flags;
mod load;
mod start;

use std::process::ExitCode;

use standin::measure;
use strum::IntoEnumIterator;
use tokio_util::sync::CancellationToken;
use tracing_subscriber::EnvFilter;

use flags::StandinCmd;

#[tokio::main]
async fn main() -> eyre::Result<ExitCode> {
    let flags = flags::Standin::from_env_or_exit();
    let filter = EnvFilter::try_from_default_env().unwrap_or_else(|_| EnvFilter::new("warn"));
    tracing_subscriber::fmt()
        .with_env_filter(filter)
        .with_writer(std::io::stderr)
        .init();
    let token = CancellationToken::new();
    standin::signal::cancel_on_signal(token.clone())?;
    match flags.subcommand {
        StandinCmd::Platform(flags) => start::platform(flags, token)
            .await
            .map(|()| ExitCode::SUCCESS),
        StandinCmd::Engine(flags) => start::engine(flags, token)
            .await
            .map(|()| ExitCode::SUCCESS),
        StandinCmd::Plain(flags) => start::plain(flags, token).await.map(|()| ExitCode::SUCCESS),
        StandinCmd::Caller(flags) => load::run(flags, token).await,
        StandinCmd::Measure(flags) => run_measure(&flags),
    }
}

fn run_measure(flags: &flags::Measure) -> eyre::Result<ExitCode> {
    let strategies = match flags.way {
        Some(strategy) => vec![measure::Strategy::Oracle, strategy],
        None => measure::Strategy::iter().collect(),
    };
    let report = measure::run(measure::Options {
        strategies,
        end: measure::END,
        seed: flags.seed.unwrap_or(1),
        control_bytes_per_second: flags.control,
    });
    match flags.json {
        true => println!("{}", serde_json::to_string_pretty(&report)?),
        false => print!("{report}"),
    }
    Ok(ExitCode::SUCCESS)
}
