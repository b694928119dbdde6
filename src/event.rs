//! Splits a byte stream of server-sent events into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// Ends of a line followed by the blank line that ends an event. Lines end with LF or
/// CR LF.
const DELIMITERS: [&[u8]; 2] = [b"\n\n", b"\n\r\n"];

/// Length of the longest delimiter.
const MAX_DELIMITER_BYTES: usize = 3;

/// First byte of a comment line.
const COMMENT: u8 = b':';

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
        let from = self.searched.saturating_sub(MAX_DELIMITER_BYTES - 1);
        let Some(end) = (from..self.buffer.len()).find_map(|at| self.delimiter_end(at)) else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(end).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns whether the bytes after the last complete event begin another one. Blank
    /// lines and comments don't.
    pub fn is_inside_event(&self) -> bool {
        let mut lines = self.buffer.as_ref().split(|byte| *byte == b'\n');
        lines.any(|line| !matches!(line, [] | [b'\r'] | [COMMENT, ..]))
    }

    /// Returns the offset after a delimiter that starts at `at`.
    fn delimiter_end(&self, at: usize) -> Option<usize> {
        let rest = self.buffer.get(at..)?;
        let found = DELIMITERS.iter().find(|it| rest.starts_with(it));
        found.map(|delimiter| at + delimiter.len())
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
