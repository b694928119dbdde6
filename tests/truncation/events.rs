//! Cuts of a stream of two events.

use crate::cut::Cut;
use crate::cut::Framing;

/// A stream of two events, of which the first has [`FIRST_EVENT_BYTES`].
pub const EVENTS: &str = "id: 0\ndata: none\n\nid: 1\ndata: seat\n\n";

/// Length of the first event.
pub const FIRST_EVENT_BYTES: usize = 18;

/// Returns whether a cut of [`EVENTS`] can't be told from a whole stream. One that closes
/// before its first event was cut: nothing says that it ended.
pub fn look_whole(cut: &Cut) -> bool {
    let is_between_events = [0, FIRST_EVENT_BYTES, EVENTS.len()].contains(&cut.sent);
    let is_unmarked = cut.sent == 0 && cut.framing == Framing::Close;
    cut.is_framed_whole() && is_between_events && !is_unmarked
}
