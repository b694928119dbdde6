//! The messages by which a host follows the table of another one over HTTP,
//! encoded by `rmp-serde` and compressed by LZ4.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::mirror::Event;
use crate::mirror::Fact;
use crate::mirror::Item;
use crate::mirror::Position;

/// The path at which a host serves its followers.
pub const PATH: &str = "/mirror";

/// The path of the metrics for operators, as text.
pub const METRICS_PATH: &str = "/metrics";

/// Maximum size of a reply, several times that of the whole store of a large fleet. A reply states
/// its size before it is decompressed.
const MAX_BYTES: usize = 64 << 20;

/// Why a reply can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The reply can't be encoded.
    #[error("can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The reply can't be decompressed.
    #[error("can't be unpacked: {0}")]
    Decompress(#[from] lz4_flex::block::DecompressError),
    /// The reply is too large.
    #[error("has {0} bytes, expected at most {MAX_BYTES}")]
    TooLarge(usize),
    /// The reply can't be decoded.
    #[error("can't be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// A request for the changes after a position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The follower's position.
    pub after: Position,
    /// The maximum time to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// The changes of the sender's table since the follower's position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The position of the sender's table.
    pub position: Position,
    /// The age of the sender's table when it replied, in milliseconds.
    pub age_ms: u64,
    /// How long the sender waited before it replied, in milliseconds.
    pub waited_ms: u64,
    /// How much longer lapsed entries may be restored after an outage of the
    /// store, in milliseconds.
    pub settling_ms: u64,
    /// What the sender retains from earlier eras of the store.
    pub facts: Vec<Fact>,
    /// The changes.
    pub content: Content,
}

/// Encodes and compresses a reply, since some followers have slow links.
pub fn encode<T: Serialize>(reply: &T) -> Result<Vec<u8>, Error> {
    let bytes = rmp_serde::to_vec(reply)?;
    Ok(lz4_flex::compress_prepend_size(&bytes))
}

/// Decompresses and decodes a reply.
pub fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Error> {
    let (size, _) = lz4_flex::block::uncompressed_size(bytes)?;
    if size > MAX_BYTES {
        return Err(Error::TooLarge(size));
    }
    let bytes = lz4_flex::decompress_size_prepended(bytes)?;
    Ok(rmp_serde::from_slice(&bytes)?)
}

/// The changes of what the store holds since the follower's position.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The individual changes.
    Changes(Vec<Event>),
    /// All items, since the individual changes are no longer known.
    #[serde(rename = "Whole")]
    Full(BTreeMap<String, Item>),
}
