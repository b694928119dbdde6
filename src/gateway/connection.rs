//! Connections to upstreams.
//!
//! A request that may not be repeated always gets a new connection: an idle one
//! may have been dropped by the upstream, and then nobody can tell whether the
//! request ran.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
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

use crate::lock::lock;

/// The longest that a connection may take to be established. A first packet that
/// was lost is sent again after a second, too late to wait for.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// The longest that a connection is kept without a request. Upstreams close idle
/// ones after a time of their own.
const IDLE: Duration = Duration::from_secs(3);

/// The most idle connections kept to one upstream.
const IDLE_CONNECTIONS: usize = 16;

/// Unacknowledged bytes end a connection after this time, and so does silence
/// under keep-alive probes: a path may go silent without a reset.
const DEAD_AFTER: Duration = Duration::from_secs(4);

/// Rest after which a connection is probed.
const PROBE_AFTER: Duration = Duration::from_secs(2);

/// Time between probes of a connection that rests.
const PROBE_EVERY: Duration = Duration::from_secs(1);

/// Why a request got no answer.
#[derive(Debug, thiserror::Error)]
pub enum Fault {
    /// No connection could be established; nothing was sent.
    #[error("no connection: {0}")]
    Connect(#[source] io::Error),
    /// The connection closed before anything of the request was sent.
    #[error("connection closed before the request was sent")]
    Unsent,
    /// The connection broke after the request was sent.
    #[error("connection broke: {0}")]
    Broken(#[source] hyper::Error),
}

/// A connection that carries one request at a time. Dropping it closes it.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    address: SocketAddr,
    /// Whether it carried a request before.
    pub is_reused: bool,
    idle_since: Instant,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl Connection {
    /// Sends a request and waits for the head of the answer.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Fault> {
        if self.sender.ready().await.is_err() {
            return Err(Fault::Unsent);
        }
        let answer = self.sender.try_send_request(request).await;
        answer.map_err(|mut error| match error.take_message() {
            Some(_) => Fault::Unsent,
            None => Fault::Broken(error.into_error()),
        })
    }
}

/// Idle connections by address.
#[derive(Debug, Default)]
pub struct Pool {
    idle: Mutex<BTreeMap<SocketAddr, Vec<Connection>>>,
}

impl Pool {
    /// Returns an idle connection, or a new one. `is_fresh` asks for a new one.
    pub async fn take(&self, address: SocketAddr, is_fresh: bool) -> Result<Connection, Fault> {
        match is_fresh {
            false => match self.take_idle(Instant::now(), address) {
                Some(connection) => Ok(connection),
                None => connect(address).await,
            },
            true => connect(address).await,
        }
    }

    /// Keeps a connection whose answer was read to its end.
    pub fn put(&self, now: Instant, mut connection: Connection) {
        connection.idle_since = now;
        connection.is_reused = true;
        let mut idle = lock(&self.idle);
        let kept = idle.entry(connection.address).or_default();
        if kept.len() < IDLE_CONNECTIONS {
            kept.push(connection);
        }
    }

    /// Closes connections that rested too long.
    pub fn sweep(&self, now: Instant) {
        let mut idle = lock(&self.idle);
        for kept in idle.values_mut() {
            kept.retain(|it| is_usable(now, it));
        }
        idle.retain(|_, kept| !kept.is_empty());
    }

    fn take_idle(&self, now: Instant, address: SocketAddr) -> Option<Connection> {
        let mut idle = lock(&self.idle);
        let kept = idle.get_mut(&address)?;
        kept.retain(|it| is_usable(now, it));
        kept.pop()
    }
}

fn is_usable(now: Instant, connection: &Connection) -> bool {
    now.duration_since(connection.idle_since) < IDLE && !connection.sender.is_closed()
}

async fn connect(address: SocketAddr) -> Result<Connection, Fault> {
    let stream = timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let stream = stream.unwrap_or_else(|_| Err(io::ErrorKind::TimedOut.into()));
    let stream = stream.map_err(Fault::Connect)?;
    harden(&stream).map_err(Fault::Connect)?;
    // A request that was given up must not arrive when a cut path heals: closing
    // discards what wasn't acknowledged.
    let socket = SockRef::from(&stream);
    socket
        .set_linger(Some(Duration::ZERO))
        .map_err(Fault::Connect)?;
    let handshake = http1::Builder::new().handshake(TokioIo::new(stream)).await;
    let (sender, connection) = handshake.map_err(Fault::Broken)?;
    let task = tokio::spawn(async move {
        // What went wrong reaches the request that was under way.
        let _ended = connection.await;
    });
    Ok(Connection {
        sender,
        task: task.abort_handle(),
        address,
        is_reused: false,
        idle_since: Instant::now(),
    })
}

/// Makes a connection notice a path that went silent, and sends small writes at
/// once.
pub fn harden(stream: &TcpStream) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let socket = SockRef::from(stream);
    socket.set_tcp_user_timeout(Some(DEAD_AFTER))?;
    let probes = TcpKeepalive::new()
        .with_time(PROBE_AFTER)
        .with_interval(PROBE_EVERY)
        .with_retries(2);
    socket.set_tcp_keepalive(&probes)
}
