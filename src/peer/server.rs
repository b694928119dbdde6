//! Server side of the protocol: the listener for other hosts. The service
//! supplied by the caller processes the frames and other posts.

use std::convert::Infallible;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use futures_util::future::BoxFuture;
use http::Request;
use http::Response;
use http_body_util::BodyExt;
use http_body_util::Full;
use http_body_util::Limited;
use http_body_util::StreamBody;
use http_body_util::combinators::BoxBody;
use hyper::body::Incoming;
use hyper::server::conn::http2;
use hyper::service::service_fn;
use hyper_util::rt::TokioExecutor;
use hyper_util::rt::TokioIo;
use hyper_util::rt::TokioTimer;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::mpsc;
use tokio_util::sync::CancellationToken;

use crate::peer::client::FRAME_PATH;
use crate::peer::codec;
use crate::peer::codec::Decoder;
use crate::peer::frame::Envelope;
use crate::peer::frame::Exchange;
use crate::peer::frame::Frame;

/// The maximum number of frames of a response that are queued to be sent.
pub const RESPONSE_FRAMES: usize = 64;

/// The HTTP/2 flow-control window of a connection and of a stream, in bytes.
const WINDOW_BYTES: u32 = 1 << 20;

/// The maximum number of concurrent exchanges on one connection.
const MAX_STREAMS: u32 = 10_000;

/// How the listener processes requests.
pub struct Service {
    /// Processes a frame. The response goes to the channel, which closes when
    /// the other host has cancelled the exchange.
    pub frame: Box<dyn Fn(Exchange, Frame, mpsc::Sender<Frame>) + Send + Sync>,
    /// Processes a post to any other path: maps the path and the request body
    /// to the response body, or to `None` if the path is unknown.
    pub post: Box<dyn Fn(String, Bytes) -> BoxFuture<'static, Option<Bytes>> + Send + Sync>,
    /// The maximum size of a request body, in bytes.
    pub frame_bytes: usize,
    /// The interval of HTTP/2 pings on an open connection.
    pub ping: Duration,
    /// The maximum time until a ping is answered.
    pub ping_timeout: Duration,
}

type Body = BoxBody<Bytes, codec::Error>;

/// Accepts connections of other hosts until `stop` is cancelled. Connections
/// stay open until the other side closes them or the process ends.
pub async fn run(listener: TcpListener, service: Arc<Service>, stop: CancellationToken) {
    loop {
        let accepted = tokio::select! {
            () = stop.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        match accepted {
            Ok((stream, _)) => {
                tokio::spawn(connection(stream, service.clone()));
            }
            Err(error) => {
                tracing::warn!(%error, "peer: accept failed");
                tokio::time::sleep(Duration::from_millis(10)).await;
            }
        }
    }
}

async fn connection(stream: TcpStream, service: Arc<Service>) {
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(%error, "peer: setting TCP_NODELAY failed");
    }
    let shared = service.clone();
    let served = http2::Builder::new(TokioExecutor::new())
        .timer(TokioTimer::new())
        .initial_connection_window_size(WINDOW_BYTES)
        .initial_stream_window_size(WINDOW_BYTES)
        .max_concurrent_streams(MAX_STREAMS)
        .keep_alive_interval(service.ping)
        .keep_alive_timeout(service.ping_timeout)
        .serve_connection(
            TokioIo::new(stream),
            service_fn(move |request| respond(request, shared.clone())),
        )
        .await;
    if let Err(error) = served {
        tracing::debug!(%error, "peer: connection failed");
    }
}

async fn respond(
    request: Request<Incoming>,
    service: Arc<Service>,
) -> Result<Response<Body>, Infallible> {
    let path = request.uri().path().to_owned();
    let limited = Limited::new(request.into_body(), service.frame_bytes);
    let Ok(body) = limited.collect().await else {
        return Ok(status(http::StatusCode::PAYLOAD_TOO_LARGE));
    };
    let bytes = body.to_bytes();
    match path.as_str() {
        FRAME_PATH => Ok(frame(&bytes, &service)),
        _ => match (service.post)(path, bytes).await {
            Some(body) => Ok(Response::new(full(body))),
            None => Ok(status(http::StatusCode::NOT_FOUND)),
        },
    }
}

fn frame(bytes: &Bytes, service: &Service) -> Response<Body> {
    let mut decoder = Decoder::new(service.frame_bytes);
    decoder.push(bytes);
    match decoder.frame() {
        Ok(Some(Envelope {
            exchange, frame, ..
        })) => {
            let (sender, receiver) = mpsc::channel(RESPONSE_FRAMES);
            (service.frame)(exchange, frame, sender);
            Response::new(response_body(exchange, receiver))
        }
        Err(codec::Error::Version { found: theirs }) => {
            tracing::warn!(theirs, "peer: refused frame of another protocol version");
            status(http::StatusCode::HTTP_VERSION_NOT_SUPPORTED)
        }
        Ok(None) | Err(_) => status(http::StatusCode::BAD_REQUEST),
    }
}

fn response_body(exchange: Exchange, mut receiver: mpsc::Receiver<Frame>) -> Body {
    let frames = futures_util::stream::poll_fn(move |context| receiver.poll_recv(context));
    let chunks = futures_util::StreamExt::map(frames, move |frame| {
        codec::encode(exchange, frame).map(hyper::body::Frame::data)
    });
    BodyExt::boxed(StreamBody::new(chunks))
}

fn full(bytes: Bytes) -> Body {
    BodyExt::boxed(Full::new(bytes).map_err(|never| match never {}))
}

fn status(code: http::StatusCode) -> Response<Body> {
    let mut response = Response::new(full(Bytes::new()));
    *response.status_mut() = code;
    response
}
