//! The composition of a test fleet, and the register, rules and settings that
//! describe it.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::fmt::Write;
use std::net::SocketAddr;
use std::time::Duration;

use masticmoor::options;
use masticmoor::options::Options;

use crate::engine;
use crate::fleet::host::Addresses;
use crate::fleet::host::BoundSockets;
use crate::plain;
use crate::platform::hosts;

/// The composition of a fleet.
#[derive(Clone, Debug)]
pub struct Shape {
    /// The revision of the register.
    pub revision: u64,
    /// The zones, each with its nearby zones for overflow.
    pub zones: BTreeMap<String, Vec<String>>,
    /// The entry hosts.
    pub hosts: BTreeMap<String, Host>,
    /// The upstreams.
    pub upstreams: BTreeMap<String, Upstream>,
    /// The listed workspaces and their weights.
    pub workspaces: BTreeMap<String, u32>,
    /// The rules.
    pub rules: Rules,
    /// The addresses of the platform's replicas.
    pub platform: Vec<SocketAddr>,
    /// The number of published parts of the list of workspaces, in addition to
    /// the one in the register.
    pub workspace_parts: u32,
    /// Whether every host has all others as seeds.
    pub seeds: bool,
    /// A change that is made to the settings of every host.
    pub tune: fn(&mut Options),
}

/// An entry host.
#[derive(Clone, Debug)]
pub struct Host {
    /// The zone of the host.
    pub zone: String,
    /// Its addresses.
    pub addresses: Addresses,
}

/// An upstream.
#[derive(Clone, Debug)]
pub struct Upstream {
    /// The zone of the upstream.
    pub zone: String,
    /// Its kind and the options of its stand-in.
    pub kind: Kind,
    /// The number of requests it runs concurrently when warm.
    pub slots: u32,
    /// The number of requests it can run concurrently when cold.
    pub cold_slots: u32,
    /// Its address, once it has been started.
    pub address: Option<SocketAddr>,
}

/// The kind of an upstream.
#[derive(Clone, Debug)]
pub enum Kind {
    /// An engine.
    Engine(engine::Options),
    /// An instance of the ticket service.
    Plain(plain::Options),
}

/// The rules.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The revision of the rules.
    pub revision: u64,
    /// The drained zones.
    pub draining: BTreeSet<String>,
    /// The upstreams that are leaving.
    pub leaving: BTreeSet<String>,
    /// The restarted upstreams, each with the number of its start.
    pub started: BTreeMap<String, u64>,
    /// The maximum load of an upstream, as a multiple of the mean.
    pub multiple: f64,
    /// The load that is allowed whatever the mean.
    pub floor: u32,
}

impl Default for Rules {
    fn default() -> Self {
        Self {
            revision: 1,
            draining: BTreeSet::new(),
            leaving: BTreeSet::new(),
            started: BTreeMap::new(),
            multiple: 1.5,
            floor: 4,
        }
    }
}

impl Default for Shape {
    fn default() -> Self {
        Self {
            revision: 1,
            zones: BTreeMap::new(),
            hosts: BTreeMap::new(),
            upstreams: BTreeMap::new(),
            workspaces: BTreeMap::new(),
            rules: Rules::default(),
            platform: Vec::new(),
            workspace_parts: 0,
            seeds: false,
            tune: |_| {},
        }
    }
}

impl Shape {
    /// Returns identical zones, each with `hosts` entry hosts, `engines` engines
    /// and `plains` instances of the ticket service. Zone `z1` has the hosts `z1-h1`
    /// and so on, the engines `z1-e1` and the ticket services `z1-t1`.
    pub fn zones(zones: usize, hosts: usize, engines: usize, plains: usize) -> Self {
        let mut shape = Self::default();
        let names: Vec<String> = (1..=zones).map(|zone| format!("z{zone}")).collect();
        for zone in &names {
            let near = names.iter().filter(|other| *other != zone).cloned();
            shape.zones.insert(zone.clone(), near.collect());
            for host in 1..=hosts {
                shape.hosts.insert(
                    format!("{zone}-h{host}"),
                    Host {
                        zone: zone.clone(),
                        addresses: Addresses::default(),
                    },
                );
            }
            for at in 1..=engines {
                let options = engine::Options::default();
                let upstream = Upstream::new(zone, Kind::Engine(options));
                shape.upstreams.insert(format!("{zone}-e{at}"), upstream);
            }
            for at in 1..=plains {
                let upstream = Upstream::new(zone, Kind::Plain(plain::Options::default()));
                shape.upstreams.insert(format!("{zone}-t{at}"), upstream);
            }
        }
        shape
    }

    /// Sets a lease of 2 s, which does not expire on a busy machine, and a
    /// first-byte timeout longer than any test.
    pub fn with_long_timeouts(mut self) -> Self {
        self.tune = |options| {
            options.peer.lease = Duration::from_secs(2);
            options.upstream.first_byte = Duration::from_secs(30);
        };
        self
    }

    /// Makes all upstreams warm from their start.
    pub fn warm(mut self) -> Self {
        for upstream in self.upstreams.values_mut() {
            upstream.cold_slots = upstream.slots;
            if let Kind::Engine(options) = &mut upstream.kind {
                options.warm_after = 0;
            }
        }
        self
    }

    /// Returns the settings of a host, with short heartbeats and leases to keep
    /// tests short.
    pub fn options(&self, name: &str, bound: &BoundSockets) -> Options {
        let zone = self.hosts.get(name).map(|host| host.zone.as_str());
        let mut options = Options::new(options::Host {
            name: name.into(),
            zone: zone.unwrap_or_default().into(),
            caller: bound.addresses.caller,
            peer: bound.addresses.peer,
            operator: bound.addresses.operator,
        });
        options.platform.addresses = self.platform.clone();
        options.platform.calls_per_second = 50.0;
        if self.seeds {
            let others = self.hosts.iter().filter(|(other, _)| *other != name);
            options.peer.seeds = others.map(|(_, spec)| spec.addresses.peer).collect();
        }
        options.peer.beat = Duration::from_millis(100);
        options.peer.lease = Duration::from_millis(600);
        options.peer.ping = Duration::from_millis(400);
        options.peer.ping_timeout = Duration::from_millis(400);
        options.upstream.first_byte = Duration::from_secs(5);
        (self.tune)(&mut options);
        options
    }

    /// Returns the register in its published form.
    pub fn register(&self) -> String {
        let (revision, parts) = (self.revision, self.workspace_parts);
        let mut text = format!("revision = {revision}\nworkspace_parts = {parts}\n");
        for (zone, near) in &self.zones {
            append(
                &mut text,
                format_args!("[[zone]]\nname = {zone:?}\nregion = \"south\"\nnear = {near:?}\n"),
            );
        }
        for (name, host) in &self.hosts {
            let (zone, peer) = (&host.zone, host.addresses.peer);
            append(
                &mut text,
                format_args!("[[host]]\nname = {name:?}\nzone = {zone:?}\npeer = \"{peer}\"\n"),
            );
        }
        text.push_str("[[model]]\nname = \"assistant\"\n");
        text.push_str(
            "[[service]]\nname = \"tickets\"\nprefix = \"/tickets\"\nclass = \"urgent\"\n",
        );
        text.push_str("idempotent = [{ method = \"GET\", path = \"/tickets\" }]\n");
        for (name, upstream) in &self.upstreams {
            text.push_str(&upstream.to_toml(name));
        }
        for (name, weight) in &self.workspaces {
            append(
                &mut text,
                format_args!("[[workspace]]\nname = {name:?}\nweight = {weight}\n"),
            );
        }
        text
    }

    /// Returns the rules in their published form.
    pub fn rules(&self) -> String {
        let rules = &self.rules;
        let mut text = format!(
            "revision = {}\ndraining = {:?}\nleaving = {:?}\n",
            rules.revision,
            rules.draining.iter().collect::<Vec<_>>(),
            rules.leaving.iter().collect::<Vec<_>>(),
        );
        for (upstream, round) in &rules.started {
            append(
                &mut text,
                format_args!("[[started]]\nupstream = {upstream:?}\nround = {round}\n"),
            );
        }
        let (multiple, floor) = (rules.multiple, rules.floor);
        append(
            &mut text,
            format_args!("[load]\nmultiple = {multiple:?}\nfloor = {floor}\n"),
        );
        text
    }

    /// Returns the platform's list of hosts, with all of them live.
    pub fn host_list(&self) -> Vec<hosts::Host> {
        let names = self.hosts.keys();
        names
            .map(|name| hosts::Host {
                host: name.clone(),
                state: hosts::State::Live,
            })
            .collect()
    }
}

impl Upstream {
    /// Returns an upstream of a zone with 8 slots, 2 of them when cold.
    pub fn new(zone: &str, kind: Kind) -> Self {
        Self {
            zone: zone.to_owned(),
            kind,
            slots: 8,
            cold_slots: 2,
            address: None,
        }
    }

    fn to_toml(&self, name: &str) -> String {
        let (zone, slots, cold_slots) = (&self.zone, self.slots, self.cold_slots);
        let address = self.address.map(|address| address.to_string());
        let address = address.unwrap_or_default();
        let serves = match self.kind {
            Kind::Engine(_) => "engine = { models = [\"assistant\"] }",
            Kind::Plain(_) => "service = \"tickets\"",
        };
        format!(
            "[[upstream]]\nname = {name:?}\nzone = {zone:?}\naddress = \"{address}\"\n\
             slots = {slots}\ncold_slots = {cold_slots}\n{serves}\n"
        )
    }
}

fn append(text: &mut String, line: std::fmt::Arguments<'_>) {
    // Writing to a `String` cannot fail.
    let _ = text.write_fmt(line);
}
