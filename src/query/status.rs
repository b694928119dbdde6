//! The status of a host, as plain data.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;
use strum::IntoStaticStr;

use crate::ident;
use crate::meter;
use crate::register::upstream::Pool;
use crate::revision::Revision;
use crate::token;

/// Everything that a host shows to operators.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host itself.
    pub host: Host,
    /// The register in force.
    pub register: Config,
    /// The rules in force.
    pub rules: Config,
    /// The hosts, as this one sees them.
    pub members: Vec<Member>,
    /// The upstreams, as this host sees them.
    pub upstreams: Vec<Upstream>,
    /// What became of the tokens of this host.
    pub tokens: token::Counters,
    /// What its table of tokens holds.
    pub ledger: token::Size,
    /// What it measured.
    pub meter: meter::Snapshot,
}

/// The host that is asked.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: ident::Host,
    /// Its availability zone.
    pub zone: ident::Zone,
    /// Its incarnation, in hexadecimal digits.
    pub incarnation: String,
    /// What it is about.
    pub stage: Stage,
    /// For how long it has run, in milliseconds.
    pub age_ms: u64,
}

/// What a host is about.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Stage {
    /// It has no register to go by yet.
    Starting,
    /// It serves.
    Serving,
    /// It finishes what it has and takes nothing new.
    Draining,
}

/// A published value in force, the register or the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// Its revision.
    pub revision: Revision,
    /// For how long it has been in force, in milliseconds.
    pub age_ms: u64,
    /// How long ago the platform was last heard, in milliseconds.
    pub heard_ms: Option<u64>,
    /// The latest revision that was not taken.
    pub rejected: Option<Rejection>,
    /// How many hosts have which revision in force, this one included.
    pub spread: Vec<Spread>,
}

/// A published value that was not taken.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// Its revision.
    pub revision: Revision,
    /// Why, in the words of the check.
    pub cause: String,
}

/// A revision in force on some hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// The revision.
    pub revision: Revision,
    /// How many hosts have it.
    pub hosts: u32,
}

/// Another host, as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub host: ident::Host,
    /// Its availability zone.
    pub zone: ident::Zone,
    /// Whether it is there.
    pub presence: Presence,
    /// Its incarnation, in hexadecimal digits.
    pub incarnation: Option<String>,
    /// How long ago it was last heard, in milliseconds.
    pub heard_ms: Option<u64>,
    /// The register that it has in force.
    pub register: Revision,
    /// The rules that it has in force.
    pub rules: Revision,
}

/// Whether a host is there.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Presence {
    /// Its heartbeats come.
    Live,
    /// Its heartbeats are late.
    Suspect,
    /// It said that it leaves, or the platform lists it so.
    Leaving,
    /// Nothing is heard of it.
    Silent,
}

/// An upstream, as this host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: ident::Upstream,
    /// Its availability zone.
    pub zone: ident::Zone,
    /// What it serves.
    pub pools: Vec<Pool>,
    /// The host that alone dispatches to it.
    pub home: Option<ident::Host>,
    /// How it is.
    pub health: Health,
    /// The requests that it runs.
    pub running: u32,
    /// The most that it may run now.
    pub limit: u32,
    /// The requests that wait for it.
    pub queued: u32,
    /// For how long it has been so, in milliseconds.
    pub age_ms: u64,
}

/// How an upstream is.
#[derive(
    Clone,
    Copy,
    Debug,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    IntoStaticStr,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Health {
    /// It takes its full share.
    Warm,
    /// It is in cold start and takes a small share.
    Cold,
    /// Its zone is draining.
    Draining,
    /// It leaves.
    Leaving,
    /// It does not answer.
    Down,
    /// Nothing is known of it yet.
    Unseen,
}

impl Config {
    /// Counts hosts by the revision that they have in force.
    pub fn spread(revisions: impl IntoIterator<Item = Revision>) -> Vec<Spread> {
        let mut counts: BTreeMap<Revision, u32> = BTreeMap::new();
        for revision in revisions {
            *counts.entry(revision).or_default() += 1;
        }
        counts
            .into_iter()
            .map(|(revision, hosts)| Spread { revision, hosts })
            .collect()
    }
}
