//! A client that fetches the status of a host.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Empty;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;
use tokio::time::timeout;

use crate::query::Status;

/// The maximum time for a host to respond.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why a status can't be fetched.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established.
    #[error("can't connect to {address}: {source}")]
    Connect {
        /// The operator address of the host.
        address: SocketAddr,
        /// The error of the operating system.
        source: std::io::Error,
    },
    /// The connection failed.
    #[error("connection failed: {0}")]
    Connection(#[from] hyper::Error),
    /// The request could not be built.
    #[error("request can't be built: {0}")]
    Request(#[from] http::Error),
    /// The host responded with an HTTP status other than 200.
    #[error("{address} responded with HTTP status {status}, expected 200")]
    Status {
        /// The operator address of the host.
        address: SocketAddr,
        /// The HTTP status of the response.
        status: StatusCode,
    },
    /// The response is not a valid status.
    #[error("response is not a valid status: {0}")]
    Decode(#[from] serde_json::Error),
    /// The host did not respond in time.
    #[error("{address} did not respond within {} s", REQUEST_TIMEOUT.as_secs())]
    Timeout {
        /// The operator address of the host.
        address: SocketAddr,
    },
}

/// Fetches the status of the host at an operator address. Fails if the host does not
/// respond within five seconds.
pub async fn status(address: SocketAddr) -> Result<Status, Error> {
    timeout(REQUEST_TIMEOUT, fetch(address))
        .await
        .map_err(|_| Error::Timeout { address })?
}

async fn fetch(address: SocketAddr) -> Result<Status, Error> {
    let stream = TcpStream::connect(address)
        .await
        .map_err(|source| Error::Connect { address, source })?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    let request = Request::get("/status")
        .header(http::header::HOST, address.to_string())
        .body(Empty::<Bytes>::new())?;
    let response = sender.send_request(request).await?;
    match response.status() {
        StatusCode::OK => {
            let body = response.into_body().collect().await?.to_bytes();
            Ok(serde_json::from_slice(&body)?)
        }
        status => Err(Error::Status { address, status }),
    }
}
