//! The status of a host as plain data, serialized for operators.

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

/// The status of a host.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Status {
    /// The host itself.
    pub host: Host,
    /// The applied register.
    pub register: Config,
    /// The applied rules.
    pub rules: Config,
    /// The other hosts, as this host sees them.
    pub members: Vec<Member>,
    /// The upstreams, as this host sees them.
    pub upstreams: Vec<Upstream>,
    /// Counters of the tokens that this host issued.
    pub tokens: token::Counters,
    /// The current size of its token ledger.
    pub ledger: token::Size,
    /// Its measurements.
    pub meter: meter::Snapshot,
}

/// The identity and state of the host itself.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Host {
    /// Its name.
    pub name: ident::Host,
    /// Its availability zone.
    pub zone: ident::Zone,
    /// Its incarnation, in hexadecimal digits.
    pub incarnation: String,
    /// The stage of its lifecycle.
    pub stage: Stage,
    /// The time since it started, in milliseconds.
    pub age_ms: u64,
}

/// The stage of a host's lifecycle.
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
    /// The host has not received a register yet.
    Starting,
    /// The host serves requests.
    Serving,
    /// The host completes its requests and accepts no new ones.
    Draining,
}

/// The state of a published value: the register or the rules.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Config {
    /// The applied revision.
    pub revision: Revision,
    /// The time since it was applied, in milliseconds.
    pub age_ms: u64,
    /// The time since the last response of the platform, in milliseconds.
    pub heard_ms: Option<u64>,
    /// The latest revision that was rejected.
    pub rejected: Option<Rejection>,
    /// The number of hosts by applied revision, including this one.
    pub spread: Vec<Spread>,
}

/// A published value that was rejected.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Rejection {
    /// The rejected revision.
    pub revision: Revision,
    /// The message of the check that failed.
    pub cause: String,
}

/// The number of hosts that have applied a revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Spread {
    /// The revision.
    pub revision: Revision,
    /// The number of hosts.
    pub hosts: u32,
}

/// Another host, as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Member {
    /// Its name.
    pub host: ident::Host,
    /// Its availability zone.
    pub zone: ident::Zone,
    /// Whether the host is present.
    pub presence: Presence,
    /// Its incarnation, in hexadecimal digits.
    pub incarnation: Option<String>,
    /// The time since its last heartbeat, in milliseconds.
    pub heard_ms: Option<u64>,
    /// The revision of the register that it has applied.
    pub register: Revision,
    /// The revision of the rules that it has applied.
    pub rules: Revision,
}

/// Whether a host is present.
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
    /// Its heartbeats arrive.
    Live,
    /// Its heartbeats are overdue.
    Suspect,
    /// It announced its shutdown, or the platform lists it as leaving.
    Leaving,
    /// No heartbeat arrives from it.
    Silent,
}

/// An upstream, as this host sees it.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Upstream {
    /// Its name.
    pub name: ident::Upstream,
    /// Its availability zone.
    pub zone: ident::Zone,
    /// The models or services that it serves.
    pub pools: Vec<Pool>,
    /// The host that exclusively dispatches requests to it.
    pub home: Option<ident::Host>,
    /// Its health.
    pub health: Health,
    /// The number of requests that it runs.
    pub running: u32,
    /// The current limit of concurrent requests.
    pub limit: u32,
    /// The number of requests queued for it.
    pub queued: u32,
    /// The time since its health last changed, in milliseconds.
    pub age_ms: u64,
}

/// The health of an upstream.
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
    /// It gets its full share of requests.
    Warm,
    /// It is in cold start and gets a small share of requests.
    Cold,
    /// Its zone is draining.
    Draining,
    /// It is leaving.
    Leaving,
    /// It does not respond.
    Down,
    /// Its health is not known yet.
    Unseen,
}

impl Config {
    /// Counts hosts by the revision that they have applied.
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
