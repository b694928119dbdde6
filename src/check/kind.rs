//! The kinds of faults, each with the details that are needed to correct it.

use strum::Display;
use strum::IntoStaticStr;
use strum::VariantNames;

/// The kind of a fault.
#[derive(Clone, Debug, PartialEq, PartialOrd, IntoStaticStr, VariantNames, thiserror::Error)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// The file is unreadable.
    #[error("can't be read: {cause}")]
    Unreadable {
        /// The error of the operating system.
        cause: Cause,
    },
    /// The value is longer than the platform stores.
    #[error("is {bytes} bytes long, expected at most {max}")]
    ValueTooLong {
        /// The length of the value.
        bytes: usize,
        /// The maximum length.
        max: usize,
    },
    /// The text is not valid TOML.
    #[error("is not valid TOML: {message}")]
    Syntax {
        /// The message of the parser.
        message: String,
    },
    /// The text does not match the generated types, although it passed the checks.
    #[error("does not match its schema: {message}")]
    #[strum(serialize = "form")]
    SchemaMismatch {
        /// The message of the deserializer.
        message: String,
    },
    /// The key is unknown.
    #[error("is not a known key")]
    UnknownKey,
    /// A required key is missing.
    #[error("is missing")]
    MissingKey,
    /// The value has the wrong type.
    #[error("has type {found}, expected {expected}")]
    WrongType {
        /// The type found.
        found: &'static str,
        /// The type expected.
        expected: &'static str,
    },
    /// The number is out of range.
    #[error("is {value}, expected {min} to {max}")]
    OutOfRange {
        /// The number found.
        value: f64,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// The text is not a number.
    #[error("is {value:?}, expected a number from {min} to {max} or an empty text")]
    NotANumber {
        /// The text found.
        value: String,
        /// The minimum.
        min: f64,
        /// The maximum.
        max: f64,
    },
    /// Two keys set the same thing in different units.
    #[error("is given beside {other}, expected only one of them")]
    GivenTwice {
        /// The other key.
        other: &'static str,
    },
    /// The list or text is empty.
    #[error("is empty")]
    Empty,
    /// The text is not one of the accepted texts.
    #[error("is {value:?}, expected one of: {}", accepted.join(", "))]
    NotOneOf {
        /// The text found.
        value: String,
        /// The accepted texts.
        accepted: Vec<String>,
    },
    /// The text is not an IP address with a port.
    #[error("is {value:?}, expected an IP address and a port such as 10.0.0.1:7000")]
    BadAddress {
        /// The text found.
        value: String,
    },
    /// The text is neither a number in the accepted range nor empty.
    #[error("is {value:?}, expected a number from 1 to {max}, or nothing if it is unknown")]
    BadAmount {
        /// The text found.
        value: String,
        /// The maximum.
        max: f64,
    },
    /// The text is not a name.
    #[error("is {value:?}, expected a name of 1 to {max} visible ASCII characters")]
    BadName {
        /// The text found.
        value: String,
        /// The maximum length, in characters.
        max: usize,
    },
    /// The text is not a path.
    #[error("is {value:?}, expected a path such as /tickets")]
    BadPath {
        /// The text found.
        value: String,
    },
    /// The path is outside of the prefix of its service.
    #[error("is {value:?}, expected a path below the prefix {prefix:?}")]
    PathOutside {
        /// The path found.
        value: String,
        /// The prefix of the service.
        prefix: String,
    },
    /// A name, address or prefix is used twice.
    #[error("{value:?} is already used at line {first_line}")]
    Duplicate {
        /// The text that is used twice.
        value: String,
        /// The line of the first occurrence.
        first_line: usize,
    },
    /// A reference to an entity that is not listed.
    #[error("{name:?} is not a listed {what}")]
    NotListed {
        /// The kind of entity that the name refers to.
        what: Entity,
        /// The name.
        name: String,
    },
    /// The register lists the host in another zone.
    #[error("differs from the register, which lists zone {listed:?}")]
    OtherZone {
        /// The zone in the register.
        listed: String,
    },
    /// A zone is listed as near to itself.
    #[error("lists the zone itself")]
    NearItself,
    /// An upstream is neither an engine nor an instance of a service.
    #[error("serves nothing: set either engine or service")]
    ServesNothing,
    /// An upstream is both an engine and an instance of a service.
    #[error("serves two things: set either engine or service")]
    ServesTwo,
    /// Neither platform addresses nor peer seeds are set, so no register can be received.
    #[error("no source of a register: set platform addresses or peer seeds")]
    NoSource,
    /// The value is above the value of another key, which it must not exceed.
    #[error("is {value}, above {other} ({max})")]
    Above {
        /// The number found.
        value: u64,
        /// The other key.
        other: &'static str,
        /// The value of the other key.
        max: u64,
    },
    /// The value is below the value of another key, which must not exceed it.
    #[error("is {value}, below {other} ({min})")]
    Below {
        /// The number found.
        value: u64,
        /// The other key.
        other: &'static str,
        /// The value of the other key.
        min: u64,
    },
    /// The lease is not longer than two heartbeat intervals, so one lost heartbeat would
    /// end it.
    #[error(
        "makes the lease {lease_ms} ms, expected more than two heartbeat intervals of {beat_ms} ms"
    )]
    LeaseTooShort {
        /// The lease, in milliseconds.
        lease_ms: u64,
        /// The heartbeat interval, in milliseconds.
        beat_ms: u64,
    },
}

/// The kind of entity that a name refers to.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Display, IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Entity {
    /// An availability zone.
    Zone,
    /// An entry host.
    Host,
    /// A model.
    Model,
    /// A plain service.
    Service,
    /// An upstream.
    Upstream,
}

/// Why a file is unreadable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{0}")]
pub struct Cause(pub std::io::ErrorKind);
