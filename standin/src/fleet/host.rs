//! A host of a test fleet, in its own runtime so that it can be killed without
//! any cleanup.

use std::net::Ipv4Addr;
use std::net::SocketAddr;
use std::sync::atomic::AtomicU8;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticmoor::config::key::Key;
use masticmoor::config::store::Adoption;
use masticmoor::daemon::apply;
use masticmoor::daemon::serve;
use masticmoor::daemon::serve::Sockets;
use masticmoor::daemon::shutdown::Report;
use masticmoor::entry::caller;
use masticmoor::ident;
use masticmoor::lock::lock;
use masticmoor::options::Options;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::TcpListener;
use tokio::net::UdpSocket;
use tokio::runtime::Runtime;
use tokio::task::JoinHandle;

/// The number of worker threads of a host's runtime.
const WORKERS: usize = 2;

/// The number of retries when an address is still in use.
const REBIND_ATTEMPTS: u32 = 200;

/// The pause between these retries.
const REBIND_PAUSE: Duration = Duration::from_millis(20);

/// The addresses at which a host listens.
#[derive(Clone, Copy, Debug)]
pub struct Addresses {
    /// For callers.
    pub caller: SocketAddr,
    /// For other hosts.
    pub peer: SocketAddr,
    /// For operators.
    pub operator: SocketAddr,
}

impl Default for Addresses {
    fn default() -> Self {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self {
            caller: any,
            peer: any,
            operator: any,
        }
    }
}

/// Bound sockets of a host and their addresses.
pub struct BoundSockets {
    /// The addresses.
    pub addresses: Addresses,
    sockets: [std::net::TcpListener; 3],
    heartbeat: std::net::UdpSocket,
}

/// A running host.
pub struct Host {
    /// The internal state of the host.
    pub state: std::sync::Arc<masticmoor::state::State>,
    host: Option<serve::Host>,
    runtime: Runtime,
}

impl Host {
    /// Starts a host on bound sockets.
    pub fn start(options: Options, bound: BoundSockets) -> Result<Self, serve::Fault> {
        let runtime = tokio::runtime::Builder::new_multi_thread()
            .worker_threads(WORKERS)
            .enable_all()
            .build()
            .map_err(serve::Fault::Server)?;
        let context = runtime.enter();
        let sockets = bound.into_sockets().map_err(serve::Fault::Server)?;
        let random = &mut StdRng::from_rng(&mut rand::rng());
        let host = serve::Host::start(options, sockets, random)?;
        drop(context);
        Ok(Self {
            state: host.state.clone(),
            host: Some(host),
            runtime,
        })
    }

    /// Stops the host abruptly, as a power loss would.
    pub fn kill(self) {
        self.runtime.shutdown_background();
    }

    /// Begins a graceful shutdown whose task ends with the report. Returns
    /// `None` if a shutdown has already begun.
    pub fn shutdown(&mut self) -> Option<JoinHandle<Report>> {
        let host = self.host.take()?;
        let no_signal = std::future::pending();
        Some(self.runtime.spawn(host.shutdown(no_signal)))
    }

    /// Offers a value to this host only, as if it had read it from the platform.
    pub fn inject(&self, key: Key, text: &str) -> Adoption {
        let offer = apply::from_platform(&self.state, key, text.to_owned());
        let adopt = || self.runtime.handle().block_on(offer);
        // An offer fails only while the process shuts down.
        tokio::task::block_in_place(adopt).unwrap_or(Adoption::Unchanged)
    }

    /// Returns whether a load balancer may send requests to this host.
    pub fn is_ready(&self) -> bool {
        caller::is_ready(&self.state)
    }

    /// Returns the zone of the host.
    pub fn zone(&self) -> &str {
        self.state.options.host.zone.as_str()
    }

    /// Returns the home of an upstream in this host's view.
    pub fn home(&self, upstream: &str) -> Option<ident::Host> {
        let plan = self.state.plan();
        let name = ident::Upstream::from(upstream);
        let spec = plan.register.upstreams.get(&name)?;
        lock(&self.state.view).home(&name, spec).cloned()
    }

    /// Returns the number of live hosts of its zone in this host's view.
    pub fn live_count(&self) -> usize {
        let zone = &self.state.options.host.zone;
        lock(&self.state.view).live(zone).count()
    }

    /// Returns whether the host no longer reserves capacity at its upstreams
    /// for requests of the previous home.
    pub fn is_settled(&self) -> bool {
        lock(&self.state.scheduler).is_settled(tokio::time::Instant::now())
    }

    /// Returns whether this host considers itself the home of an upstream.
    pub fn is_home(&self, upstream: &str) -> bool {
        lock(&self.state.scheduler)
            .upstreams()
            .any(|name| name.as_str() == upstream)
    }
}

impl BoundSockets {
    fn into_sockets(self) -> Result<Sockets, std::io::Error> {
        let [caller, peer, operator] = self.sockets;
        Ok(Sockets {
            caller: TcpListener::from_std(caller)?,
            peer: TcpListener::from_std(peer)?,
            heartbeat: UdpSocket::from_std(self.heartbeat)?,
            operator: TcpListener::from_std(operator)?,
        })
    }
}

/// Binds sockets to ports chosen by the system, on a loopback address unique
/// to the host, so that no other process takes the ports while it is down.
pub async fn bind() -> Result<BoundSockets, std::io::Error> {
    static HOSTS: AtomicU8 = AtomicU8::new(1);
    let [.., high, low] = std::process::id().to_be_bytes();
    let number = HOSTS.fetch_add(1, Ordering::Relaxed).max(1);
    // The second byte is odd, hence never 0, so that no address is 127.0.0.1.
    let address = SocketAddr::from((Ipv4Addr::new(127, high | 1, low, number), 0));
    let addresses = Addresses {
        caller: address,
        peer: address,
        operator: address,
    };
    bind_at(addresses).await
}

/// Binds sockets to given addresses, retrying while these are in use.
pub async fn bind_at(addresses: Addresses) -> Result<BoundSockets, std::io::Error> {
    let mut attempts = 0;
    loop {
        match try_bind(addresses).await {
            Ok(bound) => return Ok(bound),
            Err(error) if attempts == REBIND_ATTEMPTS => return Err(error),
            Err(_) => tokio::time::sleep(REBIND_PAUSE).await,
        }
        attempts += 1;
    }
}

async fn try_bind(addresses: Addresses) -> Result<BoundSockets, std::io::Error> {
    let caller = TcpListener::bind(addresses.caller).await?;
    let peer = TcpListener::bind(addresses.peer).await?;
    let operator = TcpListener::bind(addresses.operator).await?;
    let addresses = Addresses {
        caller: caller.local_addr()?,
        peer: peer.local_addr()?,
        operator: operator.local_addr()?,
    };
    let heartbeat = UdpSocket::bind(addresses.peer).await?.into_std()?;
    let sockets = [caller.into_std()?, peer.into_std()?, operator.into_std()?];
    Ok(BoundSockets {
        addresses,
        sockets,
        heartbeat,
    })
}
