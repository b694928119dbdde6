//! The text form of a token: version, start, sequence, expiry, issuer and
//! authentication tag, in URL-safe base64 without padding.

use std::fmt;
use std::str;

use base64::Engine;
use base64::engine::general_purpose::URL_SAFE_NO_PAD;

use super::Fault;
use super::HOST_BYTES;
use super::TAG_BYTES;
use super::Token;
use crate::ident;

/// The version of the encoding.
const VERSION: u8 = 1;

/// The length of all encoded fields except the issuer's name, in bytes.
const FIXED_BYTES: usize = 1 + 3 * size_of::<u64>() + TAG_BYTES;

/// The length of the longest text in bytes.
pub const TEXT_BYTES: usize = (FIXED_BYTES + HOST_BYTES).div_ceil(3) * 4;

impl Token {
    /// Parses a token from its text form. Only the issuer can verify its
    /// authentication tag.
    pub fn parse(text: &str) -> Result<Self, Fault> {
        if text.len() > TEXT_BYTES {
            return Err(Fault::TooLong {
                length: text.len(),
                limit: TEXT_BYTES,
            });
        }
        let bytes = URL_SAFE_NO_PAD.decode(text).map_err(|_| Fault::NotBase64)?;
        decode(&bytes)
    }

    /// Returns the bytes that the authentication tag covers.
    pub(super) fn signed(&self) -> Vec<u8> {
        let mut bytes = Vec::with_capacity(FIXED_BYTES + self.issuer.as_str().len());
        bytes.push(VERSION);
        bytes.extend_from_slice(&self.start.to_be_bytes());
        bytes.extend_from_slice(&self.sequence.to_be_bytes());
        bytes.extend_from_slice(&self.expires.to_be_bytes());
        bytes.extend_from_slice(self.issuer.as_str().as_bytes());
        bytes
    }

    fn encode(&self) -> Vec<u8> {
        let mut bytes = self.signed();
        bytes.extend_from_slice(&self.tag);
        bytes
    }
}

impl fmt::Display for Token {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&URL_SAFE_NO_PAD.encode(self.encode()))
    }
}

impl From<Token> for String {
    fn from(token: Token) -> Self {
        token.to_string()
    }
}

impl TryFrom<String> for Token {
    type Error = Fault;

    fn try_from(text: String) -> Result<Self, Fault> {
        Self::parse(&text)
    }
}

fn decode(bytes: &[u8]) -> Result<Token, Fault> {
    let short = Fault::TooShort {
        length: bytes.len(),
    };
    match bytes.first() {
        Some(&VERSION) => (),
        Some(&version) => return Err(Fault::Version { version }),
        None => return Err(short),
    }
    let fields = || {
        let (start, rest) = bytes.get(1..)?.split_first_chunk()?;
        let (sequence, rest) = rest.split_first_chunk()?;
        let (expires, rest) = rest.split_first_chunk()?;
        let (issuer, tag) = rest.split_last_chunk()?;
        Some((start, sequence, expires, issuer, tag))
    };
    let (start, sequence, expires, issuer, tag) = fields().ok_or(short)?;
    Ok(Token {
        issuer: host(issuer)?,
        start: u64::from_be_bytes(*start),
        sequence: u64::from_be_bytes(*sequence),
        expires: u64::from_be_bytes(*expires),
        tag: *tag,
    })
}

fn host(bytes: &[u8]) -> Result<ident::Host, Fault> {
    let name = str::from_utf8(bytes).map_err(|_| Fault::NotUtf8)?;
    match name.len() {
        1..=HOST_BYTES => Ok(name.into()),
        length => Err(Fault::HostLength { length }),
    }
}
