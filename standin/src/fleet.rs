//! A small fleet for tests: real hosts over loopback sockets, each in its own
//! runtime so that it can be killed, with stand-ins for platform and upstreams.

pub mod client;
pub mod host;
pub mod load;
pub mod probe;
pub mod process;
pub mod shape;

mod query;

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::net::TcpListener;
use tokio_util::sync::CancellationToken;

use crate::engine;
use crate::fleet::host::Host;
use crate::fleet::shape::Shape;
use crate::plain;
use crate::platform;
use crate::server::Shared;

/// The interval at which [`until`] checks its condition.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Why an operation on a fleet failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket could not be opened.
    #[error("cannot open socket: {0}")]
    Socket(#[from] std::io::Error),
    /// A host could not be started.
    #[error(transparent)]
    Host(#[from] masticmoor::daemon::serve::Fault),
    /// The fleet has no host of this name.
    #[error("no such host in the fleet: {name}")]
    NoHost {
        /// The requested name.
        name: String,
    },
    /// The fleet did not become ready in time.
    #[error(transparent)]
    Timeout(#[from] Timeout),
}

/// A condition was not met within its time limit.
#[derive(Debug, thiserror::Error)]
#[error("condition not met within {limit:?}: {condition}")]
pub struct Timeout {
    /// The condition, in words.
    pub condition: String,
    /// The time limit.
    pub limit: Duration,
}

/// A running fleet and its stand-ins.
pub struct Fleet {
    /// The handle of the platform, to change its faults and values.
    pub platform: platform::Handle,
    /// The engines, by name.
    pub engines: BTreeMap<String, engine::Handle>,
    /// The instances of the ticket service, by name.
    pub plains: BTreeMap<String, Shared>,
    /// The running hosts, by name.
    pub hosts: BTreeMap<String, Host>,
    /// The contents of the register and the rules.
    pub shape: Shape,
    stop: CancellationToken,
}

impl Fleet {
    /// Starts a fleet of this shape, without waiting for it to become ready.
    pub async fn start(mut shape: Shape) -> Result<Self, Error> {
        let stop = CancellationToken::new();
        let platform = platform::Handle::default();
        let listener = listen().await?;
        shape.platform.push(listener.local_addr()?);
        let run = platform::run(
            listener,
            platform::Options::default(),
            platform.clone(),
            stop.clone(),
        );
        tokio::spawn(run);
        let mut fleet = Self {
            platform,
            engines: BTreeMap::new(),
            plains: BTreeMap::new(),
            hosts: BTreeMap::new(),
            shape,
            stop,
        };
        fleet.start_upstreams().await?;
        let sockets = fleet.bind_sockets().await?;
        fleet.publish();
        for (name, bound) in sockets {
            let options = fleet.shape.options(&name, &bound);
            fleet.hosts.insert(name, Host::start(options, bound)?);
        }
        Ok(fleet)
    }

    /// Starts a fleet whose hosts know two replicas of the platform. The first
    /// one keeps the initial values permanently.
    pub async fn start_with_replica(mut shape: Shape) -> Result<Self, Error> {
        let stale = listen().await?;
        shape.platform = vec![stale.local_addr()?];
        let fleet = Self::start(shape).await?;
        let handle = platform::Handle::default();
        fleet.publish_at(&handle);
        let options = platform::Options::default();
        tokio::spawn(platform::run(stale, options, handle, fleet.stop.clone()));
        Ok(fleet)
    }

    /// Starts a fleet of this shape and waits until it is ready.
    pub async fn start_ready(shape: Shape) -> Result<Self, Error> {
        let fleet = Self::start(shape).await?;
        fleet.ready().await?;
        Ok(fleet)
    }

    /// Publishes the register and the rules under their current revisions.
    pub fn publish(&self) {
        self.publish_at(&self.platform);
    }

    fn publish_at(&self, platform: &platform::Handle) {
        platform.publish("register", &self.shape.register());
        platform.publish("rules", &self.shape.rules());
        platform.publish_hosts(self.shape.host_list());
    }

    /// Changes the rules and publishes them under the next revision.
    pub fn set_rules(&mut self, change: impl FnOnce(&mut shape::Rules)) {
        change(&mut self.shape.rules);
        self.shape.rules.revision += 1;
        self.platform.publish("rules", &self.shape.rules());
    }

    /// Changes the register and publishes it under the next revision.
    pub fn set_register(&mut self, change: impl FnOnce(&mut Shape)) {
        change(&mut self.shape);
        self.shape.revision += 1;
        self.platform.publish("register", &self.shape.register());
    }

    /// Stops a host abruptly, as a power loss would.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        let host = self.hosts.remove(name).ok_or_else(|| no_host(name))?;
        host.kill();
        Ok(())
    }

    /// Starts a host again at its previous addresses.
    pub async fn restart(&mut self, name: &str) -> Result<(), Error> {
        let spec = self.shape.hosts.get(name).ok_or_else(|| no_host(name))?;
        let bound = host::bind_at(spec.addresses).await?;
        let options = self.shape.options(name, &bound);
        let host = Host::start(options, bound)?;
        self.hosts.insert(name.to_owned(), host);
        Ok(())
    }

    /// Returns the address at which a host accepts callers.
    pub fn caller(&self, name: &str) -> Result<SocketAddr, Error> {
        let spec = self.shape.hosts.get(name).ok_or_else(|| no_host(name))?;
        Ok(spec.addresses.caller)
    }

    /// Partitions the hosts for which `inside` holds from all others, in both
    /// directions.
    pub fn partition(&self, inside: impl Fn(&str) -> bool) {
        for (name, host) in &self.hosts {
            let is_inside = inside(name);
            let others = self.shape.hosts.iter();
            let unreachable = others
                .filter(|(other, _)| inside(other) != is_inside)
                .map(|(_, spec)| spec.addresses.peer)
                .collect();
            host.state.partition.set(unreachable);
        }
    }

    /// Removes all partitions.
    pub fn heal(&self) {
        self.partition(|_| true);
    }

    /// Waits until all hosts are ready and the fleet is settled; fails after
    /// 20 s.
    pub async fn ready(&self) -> Result<(), Timeout> {
        until("all hosts ready", Duration::from_secs(20), || {
            self.hosts.values().all(Host::is_ready) && self.is_settled()
        })
        .await
    }

    /// Returns whether all hosts agree on all homes and no handover is pending.
    pub fn is_settled(&self) -> bool {
        let settled = self.hosts.values().all(Host::is_settled);
        settled && self.is_converged() && self.homes_match()
    }

    /// Returns whether the hosts of all zones see the same home for every
    /// upstream.
    pub fn homes_match(&self) -> bool {
        self.shape.upstreams.keys().all(|name| {
            let hosts = self.hosts.values();
            let homes: BTreeSet<_> = hosts.map(|host| host.home(name)).collect();
            homes.len() == 1
        })
    }

    /// Returns whether every host sees all running hosts of its zone as live,
    /// and all hosts of a zone see the same home for each of its upstreams.
    pub fn is_converged(&self) -> bool {
        let zone = |host: &Host| {
            let hosts = self.hosts.values();
            hosts.filter(|other| other.zone() == host.zone()).count()
        };
        let all_live = self
            .hosts
            .values()
            .all(|host| host.live_count() == zone(host));
        all_live
            && self.shape.upstreams.iter().all(|(name, spec)| {
                let zone = self
                    .hosts
                    .iter()
                    .filter(|(_, host)| host.zone() == spec.zone);
                let homes: BTreeSet<_> = zone.map(|(_, host)| host.home(name)).collect();
                let claims = self.hosts.iter().filter(|(_, host)| host.is_home(name));
                let claims: Vec<_> = claims.map(|(host, _)| Some(host.as_str().into())).collect();
                match homes.is_empty() {
                    true => claims.len() <= 1,
                    false => homes.len() == 1 && claims.iter().eq(&homes),
                }
            })
    }

    async fn start_upstreams(&mut self) -> Result<(), Error> {
        for (name, spec) in &mut self.shape.upstreams {
            let listener = listen().await?;
            spec.address = Some(listener.local_addr()?);
            match &spec.kind {
                shape::Kind::Engine(options) => {
                    let options = engine::Options {
                        name: name.clone(),
                        ..options.clone()
                    };
                    let handle = engine::Handle::default();
                    self.engines.insert(name.clone(), handle.clone());
                    tokio::spawn(engine::run(listener, options, handle, self.stop.clone()));
                }
                shape::Kind::Plain(options) => {
                    let options = plain::Options {
                        name: name.clone(),
                        ..options.clone()
                    };
                    let shared = Shared::default();
                    self.plains.insert(name.clone(), shared.clone());
                    tokio::spawn(plain::run(listener, options, shared, self.stop.clone()));
                }
            }
        }
        Ok(())
    }

    async fn bind_sockets(&mut self) -> Result<Vec<(String, host::BoundSockets)>, Error> {
        let mut all = Vec::new();
        for (name, spec) in &mut self.shape.hosts {
            let bound = host::bind().await?;
            spec.addresses = bound.addresses;
            all.push((name.clone(), bound));
        }
        Ok(all)
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.stop.cancel();
        for (_, host) in std::mem::take(&mut self.hosts) {
            host.kill();
        }
    }
}

/// Waits until a condition holds; fails if it does not within the limit.
pub async fn until(
    condition: &str,
    limit: Duration,
    mut condition_holds: impl FnMut() -> bool,
) -> Result<(), Timeout> {
    let started = tokio::time::Instant::now();
    while !condition_holds() {
        if started.elapsed() > limit {
            let condition = condition.to_owned();
            return Err(Timeout { condition, limit });
        }
        tokio::time::sleep(POLL_PERIOD).await;
    }
    Ok(())
}

async fn listen() -> Result<TcpListener, std::io::Error> {
    TcpListener::bind((std::net::Ipv4Addr::LOCALHOST, 0)).await
}

fn no_host(name: &str) -> Error {
    let name = name.to_owned();
    Error::NoHost { name }
}
