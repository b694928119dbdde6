//! The identity and addresses of a host.

use std::net::SocketAddr;

use crate::border::settings as border;
use crate::ident;

/// The identity of a host and the addresses at which it listens.
#[derive(Clone, Debug, PartialEq)]
pub struct Host {
    /// The name of the host, as listed in the register.
    pub name: ident::Host,
    /// The availability zone of the host.
    pub zone: ident::Zone,
    /// The address for requests of callers.
    pub caller: SocketAddr,
    /// The address for frames (TCP) and heartbeats (UDP) of peers.
    pub peer: SocketAddr,
    /// The address for operators: status, metrics and readiness.
    pub operator: SocketAddr,
}

impl From<border::Host> for Host {
    fn from(from: border::Host) -> Self {
        Self {
            name: from.name.as_str().into(),
            zone: from.zone.as_str().into(),
            caller: *from.caller,
            peer: *from.peer,
            operator: *from.operator,
        }
    }
}
