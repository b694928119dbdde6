//! Helpers shared by the tests of the stand-ins.
#![allow(
    unused_imports,
    dead_code,
    reason = "each test file uses only some of the helpers"
)]
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod entry;

use std::fs;
use std::net::SocketAddr;
use std::path::Path;
use std::path::PathBuf;
use std::sync::atomic::AtomicU32;
use std::sync::atomic::Ordering;
use std::time::Duration;

use bytes::Bytes;
use http::Request;
use http::StatusCode;
use http_body_util::BodyExt;
use http_body_util::Full;
use hyper::client::conn::http1;
use hyper::client::conn::http1::SendRequest;
use hyper_util::rt::TokioIo;
use standin::engine;
use standin::plain;
use standin::platform;
use standin::server::EXCHANGE;
use standin::server::Shared;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio_util::sync::CancellationToken;
use tokio_util::sync::DropGuard;

pub use entry::Reply;
pub use entry::start_entry;
pub use entry::token_of;

/// The interval at which a condition is checked.
const POLL_PERIOD: Duration = Duration::from_millis(5);
/// The time limit for a condition to be met.
const CONDITION_TIMEOUT: Duration = Duration::from_secs(10);

/// A stand-in that runs until it is dropped.
pub struct Started<H> {
    pub address: SocketAddr,
    pub handle: H,
    _end: DropGuard,
}

/// A plain service that runs until it is dropped.
pub struct Plain {
    pub address: SocketAddr,
    pub shared: Shared,
    _end: DropGuard,
}

async fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

pub async fn engine(options: engine::Options) -> Started<engine::Handle> {
    let (listener, address) = listen().await;
    let token = CancellationToken::new();
    let handle = engine::Handle::default();
    tokio::spawn(engine::run(
        listener,
        options,
        handle.clone(),
        token.clone(),
    ));
    Started {
        address,
        handle,
        _end: token.drop_guard(),
    }
}

pub async fn plain() -> Plain {
    let (listener, address) = listen().await;
    let token = CancellationToken::new();
    let shared = Shared::default();
    let options = plain::Options::default();
    tokio::spawn(plain::run(listener, options, shared.clone(), token.clone()));
    Plain {
        address,
        shared,
        _end: token.drop_guard(),
    }
}

pub async fn platform(dir: Option<&Path>) -> Started<platform::Handle> {
    let (listener, address) = listen().await;
    let token = CancellationToken::new();
    let handle = platform::Handle::default();
    let options = platform::Options {
        dir: dir.map(Path::to_owned),
    };
    tokio::spawn(platform::run(
        listener,
        options,
        handle.clone(),
        token.clone(),
    ));
    Started {
        address,
        handle,
        _end: token.drop_guard(),
    }
}

/// A complete response.
#[derive(Debug)]
pub struct Answer {
    pub status: StatusCode,
    pub revision: Option<String>,
    pub exchange: Option<String>,
    pub body: Bytes,
}

/// An HTTP client on a single connection.
pub struct Client {
    sender: SendRequest<Full<Bytes>>,
    driver: tokio::task::JoinHandle<()>,
}

impl Drop for Client {
    fn drop(&mut self) {
        self.driver.abort();
    }
}

impl Client {
    pub async fn try_connect(address: SocketAddr) -> std::io::Result<TcpStream> {
        TcpStream::connect(address).await
    }

    pub async fn connect(address: SocketAddr) -> Self {
        let stream = Self::try_connect(address).await.unwrap();
        let (sender, connection) = http1::handshake(TokioIo::new(stream)).await.unwrap();
        let driver = tokio::spawn(async move {
            let _ = connection.await;
        });
        Self { sender, driver }
    }

    pub async fn get(&mut self, path: &str) -> Result<Answer, hyper::Error> {
        self.call("GET", path, "").await
    }

    pub async fn post(&mut self, path: &str, body: &str) -> Result<Answer, hyper::Error> {
        self.call("POST", path, body).await
    }

    async fn call(&mut self, method: &str, path: &str, body: &str) -> Result<Answer, hyper::Error> {
        let request = Request::builder()
            .method(method)
            .uri(path)
            .header("host", "standin")
            .header(EXCHANGE, "x1")
            .body(Full::new(Bytes::copy_from_slice(body.as_bytes())))
            .unwrap();
        self.sender.ready().await?;
        let response = self.sender.send_request(request).await?;
        let header = |name: &str| {
            let value = response.headers().get(name)?;
            Some(value.to_str().unwrap().to_owned())
        };
        let (revision, exchange) = (header(platform::REVISION), header(EXCHANGE));
        let status = response.status();
        let body = response.into_body().collect().await?.to_bytes();
        Ok(Answer {
            status,
            revision,
            exchange,
            body,
        })
    }
}

/// Returns the body of a chat request.
pub fn chat(text: &str, stream: bool) -> String {
    let messages = [serde_json::json!({"role": "user", "content": text})];
    serde_json::json!({"model": "assistant", "messages": messages, "stream": stream}).to_string()
}

/// Returns the body of a purchase.
pub fn buy(id: &str) -> String {
    serde_json::json!({"id": id, "seat": 7, "buyer": "parent"}).to_string()
}

/// Waits until a condition holds; panics after 10 s.
pub async fn until(condition: impl Fn() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, wait).await.unwrap();
}

/// Returns an address that refuses connections.
pub async fn closed_address() -> SocketAddr {
    listen().await.1
}

/// Waits until an address refuses connections.
pub async fn until_refused(address: SocketAddr) {
    let wait = async {
        while Client::try_connect(address).await.is_ok() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, wait).await.unwrap();
}

/// Waits until an address accepts connections.
pub async fn until_accepted(address: SocketAddr) {
    let wait = async {
        while Client::try_connect(address).await.is_err() {
            tokio::time::sleep(POLL_PERIOD).await;
        }
    };
    tokio::time::timeout(CONDITION_TIMEOUT, wait).await.unwrap();
}

/// A temporary directory that is removed on drop.
pub struct Dir(PathBuf);

impl Dir {
    pub fn new() -> Self {
        static NEXT: AtomicU32 = AtomicU32::new(0);
        let at = NEXT.fetch_add(1, Ordering::Relaxed);
        let name = format!("standin-{}-{at}", std::process::id());
        let path = std::env::temp_dir().join(name);
        fs::create_dir_all(&path).unwrap();
        Self(path)
    }

    pub fn path(&self) -> &Path {
        &self.0
    }

    pub fn write(&self, name: &str, text: &str) {
        let path = self.0.join(name);
        fs::create_dir_all(path.parent().unwrap()).unwrap();
        fs::write(path, text).unwrap();
    }
}

impl Drop for Dir {
    fn drop(&mut self) {
        let _ = fs::remove_dir_all(&self.0);
    }
}
