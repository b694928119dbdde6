//! Whole events out of a stream that arrives in pieces of any size.

use bytes::Bytes;
use bytes::BytesMut;

/// The blank line after an event.
const END: &[u8] = b"\n\n";

/// The field that numbers an event.
const ID: &[u8] = b"id:";

/// An event as it was sent, blank line included.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The bytes.
    pub bytes: Bytes,
    /// Its number, if it has one.
    pub id: Option<u64>,
}

/// Puts events together.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    /// What was searched already holds no end of an event.
    searched: usize,
}

impl Splitter {
    /// Takes in a piece of the stream.
    pub fn push(&mut self, piece: &[u8]) {
        self.rest.extend_from_slice(piece);
    }

    /// Returns the next whole event.
    pub fn take(&mut self) -> Option<Event> {
        let from = self.searched.saturating_sub(END.len() - 1);
        let unsearched = self.rest.get(from..)?;
        let found = unsearched.windows(END.len()).position(|it| it == END);
        let Some(at) = found else {
            self.searched = self.rest.len();
            return None;
        };
        let bytes = self.rest.split_to(from + at + END.len()).freeze();
        self.searched = 0;
        let id = number(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the bytes after the last whole event.
    pub fn rest(&mut self) -> Bytes {
        self.searched = 0;
        self.rest.split().freeze()
    }
}

fn number(event: &[u8]) -> Option<u64> {
    let mut lines = event.split(|byte| *byte == b'\n');
    let line = lines.find_map(|line| line.strip_prefix(ID))?;
    std::str::from_utf8(line).ok()?.trim().parse().ok()
}
