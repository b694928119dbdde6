//! The configuration of each host of a simulated [`Net`], and a platform with
//! two replicas that may be down, stale, or differ.

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

/// How long a starting host waits for its peers' values.
pub const GATE_WAIT: Duration = Duration::from_millis(2_500);

#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    #[error("no revision, or the text is marked invalid")]
    Invalid,
    #[error("requires register revision {needs}, which is not applied")]
    Dangling { needs: u64 },
}

/// Returns the text of a value that requires the register revision `needs`.
pub fn text(revision: u64, needs: u64, body: &str) -> String {
    format!("revision = {revision}\nneeds = {needs}\nbody = {body:?}\n")
}

fn field(text: &str, name: &str) -> Option<u64> {
    let line = text.lines().find(|line| line.starts_with(name))?;
    line.rsplit(' ').next()?.parse().ok()
}

pub fn check(text: &str, register: Revision) -> Result<Revision, CheckError> {
    let needs = field(text, "needs").unwrap_or_default();
    match field(text, "revision") {
        _ if needs > register.0 => Err(CheckError::Dangling { needs }),
        Some(revision) if !text.contains("invalid") => Ok(Revision(revision)),
        _ => Err(CheckError::Invalid),
    }
}

pub struct Config {
    pub store: Store,
    pub gate: Gate,
    pull: Pull,
    watches: BTreeMap<Key, Client>,
}

/// The platform client for one key, and the replica that it calls next.
struct Client {
    watch: Watch,
    open: Option<Open>,
    next_replica: usize,
}

/// A watch that is open at a replica.
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
    /// The versions that each host uses, kept across restarts of its process.
    pub in_use: BTreeMap<(ident::Host, Key), Version>,
}

impl Fleet {
    pub fn publish(&mut self, replicas: &[usize], key: Key, text: &str) {
        for replica in replicas {
            self.replicas[*replica].insert(key, text.to_owned());
        }
    }

    /// Starts a host without any configuration, as a new process does.
    pub fn start(&mut self, net: &Net, host: &ident::Host) {
        let client = |key| {
            let client = Client {
                watch: Watch::new(net.now, PLATFORM_WATCH),
                open: None,
                next_replica: 0,
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

    /// Restarts all watches at one replica.
    pub fn restart_watches_at(&mut self, replica: usize) {
        let configs = self.configs.values_mut();
        for client in configs.flat_map(|config| config.watches.values_mut()) {
            client.open = None;
            client.next_replica = replica;
        }
    }

    /// Runs one step on all running hosts. The values that a host uses must
    /// never go back, not even across a restart of its process.
    pub fn step(&mut self, net: &mut Net) {
        let hosts: Vec<_> = net.nodes.keys().cloned().collect();
        for host in hosts
            .into_iter()
            .filter(|host| net.is_running(host))
            .collect::<Vec<_>>()
        {
            if !self.configs.contains_key(&host) {
                self.start(net, &host);
            }
            for key in KEYS {
                self.call(net, &host, key);
            }
            self.pull(net, &host);
            let config = self.configs.get_mut(&host).expect("the host runs");
            let node = net.nodes.get_mut(&host).expect("the host runs");
            let applied = config.store.config_state();
            node.report.config = applied;
            let peers: Vec<ConfigState> = node
                .view
                .config_sources()
                .map(|(_, applied)| *applied)
                .collect();
            if config.gate.is_open(net.now, &applied, peers.iter()) {
                self.record_use(&host);
            }
        }
    }

    /// Returns whether every host uses this version.
    pub fn all_use(&self, net: &Net, key: Key, version: Version) -> bool {
        net.nodes
            .keys()
            .all(|host| self.in_use.get(&(host.clone(), key)) == Some(&version))
    }

    fn record_use(&mut self, host: &ident::Host) {
        for (key, value) in self.configs[host].store.values() {
            let before = self.in_use.insert((host.clone(), key), value.version);
            let before = before.unwrap_or_default();
            assert!(before <= value.version, "{host} reverts {key}: {before}");
        }
    }

    fn offer(&mut self, now: Instant, host: &ident::Host, key: Key, text: &str) {
        let store = &mut self.configs.get_mut(host).expect("the host runs").store;
        let register = store.config_state().register;
        let adoption = store.offer(now, key, text, |text| check(text, register));
        if adoption.is_change() {
            retry_refused(store, now);
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
        let config = self.configs.get_mut(host).expect("the host runs");
        let Client {
            watch,
            open,
            next_replica,
        } = config.watches.get_mut(&key).expect("each key has a client");
        let index = next_replica.checked_rem(reach.len()).unwrap_or_default();
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
                *next_replica += 1;
                return watch.record_completion(now, Completion::Failed, &mut net.rng);
            }
        };
        let revision = value.as_deref().and_then(|text| field(text, "revision"));
        match revision.map(Revision) {
            Some(revision) if revision > at.after => {
                watch.record_completion(now, Completion::Value(revision), &mut net.rng);
                self.offer(now, host, key, &value.unwrap_or_default());
            }
            None => watch.record_completion(now, Completion::Missing, &mut net.rng),
            _ if now < at.until => *open = Some(at),
            _ => {
                *next_replica += 1;
                watch.record_completion(now, Completion::Unchanged, &mut net.rng);
            }
        }
    }

    fn pull(&mut self, net: &mut Net, host: &ident::Host) {
        let now = net.now;
        let config = self.configs.get_mut(host).expect("the host runs");
        let applied = config.store.config_state();
        let sources = net.nodes[host].view.config_sources();
        let Some(from) = config.pull.plan(now, host, &applied, sources).cloned() else {
            return;
        };
        let is_reachable =
            net.delivers(host, &from) && net.delivers(&from, host) && net.is_running(&from);
        let index = self.configs.get(&from).map(|config| config.store.index());
        let Some(index) = index.filter(|_| is_reachable) else {
            let config = self.configs.get_mut(host).expect("the host runs");
            return config.pull.fail(now, &from);
        };
        let mut changed = false;
        for request in self.configs[host].store.missing(&index) {
            let reply = self
                .configs
                .get_mut(&from)
                .and_then(|config| config.store.respond(now, &request));
            let store = &mut self.configs.get_mut(host).expect("the host runs").store;
            let register = store.config_state().register;
            let adoption = reply
                .map(|reply| store.apply_response(now, reply, |_, text| check(text, register)));
            changed |= adoption.is_some_and(|result| result.is_ok_and(|result| result.is_change()));
        }
        let config = self.configs.get_mut(host).expect("the host runs");
        match changed {
            true => {
                retry_refused(&mut config.store, now);
                config.pull.complete();
            }
            false => config.pull.fail(now, &from),
        }
    }
}

/// Retries values that were refused because of what they refer to; the values
/// applied may satisfy them by now.
fn retry_refused(store: &mut Store, now: Instant) {
    let register = store.config_state().register;
    let retried = store.retry(now, |_, text| check(text, register));
    assert!(
        !retried
            .iter()
            .any(|(_, adoption)| matches!(adoption, Adoption::Unchanged))
    );
}
