//! The priority class of a request among those of its workspace.

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

/// The priority class of a request, most urgent first.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Class {
    /// A person is blocked until the response arrives, such as at a ticket gate.
    Urgent,
    /// A person reads the response as it is streamed.
    #[default]
    Interactive,
    /// No person waits for the response.
    Batch,
}
