//! Formats of datagrams of other builds.
//!
//! The structures of a datagram are arrays of fields, so a build reads only those of its own
//! format. Each format up to [`datagram::VERSION`](super::VERSION) added some fields to the one
//! before. A datagram in an older format is completed with defaults for the fields that it lacks
//! before it is decoded, and a host that sends older ones is sent datagrams without these fields.

use std::collections::BTreeMap;
use std::collections::btree_map::Entry;

use rmpv::Value;
use serde::Deserialize;
use serde::Serialize;

use super::DATAGRAM_BYTES;
use super::Fault;
use super::VERSION;
use crate::gateway::capacity::exchange;
use crate::gateway::capacity::exchange::Reading;

/// Oldest format that is read.
pub const OLDEST: u8 = 5;

/// First format whose hosts know eras of the store. Others can't copy the store from this build,
/// nor this build from them.
const ERAS: u8 = 6;

/// Indices among the fields of a sender, in formats before [`ERAS`].
const REVISION: usize = 3;
const AGE: usize = 4;
const LINK_SPEED: usize = 5;

/// Maximum number of lists and maps within each other, more than a datagram has. The stack bounds
/// it.
const MAX_DEPTH: usize = 64;

/// Bytes of an extension with readings besides the readings: the map, the name and the length.
const CAPACITY_OVERHEAD: usize = 12;

/// The structure that a field belongs to.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Structure {
    Sender,
    Report,
    Notice,
}

/// The value of a field in datagrams that lack it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Missing {
    /// Not known.
    Nothing,
    /// An empty list.
    Empty,
    /// True.
    Yes,
}

impl Missing {
    fn value(self) -> Value {
        match self {
            Self::Nothing => Value::Nil,
            Self::Empty => Value::Array(Vec::new()),
            Self::Yes => Value::Boolean(true),
        }
    }
}

/// A field that was added to a structure.
#[derive(Clone, Copy, Debug)]
struct Field {
    /// The first format that has it.
    since: u8,
    structure: Structure,
    /// Its index among the fields of the structure in that format.
    index: usize,
    missing: Missing,
}

/// Fields by the format that added them, in the order of their indices.
const FIELDS: [Field; 6] = [
    field(7, Structure::Report, 4, Missing::Empty),
    field(8, Structure::Notice, 3, Missing::Nothing),
    // A host of a build that doesn't say so has joined as far as others know.
    field(9, Structure::Sender, 4, Missing::Yes),
    field(10, Structure::Sender, 8, Missing::Nothing),
    field(10, Structure::Sender, 9, Missing::Empty),
    field(10, Structure::Notice, 4, Missing::Nothing),
];

/// Index of the notices among the fields of a report, in formats that have them.
const NOTICES: usize = 4;

const fn field(since: u8, structure: Structure, index: usize, missing: Missing) -> Field {
    Field {
        since,
        structure,
        index,
        missing,
    }
}

/// Returns whether datagrams of a format can be read.
pub fn is_known(format: u8) -> bool {
    (OLDEST..=VERSION).contains(&format)
}

/// Returns whether what a format says of an upstream's notices is all that there is to say. What
/// it can't name isn't absent.
pub fn has_all_notices(format: u8) -> bool {
    let notices = [Structure::Report, Structure::Notice];
    let mut fields = FIELDS.iter().filter(|it| notices.contains(&it.structure));
    fields.all(|it| it.since <= format)
}

/// What builds append to a datagram since its structures are fixed. Fields that a build doesn't
/// know are ignored.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Extension {
    /// Newest format that the sender reads, in a datagram of an older one.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub newest: Option<u8>,
    /// Slowdowns that upstreams stated, as [`exchange`] encodes them.
    #[serde(default, skip_serializing_if = "Vec::is_empty", with = "serde_bytes")]
    pub capacity: Vec<u8>,
}

impl Extension {
    /// Reads what follows the first value of a datagram.
    pub fn read(bytes: &[u8]) -> Result<Self, Fault> {
        if bytes.is_empty() {
            return Ok(Self::default());
        }
        let mut deserializer = rmp_serde::Deserializer::from_read_ref(bytes);
        deserializer.set_max_depth(MAX_DEPTH);
        Ok(Self::deserialize(&mut deserializer)?)
    }

    /// Appends readings to a datagram of the newest format that has no extension yet, the youngest
    /// first and as many as fit. Returns how many had no room.
    pub fn append_readings(bytes: &mut Vec<u8>, readings: &[Reading]) -> Result<usize, Fault> {
        let room = DATAGRAM_BYTES.saturating_sub(bytes.len() + CAPACITY_OVERHEAD);
        let count = readings.len().min(room / exchange::BYTES);
        let (sent, left_out) = readings.split_at(count);
        if !sent.is_empty() {
            let extension = Self {
                newest: None,
                capacity: exchange::encode(sent),
            };
            bytes.extend(rmp_serde::to_vec_named(&extension)?);
        }
        Ok(left_out.len())
    }
}

/// Returns the body of a datagram of an older format as one of the newest, and what follows it.
pub fn complete(format: u8, body: &[u8]) -> Result<(Vec<u8>, &[u8]), Fault> {
    change(body, |structures| {
        if format < ERAS {
            structures.edit(Structure::Sender, |fields| {
                let position = Value::Array(vec![Value::from(0), Value::from(0)]);
                let progress = Value::Array(vec![position, Value::from(0)]);
                hide_store(fields, progress);
            });
        }
        for field in FIELDS.iter().filter(|it| it.since > format) {
            structures.edit(field.structure, |fields| {
                if field.index <= fields.len() {
                    fields.insert(field.index, field.missing.value());
                }
            });
        }
    })
}

/// Returns the body of a datagram of the newest format as one of an older format.
fn reduce(format: u8, body: &[u8]) -> Result<Vec<u8>, Fault> {
    let (bytes, _appended) = change(body, |structures| {
        for field in FIELDS.iter().rev().filter(|it| it.since > format) {
            structures.edit(field.structure, |fields| {
                if field.index < fields.len() {
                    fields.remove(field.index);
                }
            });
        }
        if format < ERAS {
            structures.edit(Structure::Sender, |fields| {
                hide_store(fields, Value::from(0))
            });
        }
    })?;
    Ok(bytes)
}

/// Lets a sender look as one from which nobody copies the store: without a copy, and with the
/// slowest link.
fn hide_store(fields: &mut [Value], progress: Value) {
    let hidden = [
        (REVISION, progress),
        (AGE, Value::Nil),
        (LINK_SPEED, Value::from(0)),
    ];
    for (index, value) in hidden {
        if let Some(field) = fields.get_mut(index) {
            *field = value;
        }
    }
}

/// Decodes a body, changes its structures and encodes it again. Returns what follows it as well.
fn change(body: &[u8], edit: impl FnOnce(&mut Structures)) -> Result<(Vec<u8>, &[u8]), Fault> {
    let mut rest = body;
    let value = rmpv::decode::read_value_with_max_depth(&mut rest, MAX_DEPTH)?;
    let mut structures = Structures(value);
    edit(&mut structures);
    let mut bytes = Vec::new();
    rmpv::encode::write_value(&mut bytes, &structures.0)?;
    Ok((bytes, rest))
}

/// A datagram whose structures can be changed.
struct Structures(Value);

impl Structures {
    /// Applies a change to the fields of each structure of a kind.
    fn edit(&mut self, structure: Structure, change: impl Fn(&mut Vec<Value>)) {
        // An enum is a map from the variant's name to its content.
        let Value::Map(variants) = &mut self.0 else {
            return;
        };
        let Some((name, Value::Array(parts))) = variants.first_mut() else {
            return;
        };
        let report = match name.as_str() {
            Some("Message") => 2,
            Some("Summary") => 3,
            Some(_) | None => return,
        };
        let index = match structure {
            Structure::Sender => 0,
            Structure::Report | Structure::Notice => report,
        };
        let Some(Value::Array(fields)) = parts.get_mut(index) else {
            return;
        };
        match (structure, fields.get_mut(NOTICES)) {
            (Structure::Sender | Structure::Report, _) => change(fields),
            (Structure::Notice, Some(Value::Array(notices))) => {
                for notice in notices {
                    if let Value::Array(fields) = notice {
                        change(fields);
                    }
                }
            }
            (Structure::Notice, _) => {}
        }
    }
}

/// An encoded datagram, which hosts of other builds get in their format.
pub struct Encoded<'a> {
    bytes: &'a [u8],
    /// The same in older formats, once they were needed.
    older: BTreeMap<u8, Vec<u8>>,
}

impl<'a> Encoded<'a> {
    /// Wraps a datagram of any format.
    pub fn new(bytes: &'a [u8]) -> Self {
        Self {
            bytes,
            older: BTreeMap::new(),
        }
    }

    /// Returns the datagram in a format.
    pub fn in_format(&mut self, format: u8) -> Result<&[u8], Fault> {
        let (own, body) = self.bytes.split_first().ok_or(Fault::Empty)?;
        if *own == format {
            return Ok(self.bytes);
        }
        let older = match self.older.entry(format) {
            Entry::Occupied(older) => older.into_mut(),
            Entry::Vacant(older) => older.insert(convert(*own, body, format)?),
        };
        Ok(older)
    }
}

/// Returns a datagram with the body of one in the format `from`.
fn convert(from: u8, body: &[u8], format: u8) -> Result<Vec<u8>, Fault> {
    let full = match from {
        VERSION => body.to_vec(),
        from => complete(from, body)?.0,
    };
    let mut bytes = vec![format];
    if format == VERSION {
        bytes.extend(full);
        return Ok(bytes);
    }
    bytes.extend(reduce(format, &full)?);
    let extension = Extension {
        newest: Some(VERSION),
        ..Extension::default()
    };
    bytes.extend(rmp_serde::to_vec_named(&extension)?);
    Ok(bytes)
}
