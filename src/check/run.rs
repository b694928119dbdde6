//! Checks the files that are named on the command line.

use std::path::Path;

use crate::check::Cause;
use crate::check::Fault;
use crate::check::File;
use crate::check::Kind;
use crate::check::Report;
use crate::options;
use crate::options::Options;
use crate::register;
use crate::register::Register;
use crate::rules;
use crate::rules::Rules;

/// Checks each of the given files by itself, and settings and rules against the register
/// too, if it is valid.
pub fn run(settings: Option<&Path>, register: Option<&Path>, rules: Option<&Path>) -> Report {
    let register = register.map(|path| Checked::read(path, register::parse::register));
    let valid_register = register.as_ref().and_then(|checked| checked.value.as_ref());
    let settings = settings.map(|path| check_settings(path, valid_register));
    let rules = rules.map(|path| check_rules(path, valid_register));
    let register = register.map(|checked| checked.file);
    Report {
        files: settings.into_iter().chain(register).chain(rules).collect(),
    }
}

/// A file with its text and, if it is valid, its value.
struct Checked<T> {
    file: File,
    text: String,
    value: Option<T>,
}

impl<T> Checked<T> {
    fn read(path: &Path, parse: fn(&str) -> Result<T, Vec<Fault>>) -> Self {
        let read = std::fs::read_to_string(path);
        let parsed = match &read {
            Ok(text) => parse(text),
            Err(error) => Err(vec![unreadable_fault(error)]),
        };
        let (value, faults) = match parsed {
            Ok(value) => (Some(value), Vec::new()),
            Err(faults) => (None, faults),
        };
        let path = path.to_owned();
        let file = File { path, faults };
        let text = read.unwrap_or_default();
        Self { file, text, value }
    }
}

fn unreadable_fault(error: &std::io::Error) -> Fault {
    let cause = Cause(error.kind());
    Fault::at_key("", Kind::Unreadable { cause })
}

fn check_settings(path: &Path, register: Option<&Register>) -> File {
    let mut checked = Checked::read(path, Options::parse);
    if let (Some(options), Some(register)) = (&checked.value, register) {
        let faults = options::dangling(options, register).into_iter().collect();
        checked.file.faults = options::parse::locate(&checked.text, faults);
    }
    checked.file
}

fn check_rules(path: &Path, register: Option<&Register>) -> File {
    let mut checked: Checked<Rules> = Checked::read(path, rules::parse::rules);
    if let (Some(rules), Some(register)) = (&checked.value, register) {
        let faults = rules::dangling(rules, register);
        checked.file.faults = rules::parse::locate(&checked.text, faults);
    }
    checked.file
}
