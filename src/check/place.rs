//! The position of a fault.

use std::fmt;

/// A position in a file.
#[derive(Clone, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Place {
    /// The line, from 1, or zero if the fault concerns the whole file.
    pub line: usize,
    /// The column in bytes, from 1.
    pub column: usize,
    /// The key, such as `upstream a1: zone`, or empty at the root.
    pub key: String,
}

impl fmt::Display for Place {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.line, self.key.as_str()) {
            (0, "") => Ok(()),
            (0, key) => write!(f, "{key} "),
            (line, "") => write!(f, "{line}:{} ", self.column),
            (line, key) => write!(f, "{line}:{} {key} ", self.column),
        }
    }
}
