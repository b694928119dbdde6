//! The fingerprint of a request, which distinguishes a repeat from another
//! request under the same token.

use xxhash_rust::xxh3::Xxh3;

use crate::ident;

/// The fields of a request that a repeat has in common with the first attempt.
#[derive(Clone, Copy, Debug)]
pub struct Request<'a> {
    /// The workspace that the request belongs to.
    pub workspace: &'a ident::Workspace,
    /// The HTTP method.
    pub method: &'a str,
    /// The path including the query.
    pub path: &'a str,
    /// The whole body.
    pub body: &'a [u8],
}

impl Request<'_> {
    /// Returns a hash over all fields, each with its length in front.
    pub fn fingerprint(&self) -> u64 {
        let mut hash = Xxh3::new();
        for field in [
            self.workspace.as_str().as_bytes(),
            self.method.as_bytes(),
            self.path.as_bytes(),
            self.body,
        ] {
            hash.update(&field.len().to_be_bytes());
            hash.update(field);
        }
        hash.digest()
    }
}
