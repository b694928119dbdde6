//! Encoding and decoding of frames: a length of four bytes, then an `rmp-serde`
//! envelope.

use bytes::Buf;
use bytes::BufMut;
use bytes::Bytes;
use bytes::BytesMut;

use crate::peer::frame::Envelope;
use crate::peer::frame::Exchange;
use crate::peer::frame::Frame;
use crate::peer::frame::VERSION;

/// The size of the length field, in bytes.
const LENGTH_BYTES: usize = 4;

/// Why a frame can't be encoded or decoded.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The frame exceeds the limit.
    #[error("frame of {bytes} bytes exceeds the limit of {limit} bytes")]
    TooLong {
        /// Its length in bytes.
        bytes: usize,
        /// The limit in bytes.
        limit: usize,
    },
    /// The frame can't be encoded.
    #[error("frame can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    /// The frame can't be decoded.
    #[error("frame can't be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    /// The frame has another protocol version.
    #[error("frame has version {found}, expected {VERSION}")]
    Version {
        /// The version found.
        found: u8,
    },
}

/// Encodes a frame of an exchange, with its length field.
pub fn encode(exchange: Exchange, frame: Frame) -> Result<Bytes, Error> {
    let envelope = Envelope {
        version: VERSION,
        exchange,
        frame,
    };
    let mut writer = BytesMut::with_capacity(128).writer();
    writer.get_mut().put_u32(0);
    rmp_serde::encode::write(&mut writer, &envelope)?;
    let mut bytes = writer.into_inner();
    let length = u32::try_from(bytes.len() - LENGTH_BYTES).unwrap_or(u32::MAX);
    if let Some(field) = bytes.get_mut(..LENGTH_BYTES) {
        field.copy_from_slice(&length.to_be_bytes());
    }
    Ok(bytes.freeze())
}

/// Decodes frames from a byte stream that arrives in chunks of any size.
#[derive(Debug)]
pub struct Decoder {
    buffer: BytesMut,
    limit: usize,
}

impl Decoder {
    /// Returns a decoder that accepts frames of up to `limit` bytes.
    pub fn new(limit: usize) -> Self {
        Self {
            buffer: BytesMut::new(),
            limit,
        }
    }

    /// Appends a chunk of the stream.
    pub fn push(&mut self, chunk: &[u8]) {
        self.buffer.extend_from_slice(chunk);
    }

    /// Returns the next frame, or `None` if it is not complete yet.
    pub fn frame(&mut self) -> Result<Option<Envelope>, Error> {
        let Some(field) = self.buffer.first_chunk::<LENGTH_BYTES>() else {
            return Ok(None);
        };
        let length = u32::from_be_bytes(*field) as usize;
        match length {
            _ if length > self.limit => Err(Error::TooLong {
                bytes: length,
                limit: self.limit,
            }),
            _ if self.buffer.len() < LENGTH_BYTES + length => Ok(None),
            _ => {
                self.buffer.advance(LENGTH_BYTES);
                let bytes = self.buffer.split_to(length);
                decode(&bytes).map(Some)
            }
        }
    }

    /// Tells whether no incomplete frame is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Decodes an envelope. Compares the version first, so that a frame of another
/// version is distinguished from a malformed one.
fn decode(bytes: &[u8]) -> Result<Envelope, Error> {
    // An envelope is a MessagePack array of three elements (0x93), of which the
    // first is the version.
    match bytes {
        [0x93, version, ..] if *version != VERSION => Err(Error::Version { found: *version }),
        _ => Ok(rmp_serde::from_slice(bytes)?),
    }
}
