//! Limits on connections to upstreams.

use std::time::Duration;

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::duration;
use crate::options::convert::number;

/// Timeouts of upstreams, and the failures after which an upstream counts as cold.
#[derive(Clone, Debug, PartialEq)]
pub struct Upstream {
    /// The maximum time for an upstream to accept a connection.
    pub connect_timeout: Duration,
    /// The maximum time to the first byte of a response.
    pub first_byte: Duration,
    /// The maximum time between two frames of a response.
    pub between_frames: Duration,
    /// The idle time after which a connection is not used for non-idempotent requests.
    pub idle: Duration,
    /// The failures among the last sixteen requests after which an upstream counts as cold.
    pub silent_errors: u32,
}

impl Default for Upstream {
    fn default() -> Self {
        Self {
            connect_timeout: constants::UPSTREAM_CONNECT_TIMEOUT,
            first_byte: constants::UPSTREAM_FIRST_BYTE,
            between_frames: constants::UPSTREAM_BETWEEN_FRAMES,
            idle: constants::UPSTREAM_IDLE,
            silent_errors: constants::UPSTREAM_SILENT_ERRORS,
        }
    }
}

impl From<border::Upstream> for Upstream {
    fn from(from: border::Upstream) -> Self {
        let defaults = Self::default();
        Self {
            connect_timeout: duration(from.connect_timeout_ms, defaults.connect_timeout),
            first_byte: duration(from.first_byte_ms, defaults.first_byte),
            between_frames: duration(from.between_frames_ms, defaults.between_frames),
            idle: duration(from.idle_ms, defaults.idle),
            silent_errors: number(from.silent_errors, defaults.silent_errors),
        }
    }
}
