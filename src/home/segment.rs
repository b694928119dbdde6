//! The messages of a chat that other chats may share, as segments of its prompt.

use serde::Deserialize;
use serde_json::value::RawValue;
use xxhash_rust::xxh3::xxh3_64;

use crate::peer::frame::Call;
use crate::register::upstream::Pool;

/// The messages of a chat request.
#[derive(Deserialize)]
struct Chat<'a> {
    #[serde(borrow)]
    messages: Vec<&'a RawValue>,
}

/// Returns the hashes of a chat's messages but the last, which belongs to the request
/// itself. Empty for other calls.
pub fn of(call: &Call) -> Vec<u64> {
    let Pool::Model(_) = call.pool else {
        return Vec::new();
    };
    // The entry has rejected malformed chats.
    let Ok(chat) = serde_json::from_slice::<Chat<'_>>(&call.body) else {
        return Vec::new();
    };
    let shared = chat.messages.split_last().map_or(&[][..], |(_, rest)| rest);
    let shared = shared.iter().map(|it| xxh3_64(it.get().as_bytes()));
    shared.collect()
}
