//! Heartbeats: the datagrams by which a host reports its state, load and
//! configuration to the other hosts of its zone.

use serde::Deserialize;
use serde::Serialize;
use serde::de::DeserializeOwned;
use strum::Display;

use crate::member::config_state::ConfigState;
use crate::member::incarnation::Incarnation;
use crate::member::load;
use crate::member::packed;
use crate::member::roster::Roster;
use crate::member::summary::Summary;
use crate::policy::quarantine;

/// The version of the heartbeat protocol.
pub const VERSION: u8 = 1;

/// The maximum datagram size, in bytes: below the usual path MTU.
pub const DATAGRAM_LIMIT_BYTES: usize = 1_200;

/// How far the list of upstreams is rotated per heartbeat when not all of them
/// fit into one datagram.
const UPSTREAM_ROTATION: usize = 32;

/// The kind of a datagram, encoded as its first byte. The second byte is the
/// protocol version.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display)]
pub enum Kind {
    /// A [`Digest`].
    Digest,
    /// A [`Summary`].
    Summary,
}

/// The state that a host reports for itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Display, Serialize, Deserialize)]
#[serde(into = "u8", try_from = "u8")]
pub enum State {
    /// It listens, but is home of nothing yet.
    Starting,
    /// It serves as home of upstreams.
    Live,
    /// It takes no new work and finishes what it has.
    Draining,
    /// Its process ends now; sent in its last heartbeat.
    Gone,
}

/// The body of a heartbeat.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Digest {
    /// The sender.
    pub from: Incarnation,
    /// Increases with each heartbeat of this incarnation.
    pub sequence: u64,
    /// The state of the sender.
    pub state: State,
    /// The configuration that the sender has applied.
    #[serde(rename = "held")]
    pub config: ConfigState,
    /// The hosts of the zone whose heartbeats the sender receives and accepts.
    #[serde(rename = "heard")]
    pub accepted: Roster,
    /// The accepted hosts that may be home of upstreams.
    pub live: Roster,
    /// The load by pool of the upstreams it is home of.
    pub pools: Vec<load::Total>,
    /// The load of each upstream it is home of.
    #[serde(with = "packed")]
    pub upstreams: Vec<load::Upstream>,
    /// Requests whose upstream recently failed while it ran them.
    #[serde(rename = "strikes")]
    pub crashes: Vec<load::Crash>,
    /// Summaries of other zones that the sender received since its last
    /// heartbeat.
    pub summaries: Vec<Summary>,
    /// Messages of chats that crashed upstreams. Left out if there are none, so that hosts
    /// of an earlier build can read it.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub segments: Vec<quarantine::Report>,
}

/// The fields of a digest that the home supplies.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The configuration that the host has applied.
    pub config: ConfigState,
    /// The load by pool of the upstreams the host is home of.
    pub pools: Vec<load::Total>,
    /// The load of each upstream the host is home of.
    pub upstreams: Vec<load::Upstream>,
    /// Requests whose upstream recently failed while it ran them.
    pub crashes: Vec<load::Crash>,
    /// Messages of chats that crashed upstreams.
    pub segments: Vec<quarantine::Report>,
}

/// Why a datagram was dropped or can't be sent.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The datagram is shorter than the header.
    #[error("datagram of {length} bytes is shorter than the header")]
    Short {
        /// Its length in bytes.
        length: usize,
    },
    /// The datagram is of another kind than expected.
    #[error("datagram has the unexpected kind {kind:#04x}")]
    Foreign {
        /// Its first byte.
        kind: u8,
    },
    /// The datagram has another protocol version.
    #[error("datagram has version {version}, expected {VERSION}")]
    Version {
        /// The version found.
        version: u8,
    },
    /// The datagram exceeds [`DATAGRAM_LIMIT_BYTES`].
    #[error("datagram of {length} bytes exceeds the limit of {DATAGRAM_LIMIT_BYTES} bytes")]
    Long {
        /// Its length in bytes.
        length: usize,
    },
    /// The body can't be decoded.
    #[error("datagram body can't be decoded")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The body can't be encoded.
    #[error("datagram body can't be encoded")]
    Encode(#[from] rmp_serde::encode::Error),
}

/// A number that encodes no [`State`].
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{number} encodes no host state, expected 0 to 3")]
pub struct InvalidState {
    number: u8,
}

impl Digest {
    /// Encodes the digest as one datagram. Fails if it is too long.
    pub fn encode(&self) -> Result<Vec<u8>, Error> {
        pack(Kind::Digest, self)
    }

    /// Drops entries until the digest fits into one datagram.
    ///
    /// Summaries go first, since their zones send them again; then upstreams,
    /// since later heartbeats include the upstreams dropped from this one.
    pub fn truncate(mut self) -> Self {
        let sequence = usize::try_from(self.sequence).unwrap_or_default();
        let mut rotated = false;
        while matches!(self.encode(), Err(Error::Long { .. })) {
            let count = self.upstreams.len();
            match (self.summaries.pop(), count) {
                (Some(_), _) => {}
                (None, 0) if self.crashes.pop().is_some() => {}
                (None, 0) if self.segments.pop().is_some() || self.pools.pop().is_some() => {}
                (None, 0) => break,
                (None, _) if !rotated => {
                    let step = sequence.wrapping_mul(UPSTREAM_ROTATION);
                    self.upstreams.rotate_left(step % count);
                    rotated = true;
                }
                (None, _) => self.upstreams.truncate(count - count.div_ceil(8)),
            }
        }
        self
    }

    /// Decodes a datagram. Fails if the datagram is of another kind or version,
    /// or its body is malformed.
    pub fn decode(datagram: &[u8]) -> Result<Self, Error> {
        unpack(Kind::Digest, datagram)
    }
}

impl Kind {
    /// Returns the kind of a datagram according to its first byte, or `None` if
    /// the kind is unknown.
    pub fn of(datagram: &[u8]) -> Option<Self> {
        match datagram.first() {
            Some(b'd') => Some(Self::Digest),
            Some(b's') => Some(Self::Summary),
            _ => None,
        }
    }

    fn byte(self) -> u8 {
        match self {
            Self::Digest => b'd',
            Self::Summary => b's',
        }
    }
}

pub(crate) fn pack<T: Serialize>(kind: Kind, body: &T) -> Result<Vec<u8>, Error> {
    let mut datagram = vec![kind.byte(), VERSION];
    rmp_serde::encode::write(&mut datagram, body)?;
    match datagram.len() {
        length if length > DATAGRAM_LIMIT_BYTES => Err(Error::Long { length }),
        _ => Ok(datagram),
    }
}

pub(crate) fn unpack<T: DeserializeOwned>(kind: Kind, datagram: &[u8]) -> Result<T, Error> {
    match datagram {
        [first, ..] if *first != kind.byte() => Err(Error::Foreign { kind: *first }),
        [_, version, ..] if *version != VERSION => Err(Error::Version { version: *version }),
        [_, _, body @ ..] if !body.is_empty() => Ok(rmp_serde::from_slice(body)?),
        _ => Err(Error::Short {
            length: datagram.len(),
        }),
    }
}

impl From<State> for u8 {
    fn from(state: State) -> Self {
        match state {
            State::Starting => 0,
            State::Live => 1,
            State::Draining => 2,
            State::Gone => 3,
        }
    }
}

impl TryFrom<u8> for State {
    type Error = InvalidState;

    fn try_from(number: u8) -> Result<Self, InvalidState> {
        match number {
            0 => Ok(Self::Starting),
            1 => Ok(Self::Live),
            2 => Ok(Self::Draining),
            3 => Ok(Self::Gone),
            _ => Err(InvalidState { number }),
        }
    }
}
