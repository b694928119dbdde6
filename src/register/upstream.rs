//! The register's specification of an upstream.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use serde::Deserialize;
use serde::Serialize;
use strum::Display;
use strum::EnumString;

use crate::ident;

/// The address, kind and capacity of an upstream.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The availability zone of the upstream.
    pub zone: ident::Zone,
    /// The address for HTTP requests.
    pub address: SocketAddr,
    /// What the upstream serves.
    pub kind: Kind,
    /// The maximum number of concurrent requests when warm.
    pub slots: u32,
    /// The maximum number of concurrent requests when cold.
    pub cold_slots: u32,
    /// Whether it refuses requests that carry an outdated fencing number.
    pub fenced: bool,
}

/// What an upstream serves.
#[derive(Clone, Debug, PartialEq)]
pub enum Kind {
    /// A model engine.
    Engine {
        /// The models that the engine serves.
        models: BTreeSet<ident::Model>,
        /// The role of the engine.
        role: Role,
    },
    /// An instance of a plain service.
    Plain {
        /// The service.
        service: ident::Service,
    },
}

/// The role of an engine.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize, Display, EnumString,
)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Role {
    /// Runs whole requests.
    #[default]
    Whole,
    /// Held in reserve and gets no requests.
    Reserve,
}

impl Spec {
    /// Returns whether the upstream serves requests of a pool.
    pub fn serves(&self, pool: &Pool) -> bool {
        match (&self.kind, pool) {
            (Kind::Engine { models, role }, Pool::Model(model)) => {
                *role == Role::Whole && models.contains(model)
            }
            (Kind::Plain { service }, Pool::Service(wanted)) => service == wanted,
            _ => false,
        }
    }
}

/// A set of interchangeable upstreams, named by what they serve.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Pool {
    /// All engines of a model.
    Model(ident::Model),
    /// All instances of a plain service.
    Service(ident::Service),
}
