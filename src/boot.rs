//! A monotonic clock that includes the time for which the host was suspended.
//!
//! The runtime's clock stops while a host is suspended, so it would underestimate
//! the age of the host's data. Functions take the time as an argument; only tasks
//! read the clock.

use std::ops::Add;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// The time since the host booted, including time in suspension.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// Reads the clock.
    ///
    /// If the system lacks this clock, the monotonic one is used, and ages are
    /// underestimated after a suspension.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        Self(time.map(Duration::from).unwrap_or_default())
    }

    /// Returns the instant at this time after the boot.
    pub const fn at(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns the time since an earlier instant, or zero if it is later.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the instant this long before, but no earlier than the boot.
    pub fn before(self, by: Duration) -> Self {
        Self(self.0.saturating_sub(by))
    }
}

impl Add<Duration> for Instant {
    type Output = Self;

    fn add(self, by: Duration) -> Self {
        Self(self.0 + by)
    }
}
