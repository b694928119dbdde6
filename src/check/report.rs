//! The result of the checks of several files.

use std::fmt;
use std::path::PathBuf;

use crate::check::Fault;

/// The faults of several files.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Report {
    /// The files in the order in which they were checked.
    pub files: Vec<File>,
}

/// The faults of one file.
#[derive(Clone, Debug, PartialEq)]
pub struct File {
    /// The path of the file.
    pub path: PathBuf,
    /// The faults in the order of the text.
    pub faults: Vec<Fault>,
}

impl Report {
    /// Returns whether no fault was found.
    pub fn is_clean(&self) -> bool {
        self.files.iter().all(|file| file.faults.is_empty())
    }
}

impl fmt::Display for Report {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.files.iter().try_for_each(|file| file.fmt(f))
    }
}

impl fmt::Display for File {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let path = self.path.display();
        if self.faults.is_empty() {
            return writeln!(f, "{path}: no faults");
        }
        self.faults
            .iter()
            .try_for_each(|fault| match fault.place.line {
                0 => writeln!(f, "{path}: {fault}"),
                _ => writeln!(f, "{path}:{fault}"),
            })
    }
}
