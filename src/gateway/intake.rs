//! Bounds on what callers send: the bytes of all bodies, the pace of each, and the number
//! of connections.
//!
//! The bounds follow from the memory and the descriptors of the machine ([`Limits`]). The
//! decisions are in [`bodies`], [`pace`] and [`connections`], without I/O; [`read`] reads a body by
//! them.

pub mod bodies;
pub mod connections;
pub mod pace;
pub mod read;

use std::time::Duration;

use crate::options;

/// Fraction of the memory for bodies is one in this number. The rest is for connections, buffered
/// responses (24 MB) and the process itself, which takes about 25 MB.
const BODY_SHARE: usize = 8;

/// Part of the memory for connections, as a fraction of which this is the denominator and
/// [`CONNECTION_SHARE`] the numerator.
const CONNECTION_SHARES: usize = 8;

/// See [`CONNECTION_SHARES`].
const CONNECTION_SHARE: usize = 3;

/// Part of the memory for bodies that only small ones get is one in this number.
const RESERVE_SHARE: usize = 4;

/// Size up to which a body is small, above the mean of the longest published prompts, 12 KB.
const SMALL_BYTES: usize = 16 << 10;

/// Minimum memory for small bodies, however little the machine has.
const MIN_RESERVE: usize = 1 << 20;

/// Receive buffer of a caller's connection, as it is requested. Without a bound, the kernel lets it
/// grow to several MB. At a round trip of 6 ms, 16 KB are 2.7 MB/s for each connection.
pub const RECEIVE_BUFFER_BYTES: u32 = 16 << 10;

/// Memory of a connection without the body: the receive buffer, which the kernel doubles, 16 KB
/// that the HTTP library reads ahead, and its task.
const CONNECTION_BYTES: usize = 56 << 10;

/// Descriptors are divided into this number of parts: three for callers' connections, one for
/// those of other hosts, and four for upstreams, the store and files.
const DESCRIPTOR_PARTS: usize = 8;

/// Parts for callers' connections.
const CALLER_PARTS: usize = 3;

/// Minimum number of connections from callers, and from other hosts.
const MIN_CONNECTIONS: usize = 8;

/// Time without progress after which a body or connection may be ended to make room for another.
/// A segment that TCP sends again takes 200 ms or more.
pub const STALL_TIME: Duration = Duration::from_millis(500);

/// Minimum and range of the time after which a caller that found no room may retry. It is drawn,
/// so that refused callers don't return at the same moment.
const RETRY_AFTER_MS: (f64, f64) = (300.0, 700.0);

/// Bounds on what callers send, for one process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Memory for all bodies, of which small ones alone get `reserve`.
    pub body_total: usize,
    /// Part of that memory that is kept for small bodies.
    pub reserve: usize,
    /// Size up to which a body is small.
    pub small: usize,
    /// Maximum size of a body.
    pub body: usize,
    /// Connections from callers.
    pub callers: usize,
    /// Connections from other hosts.
    pub hosts: usize,
}

impl Limits {
    /// Derives the bounds from the settings, the descriptors that the system lets the process open,
    /// and the maximum size of a body. A body of that size always fits if there is no other.
    pub fn new(options: &options::Gateway, system_fds: u64, max_body: usize) -> Self {
        let memory = usize::try_from(options.memory_mb).unwrap_or(usize::MAX);
        let memory = memory.saturating_mul(1 << 20);
        let fds = options.max_fds.min(system_fds);
        let fds = usize::try_from(fds).unwrap_or(usize::MAX);
        let share = memory / BODY_SHARE;
        let reserve = (share / RESERVE_SHARE).max(MIN_RESERVE);
        let large = share.saturating_sub(reserve).max(max_body);
        let by_memory = memory / CONNECTION_SHARES * CONNECTION_SHARE / CONNECTION_BYTES;
        let by_fds = fds / DESCRIPTOR_PARTS * CALLER_PARTS;
        Self {
            body_total: large.saturating_add(reserve),
            reserve,
            small: SMALL_BYTES,
            body: max_body,
            callers: by_memory.min(by_fds).max(MIN_CONNECTIONS),
            hosts: (fds / DESCRIPTOR_PARTS).max(MIN_CONNECTIONS),
        }
    }
}

/// Returns the time after which a caller that found no room may retry. `draw` is random in `0..1`.
pub fn retry_after(draw: f64) -> Duration {
    let (min, range) = RETRY_AFTER_MS;
    Duration::from_secs_f64((min + range * draw.clamp(0.0, 1.0)) / 1_000.0)
}
