//! An upstream that does as it is told.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpStream;
use tokio::sync::Notify;

/// How long a slow upstream takes: longer than the objective of the routes.
const SLOW: Duration = Duration::from_millis(400);

/// What an upstream does with a request.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Answers.
    Answer(u16, &'static str),
    /// Answers late.
    Slow(u16, &'static str),
    /// Resets the connection without an answer.
    Reset,
    /// The same, late.
    SlowReset,
    /// Breaks its answer off.
    Cut,
    /// Answers another request.
    Foreign,
    /// Says that it is full and ran nothing.
    Reject,
    /// Says that another upstream was meant.
    Misdirected,
    /// Never answers.
    Mute,
    /// Sends events and, if torn, breaks off in the middle of the next.
    Stream {
        /// The first event.
        from: u64,
        /// The event after the last.
        to: u64,
        /// Whether it breaks off.
        torn: bool,
    },
    /// Sends events with a long pause before one.
    Stall {
        /// The event that comes late.
        at: u64,
        /// The event after the last.
        to: u64,
    },
}

/// A request as it arrived.
#[derive(Clone, Debug)]
pub struct Request {
    headers: BTreeMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns a header by its name in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

struct Shared {
    requests: Mutex<Vec<Request>>,
    number: AtomicUsize,
    /// The end of a stream that is resumed; 0 for none.
    resumed_to: AtomicU64,
    closed: Notify,
    /// Whether the other side ended a connection with a reset.
    was_reset: AtomicBool,
}

/// A running upstream.
pub struct Upstream {
    /// Its name.
    pub id: &'static str,
    /// Where it listens.
    pub address: SocketAddr,
    shared: Arc<Shared>,
}

/// Returns the bytes of a range of events.
pub fn events(from: u64, to: u64) -> Vec<u8> {
    (from..to).flat_map(event).collect()
}

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: event {id}\n\n").into_bytes()
}

impl Upstream {
    /// Starts an upstream; `step` tells what to do with each request.
    pub async fn start(
        id: &'static str,
        step: impl Fn(usize) -> Step + Send + Sync + Copy + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let upstream = Self::at(id, listener.local_addr().unwrap());
        let shared = upstream.shared.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                let shared = shared.clone();
                tokio::spawn(async move {
                    serve(id, stream, &shared, step).await;
                    shared.closed.notify_one();
                });
            }
        });
        upstream
    }

    /// Returns an upstream that nobody can connect to.
    pub async fn refusing(id: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        Self::at(id, listener.local_addr().unwrap())
    }

    fn at(id: &'static str, address: SocketAddr) -> Self {
        Self {
            id,
            address,
            shared: Arc::new(Shared {
                requests: Mutex::default(),
                number: AtomicUsize::new(0),
                resumed_to: AtomicU64::new(0),
                closed: Notify::new(),
                was_reset: AtomicBool::new(false),
            }),
        }
    }

    /// Returns the requests that arrived.
    pub fn requests(&self) -> Vec<Request> {
        self.shared.requests.lock().unwrap().clone()
    }

    /// Counts one request as if it had come.
    pub fn skip(&self) {
        self.shared.number.fetch_add(1, Ordering::Relaxed);
    }

    /// Lets streams that are resumed go on up to an event.
    pub fn resume(&self, to: u64) {
        self.shared.resumed_to.store(to, Ordering::Relaxed);
    }

    /// Tells whether the other side ended a connection with a reset.
    pub fn was_reset(&self) -> bool {
        self.shared.was_reset.load(Ordering::Relaxed)
    }

    /// Waits until a connection was closed.
    pub async fn closed(&self) {
        self.shared.closed.notified().await;
    }
}

async fn serve(id: &str, mut stream: TcpStream, shared: &Shared, step: impl Fn(usize) -> Step) {
    while let Some(request) = read(&mut stream).await {
        let attempt = request.header("x-attempt").unwrap_or_default().to_owned();
        let resumed = request.header("x-last").and_then(|last| last.parse().ok());
        let resumed_to = shared.resumed_to.load(Ordering::Relaxed);
        let number = shared.number.fetch_add(1, Ordering::Relaxed);
        shared.requests.lock().unwrap().push(request);
        let step = match resumed {
            Some(last) if resumed_to > 0 => {
                let last: u64 = last;
                Step::Stream {
                    from: last + 1,
                    to: resumed_to,
                    torn: false,
                }
            }
            _ => step(number),
        };
        let own = format!("x-attempt: {attempt}\r\nx-receipt: {id}\r\n");
        let whole = |status: u16, headers: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}")
        };
        let text = match step {
            Step::Answer(status, body) => whole(status, &own, body),
            Step::Slow(status, body) => {
                tokio::time::sleep(SLOW).await;
                whole(status, &own, body)
            }
            Step::Foreign => whole(200, "x-attempt: other\r\nx-receipt: r\r\n", "not yours"),
            Step::Reject => whole(503, &format!("{own}x-not-executed: 1\r\n"), "full"),
            Step::Misdirected => whole(421, "", ""),
            Step::Reset | Step::SlowReset => {
                if matches!(step, Step::SlowReset) {
                    tokio::time::sleep(SLOW).await;
                }
                let socket = SockRef::from(&stream);
                socket.set_linger(Some(Duration::ZERO)).unwrap();
                return;
            }
            Step::Cut => {
                let head = format!("HTTP/1.1 200 X\r\n{own}content-length: 100\r\n\r\nhalf");
                let _sent = stream.write_all(head.as_bytes()).await;
                return;
            }
            Step::Mute => {
                // Ends when the other side closes.
                let end = stream.read(&mut [0; 16]).await;
                shared.was_reset.store(end.is_err(), Ordering::Relaxed);
                return;
            }
            Step::Stream { from, to, torn } => {
                let head = format!("HTTP/1.1 200 X\r\n{own}transfer-encoding: chunked\r\n\r\n");
                let _sent = stream.write_all(head.as_bytes()).await;
                let mut body = events(from, to);
                if torn {
                    body.extend_from_slice(b"id: 99\nda");
                }
                chunk(&mut stream, &body).await;
                if torn {
                    return;
                }
                chunk(&mut stream, b"").await;
                continue;
            }
            Step::Stall { at, to } => {
                let head = format!("HTTP/1.1 200 X\r\n{own}transfer-encoding: chunked\r\n\r\n");
                let _sent = stream.write_all(head.as_bytes()).await;
                chunk(&mut stream, &events(0, at)).await;
                tokio::time::sleep(SLOW).await;
                chunk(&mut stream, &events(at, to)).await;
                chunk(&mut stream, b"").await;
                continue;
            }
        };
        // The other side may be gone.
        let _sent = stream.write_all(text.as_bytes()).await;
    }
}

async fn chunk(stream: &mut TcpStream, body: &[u8]) {
    let mut bytes = format!("{:x}\r\n", body.len()).into_bytes();
    bytes.extend_from_slice(body);
    bytes.extend_from_slice(b"\r\n");
    let _sent = stream.write_all(&bytes).await;
}

async fn read(stream: &mut TcpStream) -> Option<Request> {
    let mut bytes = Vec::new();
    let head = loop {
        if let Some(end) = bytes.windows(4).position(|it| it == b"\r\n\r\n") {
            break end + 4;
        }
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    };
    let text = String::from_utf8(bytes[..head].to_vec()).unwrap();
    let lines = text.lines().filter_map(|line| line.split_once(": "));
    let headers: BTreeMap<String, String> = lines
        .map(|(name, value)| (name.to_lowercase(), value.to_owned()))
        .collect();
    let length = headers.get("content-length");
    let length: usize = length.map_or(0, |length| length.parse().unwrap());
    while bytes.len() < head + length {
        if stream.read_buf(&mut bytes).await.ok()? == 0 {
            return None;
        }
    }
    Some(Request {
        headers,
        body: bytes[head..].to_vec(),
    })
}
