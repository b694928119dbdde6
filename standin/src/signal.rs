//! Shutdown of a process on SIGTERM and SIGINT.

use std::io;

use tokio::signal::unix::SignalKind;
use tokio::signal::unix::signal;
use tokio_util::sync::CancellationToken;

/// Cancels the token on the first SIGTERM or SIGINT. Fails if a signal handler
/// can't be installed.
pub fn cancel_on_signal(token: CancellationToken) -> io::Result<()> {
    let mut terminate = signal(SignalKind::terminate())?;
    let mut interrupt = signal(SignalKind::interrupt())?;
    tokio::spawn(async move {
        tokio::select! {
            _ = terminate.recv() => (),
            _ = interrupt.recv() => (),
        }
        token.cancel();
    });
    Ok(())
}
