//! What the host has measured: how long requests took, what was refused, and
//! what control traffic it cost.
//!
//! A [`Table`] gathers it in bounded memory, a [`Snapshot`] is what operators
//! read, a [`Period`] is what goes out to StatsD.

mod busy;
mod limits;
mod period;
mod row;
mod series;
mod snapshot;
pub mod statsd;
mod table;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumIter;
use strum::EnumString;
use strum::IntoStaticStr;

pub use limits::Limits;
pub use period::Period;
pub use snapshot::Line;
pub use snapshot::Row;
pub use snapshot::Snapshot;
pub use snapshot::Summary;
pub use table::Table;

/// A part of a request's time.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Phase {
    /// From its arrival to its dispatch.
    Wait,
    /// From its arrival to the first byte of the answer.
    FirstToken,
    /// Between two parts of the answer.
    BetweenTokens,
    /// From arrival to the end of the response.
    #[strum(serialize = "whole")]
    #[serde(rename = "whole")]
    Total,
}

/// A kind of control traffic.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumIter,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// Heartbeats between hosts.
    #[strum(serialize = "beat")]
    #[serde(rename = "beat")]
    Heartbeat,
    /// Sums that zones tell each other.
    Summary,
    /// Values of the register and the rules that hosts pass on.
    Config,
    /// Reads and watches of the platform.
    Watch,
    /// Frames between hosts, without the requests and answers in them.
    Frame,
    /// Probes of upstreams.
    Probe,
}

/// How much traffic there was of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}
