//! Converts the generated schema types into the register's own types. The input
//! has passed all checks.

use crate::border::register as border;
use crate::border::workspaces;
use crate::class::Class;
use crate::ident;
use crate::register::Register;
use crate::register::host;
use crate::register::service;
use crate::register::upstream;
use crate::register::workspace;
use crate::register::zone;
use crate::revision::Revision;

impl From<border::Register> for Register {
    fn from(from: border::Register) -> Self {
        Self {
            revision: Revision(from.revision.get()),
            zones: from.zone.iter().map(zone).collect(),
            hosts: from.host.iter().map(host).collect(),
            models: from
                .model
                .iter()
                .map(|model| model.name.as_str().into())
                .collect(),
            services: from.service.iter().map(service).collect(),
            upstreams: from.upstream.iter().map(upstream).collect(),
            workspaces: from
                .workspace
                .iter()
                .map(|from| workspace(&from.name, from.weight.get()))
                .collect(),
            workspace_parts: from.workspace_parts.unwrap_or_default(),
        }
    }
}

impl From<workspaces::Workspaces> for workspace::Part {
    fn from(from: workspaces::Workspaces) -> Self {
        let listed = from.workspace.iter();
        Self {
            revision: Revision(from.revision.get()),
            workspaces: listed
                .map(|from| workspace(&from.name, from.weight.get()))
                .collect(),
        }
    }
}

fn zone(from: &border::Zone) -> (ident::Zone, zone::Spec) {
    let spec = zone::Spec {
        region: from.region.to_string(),
        near: from.near.iter().map(|name| name.as_str().into()).collect(),
    };
    (from.name.as_str().into(), spec)
}

fn host(from: &border::Host) -> (ident::Host, host::Spec) {
    let spec = host::Spec {
        zone: from.zone.as_str().into(),
        peer: *from.peer,
    };
    (from.name.as_str().into(), spec)
}

fn service(from: &border::Service) -> (ident::Service, service::Spec) {
    let spec = service::Spec {
        prefix: from.prefix.to_string(),
        class: from.class.map(class).unwrap_or_default(),
        idempotent: from.idempotent.iter().map(call).collect(),
    };
    (from.name.as_str().into(), spec)
}

fn class(from: border::Class) -> Class {
    match from {
        border::Class::Urgent => Class::Urgent,
        border::Class::Interactive => Class::Interactive,
        border::Class::Batch => Class::Batch,
    }
}

fn call(from: &border::Call) -> service::Call {
    service::Call {
        method: from.method.to_string(),
        path: from.path.to_string(),
    }
}

fn upstream(from: &border::Upstream) -> (ident::Upstream, upstream::Spec) {
    let spec = upstream::Spec {
        zone: from.zone.as_str().into(),
        address: *from.address,
        kind: kind(from),
        slots: from.slots.get(),
        cold_slots: from.cold_slots.get(),
        fenced: from.fenced.unwrap_or_default(),
    };
    (from.name.as_str().into(), spec)
}

fn kind(from: &border::Upstream) -> upstream::Kind {
    match (&from.engine, &from.service) {
        (None, Some(service)) => upstream::Kind::Plain {
            service: service.as_str().into(),
        },
        (engine, _) => upstream::Kind::Engine {
            models: engine.iter().flat_map(models).collect(),
            role: engine
                .as_ref()
                .and_then(|engine| engine.role)
                .map(role)
                .unwrap_or_default(),
        },
    }
}

fn models(from: &border::Engine) -> impl Iterator<Item = ident::Model> {
    from.models.iter().map(|name| name.as_str().into())
}

fn role(from: border::Role) -> upstream::Role {
    match from {
        border::Role::Whole => upstream::Role::Whole,
        border::Role::Reserve => upstream::Role::Reserve,
    }
}

fn workspace(name: &str, weight: u32) -> (ident::Workspace, workspace::Spec) {
    (name.into(), workspace::Spec { weight })
}
