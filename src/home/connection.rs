//! A pool of connections to upstreams. Idle connections are reused; after a
//! long idle time only for idempotent requests, because a connection may have
//! gone silent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;
use tokio::time::timeout;

use crate::lock::lock;

/// Idle connections kept per upstream.
const MAX_IDLE_CONNECTIONS: usize = 256;

/// The shortest timeout for the response head on a reused connection.
const MIN_REUSE_TIMEOUT: Duration = Duration::from_millis(250);

/// The timeout on a reused connection, as a multiple of the mean time to first
/// byte.
const REUSE_TIMEOUT_MULTIPLE: u32 = 8;

/// The weight of the newest time to first byte in its moving mean.
const MEAN_WEIGHT: f64 = 0.1;

/// Attempts, each on another connection, for a request of which nothing was
/// sent.
const MAX_UNSENT_ATTEMPTS: usize = 4;

/// Maximum size of the head of a response, and of what is read ahead of a body. An
/// upstream that fails may send a head without end.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Why an upstream returned no response.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// The upstream refused the connection: nothing was sent.
    #[error("connect failed: {0}")]
    Connect(#[source] std::io::Error),
    /// Connecting timed out: nothing was sent.
    #[error("connect timed out")]
    ConnectTimeout,
    /// All connections tried were closed before the request could be sent.
    #[error("all connections tried were closed before the request was sent")]
    Unsent,
    /// The connection was lost after part of the request may have been sent.
    #[error("connection lost after sending began: {0}")]
    Broken(#[source] hyper::Error),
    /// The response head did not arrive in time.
    #[error("timed out waiting for the response head")]
    FirstByte,
}

impl Fault {
    /// Returns whether no byte of the request can have reached the upstream.
    pub fn is_unsent(&self) -> bool {
        matches!(self, Self::Connect(_) | Self::ConnectTimeout | Self::Unsent)
    }
}

/// Time limits of connections.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The longest time to connect.
    pub connect_timeout: Duration,
    /// The longest time from sending a request to the head of its response.
    pub first_byte_timeout: Duration,
    /// A connection that was idle for longer takes no non-idempotent request,
    /// because it may have gone silent.
    pub max_idle: Duration,
}

/// How an attempt failed.
enum Attempt {
    /// Nothing was sent; the request can be tried again.
    Unsent(Box<Request<Full<Bytes>>>),
    Failed(Fault),
}

type Sender = http1::SendRequest<Full<Bytes>>;

#[derive(Debug)]
struct Idle {
    sender: Sender,
    since: Instant,
}

/// The idle connections, by the address of the upstream.
#[derive(Debug)]
pub struct Pool {
    timing: Timing,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Idle>>>,
    /// The moving mean of the time to first byte.
    mean_first_byte: Mutex<BTreeMap<SocketAddr, Duration>>,
}

/// A connection in use. Return it to the pool with [`Lease::release`] once the
/// response is complete; dropping it closes the connection, which cancels the
/// request that runs on it.
#[derive(Debug)]
pub struct Lease {
    pool: Arc<Pool>,
    address: SocketAddr,
    sender: Sender,
}

impl Lease {
    /// Returns the connection to the pool.
    pub fn release(self) {
        let idle = Idle {
            sender: self.sender,
            since: Instant::now(),
        };
        let mut table = lock(&self.pool.idle);
        let list = table.entry(self.address).or_default();
        if list.len() < MAX_IDLE_CONNECTIONS {
            list.push(idle);
        }
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            idle: Mutex::default(),
            mean_first_byte: Mutex::default(),
        }
    }

    /// Sends a request and returns the head of the response.
    ///
    /// A reused connection may have gone silent. An idempotent request that
    /// gets no response on one within a multiple of the mean time to first byte
    /// is cancelled there, if it runs, and sent once more on a new connection.
    pub async fn send(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
        idempotent: bool,
    ) -> Result<(Response<Incoming>, Lease), Fault> {
        let mut request = request;
        for _ in 0..MAX_UNSENT_ATTEMPTS {
            let reused = self.take_idle(address, idempotent);
            let copy = reused
                .as_ref()
                .filter(|_| idempotent)
                .map(|_| request.clone());
            let (head_timeout, sender) = match reused {
                Some(sender) if idempotent => (self.reuse_timeout(address), sender),
                Some(sender) => (self.timing.first_byte_timeout, sender),
                None => (self.timing.first_byte_timeout, self.connect(address).await?),
            };
            match (
                self.exchange(address, sender, request, head_timeout).await,
                copy,
            ) {
                (Err(Attempt::Unsent(unsent)), _) => request = *unsent,
                (Err(Attempt::Failed(Fault::FirstByte)), Some(copy)) => {
                    tracing::info!(%address, "upstream: reused connection silent, retrying on a new one");
                    return self.resend(address, copy).await;
                }
                (Err(Attempt::Failed(fault)), _) => return Err(fault),
                (Ok(exchange), _) => return Ok(exchange),
            }
        }
        Err(Fault::Unsent)
    }

    /// Sends a request, which may have run already, on a new connection.
    async fn resend(
        self: &Arc<Self>,
        address: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<(Response<Incoming>, Lease), Fault> {
        // Whatever fails now, the first attempt may have run.
        let sender = self.connect(address).await.map_err(|_| Fault::FirstByte)?;
        let first_byte = self.timing.first_byte_timeout;
        match self.exchange(address, sender, request, first_byte).await {
            Ok(exchange) => Ok(exchange),
            Err(Attempt::Unsent(_)) => Err(Fault::FirstByte),
            Err(Attempt::Failed(fault)) => Err(fault),
        }
    }

    async fn exchange(
        self: &Arc<Self>,
        address: SocketAddr,
        mut sender: Sender,
        request: Request<Full<Bytes>>,
        head_timeout: Duration,
    ) -> Result<(Response<Incoming>, Lease), Attempt> {
        let started = Instant::now();
        match timeout(head_timeout, sender.try_send_request(request)).await {
            Err(_) => {
                // Other idle connections may have gone silent with this one.
                self.close_idle(address);
                Err(Attempt::Failed(Fault::FirstByte))
            }
            Ok(Ok(response)) => {
                self.record_first_byte(address, started.elapsed());
                let pool = self.clone();
                let lease = Lease {
                    pool,
                    address,
                    sender,
                };
                Ok((response, lease))
            }
            Ok(Err(mut error)) => match error.take_message() {
                Some(unsent) => Err(Attempt::Unsent(Box::new(unsent))),
                None => Err(Attempt::Failed(Fault::Broken(error.into_error()))),
            },
        }
    }

    /// Returns the timeout for the response head on a reused connection.
    fn reuse_timeout(&self, address: SocketAddr) -> Duration {
        let mean_first_byte = lock(&self.mean_first_byte).get(&address).copied();
        let limit = mean_first_byte.unwrap_or_default() * REUSE_TIMEOUT_MULTIPLE;
        limit
            .max(MIN_REUSE_TIMEOUT)
            .min(self.timing.first_byte_timeout)
    }

    fn record_first_byte(&self, address: SocketAddr, elapsed: Duration) {
        let mut table = lock(&self.mean_first_byte);
        let mean_first_byte = table.entry(address).or_insert(elapsed);
        *mean_first_byte =
            mean_first_byte.mul_f64(1.0 - MEAN_WEIGHT) + elapsed.mul_f64(MEAN_WEIGHT);
    }

    /// Returns whether an upstream accepts connections.
    pub async fn accepts_connections(&self, address: SocketAddr) -> bool {
        let connect = TcpStream::connect(address);
        matches!(
            timeout(self.timing.connect_timeout, connect).await,
            Ok(Ok(_))
        )
    }

    /// Closes all idle connections to an upstream.
    pub fn close_idle(&self, address: SocketAddr) {
        lock(&self.idle).remove(&address);
    }

    /// Returns the number of idle connections.
    pub fn idle(&self) -> usize {
        lock(&self.idle).values().map(Vec::len).sum()
    }

    fn take_idle(&self, address: SocketAddr, idempotent: bool) -> Option<Sender> {
        let mut table = lock(&self.idle);
        let list = table.get_mut(&address)?;
        list.retain(|idle| !idle.sender.is_closed());
        let fresh = list
            .last()
            .is_some_and(|idle| idempotent || idle.since.elapsed() < self.timing.max_idle);
        // The most recently used connection is last.
        let found = list
            .pop_if(|idle| fresh && idle.sender.is_ready())
            .map(|idle| idle.sender);
        if list.is_empty() {
            table.remove(&address);
        }
        found
    }

    async fn connect(&self, address: SocketAddr) -> Result<Sender, Fault> {
        let stream = timeout(self.timing.connect_timeout, TcpStream::connect(address))
            .await
            .map_err(|_| Fault::ConnectTimeout)?
            .map_err(Fault::Connect)?;
        stream.set_nodelay(true).map_err(Fault::Connect)?;
        let mut builder = http1::Builder::new();
        builder.max_buf_size(MAX_HEAD_BYTES);
        let (sender, connection) = builder
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|_| Fault::Unsent)?;
        tokio::spawn(async move {
            if let Err(error) = connection.await {
                tracing::debug!(%address, %error, "upstream: connection lost");
            }
        });
        Ok(sender)
    }
}
