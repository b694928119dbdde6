//! The signing key of an incarnation: generated at its start and held only in
//! memory.

use std::fmt;

use hmac::Hmac;
use hmac::KeyInit;
use hmac::Mac;
use rand::CryptoRng;
use sha2::Sha256;

use super::TAG_BYTES;

/// The length of a key in bytes: one block of SHA-256.
const KEY_BYTES: usize = 64;

/// The HMAC key with which an issuer authenticates its tokens.
#[derive(Clone)]
pub struct Key([u8; KEY_BYTES]);

impl Key {
    /// Generates a key from a cryptographically secure random generator.
    pub fn new(random: &mut impl CryptoRng) -> Self {
        let mut bytes = [0; KEY_BYTES];
        random.fill_bytes(&mut bytes);
        Self(bytes)
    }

    /// Returns the truncated HMAC over `bytes`.
    pub(super) fn sign(&self, bytes: &[u8]) -> [u8; TAG_BYTES] {
        let full: [u8; 32] = self.mac(bytes).finalize().into_bytes().into();
        let mut tag = [0; TAG_BYTES];
        for (to, from) in tag.iter_mut().zip(full) {
            *to = from;
        }
        tag
    }

    /// Checks in constant time whether `tag` is the truncated HMAC over
    /// `bytes`.
    pub(super) fn verify(&self, bytes: &[u8], tag: &[u8; TAG_BYTES]) -> bool {
        self.mac(bytes).verify_truncated_left(tag).is_ok()
    }

    fn mac(&self, bytes: &[u8]) -> Hmac<Sha256> {
        let mut mac = <Hmac<Sha256> as KeyInit>::new(&self.0.into());
        mac.update(bytes);
        mac
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Key(..)")
    }
}
