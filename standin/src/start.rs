//! The commands that run a server: each binds the listener and serves until the
//! token is cancelled.

use std::net::SocketAddr;
use std::time::Duration;

use eyre::WrapErr;
use standin::engine;
use standin::plain;
use standin::platform;
use standin::server::Shared;
use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::flags::Engine;
use crate::flags::Plain;
use crate::flags::Platform;

/// Runs the platform on the values of a directory.
pub async fn platform(flags: Platform, token: CancellationToken) -> eyre::Result<()> {
    let listener = bind(flags.listen).await?;
    let options = platform::Options {
        dir: Some(flags.dir),
    };
    let handle = platform::Handle::default();
    platform::run(listener, options, handle, token).await?;
    Ok(())
}

/// Runs an engine; flags that are left out have the defaults of its options.
pub async fn engine(flags: Engine, token: CancellationToken) -> eyre::Result<()> {
    let listener = bind(flags.listen).await?;
    let options = engine_options(&flags)?;
    engine::run(listener, options, engine::Handle::default(), token).await?;
    Ok(())
}

/// Runs a plain service.
pub async fn plain(flags: Plain, token: CancellationToken) -> eyre::Result<()> {
    let listener = bind(flags.listen).await?;
    let options = plain::Options {
        name: flags.name.unwrap_or_else(|| "plain".to_owned()),
        work_time: millis(flags.work_ms.unwrap_or(0.0))?,
    };
    plain::run(listener, options, Shared::default(), token).await?;
    Ok(())
}

fn engine_options(flags: &Engine) -> eyre::Result<engine::Options> {
    let defaults = engine::Options::default();
    Ok(engine::Options {
        name: flags.name.clone().unwrap_or(defaults.name),
        model: flags.model.clone().unwrap_or(defaults.model),
        slots: flags.slots.unwrap_or(defaults.slots),
        cold_slots: flags.cold_slots.unwrap_or(defaults.cold_slots),
        warm_after: flags.warm_after.unwrap_or(defaults.warm_after),
        prefill_per_1k: flags
            .prefill_ms
            .map_or(Ok(defaults.prefill_per_1k), millis)?,
        token_time: flags.token_ms.map_or(Ok(defaults.token_time), millis)?,
        cache_tokens: flags.cache_tokens.unwrap_or(defaults.cache_tokens),
        ..defaults
    })
}

fn millis(ms: f64) -> eyre::Result<Duration> {
    Duration::try_from_secs_f64(ms / 1_000.0).wrap_err("duration in milliseconds is out of range")
}

async fn bind(address: SocketAddr) -> eyre::Result<TcpListener> {
    TcpListener::bind(address)
        .await
        .wrap_err_with(|| format!("failed to listen on {address}"))
}
