//! The command line of a host: parses flags, sets up logging and calls the
//! library.

use std::path::PathBuf;
use std::process::ExitCode;

use eyre::WrapErr;
use masticmoor::check;
use masticmoor::daemon::serve;
use masticmoor::options;
use masticmoor::options::Options;
use masticmoor::query;

mod flags {
    use std::net::SocketAddr;
    use std::path::PathBuf;

    xflags::xflags! {
        /// A host of the router fleet.
        cmd masticmoor {
            /// Serve callers, peers and operators.
            cmd serve {
                /// The settings of the host.
                required --settings file: PathBuf
            }
            /// Show what a host knows and does.
            cmd status {
                /// The operator address of the host.
                required --at address: SocketAddr
                /// Print JSON.
                optional --json
            }
            /// Check settings, register and rules without starting.
            cmd check {
                /// The settings of a host.
                optional --settings file: PathBuf
                /// A register.
                optional --register file: PathBuf
                /// Rules.
                optional --rules file: PathBuf
            }
        }
    }
}

/// The exit status for errors in settings, register or rules.
const EXIT_INVALID_INPUT: u8 = 2;

fn main() -> eyre::Result<ExitCode> {
    match flags::Masticmoor::from_env_or_exit().subcommand {
        flags::MasticmoorCmd::Serve(serve) => serve_host(serve.settings),
        flags::MasticmoorCmd::Status(status) => print_status(&status),
        flags::MasticmoorCmd::Check(check) => Ok(check_files(&check)),
    }
}

fn print_status(flags: &flags::Status) -> eyre::Result<ExitCode> {
    let runtime = tokio::runtime::Runtime::new().wrap_err("can't start the runtime")?;
    let status = runtime.block_on(query::fetch::status(flags.at))?;
    match flags.json {
        true => println!("{}", serde_json::to_string_pretty(&status)?),
        false => print!("{}", query::render::text(&status)),
    }
    Ok(ExitCode::SUCCESS)
}

fn check_files(files: &flags::Check) -> ExitCode {
    let report = check::run(
        files.settings.as_deref(),
        files.register.as_deref(),
        files.rules.as_deref(),
    );
    println!("{report}");
    match report.is_clean() {
        true => ExitCode::SUCCESS,
        false => ExitCode::from(EXIT_INVALID_INPUT),
    }
}

fn serve_host(settings: PathBuf) -> eyre::Result<ExitCode> {
    let text = std::fs::read_to_string(&settings)
        .wrap_err_with(|| format!("can't read the settings file {}", settings.display()))?;
    let options = match options::parse::options(&text) {
        Ok(options) => options,
        Err(faults) => {
            for fault in faults {
                eprintln!("{}:{fault}", settings.display());
            }
            return Ok(ExitCode::from(EXIT_INVALID_INPUT));
        }
    };
    init_logging(&options);
    let runtime = tokio::runtime::Runtime::new().wrap_err("can't start the runtime")?;
    let report = runtime.block_on(serve::run(options))?;
    Ok(match report.aborted {
        0 => ExitCode::SUCCESS,
        _ => ExitCode::FAILURE,
    })
}

fn init_logging(options: &Options) {
    let level: tracing::Level = options.log.level.into();
    let subscriber = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_target(false)
        .with_writer(std::io::stderr);
    match options.log.format {
        options::log::Format::Json => subscriber.json().init(),
        options::log::Format::Text => subscriber.init(),
    }
}
