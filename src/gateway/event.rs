//! Splits a byte stream of server-sent events into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// Blank line that ends an event.
const DELIMITER: &[u8] = b"\n\n";

/// Prefix of the field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// An event as it was sent.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's bytes, including the blank line at its end.
    pub bytes: Bytes,
    /// The event's number, if it has one.
    pub id: Option<u64>,
}

/// Buffers a stream and returns its complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of buffered bytes that are known to contain no delimiter.
    searched: usize,
}

impl Splitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn take(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(DELIMITER.len() - 1);
        let unsearched = self.buffer.get(from..)?;
        let found = unsearched
            .windows(DELIMITER.len())
            .position(|it| it == DELIMITER);
        let Some(at) = found else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(from + at + DELIMITER.len()).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Removes and returns the bytes after the last complete event.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.buffer.split().freeze()
    }
}

fn event_id(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(ID_FIELD))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
