//! Entries of the platform's list of hosts, which lags behind reality.

use serde::Deserialize;
use serde::Serialize;

use crate::ident;

/// A host in the platform's list.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Listing {
    /// The host.
    pub host: ident::Host,
    /// Its state.
    pub state: State,
}

/// The state of a host in the platform's list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum State {
    /// The host runs.
    Live,
    /// The host is about to end, or has ended.
    Leaving,
}
