//! The configuration side of each host of a [`Net`], and a platform with two
//! replicas that may be down, stale, or differ.

use std::collections::BTreeMap;
use std::time::Duration;

use masticmoor::config::key::Key;
use masticmoor::config::pull::Pull;
use masticmoor::config::startup::Gate;
use masticmoor::config::store::Adoption;
use masticmoor::config::store::Store;
use masticmoor::config::version::Version;
use masticmoor::config::watch::Call;
use masticmoor::config::watch::Completion;
use masticmoor::config::watch::Role;
use masticmoor::config::watch::Watch;
use masticmoor::ident;
use masticmoor::member::config_state::ConfigState;
use masticmoor::options::constants::PLATFORM_WATCH;
use masticmoor::revision::Revision;
use tokio::time::Instant;

use super::net::Net;

pub const KEYS: [Key; 3] = [Key::Register, Key::Rules, Key::Workspaces(0)];

/// How long a starting host waits for its peers.
pub const GATE_WAIT: Duration = Duration::from_millis(2_500);

#[derive(Debug, thiserror::Error)]
pub enum Unfit {
    #[error("invalid")]
    Invalid,
    #[error("refers to register {needs}")]
    Dangling { needs: u64 },
}

/// Makes a text; rules may refer to a revision of the register.
pub fn text(revision: u64, needs: u64, body: &str) -> String {
    format!("revision = {revision}\nneeds = {needs}\nbody = {body:?}\n")
}

fn number(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

pub fn check(text: &str, register: Revision) -> Result<Revision, Unfit> {
    let needs = number(text, "needs").unwrap_or_default();
    match number(text, "revision") {
        _ if needs > register.0 => Err(Unfit::Dangling { needs }),
        Some(revision) if !text.contains("invalid") => Ok(Revision(revision)),
        _ => Err(Unfit::Invalid),
    }
}

pub struct Config {
    pub store: Store,
    pub gate: Gate,
    pull: Pull,
    watches: BTreeMap<Key, Client>,
}

/// The calls for one key, and the replica to turn to next.
struct Client {
    watch: Watch,
    open: Option<Open>,
    turn: usize,
}

/// A watch that waits at a replica.
#[derive(Clone, Copy)]
struct Open {
    replica: usize,
    after: Revision,
    until: Instant,
}

#[derive(Default)]
pub struct Fleet {
    pub configs: BTreeMap<ident::Host, Config>,
    pub replicas: [BTreeMap<Key, String>; 2],
    /// The replicas that the hosts of a zone reach; both if not listed.
    pub reach: BTreeMap<ident::Zone, Vec<usize>>,
    pub down: bool,
    pub acted: BTreeMap<(ident::Host, Key), Version>,
}

impl Fleet {
    pub fn publish(&mut self, replicas: &[usize], key: Key, text: &str) {
        for replica in replicas {
            self.replicas[*replica].insert(key, text.to_owned());
        }
    }

    /// Begins anew at a host, as with a new process.
    pub fn start(&mut self, net: &Net, host: &ident::Host) {
        let client = |key| {
            let client = Client {
                watch: Watch::new(net.now, PLATFORM_WATCH),
                open: None,
                turn: 0,
            };
            (key, client)
        };
        let config = Config {
            store: Store::new(net.now),
            gate: Gate::new(net.now, GATE_WAIT),
            pull: Pull::default(),
            watches: KEYS.map(client).into(),
        };
        self.configs.insert(host.clone(), config);
    }

    /// Lets all watches begin anew at one replica.
    pub fn turn_to(&mut self, replica: usize) {
        let configs = self.configs.values_mut();
        for client in configs.flat_map(|config| config.watches.values_mut()) {
            client.open = None;
            client.turn = replica;
        }
    }

    /// One step of all hosts. What a host acts on must never go back, not
    /// even from one process to the next.
    pub fn step(&mut self, net: &mut Net) {
        let hosts: Vec<_> = net.nodes.keys().cloned().collect();
        for host in hosts
            .into_iter()
            .filter(|host| net.is_awake(host))
            .collect::<Vec<_>>()
        {
            if !self.configs.contains_key(&host) {
                self.start(net, &host);
            }
            for key in KEYS {
                self.call(net, &host, key);
            }
            self.pull(net, &host);
            let config = self.configs.get_mut(&host).expect("it runs");
            let node = net.nodes.get_mut(&host).expect("it runs");
            let held = config.store.config_state();
            node.report.config = held;
            let peers: Vec<ConfigState> =
                node.view.config_sources().map(|(_, held)| *held).collect();
            if config.gate.is_open(net.now, &held, peers.iter()) {
                self.act(&host);
            }
        }
    }

    /// Tells whether every host acts on this version.
    pub fn all_have(&self, net: &Net, key: Key, version: Version) -> bool {
        net.nodes
            .keys()
            .all(|host| self.acted.get(&(host.clone(), key)) == Some(&version))
    }

    fn act(&mut self, host: &ident::Host) {
        for (key, value) in self.configs[host].store.values() {
            let before = self.acted.insert((host.clone(), key), value.version);
            let before = before.unwrap_or_default();
            assert!(before <= value.version, "{host} reverts {key}: {before}");
        }
    }

    fn offer(&mut self, now: Instant, host: &ident::Host, key: Key, text: &str) {
        let store = &mut self.configs.get_mut(host).expect("it runs").store;
        let register = store.config_state().register;
        let adoption = store.offer(now, key, text, |text| check(text, register));
        if adoption.is_change() {
            settle(store, now);
        }
    }

    fn call(&mut self, net: &mut Net, host: &ident::Host, key: Key) {
        let now = net.now;
        let live: Vec<_> = net.nodes[host].view.zone().into_iter().collect();
        let role = live
            .first()
            .map(|zone| Role::of(host, net.nodes[host].view.live(zone)));
        let reach = live.first().and_then(|zone| self.reach.get(*zone));
        let reach = reach.cloned().unwrap_or_else(|| vec![0, 1]);
        let config = self.configs.get_mut(host).expect("it runs");
        let Client { watch, open, turn } = config.watches.get_mut(&key).expect("it has all");
        let index = turn.checked_rem(reach.len()).unwrap_or_default();
        let at = Open {
            replica: reach.get(index).copied().unwrap_or(9),
            after: Revision::default(),
            until: now,
        };
        let at = match (&open, watch.next(now, role.unwrap_or(Role::Poller))) {
            (Some(open), _) => *open,
            (None, Call::Get) => at,
            (None, Call::Watch { after, wait }) => Open {
                after,
                until: now + wait,
                ..at
            },
            (None, Call::Sleep { .. }) => return,
        };
        *open = None;
        let replica = Some(at.replica).filter(|replica| reach.contains(replica));
        let value = match (self.down, replica.and_then(|at| self.replicas.get(at))) {
            (false, Some(replica)) => replica.get(&key).cloned(),
            _ => {
                *turn += 1;
                return watch.record_completion(now, Completion::Failed, &mut net.rng);
            }
        };
        let revision = value.as_deref().and_then(|text| number(text, "revision"));
        match revision.map(Revision) {
            Some(revision) if revision > at.after => {
                watch.record_completion(now, Completion::Value(revision), &mut net.rng);
                self.offer(now, host, key, &value.unwrap_or_default());
            }
            None => watch.record_completion(now, Completion::Missing, &mut net.rng),
            _ if now < at.until => *open = Some(at),
            _ => {
                *turn += 1;
                watch.record_completion(now, Completion::Unchanged, &mut net.rng);
            }
        }
    }

    fn pull(&mut self, net: &mut Net, host: &ident::Host) {
        let now = net.now;
        let config = self.configs.get_mut(host).expect("it runs");
        let held = config.store.config_state();
        let sources = net.nodes[host].view.config_sources();
        let Some(from) = config.pull.plan(now, host, &held, sources).cloned() else {
            return;
        };
        let passes = net.passes(host, &from) && net.passes(&from, host) && net.is_awake(&from);
        let index = self.configs.get(&from).map(|config| config.store.index());
        let Some(index) = index.filter(|_| passes) else {
            let config = self.configs.get_mut(host).expect("it runs");
            return config.pull.fail(now, &from);
        };
        let mut changed = false;
        for ask in self.configs[host].store.missing(&index) {
            let give = self
                .configs
                .get_mut(&from)
                .and_then(|config| config.store.respond(now, &ask));
            let store = &mut self.configs.get_mut(host).expect("it runs").store;
            let register = store.config_state().register;
            let adoption =
                give.map(|give| store.apply_response(now, give, |_, text| check(text, register)));
            changed |= adoption.is_some_and(|taken| taken.is_ok_and(|taken| taken.is_change()));
        }
        let config = self.configs.get_mut(host).expect("it runs");
        match changed {
            true => {
                settle(&mut config.store, now);
                config.pull.complete();
            }
            false => config.pull.fail(now, &from),
        }
    }
}

/// Values that were refused for what they refer to may be fit by now.
fn settle(store: &mut Store, now: Instant) {
    let register = store.config_state().register;
    let again = store.retry(now, |_, text| check(text, register));
    assert!(
        !again
            .iter()
            .any(|(_, adoption)| matches!(adoption, Adoption::Unchanged))
    );
}
