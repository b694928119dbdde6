//! Client side of the protocol: one connection per host, opened on first use
//! and replaced when it breaks or falls silent.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::client::conn::http2;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpStream;
use tokio::time::sleep;
use tokio::time::timeout;

use crate::lock::lock;
use crate::peer::codec;
use crate::peer::codec::Decoder;
use crate::peer::frame::Exchange;
use crate::peer::frame::Frame;
use crate::peer::partition;

/// The path to which frames are posted.
pub const FRAME_PATH: &str = "/v1/frame";

/// The HTTP/2 flow-control window of a connection and of a stream, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// Why a call to another host failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection could not be established, so nothing was sent.
    #[error("connect failed: {0}")]
    Connect(#[source] std::io::Error),
    /// The connection was not established in time, so nothing was sent.
    #[error("connect timed out: nothing was sent")]
    ConnectTimeout,
    /// The connection was closed before anything was sent.
    #[error("connection was closed before the request was sent")]
    Unsent,
    /// The connection failed after something may have been sent.
    #[error("connection failed during the call: {0}")]
    Broken(#[from] hyper::Error),
    /// The response ended before its last frame.
    #[error("response ended before its last frame")]
    Truncated,
    /// The other host rejected the request without processing the frame.
    #[error("peer responded with status {0}, expected 200")]
    Status(u16),
    /// The response contains no valid frames.
    #[error(transparent)]
    Codec(#[from] codec::Error),
    /// The HTTP request can't be built.
    #[error("request can't be built: {0}")]
    Request(#[from] http::Error),
}

impl Error {
    /// Tells whether it is certain that the other host did not act on the
    /// frame.
    pub fn is_unsent(&self) -> bool {
        matches!(
            self,
            Self::Connect(_)
                | Self::ConnectTimeout
                | Self::Unsent
                | Self::Status(_)
                | Self::Request(_)
        )
    }
}

/// Time and size limits of connections.
#[derive(Clone, Copy, Debug)]
pub struct Timing {
    /// The maximum time to connect.
    pub connect: Duration,
    /// The interval of HTTP/2 pings on an open connection.
    pub ping: Duration,
    /// The maximum time until a ping is answered.
    pub ping_timeout: Duration,
    /// The maximum size of a frame, in bytes.
    pub frame_bytes: usize,
}

/// A client with one connection per address. It sends nothing to addresses that
/// are cut off.
#[derive(Debug)]
pub struct Client {
    timing: Timing,
    partition: partition::Partition,
    connections: Mutex<BTreeMap<SocketAddr, http2::SendRequest<Full<Bytes>>>>,
}

impl Client {
    /// Returns a client without open connections.
    pub fn new(timing: Timing, partition: partition::Partition) -> Self {
        Self {
            timing,
            partition,
            connections: Mutex::default(),
        }
    }

    /// Sends a frame and returns its response. Fails if no response with status
    /// 200 arrives.
    pub async fn call(
        &self,
        address: SocketAddr,
        exchange: Exchange,
        frame: Frame,
    ) -> Result<ResponseStream, Error> {
        let body = codec::encode(exchange, frame)?;
        let response = self.post(address, FRAME_PATH, body).await?;
        Ok(ResponseStream {
            exchange,
            body: response.into_body(),
            decoder: Decoder::new(self.timing.frame_bytes),
            foreign: 0,
            address,
            timing: self.timing,
            partition: self.partition.clone(),
        })
    }

    /// Posts a body and returns the response, whose status is always 200.
    pub async fn post(
        &self,
        address: SocketAddr,
        path: &str,
        body: Bytes,
    ) -> Result<Response<Incoming>, Error> {
        let mut sender = self.sender(address).await?;
        let request = Request::post(format!("http://{address}{path}")).body(Full::new(body))?;
        match sender.try_send_request(request).await {
            Ok(response) if response.status() == http::StatusCode::OK => Ok(response),
            Ok(response) => Err(Error::Status(response.status().as_u16())),
            Err(mut error) => {
                self.remove_closed(address);
                match error.take_message() {
                    Some(_) => Err(Error::Unsent),
                    None => Err(Error::Broken(error.into_error())),
                }
            }
        }
    }

    /// Closes the connection to a host that is known to be gone, so that calls
    /// that wait on it fail at once.
    pub fn close(&self, address: SocketAddr) {
        lock(&self.connections).remove(&address);
    }

    fn remove_closed(&self, address: SocketAddr) {
        let mut connections = lock(&self.connections);
        if connections
            .get(&address)
            .is_some_and(|sender| sender.is_closed())
        {
            connections.remove(&address);
        }
    }

    async fn sender(&self, address: SocketAddr) -> Result<http2::SendRequest<Full<Bytes>>, Error> {
        if self.partition.contains(address) {
            sleep(self.timing.connect).await;
            return Err(Error::ConnectTimeout);
        }
        let open = lock(&self.connections)
            .get(&address)
            .filter(|sender| !sender.is_closed())
            .cloned();
        match open {
            Some(sender) => Ok(sender),
            None => {
                let sender = self.connect(address).await?;
                // Two calls may connect at the same time. The later connection
                // stays.
                lock(&self.connections).insert(address, sender.clone());
                Ok(sender)
            }
        }
    }

    async fn connect(&self, address: SocketAddr) -> Result<http2::SendRequest<Full<Bytes>>, Error> {
        let stream = timeout(self.timing.connect, TcpStream::connect(address))
            .await
            .map_err(|_| Error::ConnectTimeout)?
            .map_err(Error::Connect)?;
        stream.set_nodelay(true).map_err(Error::Connect)?;
        let (sender, connection) = http2::Builder::new(TokioExecutor::new())
            .timer(TokioTimer::new())
            .initial_connection_window_size(WINDOW_BYTES)
            .initial_stream_window_size(WINDOW_BYTES)
            .keep_alive_interval(self.timing.ping)
            .keep_alive_timeout(self.timing.ping_timeout)
            .keep_alive_while_idle(true)
            .handshake(TokioIo::new(stream))
            .await?;
        tokio::spawn(async move {
            match connection.await {
                Ok(()) => tracing::debug!(%address, "peer: connection closed"),
                Err(error) => tracing::info!(%address, %error, "peer: connection lost"),
            }
        });
        Ok(sender)
    }
}

/// A response, read frame by frame.
#[derive(Debug)]
pub struct ResponseStream {
    exchange: Exchange,
    body: Incoming,
    decoder: Decoder,
    foreign: u64,
    address: SocketAddr,
    timing: Timing,
    partition: partition::Partition,
}

impl ResponseStream {
    /// Waits for the next frame of this exchange. Drops and counts frames of
    /// other exchanges. Fails if the response ends early, is malformed or the
    /// address is cut off.
    pub async fn next(&mut self) -> Result<Frame, Error> {
        loop {
            match self.decoder.frame()? {
                Some(envelope) if envelope.exchange == self.exchange => return Ok(envelope.frame),
                Some(envelope) => self.drop_frame(envelope.exchange),
                None => self.read().await?,
            }
        }
    }

    /// Returns the number of dropped frames of other exchanges.
    pub fn foreign(&self) -> u64 {
        self.foreign
    }

    fn drop_frame(&mut self, theirs: Exchange) {
        self.foreign += 1;
        tracing::warn!(%theirs, ours = %self.exchange, "peer: dropped frame of another exchange");
    }

    async fn read(&mut self) -> Result<(), Error> {
        let chunk = tokio::select! {
            chunk = self.body.frame() => chunk,
            () = self.partition.wait(self.address) => {
                // Pings would detect the silent connection, so the partition
                // takes effect after the ping timeout.
                sleep(self.timing.ping + self.timing.ping_timeout).await;
                return Err(Error::Truncated);
            }
        };
        match chunk {
            Some(Ok(chunk)) => {
                if let Some(bytes) = chunk.data_ref() {
                    self.decoder.push(bytes);
                }
                Ok(())
            }
            Some(Err(error)) => Err(error.into()),
            None => Err(Error::Truncated),
        }
    }
}
