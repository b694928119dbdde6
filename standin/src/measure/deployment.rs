//! The two simulated deployments: their register and their load.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use masticmoor::class::Class;
use masticmoor::ident;
use masticmoor::register;
use masticmoor::register::Register;
use masticmoor::register::upstream::Kind;
use masticmoor::register::upstream::Pool;
use masticmoor::register::upstream::Role;

/// Shares of the ten workspaces in all requests, in percent.
pub const WORKSPACES: [u32; 10] = [35, 25, 8, 6, 6, 5, 5, 4, 3, 3];

/// A deployment.
#[derive(Clone, Copy, Debug)]
pub struct Deployment {
    /// The name.
    pub name: &'static str,
    /// Number of availability zones.
    pub zones: usize,
    /// Number of entry hosts.
    pub hosts: usize,
    /// Number of model engines.
    pub engines: usize,
    /// Number of instances of the plain service.
    pub plain: usize,
    /// Number of concurrent chats.
    pub chats: u32,
    /// Minimum and maximum tokens of the first prompt of a chat.
    pub prompt: (u32, u32),
    /// Chat requests per second.
    pub chat_rate: f64,
    /// Idempotent calls of the plain service per second.
    pub lookup_rate: f64,
    /// Other calls of the plain service per second.
    pub booking_rate: f64,
    /// Capacity of an engine's prefix cache, in tokens.
    pub cache: u32,
}

/// The deployments to simulate.
pub const ALL: [Deployment; 2] = [
    Deployment {
        name: "caribbean",
        zones: 4,
        hosts: 9,
        engines: 10,
        plain: 4,
        chats: 600,
        prompt: (500, 4000),
        chat_rate: 18.0,
        lookup_rate: 60.0,
        booking_rate: 6.0,
        cache: 400_000,
    },
    Deployment {
        name: "senegal",
        zones: 3,
        hosts: 9,
        engines: 12,
        plain: 3,
        chats: 400,
        prompt: (6000, 20_000),
        chat_rate: 18.0,
        lookup_rate: 20.0,
        booking_rate: 5.0,
        cache: 700_000,
    },
];

/// Slots of an engine, warm and cold.
pub const ENGINE_SLOTS: (u32, u32) = (16, 2);

/// Slots of an instance of the plain service, warm and cold.
pub const PLAIN_SLOTS: (u32, u32) = (32, 4);

/// Returns the pool of the engines.
pub fn engines() -> Pool {
    Pool::Model("assistant".into())
}

/// Returns the pool of the plain service.
pub fn plain() -> Pool {
    Pool::Service("desk".into())
}

/// Returns the name of a zone.
pub fn zone(number: usize) -> ident::Zone {
    format!("zone-{number}").as_str().into()
}

/// Returns the register of a deployment.
pub fn register(deployment: &Deployment) -> Register {
    Register {
        zones: zones(deployment),
        hosts: hosts(deployment),
        models: ["assistant".into()].into(),
        services: [("desk".into(), service())].into(),
        upstreams: upstreams(deployment),
        ..Register::default()
    }
}

fn zones(deployment: &Deployment) -> BTreeMap<ident::Zone, register::zone::Spec> {
    let spec = |own: usize| register::zone::Spec {
        region: deployment.name.to_owned(),
        near: (1..deployment.zones)
            .map(|step| zone((own + step) % deployment.zones))
            .collect(),
    };
    (0..deployment.zones)
        .map(|own| (zone(own), spec(own)))
        .collect()
}

fn hosts(deployment: &Deployment) -> BTreeMap<ident::Host, register::host::Spec> {
    let host = |number: usize| {
        let spec = register::host::Spec {
            zone: zone(number % deployment.zones),
            peer: address(),
        };
        (format!("entry-{number}").as_str().into(), spec)
    };
    (0..deployment.hosts).map(host).collect()
}

fn service() -> register::service::Spec {
    register::service::Spec {
        prefix: "/desk".to_owned(),
        class: Class::Urgent,
        idempotent: Vec::new(),
    }
}

fn upstreams(deployment: &Deployment) -> BTreeMap<ident::Upstream, register::upstream::Spec> {
    let engine = |number: usize| {
        let kind = Kind::Engine {
            models: ["assistant".into()].into(),
            role: Role::Whole,
        };
        let name = format!("runner-{number}").as_str().into();
        (name, upstream(deployment, number, kind, ENGINE_SLOTS))
    };
    let plain = |number: usize| {
        let kind = Kind::Plain {
            service: "desk".into(),
        };
        let name = format!("desk-{number}").as_str().into();
        (name, upstream(deployment, number, kind, PLAIN_SLOTS))
    };
    let engines = (0..deployment.engines).map(engine);
    engines.chain((0..deployment.plain).map(plain)).collect()
}

fn upstream(
    deployment: &Deployment,
    number: usize,
    kind: Kind,
    slots: (u32, u32),
) -> register::upstream::Spec {
    register::upstream::Spec {
        zone: zone(number % deployment.zones),
        address: address(),
        kind,
        slots: slots.0,
        cold_slots: slots.1,
        fenced: false,
    }
}

fn address() -> SocketAddr {
    ([127, 0, 0, 1], 1).into()
}
