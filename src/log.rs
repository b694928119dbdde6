//! Structured logs on standard output that never make a request wait.

use tracing_appender::non_blocking::NonBlockingBuilder;
use tracing_appender::non_blocking::WorkerGuard;

use crate::options::Log;
use crate::options::log::Format;

/// Lines that wait to be written; more are dropped, as under a reader that has
/// stopped.
const QUEUE_LINES: usize = 8_192;

/// Begins to write logs. Lines that wait are written when the guard is dropped.
pub fn start(options: &Log) -> WorkerGuard {
    let (writer, guard) = NonBlockingBuilder::default()
        .buffered_lines_limit(QUEUE_LINES)
        .lossy(true)
        .finish(std::io::stdout());
    let level: tracing::Level = options.level.into();
    let logs = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_target(false)
        .with_writer(writer);
    match options.format {
        Format::Json => logs.json().flatten_event(true).init(),
        Format::Text => logs.init(),
    }
    guard
}
