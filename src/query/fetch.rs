//! Asks a host for its status.

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

/// The longest that a host may take to answer.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(5);

/// Why there is no status.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The host can't be reached.
    #[error("{address} can't be reached: {source}")]
    Connect {
        /// Its operator address.
        address: SocketAddr,
        /// Why.
        source: std::io::Error,
    },
    /// The connection broke.
    #[error("connection broke: {0}")]
    Connection(#[from] hyper::Error),
    /// The request can't be built.
    #[error("request can't be built: {0}")]
    Request(#[from] http::Error),
    /// The host answered with another status than 200.
    #[error("{address} answered {status}")]
    Status {
        /// Its operator address.
        address: SocketAddr,
        /// What it answered.
        status: StatusCode,
    },
    /// The answer is not a status.
    #[error("answer is no status: {0}")]
    Decode(#[from] serde_json::Error),
    /// The host took too long.
    #[error("{address} took too long")]
    Timeout {
        /// Its operator address.
        address: SocketAddr,
    },
}

/// Asks the host at an operator address for its status.
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
