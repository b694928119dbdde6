//! The register: the zones, hosts, models, services, upstreams and workspaces
//! that operators publish, in checked form.

pub mod host;
pub mod parse;
pub mod service;
pub mod upstream;
pub mod workspace;
pub mod zone;

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ident;
use crate::revision::Revision;

/// A checked register, by name. All references between its items are valid.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Register {
    /// The revision of the published value.
    pub revision: Revision,
    /// The availability zones.
    pub zones: BTreeMap<ident::Zone, zone::Spec>,
    /// The entry hosts.
    pub hosts: BTreeMap<ident::Host, host::Spec>,
    /// The models that callers may request.
    pub models: BTreeSet<ident::Model>,
    /// The plain services.
    pub services: BTreeMap<ident::Service, service::Spec>,
    /// The upstreams: model engines and instances of plain services.
    pub upstreams: BTreeMap<ident::Upstream, upstream::Spec>,
    /// The workspaces that are listed with a weight.
    pub workspaces: BTreeMap<ident::Workspace, workspace::Spec>,
    /// The number of further published values that list workspaces, since one
    /// value has no room for all.
    pub workspace_parts: u32,
}

impl Register {
    /// Returns the weight of a workspace, which is the default weight if the
    /// workspace is not listed.
    pub fn weight(&self, workspace: &ident::Workspace) -> u32 {
        self.workspaces
            .get(workspace)
            .map_or(workspace::DEFAULT_WEIGHT, |spec| spec.weight)
    }
}
