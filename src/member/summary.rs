//! Zone summaries: the datagrams by which a zone reports its live hosts and
//! load to other zones.

use serde::Deserialize;
use serde::Serialize;

use crate::ident;
use crate::member::config_state::ConfigState;
use crate::member::heartbeat;
use crate::member::incarnation::Incarnation;
use crate::member::load;
use crate::member::roster::Roster;

/// The state of a zone, as seen by one of its hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Summary {
    /// The zone.
    pub zone: ident::Zone,
    /// The sender.
    pub from: Incarnation,
    /// Increases with each summary of this sender.
    pub sequence: u64,
    /// The live hosts of the zone.
    pub live: Roster,
    /// The configuration that the sender has applied.
    #[serde(rename = "held")]
    pub config: ConfigState,
    /// The load of the zone by pool.
    pub pools: Vec<load::Total>,
}

impl Summary {
    /// Encodes the summary as one datagram. Fails if it is too long.
    pub fn encode(&self) -> Result<Vec<u8>, heartbeat::Error> {
        heartbeat::pack(heartbeat::Kind::Summary, self)
    }

    /// Decodes a datagram. Fails if the datagram is of another kind or version,
    /// or its body is malformed.
    pub fn decode(datagram: &[u8]) -> Result<Self, heartbeat::Error> {
        heartbeat::unpack(heartbeat::Kind::Summary, datagram)
    }
}
