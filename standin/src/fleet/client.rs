//! An HTTP client for tests that opens one connection per request.

use std::net::SocketAddr;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::Request;
use http::Response;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http1;
use hyper_util::rt::TokioIo;
use serde_json::json;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The time limit for the head of a response, and again for its body.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(60);

/// Why no complete response was received.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be opened.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke or the response was truncated.
    #[error("response truncated: {0}")]
    Truncated(#[from] hyper::Error),
    /// The response did not arrive within the time limit.
    #[error("no response within the time limit")]
    Timeout,
    /// The request could not be built.
    #[error("invalid request: {0}")]
    Request(#[from] http::Error),
}

/// A complete response.
#[derive(Clone, Debug)]
pub struct Answer {
    /// The HTTP status.
    pub status: StatusCode,
    /// The headers.
    pub headers: HeaderMap,
    /// The body.
    pub body: Bytes,
}

impl Answer {
    /// Returns a header as text; empty if it is missing or not text.
    pub fn header(&self, name: &str) -> &str {
        let value = self.headers.get(name).map(|value| value.to_str());
        value.and_then(Result::ok).unwrap_or_default()
    }

    /// Returns the outcome of the request; empty if none is stated.
    pub fn outcome(&self) -> &str {
        self.header("masticmoor-outcome")
    }

    /// Returns the code of a refusal; empty for any other response.
    pub fn code(&self) -> String {
        let body: serde_json::Value = serde_json::from_slice(&self.body).unwrap_or_default();
        let code = body.get("code").and_then(|code| code.as_str());
        code.unwrap_or_default().to_owned()
    }
}

/// Sends a request and returns the response as soon as its head arrives. The
/// body can be read, or dropped to close the connection.
pub async fn open(
    address: SocketAddr,
    request: Request<Full<Bytes>>,
) -> Result<Response<Incoming>, Error> {
    let stream = TcpStream::connect(address).await?;
    let (mut sender, connection) = http1::handshake(TokioIo::new(stream)).await?;
    tokio::spawn(connection);
    timeout(RESPONSE_TIMEOUT, sender.send_request(request))
        .await
        .map_err(|_| Error::Timeout)?
        .map_err(Error::Truncated)
}

/// Sends a request and returns the complete response.
pub async fn send(address: SocketAddr, request: Request<Full<Bytes>>) -> Result<Answer, Error> {
    let response = open(address, request).await?;
    let (head, body) = response.into_parts();
    let body = timeout(RESPONSE_TIMEOUT, body.collect())
        .await
        .map_err(|_| Error::Timeout)??;
    Ok(Answer {
        status: head.status,
        headers: head.headers,
        body: body.to_bytes(),
    })
}

/// Returns a chat request and its body.
pub fn chat(
    workspace: &str,
    chat: &str,
    text: &str,
    stream: bool,
) -> Result<(Request<Full<Bytes>>, Bytes), Error> {
    let body = json!({
        "model": "assistant",
        "stream": stream,
        "messages": [{"role": "user", "content": text}],
    });
    let body = Bytes::from(body.to_string());
    let request = Request::post("/v1/chat/completions")
        .header("content-type", "application/json")
        .header("masticmoor-workspace", workspace)
        .header("masticmoor-chat", chat)
        .body(Full::new(body.clone()))?;
    Ok((request, body))
}

/// Returns a purchase request with a token, or without one.
pub fn buy(id: &str, seat: u64, token: Option<&str>) -> Result<Request<Full<Bytes>>, Error> {
    let body = json!({"id": id, "seat": seat, "buyer": "parent"});
    let mut request = Request::post("/tickets/buy").header("masticmoor-workspace", "school");
    if let Some(token) = token {
        request = request.header("idempotency-key", token);
    }
    Ok(request.body(Full::new(Bytes::from(body.to_string())))?)
}

/// Returns a request for the lookup of a seat.
pub fn lookup(seat: u64) -> Result<Request<Full<Bytes>>, Error> {
    Ok(Request::get(format!("/tickets/seats/{seat}"))
        .header("masticmoor-workspace", "school")
        .body(Full::default())?)
}

/// Requests a token for a later purchase from a host.
pub async fn token(address: SocketAddr) -> Result<String, Error> {
    let request = Request::post("/v1/tokens").body(Full::default())?;
    let answer = send(address, request).await?;
    Ok(answer.header("masticmoor-token").to_owned())
}
