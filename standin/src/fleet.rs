//! A small fleet for tests: real hosts over real sockets on loopback, each in
//! a runtime of its own so that it can be killed, with stand-ins around them.

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

/// How often a condition is looked at.
const POLL_PERIOD: Duration = Duration::from_millis(10);

/// Why a fleet can't be started.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// A socket can't be opened.
    #[error("socket: {0}")]
    Socket(#[from] std::io::Error),
    /// A host can't be started.
    #[error(transparent)]
    Host(#[from] masticmoor::daemon::serve::Fault),
    /// No such host is in the fleet.
    #[error("no host {name}")]
    NoHost {
        /// The name asked for.
        name: String,
    },
    /// The fleet does not get ready.
    #[error(transparent)]
    Timeout(#[from] Timeout),
}

/// A condition that did not come about in time.
#[derive(Debug, thiserror::Error)]
#[error("not within {limit:?}: {condition}")]
pub struct Timeout {
    /// What was waited for.
    pub condition: String,
    /// How long.
    pub limit: Duration,
}

/// A fleet and what it meets.
pub struct Fleet {
    /// The platform; change its faults and values here.
    pub platform: platform::Handle,
    /// The engines, by name.
    pub engines: BTreeMap<String, engine::Handle>,
    /// The instances of the ticket desk, by name.
    pub plains: BTreeMap<String, Shared>,
    /// The hosts that run, by name.
    pub hosts: BTreeMap<String, Host>,
    /// What the register and the rules say.
    pub shape: Shape,
    stop: CancellationToken,
}

impl Fleet {
    /// Starts a fleet of this shape.
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

    /// Starts a fleet whose hosts know two replicas of the platform, of which
    /// the first never shows a change.
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

    /// Starts a fleet of this shape and waits until it serves.
    pub async fn start_ready(shape: Shape) -> Result<Self, Error> {
        let fleet = Self::start(shape).await?;
        fleet.ready().await?;
        Ok(fleet)
    }

    /// Publishes the register and the rules under their revisions.
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

    /// Ends a host as if it had lost its power.
    pub fn kill(&mut self, name: &str) -> Result<(), Error> {
        let host = self.hosts.remove(name).ok_or_else(|| no_host(name))?;
        host.kill();
        Ok(())
    }

    /// Starts a host anew at its addresses.
    pub async fn restart(&mut self, name: &str) -> Result<(), Error> {
        let spec = self.shape.hosts.get(name).ok_or_else(|| no_host(name))?;
        let bound = host::bind_at(spec.addresses).await?;
        let options = self.shape.options(name, &bound);
        let host = Host::start(options, bound)?;
        self.hosts.insert(name.to_owned(), host);
        Ok(())
    }

    /// Returns where a host takes callers.
    pub fn caller(&self, name: &str) -> Result<SocketAddr, Error> {
        let spec = self.shape.hosts.get(name).ok_or_else(|| no_host(name))?;
        Ok(spec.addresses.caller)
    }

    /// Cuts the hosts for which `inside` holds off from the others, both ways.
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

    /// Ends all cuts.
    pub fn heal(&self) {
        self.partition(|_| true);
    }

    /// Waits until all hosts serve and agree on who is home of what.
    pub async fn ready(&self) -> Result<(), Timeout> {
        until("all hosts ready", Duration::from_secs(20), || {
            self.hosts.values().all(Host::is_ready) && self.is_settled()
        })
        .await
    }

    /// Tells whether homes are agreed on, and every handover is over.
    pub fn is_settled(&self) -> bool {
        let settled = self.hosts.values().all(Host::is_settled);
        settled && self.is_converged() && self.homes_match()
    }

    /// Tells whether every host, of whichever zone, names the same home of every
    /// upstream.
    pub fn homes_match(&self) -> bool {
        self.shape.upstreams.keys().all(|name| {
            let hosts = self.hosts.values();
            let homes: BTreeSet<_> = hosts.map(|host| host.home(name)).collect();
            homes.len() == 1
        })
    }

    /// Tells whether every host sees all that run in its zone, and every
    /// upstream has one home in the eyes of every host of its zone.
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

/// Waits until a condition holds.
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
