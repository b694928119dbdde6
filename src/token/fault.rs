//! Errors in the text or the fields of a token.

use super::HOST_BYTES;

/// Why a token can't be decoded or encoded.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// The text is longer than any token.
    #[error("token text of {length} bytes is longer than the limit of {limit}")]
    TooLong {
        /// The length of the text in bytes.
        length: usize,
        /// The length of the longest text in bytes.
        limit: usize,
    },
    /// The text is shorter than any token.
    #[error("token of {length} bytes is truncated")]
    TooShort {
        /// The number of decoded bytes.
        length: usize,
    },
    /// The text is not URL-safe base64.
    #[error("token is not URL-safe base64")]
    NotBase64,
    /// The version of the encoding is unknown.
    #[error("token has the unknown version {version}")]
    Version {
        /// The version found.
        version: u8,
    },
    /// The host name is not UTF-8.
    #[error("issuer name in the token is not UTF-8")]
    NotUtf8,
    /// The host name is empty or too long for a token.
    #[error("host name has {length} bytes, expected 1 to {HOST_BYTES}")]
    HostLength {
        /// The length of the name in bytes.
        length: usize,
    },
}
