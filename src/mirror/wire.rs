//! What hosts ask each other over HTTP, and the answers, as `rmp-serde`.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::mirror::Event;
use crate::mirror::Item;

/// The path at which a host answers followers.
pub const PATH: &str = "/mirror";

/// The path of operators' figures, as text.
pub const METRICS_PATH: &str = "/metrics";

/// Why a reply can't be read.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// It can't be encoded.
    #[error("can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// It can't be unpacked.
    #[error("can't be unpacked: {0}")]
    Unpack(#[from] lz4_flex::block::DecompressError),
    /// It can't be decoded.
    #[error("can't be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
}

/// Asks for what changed after a revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ask {
    /// The follower's revision.
    pub after: u64,
    /// How long to wait for a change, in milliseconds.
    pub wait_ms: u64,
}

/// What a host holds.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reply {
    /// The revision of the sender's table.
    pub revision: u64,
    /// The age of the sender's table when it answered, in milliseconds.
    pub age_ms: u64,
    /// How long the sender waited before it answered, in milliseconds.
    pub waited_ms: u64,
    /// How much longer lapsed entries may be restored after an outage of the
    /// store, in milliseconds.
    pub settling_ms: u64,
    /// What changed.
    pub content: Content,
}

/// Encodes a reply, compressed: hosts with slow links ask too.
pub fn pack<T: Serialize>(reply: &T) -> Result<Vec<u8>, Fault> {
    let bytes = rmp_serde::to_vec(reply)?;
    Ok(lz4_flex::compress_prepend_size(&bytes))
}

/// Decodes a reply.
pub fn unpack<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, Fault> {
    let bytes = lz4_flex::decompress_size_prepended(bytes)?;
    Ok(rmp_serde::from_slice(&bytes)?)
}

/// What changed since the follower's revision.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Content {
    /// The changes one by one.
    Changes(Vec<Event>),
    /// All items, as the changes are no longer known.
    Whole(BTreeMap<String, Item>),
}
