//! Limits on requests of callers.

use std::time::Duration;

use crate::border::settings as border;
use crate::options::constants;
use crate::options::convert::count;
use crate::options::convert::duration;

/// Limits on requests.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    /// The maximum size of a body, in bytes.
    pub body_bytes: usize,
    /// The maximum size of the headers, in bytes.
    pub header_bytes: usize,
    /// The maximum time in which a body must arrive.
    pub body_timeout: Duration,
    /// The maximum duration of a request.
    pub request_timeout: Duration,
    /// The maximum number of concurrent requests at this host.
    pub concurrent: usize,
}

impl Default for Caller {
    fn default() -> Self {
        Self {
            body_bytes: constants::CALLER_BODY_BYTES,
            header_bytes: constants::CALLER_HEADER_BYTES,
            body_timeout: constants::CALLER_BODY_TIMEOUT,
            request_timeout: constants::CALLER_REQUEST_TIMEOUT,
            concurrent: constants::CALLER_CONCURRENT,
        }
    }
}

impl From<border::Caller> for Caller {
    fn from(from: border::Caller) -> Self {
        let defaults = Self::default();
        Self {
            body_bytes: count(from.body_bytes, defaults.body_bytes),
            header_bytes: count(from.header_bytes, defaults.header_bytes),
            body_timeout: duration(from.body_timeout_ms, defaults.body_timeout),
            request_timeout: duration(from.request_timeout_ms, defaults.request_timeout),
            concurrent: count(from.concurrent, defaults.concurrent),
        }
    }
}
