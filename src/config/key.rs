//! The keys under which operators publish values.

use std::fmt;
use std::num::ParseIntError;
use std::str::FromStr;

use serde::Deserialize;
use serde::Serialize;

const REGISTER: &str = "register";
const RULES: &str = "rules";
const WORKSPACES: &str = "workspaces/";

/// The key of a published value.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub enum Key {
    /// The register.
    Register,
    /// The rules.
    Rules,
    /// A part of the workspace list, by its number.
    Workspaces(u16),
}

/// Why a text is not a key.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is not one of the known keys.
    #[error("unknown key {text:?}, expected {REGISTER}, {RULES} or {WORKSPACES}NUMBER")]
    Unknown {
        /// The text.
        text: String,
    },
    /// The number of the part of the workspace list is invalid.
    #[error("key {text:?} needs a number from 0 to 65535 after {WORKSPACES}")]
    Number {
        /// The text.
        text: String,
        /// The cause.
        source: ParseIntError,
    },
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Register => f.write_str(REGISTER),
            Self::Rules => f.write_str(RULES),
            Self::Workspaces(part) => write!(f, "{WORKSPACES}{part}"),
        }
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        match (text, text.strip_prefix(WORKSPACES)) {
            (REGISTER, _) => Ok(Self::Register),
            (RULES, _) => Ok(Self::Rules),
            (_, Some(part)) => part
                .parse()
                .map(Self::Workspaces)
                .map_err(|source| Error::Number {
                    text: text.to_owned(),
                    source,
                }),
            _ => Err(Error::Unknown {
                text: text.to_owned(),
            }),
        }
    }
}

impl From<Key> for String {
    fn from(key: Key) -> Self {
        key.to_string()
    }
}

impl TryFrom<String> for Key {
    type Error = Error;

    fn try_from(text: String) -> Result<Self, Error> {
        text.parse()
    }
}
