//! How long upstreams keep idle connections, as far as a host knows.
//!
//! A request that is sent while its connection is being closed is lost, and costs a retry.

use std::time::Duration;

use http::HeaderMap;
use tokio::time::Instant;

use crate::gateway::accept::header_text;

/// Fraction of an upstream's timeout for which an idle connection is used. The rest is left for what is
/// on its way.
const USABLE_FRACTION: f64 = 0.75;

/// Minimum time after a response for a close to count as one of an idle connection.
const MIN_TIMEOUT: Duration = Duration::from_millis(100);

/// Fraction by which two times agree after which an upstream closed idle connections.
const TOLERANCE: f64 = 0.125;

/// Time after which an observed timeout is forgotten.
const MEMORY: Duration = Duration::from_secs(600);

/// Returns the timeout that the headers of a response state.
pub fn stated(headers: &HeaderMap) -> Option<Duration> {
    let value = header_text(headers, &http::HeaderName::from_static("keep-alive"))?;
    let mut parameters = value.split(',').filter_map(|it| it.split_once('='));
    let (_, seconds) = parameters.find(|(name, _)| name.trim().eq_ignore_ascii_case("timeout"))?;
    seconds.trim().parse().ok().map(Duration::from_secs)
}

/// Returns for how long a connection is used after its last response, at most.
pub fn usable_time(stated: Option<Duration>, observed: Option<Duration>) -> Option<Duration> {
    let timeout = stated.into_iter().chain(observed).min();
    timeout.map(|it| it.mul_f64(USABLE_FRACTION))
}

/// What was observed of an upstream that closed idle connections.
#[derive(Clone, Copy, Debug, Default)]
pub struct Observation {
    /// After which time it closed the last one, and when that was noticed.
    last: Option<(Duration, Instant)>,
    /// Its timeout, once two times agree. Other causes close connections at any age.
    timeout: Option<Duration>,
}

impl Observation {
    /// Records that a connection was closed some time after its last response, and returns whether this
    /// shows another timeout than before.
    pub fn record(&mut self, now: Instant, age: Duration) -> bool {
        if age < MIN_TIMEOUT {
            return false;
        }
        let before = self.timeout;
        if let Some((last, _)) = self.last
            && age.abs_diff(last) <= last.mul_f64(TOLERANCE)
        {
            self.timeout = Some(age.min(last));
        }
        self.last = Some((age, now));
        self.timeout != before
    }

    /// Returns the timeout, if it is known.
    pub fn timeout(&self) -> Option<Duration> {
        self.timeout
    }

    /// Returns whether nothing was observed lately.
    pub fn is_outdated(&self, now: Instant) -> bool {
        self.last
            .is_none_or(|(_, at)| now.duration_since(at) >= MEMORY)
    }
}
