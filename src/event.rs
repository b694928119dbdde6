//! Splits a byte stream of server-sent events into complete events.

use bytes::Bytes;
use bytes::BytesMut;

/// Prefix of the field that numbers an event.
const ID_FIELD: &[u8] = b"id:";

/// Position in a stream of events, advanced byte by byte. Lines end with LF or CR LF; a
/// blank line ends an event.
#[derive(Clone, Copy, Debug, Default)]
pub struct Position {
    line: Line,
    is_inside_event: bool,
    has_event: bool,
}

/// Part of the current line that was read.
#[derive(Clone, Copy, Debug, Default)]
enum Line {
    #[default]
    Start,
    /// A CR at the start, which an LF turns into a blank line.
    CarriageReturn,
    Comment,
    Field,
}

impl Position {
    /// Returns whether an event has begun that isn't complete yet. Blank lines and comments
    /// begin none.
    pub fn is_inside_event(&self) -> bool {
        self.is_inside_event
    }

    /// Returns whether a complete event was read.
    pub fn has_event(&self) -> bool {
        self.has_event
    }

    /// Advances over some bytes.
    pub fn advance_over(&mut self, bytes: &[u8]) {
        for byte in bytes {
            self.advance(*byte);
        }
    }

    /// Advances over a byte, and returns whether it ends a blank line.
    fn advance(&mut self, byte: u8) -> bool {
        let is_blank = matches!(
            (self.line, byte),
            (Line::Start | Line::CarriageReturn, b'\n')
        );
        self.line = match (self.line, byte) {
            (_, b'\n') => Line::Start,
            (Line::Start, b'\r') => Line::CarriageReturn,
            (Line::Start, b':') => Line::Comment,
            (Line::Start | Line::CarriageReturn | Line::Field, _) => Line::Field,
            (Line::Comment, _) => Line::Comment,
        };
        if is_blank {
            self.has_event |= self.is_inside_event;
            self.is_inside_event = false;
        }
        self.is_inside_event |= matches!(self.line, Line::Field);
        is_blank
    }
}

/// An event as it was sent, or a block of comments, which has no number.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Event {
    /// The event's bytes, including the blank line at its end.
    pub bytes: Bytes,
    /// The event's number, if it has one.
    pub id: Option<u64>,
}

impl Event {
    /// Returns whether it consists of comments alone.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line, [] | b"\r" | [b':', ..]))
    }
}

/// Buffers a stream and returns its complete events.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    /// Number of buffered bytes before `position`.
    searched: usize,
    position: Position,
}

impl Splitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Removes and returns the next complete event.
    pub fn take(&mut self) -> Option<Event> {
        let unsearched = self.buffer.get(self.searched..)?;
        let position = &mut self.position;
        let Some(at) = unsearched.iter().position(|byte| position.advance(*byte)) else {
            self.searched = self.buffer.len();
            return None;
        };
        let bytes = self.buffer.split_to(self.searched + at + 1).freeze();
        self.searched = 0;
        let id = event_id(&bytes);
        Some(Event { bytes, id })
    }

    /// Returns the position after the bytes that [`Self::take`] has searched.
    pub fn position(&self) -> Position {
        self.position
    }

    /// Returns the number of buffered bytes.
    pub fn len(&self) -> usize {
        self.buffer.len()
    }

    /// Returns whether no bytes are buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
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
