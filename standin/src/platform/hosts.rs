//! The list of hosts.

use serde::Deserialize;
use serde::Serialize;

/// A host in the list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// The name of the host.
    pub host: String,
    /// Whether it is about to shut down.
    pub state: State,
}

/// Whether a host is about to shut down.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// It is in service.
    Live,
    /// It is about to shut down.
    Leaving,
}
