//! The register's specification of an availability zone.

use crate::ident;

/// The region of a zone and its fallback zones.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Spec {
    /// The region of the zone.
    pub region: String,
    /// The zones, nearest first, that take requests this zone can't serve.
    pub near: Vec<ident::Zone>,
}
