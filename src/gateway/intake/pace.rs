//! How long a body may take to arrive.

use std::time::Duration;

use tokio::time::Instant;

/// Time before the minimum rate applies: the longest published deadline of a request, so no body
/// that its caller still waits for is ended by it.
const RATE_GRACE: Duration = Duration::from_secs(10);

/// Bounds on the pace of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Pace {
    /// Maximum pause.
    pub idle: Duration,
    /// Minimum rate after the first seconds; 0 for none.
    pub bytes_per_second: u32,
    /// When the request has to be served.
    pub deadline: Instant,
}

/// How far a body has arrived.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Progress {
    /// When the head of the request arrived.
    pub begun: Instant,
    /// When the last bytes arrived.
    pub last: Instant,
    /// Bytes so far.
    pub bytes: usize,
}

impl Progress {
    /// Returns the progress of a body of which nothing has arrived.
    pub fn new(begun: Instant) -> Self {
        Self {
            begun,
            last: begun,
            bytes: 0,
        }
    }
}

impl Pace {
    /// Returns when a body is too slow if nothing more arrives of it.
    pub fn ends_at(&self, progress: &Progress) -> Instant {
        let idle = progress.last + self.idle;
        let end = idle.min(self.deadline);
        match self.bytes_per_second {
            0 => end,
            rate => {
                let covered = progress.bytes as f64 / f64::from(rate);
                let covered = Duration::try_from_secs_f64(covered).unwrap_or(Duration::MAX);
                let behind = (progress.begun + RATE_GRACE).checked_add(covered);
                behind.map_or(end, |behind| end.min(behind))
            }
        }
    }
}
