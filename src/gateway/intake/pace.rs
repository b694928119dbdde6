//! How long a body may take to arrive.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::intake::STALL_TIME;

/// Time before the minimum rate applies: the longest published deadline of a request, so no body
/// that its caller still waits for is ended by it.
const RATE_GRACE: Duration = Duration::from_secs(10);

/// Rate below which a body, or its connection, may be ended to make room for another. A small body
/// of 16 KB may take 4.5 s. Without a rate, callers that send a byte now and then keep others out.
const STALL_BYTES_PER_SECOND: u32 = 4 << 10;

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

impl Progress {
    /// Returns when a body may be ended to make room for another if nothing more arrives of it: it
    /// pauses, or has been too slow since the head of its request.
    pub fn stalls_at(&self) -> Instant {
        let pauses_at = self.last + STALL_TIME;
        let covered = covered(self.bytes, STALL_BYTES_PER_SECOND);
        let behind = (self.begun + STALL_TIME).checked_add(covered);
        behind.map_or(pauses_at, |behind| pauses_at.min(behind))
    }
}

/// Returns the time in which bytes arrive at a rate.
fn covered(bytes: usize, bytes_per_second: u32) -> Duration {
    let seconds = bytes as f64 / f64::from(bytes_per_second);
    Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
}

impl Pace {
    /// Returns when a body is too slow if nothing more arrives of it.
    pub fn ends_at(&self, progress: &Progress) -> Instant {
        let idle = progress.last + self.idle;
        let end = idle.min(self.deadline);
        match self.bytes_per_second {
            0 => end,
            rate => {
                let covered = covered(progress.bytes, rate);
                let behind = (progress.begun + RATE_GRACE).checked_add(covered);
                behind.map_or(end, |behind| end.min(behind))
            }
        }
    }
}
