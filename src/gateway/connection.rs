//! HTTP/1 connections to upstreams and the pool of idle ones.
//!
//! A request that must not be repeated always gets a new connection. The upstream may
//! have closed an idle one, and then it is unknown whether the request ran.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::OnceLock;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use socket2::TcpKeepalive;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;
use tracing::info;

use crate::gateway::head_limit;
use crate::gateway::keep_alive;
use crate::gateway::upload;
use crate::lock::lock;
use crate::log::millis;

/// Timeout for establishing a connection. TCP retransmits a lost SYN after one
/// second, which is too late to wait for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// How long an idle connection is kept, unless the upstream is known to close it sooner.
const IDLE_TIMEOUT: Duration = Duration::from_secs(3);

/// Maximum number of idle connections per upstream.
const MAX_IDLE_CONNECTIONS: usize = 16;

/// Idle connections per slot that all hosts together keep to an upstream, unless there are more
/// hosts than that. An upstream resets those beyond its limit, with the requests on them.
const IDLE_CONNECTIONS_PER_SLOT: usize = 16;

/// TCP user timeout: a connection is closed when sent data or keep-alive probes stay
/// unacknowledged for this time, as a network path may fail without a reset. On Linux it also
/// decides when keep-alive probes give up, whatever their number.
const TCP_USER_TIMEOUT: Duration = Duration::from_secs(4);

/// Idle time before the first keep-alive probe.
const KEEPALIVE_TIME: Duration = Duration::from_secs(2);

/// Interval between keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);

/// Number of keep-alive probes, which end with the user timeout.
const KEEPALIVE_PROBES: u32 = 2;

/// Maximum size of the head of a response, and of what is read ahead of a body. An
/// upstream that fails may send a head without end.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Reason why a request got no response.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The connection could not be established; nothing was sent.
    #[error("can't connect to the upstream: {0}")]
    Connect(#[source] io::Error),
    /// The connection closed before any part of the request was sent.
    #[error("connection closed before the request was sent")]
    Unsent,
    /// The connection failed after the request was sent.
    #[error("connection failed after the request was sent: {0}")]
    Broken(#[source] hyper::Error),
}

impl Fault {
    /// Returns why no connection could be established.
    pub fn connect_error(&self) -> Option<io::ErrorKind> {
        match self {
            Self::Connect(error) => Some(error.kind()),
            Self::Unsent | Self::Broken(_) => None,
        }
    }
}

/// How the other end closed a connection.
#[derive(Clone, Copy, Debug)]
struct Close {
    at: Instant,
    is_reset: bool,
}

/// A connection that carries one request at a time and closes on drop.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    /// Cancelled when the connection has ended.
    ended: CancellationToken,
    /// How the other end closed the connection.
    close: Arc<OnceLock<Close>>,
    address: SocketAddr,
    /// Limits what is read before the head of a response.
    budget: head_limit::Budget,
    /// What was written of the request.
    progress: upload::Progress,
    /// Whether it has carried a request before.
    pub is_reused: bool,
    idle_since: Instant,
    /// Timeout for idle connections that the last response stated.
    stated_timeout: Option<Duration>,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Returns whether the other end hasn't closed the connection.
    pub fn is_open(&self) -> bool {
        !self.sender.is_closed()
    }

    /// Returns how long after its last response the other end closed the connection.
    fn closed_after(&self) -> Option<Duration> {
        let close = self.close.get().filter(|it| !it.is_reset)?;
        close.at.checked_duration_since(self.idle_since)
    }

    /// Returns whether the other end reset the connection.
    pub fn was_reset(&self) -> bool {
        self.close.get().is_some_and(|it| it.is_reset)
    }

    /// Returns a token that is cancelled when the connection has ended.
    pub fn ended(&self) -> &CancellationToken {
        &self.ended
    }

    /// Returns whether the last request, with a body of some bytes, was written to its end.
    pub fn is_request_written(&self, body: usize) -> bool {
        self.progress.is_complete(body)
    }

    /// Sends a request and waits for the response headers.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Fault> {
        if self.sender.ready().await.is_err() {
            return Err(Fault::Unsent);
        }
        self.budget.begin_head();
        self.progress.begin();
        let response = self.sender.try_send_request(request).await;
        self.budget.end_head();
        if let Ok(response) = &response {
            self.stated_timeout = keep_alive::stated(response.headers());
        }
        response.map_err(|mut error| match error.take_message() {
            Some(_) => Fault::Unsent,
            None => Fault::Broken(error.into_error()),
        })
    }
}

/// Idle connections, and what they show of the upstreams that close them.
#[derive(Debug, Default)]
struct Idle {
    connections: BTreeMap<SocketAddr, Vec<Connection>>,
    observations: BTreeMap<SocketAddr, keep_alive::Observation>,
}

impl Idle {
    /// Removes the connections to an address that can't be used any more.
    fn retain_usable(&mut self, now: Instant, address: SocketAddr) {
        let Some(connections) = self.connections.get_mut(&address) else {
            return;
        };
        for age in connections.iter().filter_map(Connection::closed_after) {
            let observation = self.observations.entry(address).or_default();
            if observation.record(now, age) {
                let timeout_ms = observation.timeout().map(millis);
                info!(%address, timeout_ms, "upstream: closes idle connections");
            }
        }
        let observed = self.observations.get(&address);
        let observed = observed.and_then(keep_alive::Observation::timeout);
        connections.retain(|it| is_usable(now, it, observed));
        if connections.is_empty() {
            self.connections.remove(&address);
        }
    }
}

/// Idle connections by the upstream's address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<Idle>,
}

impl Pool {
    /// Returns an idle connection to an address, or opens a new one if there is none
    /// or `needs_new` is set.
    pub async fn acquire(&self, address: SocketAddr, needs_new: bool) -> Result<Connection, Fault> {
        match needs_new {
            false => match self.take_idle(Instant::now(), address) {
                Some(connection) => Ok(connection),
                None => connect(address).await,
            },
            true => connect(address).await,
        }
    }

    /// Returns a connection to the pool, which keeps up to `limit` idle ones to an address. Its
    /// last response must have been read to the end.
    pub fn release(&self, now: Instant, mut connection: Connection, limit: usize) {
        connection.idle_since = now;
        connection.is_reused = true;
        let mut idle = lock(&self.idle);
        let connections = idle.connections.entry(connection.address).or_default();
        if connections.len() < limit {
            connections.push(connection);
        }
    }

    /// Closes connections that have been idle for too long.
    pub fn sweep(&self, now: Instant) {
        let mut idle = lock(&self.idle);
        let addresses: Vec<_> = idle.connections.keys().copied().collect();
        for address in addresses {
            idle.retain_usable(now, address);
        }
        idle.observations.retain(|_, it| !it.is_outdated(now));
    }

    fn take_idle(&self, now: Instant, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        idle.retain_usable(now, address);
        idle.connections.get_mut(&address)?.pop()
    }
}

/// Returns how many idle connections a host keeps to an upstream with this many slots, or to
/// another host, which has none. `hosts` is the size of the fleet, if it is known.
pub fn idle_limit(slots: u32, hosts: Option<usize>) -> usize {
    match (slots, hosts) {
        (0, _) | (_, None) => MAX_IDLE_CONNECTIONS,
        (slots, Some(hosts)) => {
            let total = (slots as usize).saturating_mul(IDLE_CONNECTIONS_PER_SLOT);
            total.div_ceil(hosts.max(1)).clamp(1, MAX_IDLE_CONNECTIONS)
        }
    }
}

fn is_usable(now: Instant, connection: &Connection, observed: Option<Duration>) -> bool {
    let usable = keep_alive::usable_time(connection.stated_timeout, observed);
    let limit = usable.map_or(IDLE_TIMEOUT, |it| it.min(IDLE_TIMEOUT));
    now.duration_since(connection.idle_since) < limit && !connection.sender.is_closed()
}

async fn connect(address: SocketAddr) -> Result<Connection, Fault> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let stream = stream.map_err(Fault::Connect)?;
    set_tcp_options(&stream).map_err(Fault::Connect)?;
    // An abandoned request must not arrive after a network partition heals: a reset on
    // close discards the data that was not acknowledged.
    let socket = SockRef::from(&stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .map_err(Fault::Connect)?;
    let mut builder = http1::Builder::new();
    builder.max_buf_size(MAX_HEAD_BYTES);
    let budget = head_limit::Budget::default();
    let (reader, writer) = tokio::io::split(stream);
    let progress = upload::Progress::default();
    let reader = head_limit::Reader::new(reader, &budget);
    let stream = tokio::io::join(reader, upload::Writer::new(writer, &progress));
    let handshake = builder.handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(Fault::Broken)?;
    let ended = CancellationToken::new();
    let guard = ended.clone().drop_guard();
    let close: Arc<OnceLock<Close>> = Arc::default();
    let closed = close.clone();
    let task = tokio::spawn(async move {
        let _guard = guard;
        // The request in flight receives the error.
        let is_reset = connection.await.is_err_and(|error| is_reset(&error));
        let at = Instant::now();
        let _first = closed.set(Close { at, is_reset });
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        ended,
        close,
        address,
        budget,
        progress,
        is_reused: false,
        idle_since: Instant::now(),
        stated_timeout: None,
    })
}

/// Returns whether an error is that of a connection that the other end has reset.
fn is_reset(error: &hyper::Error) -> bool {
    let source = std::error::Error::source(error);
    let source = source.and_then(|it| it.downcast_ref::<io::Error>());
    source.is_some_and(|it| it.kind() == io::ErrorKind::ConnectionReset)
}

/// Disables Nagle's algorithm and enables keep-alive probes and the user timeout, so
/// that a failed network path is detected.
pub fn set_tcp_options(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(TCP_USER_TIMEOUT))?;
    let keepalive = TcpKeepalive::new()
        .with_time(KEEPALIVE_TIME)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(KEEPALIVE_PROBES);
    socket.set_tcp_keepalive(&keepalive)
}
