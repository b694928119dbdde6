//! What hosts tell each other of upstreams.
//!
//! Hosts exchange readings, not estimates: each of them follows an upstream by the readings of all,
//! and no host's estimate is counted again as one of another. A reading is eight bytes in the map
//! that is appended to a message.

use std::time::Duration;

use tokio::time::Instant;

use crate::gateway::capacity::table::Key;
use crate::gateway::capacity::table::Table;
use crate::log::millis;

/// Maximum number of readings in a message. A host sends 60 messages a second, so that readings
/// take at most 8.4 KB/s.
pub const MAX_READINGS: usize = 16;

/// Age from which on a reading isn't merged, nor told to another zone.
const MAX_AGE: Duration = Duration::from_secs(2);

/// Age from which on a host doesn't tell what it read itself. Messages to the same host follow each
/// other by 0.6 s, so each reading is told once or twice.
const MAX_OWN_AGE: Duration = Duration::from_secs(1);

/// Deviation from the usual slowdown from which on a reading is told, also one that is as usual if
/// the lasting slowdown still deviates. Hosts take an upstream that they don't hear of as usual.
const MIN_DEVIATION: f64 = 0.1;

/// Encoded size of a reading.
pub const BYTES: usize = 8;

/// Slowdowns are encoded in hundredths.
const SCALE: f64 = 100.0;

/// A slowdown that an upstream stated to some host.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Reading {
    /// The upstream.
    pub key: Key,
    /// How many times as long as usual work took there.
    pub slowdown: f64,
    /// Time since a host read it.
    pub age: Duration,
}

/// Encodes readings: key, hundredths of the slowdown and age in milliseconds, big-endian.
pub fn encode(readings: &[Reading]) -> Vec<u8> {
    let bytes = readings.iter().flat_map(|reading| {
        let slowdown = (reading.slowdown * SCALE).round() as u16;
        let age_ms = u16::try_from(millis(reading.age)).unwrap_or(u16::MAX);
        let [a, b, c, d] = reading.key.0.to_be_bytes();
        let ([e, f], [g, h]) = (slowdown.to_be_bytes(), age_ms.to_be_bytes());
        [a, b, c, d, e, f, g, h]
    });
    bytes.collect()
}

/// Decodes readings, at most as many as a message may have. Bytes at the end that are no reading
/// are ignored.
pub fn decode(bytes: &[u8]) -> Vec<Reading> {
    let (readings, _rest) = bytes.as_chunks::<BYTES>();
    let readings = readings.iter().take(MAX_READINGS);
    let reading = |[a, b, c, d, e, f, g, h]: &[u8; BYTES]| Reading {
        key: Key(u32::from_be_bytes([*a, *b, *c, *d])),
        slowdown: f64::from(u16::from_be_bytes([*e, *f])) / SCALE,
        age: Duration::from_millis(u16::from_be_bytes([*g, *h]).into()),
    };
    readings.map(reading).collect()
}

impl Table {
    /// Merges a reading of another host, which may have waited for the time `unread` before it was
    /// read. Ignored if a younger one is known.
    pub fn merge(&mut self, now: Instant, reading: &Reading, unread: Duration) {
        let age = reading.age.saturating_add(unread);
        if let Some(read_at) = now.checked_sub(age).filter(|_| age < MAX_AGE)
            && reading.slowdown > 0.0
        {
            self.insert(reading.key, read_at, reading.slowdown, true);
        }
    }

    /// Returns the youngest readings of upstreams that aren't as usual: those that this host read
    /// itself, or in a summary for another zone those of all hosts.
    pub fn readings(&self, now: Instant, is_summary: bool) -> Vec<Reading> {
        let entries = self.entries.iter();
        let readings = entries.filter_map(|(key, entry)| {
            let ((read_at, slowdown), max_age) = match is_summary {
                true => (entry.stated?, MAX_AGE),
                false => (entry.own?, MAX_OWN_AGE),
            };
            let age = now.saturating_duration_since(read_at);
            let lasting = entry.tracker.status(now).lasting;
            let is_usual = [slowdown, lasting]
                .iter()
                .all(|it| (it - 1.0).abs() < MIN_DEVIATION);
            (age < max_age && !is_usual).then_some(Reading {
                key: *key,
                slowdown,
                age,
            })
        });
        let mut readings: Vec<_> = readings.collect();
        readings.sort_unstable_by_key(|reading| (reading.age, reading.key));
        readings.truncate(MAX_READINGS);
        readings
    }
}
