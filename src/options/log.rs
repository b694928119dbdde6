//! The level and format of logs.

use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::border::settings as border;

/// The level and format of logs.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Log {
    /// The lowest severity that is logged.
    pub level: Level,
    /// The format of each line.
    pub format: Format,
}

/// The severity of a line.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Display, EnumString, IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
pub enum Level {
    /// A failure with loss of data or function.
    Error,
    /// A condition that needs the attention of an operator.
    Warn,
    /// A change of state.
    #[default]
    Info,
    /// One line per request.
    Debug,
    /// Everything.
    Trace,
}

/// The format of a line.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Display, EnumString, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Format {
    /// Human-readable text.
    #[default]
    Text,
    /// One JSON object per line.
    Json,
}

impl From<border::Log> for Log {
    fn from(from: border::Log) -> Self {
        Self {
            level: from.level.map(Level::from).unwrap_or_default(),
            format: from.format.map(Format::from).unwrap_or_default(),
        }
    }
}

impl From<border::Level> for Level {
    fn from(from: border::Level) -> Self {
        match from {
            border::Level::Error => Self::Error,
            border::Level::Warn => Self::Warn,
            border::Level::Info => Self::Info,
            border::Level::Debug => Self::Debug,
            border::Level::Trace => Self::Trace,
        }
    }
}

impl From<border::Format> for Format {
    fn from(from: border::Format) -> Self {
        match from {
            border::Format::Text => Self::Text,
            border::Format::Json => Self::Json,
        }
    }
}

impl From<Level> for tracing::Level {
    fn from(level: Level) -> Self {
        match level {
            Level::Error => Self::ERROR,
            Level::Warn => Self::WARN,
            Level::Info => Self::INFO,
            Level::Debug => Self::DEBUG,
            Level::Trace => Self::TRACE,
        }
    }
}
