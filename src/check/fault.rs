//! One fault in a file.

use crate::check::Kind;
use crate::check::Place;

/// A fault in a file and its position.
#[derive(Clone, Debug, PartialEq, PartialOrd, thiserror::Error)]
#[error("{place}{kind}")]
pub struct Fault {
    /// The position of the faulty value.
    pub place: Place,
    /// The kind of fault.
    pub kind: Kind,
}

impl Fault {
    /// Creates a fault whose key is known, but not its position in the text.
    pub fn at_key(key: &str, kind: Kind) -> Self {
        let place = Place {
            key: key.to_owned(),
            ..Place::default()
        };
        Self { place, kind }
    }
}
