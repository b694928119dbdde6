//! Conversions from the generated types of the settings file.

use std::net::SocketAddr;
use std::time::Duration;

use crate::border::settings::Address;
use crate::check::text;

const MILLIS_PER_SECOND: f64 = 1_000.0;

/// Converts milliseconds to a duration.
pub fn duration(from: Option<impl Into<u64>>, default: Duration) -> Duration {
    from.map_or(default, |millis| Duration::from_millis(millis.into()))
}

/// Converts a number of milliseconds that may be a fraction, or one of seconds if that is given.
pub fn decimal_duration(millis: Option<f64>, seconds: Option<f64>, default: Duration) -> Duration {
    let seconds = seconds.or(millis.map(|millis| millis / MILLIS_PER_SECOND));
    seconds.map_or(default, |seconds| {
        // The ranges in the schema exclude what a duration can't represent.
        Duration::try_from_secs_f64(seconds).unwrap_or(default)
    })
}

/// Converts a count or a size in memory, saturating at [`usize::MAX`].
pub fn count(from: Option<impl Into<u64>>, default: usize) -> usize {
    from.map_or(default, |count| {
        usize::try_from(count.into()).unwrap_or(usize::MAX)
    })
}

/// Converts a number of 32 bits.
pub fn number(from: Option<impl Into<u32>>, default: u32) -> u32 {
    from.map_or(default, Into::into)
}

/// Converts an amount, which may be unknown. Amounts out of range don't pass the checks.
pub fn amount(from: Option<&str>) -> Option<u64> {
    let amount = text::amount(from?).ok().flatten();
    amount.map(|amount| amount as u64)
}

/// Converts a list of addresses.
pub fn addresses(from: &[Address]) -> Vec<SocketAddr> {
    from.iter().map(|address| **address).collect()
}
