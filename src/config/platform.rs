//! A client of the platform's service for published values, over HTTP/1.1.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Empty;
use http_body_util::Limited;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time;

use crate::config::VALUE_LIMIT_BYTES;
use crate::config::key::Key;
use crate::framing::Framing;
use crate::member::listing::Listing;
use crate::revision::Revision;

/// The header that carries the revision of a value.
pub const REVISION: &str = "revision";

/// The maximum time to connect and receive the response, in addition to the
/// wait of a watch.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// A client of the platform, for one call at a time. Each watched key has a
/// client of its own, so that its watches rotate through the replicas.
#[derive(Clone, Debug)]
pub struct Client {
    addresses: Vec<SocketAddr>,
    next_replica: usize,
    timeout: Duration,
}

/// A published value.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Value {
    /// Its revision according to the platform.
    pub revision: Revision,
    /// Its text.
    pub text: String,
}

/// A response whose body has been read, and what marked its end.
#[derive(Debug)]
struct Reply {
    framing: Framing,
    response: Response<Bytes>,
}

/// Why a call to the platform failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// No address of the platform is configured.
    #[error("no address of the platform is configured")]
    NoAddress,
    /// The response did not arrive in time.
    #[error("platform at {address} did not respond in time")]
    Timeout {
        /// The address called.
        address: SocketAddr,
    },
    /// The connection could not be established.
    #[error("connection to the platform at {address} failed")]
    Connect {
        /// The address called.
        address: SocketAddr,
        /// The cause.
        source: std::io::Error,
    },
    /// The connection failed during the call.
    #[error("call to the platform failed")]
    Http(#[from] hyper::Error),
    /// The request can't be built.
    #[error("request to the platform can't be built")]
    Request(#[from] http::Error),
    /// The platform responded with an unexpected status.
    #[error("platform responded with unexpected status {status}")]
    Status {
        /// The status.
        status: StatusCode,
    },
    /// The response has no valid revision.
    #[error("response of the platform has no valid {REVISION} header")]
    Revision,
    /// The body exceeds the maximum size of a value, or ended early.
    #[error("body of the platform's response can't be read")]
    Body(#[source] Box<dyn std::error::Error + Send + Sync>),
    /// The body ends with its connection, so part of the value may be missing.
    #[error("platform's response has neither a length nor chunks")]
    Unframed,
    /// The value is not valid UTF-8.
    #[error("value is not valid UTF-8")]
    Text(#[from] std::string::FromUtf8Error),
    /// The list of hosts can't be decoded.
    #[error("list of hosts from the platform can't be decoded")]
    Hosts(#[from] serde_json::Error),
}

impl Client {
    /// Returns a client of the replicas at these addresses.
    pub fn new(addresses: Vec<SocketAddr>, timeout: Duration) -> Self {
        Self {
            addresses,
            next_replica: 0,
            timeout,
        }
    }

    /// Sets the replica to call first, by its index.
    pub fn starting_at(mut self, next_replica: usize) -> Self {
        self.next_replica = next_replica;
        self
    }

    /// Requests a value. Returns `None` if there is none.
    pub async fn get(&mut self, key: Key) -> Result<Option<Value>, Error> {
        let path = format!("/v1/values/{key}");
        self.value(&path, Duration::ZERO).await
    }

    /// Waits for a value with a greater revision. Returns `None` if none was
    /// published in time.
    pub async fn watch(
        &mut self,
        key: Key,
        after: Revision,
        wait: Duration,
    ) -> Result<Option<Value>, Error> {
        let (after, wait_ms) = (after.0, wait.as_millis());
        let path = format!("/v1/values/{key}?after={after}&wait_ms={wait_ms}");
        self.value(&path, wait).await
    }

    /// Requests the list of hosts.
    pub async fn hosts(&mut self) -> Result<Vec<Listing>, Error> {
        // JSON tells its end, so the framing doesn't matter.
        let reply = self.call("/v1/hosts", Duration::ZERO).await?;
        match reply.response.status() {
            StatusCode::OK => Ok(serde_json::from_slice(reply.response.body())?),
            status => Err(Error::Status { status }),
        }
    }

    async fn value(&mut self, path: &str, wait: Duration) -> Result<Option<Value>, Error> {
        let reply = self.call(path, wait).await?;
        match reply.response.status() {
            StatusCode::OK if reply.framing == Framing::Close => Err(Error::Unframed),
            StatusCode::OK => Value::read(reply.response).map(Some),
            StatusCode::NOT_MODIFIED | StatusCode::NOT_FOUND => Ok(None),
            status => Err(Error::Status { status }),
        }
    }

    /// Calls one replica. The next call goes to the next replica, since a
    /// replica that responds may still lag for a long time.
    async fn call(&mut self, path: &str, wait: Duration) -> Result<Reply, Error> {
        let count = self.addresses.len();
        let index = self.next_replica.checked_rem(count).unwrap_or_default();
        let address = *self.addresses.get(index).ok_or(Error::NoAddress)?;
        let limit = self.timeout + wait;
        self.next_replica = self.next_replica.wrapping_add(1);
        match time::timeout(limit, send(address, path)).await {
            Ok(result) => result,
            Err(_) => Err(Error::Timeout { address }),
        }
    }
}

impl Value {
    fn read(response: Response<Bytes>) -> Result<Self, Error> {
        let revision = response
            .headers()
            .get(REVISION)
            .and_then(|value| value.to_str().ok())
            .and_then(|text| text.parse().ok())
            .map(Revision)
            .ok_or(Error::Revision)?;
        let text = String::from_utf8(response.into_body().into())?;
        Ok(Self { revision, text })
    }
}

async fn send(address: SocketAddr, path: &str) -> Result<Reply, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|source| Error::Connect { address, source })?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    let request = Request::get(path)
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let exchange = async {
        let response = sender.send_request(request).await?;
        read(response).await
    };
    tokio::pin!(connection);
    tokio::pin!(exchange);
    tokio::select! {
        biased;
        result = &mut exchange => result,
        // The response may have arrived before the connection failed; if not, the
        // exchange gets the error.
        _ended = &mut connection => exchange.await,
    }
}

async fn read(response: Response<Incoming>) -> Result<Reply, Error> {
    let (parts, body) = response.into_parts();
    let framing = Framing::of(&parts.headers, &body);
    let body = Limited::new(body, VALUE_LIMIT_BYTES)
        .collect()
        .await
        .map_err(Error::Body)?
        .to_bytes();
    let response = Response::from_parts(parts, body);
    Ok(Reply { framing, response })
}
