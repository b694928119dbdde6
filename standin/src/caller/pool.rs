//! Connections to the entries, kept open between calls.

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

/// How long a connection may take to open.
const CONNECT_TIMEOUT: Duration = Duration::from_secs(1);

/// Why a request got no whole answer.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection did not open, so nothing was sent.
    #[error("no connection to {entry}")]
    Connect {
        /// Where to.
        entry: SocketAddr,
        /// Why.
        #[source]
        cause: io::Error,
    },
    /// The connection broke before the answer began.
    #[error("the connection to {entry} was lost")]
    Lost {
        /// Where to.
        entry: SocketAddr,
        /// Why.
        #[source]
        cause: hyper::Error,
    },
    /// The connection broke within the answer.
    #[error("the answer of {entry} broke off")]
    Cut {
        /// Where from.
        entry: SocketAddr,
        /// Why.
        #[source]
        cause: hyper::Error,
    },
    /// No whole answer came in time.
    #[error("{entry} took too long")]
    Timeout {
        /// Where to.
        entry: SocketAddr,
    },
}

impl Error {
    /// Tells whether it is certain that nothing was sent.
    pub fn is_unsent(&self) -> bool {
        match self {
            Self::Connect { .. } => true,
            Self::Lost { cause, .. } => cause.is_canceled(),
            Self::Cut { .. } | Self::Timeout { .. } => false,
        }
    }
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Reply {
    /// The status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
    /// How long the first byte of the body took.
    pub first_byte: Duration,
}

type Sender = SendRequest<Full<Bytes>>;

/// Open connections that wait for their next call.
#[derive(Debug)]
pub struct Pool {
    timeout: Duration,
    idle: Mutex<BTreeMap<SocketAddr, Vec<Sender>>>,
}

impl Pool {
    /// Returns an empty pool, with the time that a call may take.
    pub fn new(timeout: Duration) -> Self {
        Self {
            timeout,
            idle: Mutex::default(),
        }
    }

    /// Sends a request and waits for the whole answer.
    pub async fn call(
        &self,
        entry: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Error> {
        let answer = self.exchange(entry, request);
        match tokio::time::timeout(self.timeout, answer).await {
            Ok(answer) => answer,
            Err(_) => Err(Error::Timeout { entry }),
        }
    }

    async fn exchange(
        &self,
        entry: SocketAddr,
        request: Request<Full<Bytes>>,
    ) -> Result<Reply, Error> {
        let began = Instant::now();
        let mut sender = self.sender(entry).await?;
        let response = sender
            .send_request(request)
            .await
            .map_err(|cause| Error::Lost { entry, cause })?;
        let reply = read(response, began)
            .await
            .map_err(|cause| Error::Cut { entry, cause })?;
        self.lock().entry(entry).or_default().push(sender);
        Ok(reply)
    }

    /// Returns a connection that is open, as far as this end knows.
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
        // Its error also reaches the call that waits for an answer.
        let _ = connection.await;
    });
    Ok(sender)
}

async fn read(response: Response<Incoming>, began: Instant) -> Result<Reply, hyper::Error> {
    let (parts, mut body) = response.into_parts();
    let mut bytes = BytesMut::new();
    let mut first_byte = None;
    while let Some(frame) = body.frame().await {
        first_byte.get_or_insert_with(|| began.elapsed());
        if let Ok(data) = frame?.into_data() {
            bytes.extend_from_slice(&data);
        }
    }
    Ok(Reply {
        status: parts.status,
        headers: parts.headers,
        body: bytes.freeze(),
        first_byte: first_byte.unwrap_or_else(|| began.elapsed()),
    })
}
