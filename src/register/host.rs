//! The register's specification of an entry host.

use std::net::SocketAddr;

use crate::ident;

/// The zone and the address of an entry host.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The availability zone of the host.
    pub zone: ident::Zone,
    /// The address for frames (TCP) and heartbeats (UDP, same port).
    pub peer: SocketAddr,
}
