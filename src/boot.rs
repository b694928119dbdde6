//! A clock that also counts the time for which the host was suspended.
//!
//! The runtime's clock stands still while a host is suspended, so it can't
//! bound the age of what a host knows. Functions take the time as an argument;
//! only tasks read the clock.

use std::ops::Add;
use std::time::Duration;

use nix::time::ClockId;
use nix::time::clock_gettime;

/// A moment since the host booted, suspended time included.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Instant(Duration);

impl Instant {
    /// Reads the clock.
    ///
    /// A host without this clock falls back to the monotonic one, by which a
    /// suspended host underestimates ages.
    pub fn now() -> Self {
        let time = clock_gettime(ClockId::CLOCK_BOOTTIME)
            .or_else(|_| clock_gettime(ClockId::CLOCK_MONOTONIC));
        Self(time.map(Duration::from).unwrap_or_default())
    }

    /// Returns the moment that lies this long after the boot.
    pub const fn at(since_boot: Duration) -> Self {
        Self(since_boot)
    }

    /// Returns the time since an earlier moment, zero for a later one.
    pub fn since(self, earlier: Self) -> Duration {
        self.0.saturating_sub(earlier.0)
    }

    /// Returns the moment this long before, the boot at the earliest.
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
