//! The membership of several hosts in one process, over a network that loses
//! and delays datagrams by seed. Time is simulated; nothing sleeps.
#![allow(dead_code, reason = "each test uses only some of the helpers")]

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use masticmoor::ident;
use masticmoor::member::change::Change;
use masticmoor::member::heartbeat::Digest;
use masticmoor::member::heartbeat::Report;
use masticmoor::member::incarnation::Incarnation;
use masticmoor::member::summary::Summary;
use masticmoor::member::timing::Timing;
use masticmoor::member::view::View;
use masticmoor::register::Register;
use masticmoor::register::host;
use masticmoor::register::upstream;
use masticmoor::register::zone;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

pub const STEP: Duration = Duration::from_millis(50);
pub const TIMING: Timing = Timing {
    heartbeat: Duration::from_secs(1),
    lease: Duration::from_secs(4),
    zone_lease: Duration::from_secs(30),
};

/// Datagrams that fit into a socket's buffer; later ones are lost.
const SOCKET_BUFFER: usize = 9;

/// The longest time between two heartbeats of a host.
pub const MAX_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(1_200);

pub struct Node {
    pub view: View,
    pub report: Report,
    pub changes: Vec<(Instant, Change)>,
    next_heartbeat: Instant,
    paused_until: Instant,
    inbox: Vec<Datagram>,
}

#[derive(Clone)]
enum Datagram {
    Digest(SocketAddr, Digest),
    Summary(SocketAddr, Summary),
}

pub struct Net {
    pub now: Instant,
    pub rng: StdRng,
    pub register: Register,
    pub nodes: BTreeMap<ident::Host, Node>,
    pub loss: f64,
    pub delay: Duration,
    /// Pairs of hosts between which nothing passes, in this direction only.
    pub cut: BTreeSet<(ident::Host, ident::Host)>,
    queue: BTreeMap<(Instant, u64), (ident::Host, Datagram)>,
    sent: u64,
}

/// Returns a register of `zones` zones `a`, `b`, ... with `hosts` hosts each.
pub fn register(zones: u8, hosts: u8) -> Register {
    let mut register = Register::default();
    let names: Vec<_> = (0..zones).map(zone_name).collect();
    for (number, name) in (0..).zip(&names) {
        let near = names.iter().filter(|other| *other != name).cloned();
        let spec = zone::Spec {
            region: String::new(),
            near: near.collect(),
        };
        register.zones.insert(name.clone(), spec);
        for host in 0..hosts {
            let spec = host::Spec {
                zone: name.clone(),
                peer: SocketAddr::from(([10, 0, number, host], 7_000)),
            };
            register.hosts.insert(host_name(number, host), spec);
        }
    }
    register
}

pub fn zone_name(number: u8) -> ident::Zone {
    ident::Zone::from(char::from(b'a' + number).to_string().as_str())
}

pub fn host_name(zone: u8, host: u8) -> ident::Host {
    ident::Host::from(format!("{}-{host:02}", char::from(b'a' + zone)).as_str())
}

/// Returns `count` upstreams of a zone.
pub fn upstreams(zone: u8, count: u8) -> Vec<(ident::Upstream, upstream::Spec)> {
    let spec = upstream::Spec {
        zone: zone_name(zone),
        address: SocketAddr::from(([10, 1, zone, 0], 80)),
        kind: upstream::Kind::Plain {
            service: ident::Service::from("tickets"),
        },
        slots: 4,
        cold_slots: 1,
        fenced: false,
    };
    let name = |number| format!("{}-up-{number}", char::from(b'a' + zone));
    (0..count)
        .map(|number| (ident::Upstream::from(name(number).as_str()), spec.clone()))
        .collect()
}

impl Net {
    pub fn new(zones: u8, hosts: u8, seed: u64) -> Self {
        let mut net = Self {
            now: Instant::now(),
            rng: StdRng::seed_from_u64(seed),
            register: register(zones, hosts),
            nodes: BTreeMap::new(),
            loss: 0.0,
            delay: Duration::from_millis(20),
            cut: BTreeSet::new(),
            queue: BTreeMap::new(),
            sent: 0,
        };
        let all: Vec<_> = net.register.hosts.keys().cloned().collect();
        for host in all {
            net.start(&host);
        }
        net
    }

    /// Starts a process on a host, replacing the one that ran there.
    pub fn start(&mut self, host: &ident::Host) {
        let own = Incarnation::new(host.clone(), &mut self.rng);
        let mut view = View::new(self.now, own, TIMING);
        view.apply_register(self.now, &self.register);
        let node = Node {
            view,
            report: Report::default(),
            changes: Vec::new(),
            next_heartbeat: self.now + STEP.mul_f64(self.rng.random_range(0.0..20.0)),
            paused_until: self.now,
            inbox: Vec::new(),
        };
        self.nodes.insert(host.clone(), node);
    }

    /// Kills the process on a host; it sends no final heartbeat.
    pub fn kill(&mut self, host: &ident::Host) {
        self.nodes.remove(host);
    }

    /// Pauses a process while its socket keeps receiving.
    pub fn pause(&mut self, host: &ident::Host, time: Duration) {
        let until = self.now + time;
        self.node(host).paused_until = until;
    }

    /// Cuts the network between two sets of hosts in both directions.
    pub fn cut_between(&mut self, one: &[ident::Host], other: &[ident::Host]) {
        for (a, b) in one.iter().flat_map(|a| other.iter().map(move |b| (a, b))) {
            self.cut.insert((a.clone(), b.clone()));
            self.cut.insert((b.clone(), a.clone()));
        }
    }

    pub fn hosts_of(&self, zone: u8) -> Vec<ident::Host> {
        let zone = zone_name(zone);
        let hosts = self.register.hosts.iter();
        hosts
            .filter(|(_, spec)| spec.zone == zone)
            .map(|(host, _)| host.clone())
            .collect()
    }

    pub fn is_running(&self, host: &ident::Host) -> bool {
        self.nodes
            .get(host)
            .is_some_and(|node| node.paused_until <= self.now)
    }

    pub fn delivers(&mut self, from: &ident::Host, to: &ident::Host) -> bool {
        !self.cut.contains(&(from.clone(), to.clone())) && !self.rng.random_bool(self.loss)
    }

    pub fn run(&mut self, time: Duration) {
        self.run_with(time, |_| {});
    }

    /// Runs for `time` and calls `each` after each step.
    pub fn run_with(&mut self, time: Duration, mut each: impl FnMut(&mut Self)) {
        let end = self.now + time;
        while self.now < end {
            self.now += STEP;
            self.deliver();
            let hosts = self.nodes.keys();
            let running: Vec<_> = hosts
                .filter(|host| self.is_running(host))
                .cloned()
                .collect();
            for host in running {
                self.step(&host);
            }
            each(self);
        }
    }

    /// Returns the hosts that would admit requests for an upstream as its home
    /// now.
    pub fn homes(&self, name: &ident::Upstream, spec: &upstream::Spec) -> Vec<ident::Host> {
        self.nodes
            .iter()
            .filter(|(host, node)| {
                self.is_running(host)
                    && node.view.admits(self.now)
                    && node.view.home(name, spec) == Some(*host)
            })
            .map(|(host, _)| host.clone())
            .collect()
    }

    pub fn live(&self, host: &ident::Host, zone: u8) -> Vec<ident::Host> {
        let view = &self.nodes.get(host).expect("the host runs").view;
        view.live(&zone_name(zone)).cloned().collect()
    }

    fn node(&mut self, host: &ident::Host) -> &mut Node {
        self.nodes.get_mut(host).expect("the host runs")
    }

    fn deliver(&mut self) {
        while let Some(entry) = self.queue.first_entry() {
            if entry.key().0 > self.now {
                break;
            }
            let (to, datagram) = entry.remove();
            match self.nodes.get_mut(&to) {
                Some(node) if node.inbox.len() < SOCKET_BUFFER => node.inbox.push(datagram),
                _ => {}
            }
        }
    }

    fn step(&mut self, host: &ident::Host) {
        let now = self.now;
        let node = self.node(host);
        node.view.set_config(node.report.config);
        let mut changes = node.view.tick(now);
        for datagram in std::mem::take(&mut node.inbox) {
            changes.extend(match datagram {
                Datagram::Digest(from, digest) => node.view.receive(now, from, &digest),
                Datagram::Summary(from, summary) => node.view.receive_summary(now, from, &summary),
            });
        }
        let health_changed = changes
            .iter()
            .any(|change| matches!(change, Change::Standing { .. }));
        let due = health_changed || node.next_heartbeat <= now;
        node.changes
            .extend(changes.into_iter().map(|change| (now, change)));
        if due {
            self.send_heartbeat(host);
        }
    }

    fn send_heartbeat(&mut self, host: &ident::Host) {
        let node = self.nodes.get_mut(host).expect("the host runs");
        node.next_heartbeat = self.now + node.view.timing().next_interval(&mut self.rng);
        let digest = node.view.digest(&node.report);
        let summary = node.view.summary(&node.report);
        let from = self
            .register
            .hosts
            .get(host)
            .expect("the register lists it")
            .peer;
        let mut sends: Vec<_> = node
            .view
            .heartbeat_targets()
            .map(|to| (to, Datagram::Digest(from, digest.clone())))
            .collect();
        for (zone, summary) in node
            .view
            .remote_zones()
            .zip(std::iter::repeat(summary).flatten())
        {
            let targets = node.view.summary_targets(zone).into_iter();
            sends.extend(targets.map(|to| (to, Datagram::Summary(from, summary.clone()))));
        }
        for (to, datagram) in sends {
            self.send(host, to, datagram);
        }
    }

    fn send(&mut self, from: &ident::Host, to: SocketAddr, datagram: Datagram) {
        let hosts = self.register.hosts.iter();
        let to = hosts
            .filter(|(_, spec)| spec.peer == to)
            .map(|(host, _)| host.clone())
            .next()
            .expect("the register lists it");
        if self.delivers(from, &to) {
            let delay = self.delay.mul_f64(self.rng.random_range(0.0..=1.0));
            self.sent += 1;
            self.queue
                .insert((self.now + delay, self.sent), (to, datagram));
        }
    }
}
