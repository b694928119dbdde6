//! The measurements of a host: durations of requests, refusals and control traffic.
//!
//! A [`Table`] collects them in bounded memory. A [`Snapshot`] is shown to operators, and
//! a [`Period`] is sent to StatsD.

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

/// A phase of a request whose duration is measured.
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
    /// From arrival to dispatch.
    Wait,
    /// From arrival to the first byte of the response.
    FirstToken,
    /// Between two chunks of the response.
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
    /// Summaries exchanged by zones.
    Summary,
    /// Values of the register and the rules relayed by hosts.
    Config,
    /// Reads and watches of the platform.
    Watch,
    /// Frames between hosts, without the requests and responses in them.
    Frame,
    /// Probes of upstreams.
    Probe,
}

/// The volume of one kind of traffic.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Traffic {
    /// Bytes sent.
    pub sent: u64,
    /// Bytes received.
    pub received: u64,
}
