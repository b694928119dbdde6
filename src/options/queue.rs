//! Limits on queued requests.

use std::time::Duration;

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::count;
use crate::options::convert::duration;

/// Limits on queued requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Queue {
    /// The maximum number of requests queued for one upstream.
    pub length: usize,
    /// The maximum time in a queue.
    pub wait: Duration,
    /// The maximum number of requests of one workspace queued for one upstream.
    pub workspace_length: usize,
}

impl Default for Queue {
    fn default() -> Self {
        Self {
            length: constants::QUEUE_LENGTH,
            wait: constants::QUEUE_WAIT,
            workspace_length: constants::QUEUE_WORKSPACE_LENGTH,
        }
    }
}

impl From<border::Queue> for Queue {
    fn from(from: border::Queue) -> Self {
        let defaults = Self::default();
        Self {
            length: count(from.length, defaults.length),
            wait: duration(from.wait_ms, defaults.wait),
            workspace_length: count(from.workspace_length, defaults.workspace_length),
        }
    }
}
