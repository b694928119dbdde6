//! The kinds of fault, each with what is needed to mend it.

use strum::Display;
use strum::IntoStaticStr;
use strum::VariantNames;

/// What is wrong.
#[derive(Clone, Debug, PartialEq, PartialOrd, IntoStaticStr, VariantNames, thiserror::Error)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// The file can't be read.
    #[error("can't be read: {cause}")]
    Unreadable {
        /// The system's error.
        cause: Cause,
    },
    /// The value is longer than the platform keeps.
    #[error("is {bytes} bytes long, the most is {most}")]
    ValueTooLong {
        /// Its length.
        bytes: usize,
        /// The most that is allowed.
        most: usize,
    },
    /// The text is not TOML.
    #[error("is not TOML: {message}")]
    Syntax {
        /// The parser's message.
        message: String,
    },
    /// The text does not fit the generated types, though the checks passed.
    #[error("has another form: {message}")]
    Form {
        /// What the types say.
        message: String,
    },
    /// No such key.
    #[error("is not a known key")]
    UnknownKey,
    /// A key that must be there is not.
    #[error("is missing")]
    MissingKey,
    /// A value of another type is wanted.
    #[error("is {found}, wanted is {wanted}")]
    WrongType {
        /// The type found.
        found: &'static str,
        /// The type wanted.
        wanted: &'static str,
    },
    /// The number is too small or too great.
    #[error("is {value}, accepted is {least} to {most}")]
    OutOfRange {
        /// The number found.
        value: f64,
        /// The least number accepted.
        least: f64,
        /// The greatest number accepted.
        most: f64,
    },
    /// The list or text must not be empty.
    #[error("is empty")]
    Empty,
    /// The text is not one of a few.
    #[error("is {value:?}, accepted are: {}", accepted.join(", "))]
    NotOneOf {
        /// The text found.
        value: String,
        /// The texts accepted.
        accepted: Vec<String>,
    },
    /// Not an IP number and a port.
    #[error("is {value:?}, wanted is an IP number and a port such as 10.0.0.1:7000")]
    BadAddress {
        /// The text found.
        value: String,
    },
    /// Not a name.
    #[error("is {value:?}, wanted is a name of 1 to {most} visible ASCII characters")]
    BadName {
        /// The text found.
        value: String,
        /// The most characters.
        most: usize,
    },
    /// Not a path.
    #[error("is {value:?}, wanted is a path such as /tickets")]
    BadPath {
        /// The text found.
        value: String,
    },
    /// The path is not below the prefix of its service.
    #[error("is {value:?}, outside of the prefix {prefix:?}")]
    PathOutside {
        /// The path found.
        value: String,
        /// The prefix of the service.
        prefix: String,
    },
    /// The same name, address or prefix again.
    #[error("{value:?} is there already, at line {first_line}")]
    Duplicate {
        /// What is there twice.
        value: String,
        /// The line of the first.
        first_line: usize,
    },
    /// A reference to something that is not listed.
    #[error("{name:?} is not listed")]
    NotListed {
        /// What the name should stand for.
        what: Entity,
        /// The name.
        name: String,
    },
    /// The register lists the host in another zone.
    #[error("differs from the register, which says {listed:?}")]
    OtherZone {
        /// The zone that the register gives.
        listed: String,
    },
    /// A zone is named as near to itself.
    #[error("names the zone itself")]
    NearItself,
    /// An upstream is neither an engine nor an instance of a service.
    #[error("serves nothing: give it either engine or service")]
    ServesNothing,
    /// An upstream is both an engine and an instance of a service.
    #[error("serves two things: give it either engine or service")]
    ServesTwo,
    /// Neither the platform nor a peer is named, so no register can be had.
    #[error("names no source of a register: give platform addresses or peer seeds")]
    NoSource,
    /// The value contradicts another, which is the most it can be.
    #[error("is {value}, above {other} ({most})")]
    Above {
        /// The number found.
        value: u64,
        /// The other key.
        other: &'static str,
        /// The other number.
        most: u64,
    },
    /// The value contradicts another, which is the least it can be.
    #[error("is {value}, below {other} ({least})")]
    Below {
        /// The number found.
        value: u64,
        /// The other key.
        other: &'static str,
        /// The other number.
        least: u64,
    },
    /// A lease of two heartbeats or less: one lost would end it.
    #[error("makes a lease of {lease_ms} ms, wanted is more than two heartbeats of {beat_ms} ms")]
    LeaseTooShort {
        /// The lease, in milliseconds.
        lease_ms: u64,
        /// The time between heartbeats, in milliseconds.
        beat_ms: u64,
    },
}

/// What a name stands for.
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

/// Why a file can't be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, thiserror::Error)]
#[error("{0}")]
pub struct Cause(pub std::io::ErrorKind);
