//! The register's specification of a workspace.

use std::collections::BTreeMap;

use crate::ident;
use crate::revision::Revision;

/// The default weight of a workspace that the register doesn't list.
pub const DEFAULT_WEIGHT: u32 = 1;

/// The weight of a workspace.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// Its share relative to other workspaces when capacity is short.
    pub weight: u32,
}

/// One part of the list of workspaces, published as a separate value.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Part {
    /// The revision of the register that the part belongs to.
    pub revision: Revision,
    /// The workspaces in this part.
    pub workspaces: BTreeMap<ident::Workspace, Spec>,
}
