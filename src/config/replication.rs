//! The messages by which hosts pull values from each other.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use crate::config::delta;
use crate::config::delta::Delta;
use crate::config::key::Key;
use crate::config::version::Version;

/// The versions that a host has applied.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Index(pub BTreeMap<Key, Version>);

/// A request for a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Request {
    /// The key of the value.
    pub key: Key,
    /// The version that the requesting host has.
    pub have: Option<Version>,
}

/// The response to a request for a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Response {
    /// The key of the value.
    pub key: Key,
    /// The version of the value.
    pub version: Version,
    /// The text of the value, in the form that suits the requesting host.
    pub body: Body,
}

/// The text of a value.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Body {
    /// The requesting host has it already.
    #[serde(rename = "Same")]
    Unchanged,
    /// The responding host has exhausted its budget for full texts and should
    /// be asked later.
    Busy,
    /// The full text.
    #[serde(rename = "Whole")]
    Full(String),
    /// The deltas from the version that the requesting host has, to be applied
    /// in order.
    #[serde(rename = "Steps")]
    Deltas(Vec<Delta>),
}

/// Why a response can't be used.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The responding host is busy.
    #[error("peer is busy")]
    Busy,
    /// No delta applies to the version that the host has.
    #[error("response has no delta from the text with hash {hash:016x}")]
    Base {
        /// The hash of the text that the host has.
        hash: u64,
    },
    /// A delta can't be applied.
    #[error("delta in the response can't be applied")]
    Delta(#[from] delta::Error),
    /// The text has another hash than the response announced.
    #[error("text in the response has hash {found:016x}, expected {expected:016x}")]
    Hash {
        /// The hash announced.
        expected: u64,
        /// The hash of the text.
        found: u64,
    },
}
