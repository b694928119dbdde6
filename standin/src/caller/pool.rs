//! A pool of HTTP/1.1 connections to the entries, reused between calls.

use std::collections::BTreeMap;
use std::io;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use bytes::Bytes;
use bytes::BytesMut;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::Instant;

use crate::sync::lock;

/// The time limit for opening a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request got no complete response.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened, so nothing was sent.
    #[error("cannot connect to {entry}")]
    Connect {
        /// The address of the entry.
        entry: SocketAddr,
        /// The underlying error.
        #[source]
        cause: io::Error,
    },
    /// The connection closed before the response began.
    #[error("connection to {entry} closed before the response began")]
    Closed {
        /// The address of the entry.
        entry: SocketAddr,
        /// The underlying error.
        #[source]
        cause: hyper::Error,
    },
    /// The connection closed within the response.
    #[error("response from {entry} truncated")]
    Truncated {
        /// The address of the entry.
        entry: SocketAddr,
        /// The underlying error.
        #[source]
        cause: hyper::Error,
    },
    /// The complete response did not arrive within the pool's timeout.
    #[error("no complete response from {entry} within the timeout")]
    Timeout {
        /// The address of the entry.
        entry: SocketAddr,
    },
}

impl Error {
    /// Returns whether it is certain that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. } => true,
            Self::Closed { cause, .. } => cause.is_canceled(),
            Self::Truncated { .. } | Self::Timeout { .. } => false,
        }
    }
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// Time from the start of the attempt to the first byte of the body.
    pub first_byte: Duration,
}

type Sender = SendRequest<Full<Bytes>>;

/// A pool of idle connections, by address.
#[derive(Debug)]
pub struct Pool {
    timeout: Duration,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Returns an empty pool whose calls are limited to `timeout`.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and waits for the complete response.
    pub async fn call(
        &self,
        entry: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Error> {
        let exchange = self.exchange(entry, request);
        match tokio::time::timeout(self.timeout, exchange).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout { entry }),
        }
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Error> {
        let started = Instant::now();
        let mut sender = self.sender(entry).await?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|cause| Error::Closed { entry, cause })?;
        let reply = read(response, started)
            .await
            .map_err(|cause| Error::Truncated { entry, cause })?;
        self.lock().entry(entry).or_default().push(sender);
        Ok(reply)
    }

    /// Returns an idle connection that the peer has not closed, or a new one.
    async fn sender(&self, entry: SocketAddr) -> Result<Sender, Error> {
        while let Some(mut sender) = self.take(entry) {
            if sender.ready().await.is_ok() {
                return Ok(sender);
            }
        }
        connect(entry)
            .await
            .map_err(|cause| Error::Connect { entry, cause })
    }

    fn take(&self, entry: SocketAddr) -> Option<Sender> {
        self.lock().get_mut(&entry)?.pop()
    }

    fn lock(&self) -> MutexGuard<'_, BTreeMap<SocketAddr, Vec<Sender>>> {
        lock(&self.idle)
    }
}

async fn connect(entry: SocketAddr) -> io::Result<Sender> {
    let stream = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(entry)).await??;
    stream.set_nodelay(true)?;
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(io::Error::other)?;
    tokio::spawn(async move {
        // The call that waits for the response gets the same error.
        let _ = connection.await;
    });
    Ok(sender)
}

async fn read(response: Response<Incoming>, started: Instant) -> Result<Reply, hyper::Error> {
    let (parts, mut body) = response.into_parts();
    let mut bytes = BytesMut::new();
    let mut first_byte = None;
    while let Some(frame) = body.frame().await {
        first_byte.get_or_insert_with(|| started.elapsed());
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body: bytes.freeze(),
        first_byte: first_byte.unwrap_or_else(|| started.elapsed()),
    })
}
