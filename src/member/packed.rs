//! Compact serialization of upstream loads for use by `serde(with)`: the keys
//! in one byte string, the figures in one list.

use serde::Deserialize;
use serde::Deserializer;
use serde::Serialize;
use serde::Serializer;
use serde::de::Error;
use serde_bytes::ByteBuf;

use crate::member::load::Upstream;

const KEY_BYTES: usize = 4;
const FIGURES_PER_UPSTREAM: usize = 4;

#[derive(Serialize, Deserialize)]
struct Packed {
    keys: ByteBuf,
    figures: Vec<u16>,
}

/// Serializes a list of loads.
pub fn serialize<S: Serializer>(loads: &[Upstream], serializer: S) -> Result<S::Ok, S::Error> {
    let keys: Vec<u8> = loads
        .iter()
        .flat_map(|load| load.key.to_le_bytes())
        .collect();
    let figures = loads
        .iter()
        .flat_map(|load| [load.in_flight, load.queued, load.cap, load.allowance]);
    let packed = Packed {
        keys: keys.into(),
        figures: figures.collect(),
    };
    packed.serialize(serializer)
}

/// Deserializes a list of loads. Fails unless there are as many sets of figures
/// as keys.
pub fn deserialize<'de, D: Deserializer<'de>>(deserializer: D) -> Result<Vec<Upstream>, D::Error> {
    let Packed { keys, figures } = Packed::deserialize(deserializer)?;
    let (keys, rest) = keys.as_chunks::<KEY_BYTES>();
    let (figures, excess) = figures.as_chunks::<FIGURES_PER_UPSTREAM>();
    if keys.len() != figures.len() || !rest.is_empty() || !excess.is_empty() {
        return Err(D::Error::invalid_length(
            keys.len(),
            &"four figures per key",
        ));
    }
    let loads = keys.iter().zip(figures);
    Ok(loads
        .map(|(key, [in_flight, queued, cap, allowance])| Upstream {
            key: u32::from_le_bytes(*key),
            in_flight: *in_flight,
            queued: *queued,
            cap: *cap,
            allowance: *allowance,
        })
        .collect())
}
