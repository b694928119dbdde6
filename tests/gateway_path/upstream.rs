//! Server that stands in for an upstream, with scripted responses and faults.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicU64;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpListener;
use tokio::net::TcpSocket;
use tokio::net::TcpStream;
use tokio::sync::Notify;
use tokio::task::JoinSet;

use crate::end::End;

/// Delay of slow responses, longer than the objective of the routes.
const SLOW_DELAY: Duration = Duration::from_millis(400);

/// Size of the blocks of an endless response.
const ENDLESS_BLOCK_BYTES: usize = 64 * 1024;

/// Interval at which an endless response goes on after its burst.
const TRICKLE_INTERVAL: Duration = Duration::from_millis(5);

/// Time after which a process that ended starts again.
const RESTART_DELAY: Duration = Duration::from_millis(150);

/// Reaction of an upstream to a request.
#[derive(Clone, Copy, Debug)]
pub enum Step {
    /// Responds with a status and a body.
    Respond(u16, &'static str),
    /// Responds with a status and a body after a delay.
    RespondLate(u16, &'static str),
    /// Resets the connection without a response.
    Reset,
    /// Resets the connection without a response after a delay.
    ResetLate,
    /// Closes the connection before the end of the body.
    Truncate,
    /// Responds with the response to another request.
    Foreign,
    /// Rejects the request as if it had no free slot, and states that it did not run.
    Reject,
    /// Rejects the request with a status, and states that it did not run.
    RejectWith(u16),
    /// Rejects the request as if it were for another upstream.
    Misdirected,
    /// Runs the request, but writes a refusal with a status that doesn't name it.
    EarlierRefusal(u16),
    /// Ends its process, and with it all connections, after the head of the response. It
    /// refuses connections until it has started again.
    Crash,
    /// Sends some bytes after the status line and the identifying headers, then ends its process,
    /// and with it all connections, in order. It refuses connections from then on.
    CrashForGood(&'static str),
    /// Sends some bytes after the status line and the identifying headers, and closes the connection
    /// after a delay.
    CloseLate(&'static str),
    /// Sends such bytes after a delay, and closes the connection at once.
    RespondAndCloseLate(&'static str),
    /// Sends such bytes as [`Self::CrashForGood`] does, and ends its process after a delay.
    CrashLate(&'static str),
    /// Sends such bytes, and ends its process after a delay. The next one accepts connections at
    /// once.
    ReplaceLate(&'static str),
    /// Never responds.
    Hang,
    /// Sends a stream of events.
    Stream {
        /// Number of the first event.
        from: u64,
        /// Number after that of the last event.
        to: u64,
        /// Whether the connection closes in the middle of one more event.
        truncated: bool,
    },
    /// Sends some bytes after the status line and the identifying headers, then ends the
    /// connection.
    Raw {
        /// The rest of the response, from the headers that frame it on.
        text: &'static str,
        /// How the connection ends.
        end: End,
    },
    /// Sends the first bytes of a response, then ends the connection.
    Head {
        /// The response, in which `{echo}` stands for the identifying headers.
        text: &'static str,
        /// Number of bytes that are sent.
        sent: usize,
        /// How the connection ends.
        end: End,
    },
    /// Sends bytes until the gateway disconnects: some at once, then some now and then.
    Endless {
        /// The beginning of the response, from the headers that frame it on.
        head: &'static str,
        /// What is repeated after it.
        text: &'static str,
        /// Number of bytes that are sent at once.
        burst: usize,
    },
    /// Sends a stream of events with a long gap.
    Stall {
        /// Number of the event that is sent late.
        at: u64,
        /// Number after that of the last event.
        to: u64,
    },
}

/// A received request.
#[derive(Clone, Debug)]
pub struct Request {
    /// Number of requests that came before it on its connection.
    pub earlier: usize,
    headers: BTreeMap<String, String>,
    /// Its body.
    pub body: Vec<u8>,
}

impl Request {
    /// Returns the value of a header; `name` is in lowercase.
    pub fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }
}

struct Shared {
    requests: Mutex<Vec<Request>>,
    /// Number of the next request.
    number: AtomicUsize,
    /// Number after that of the last event of resumed streams; 0 if not set.
    resumed_to: AtomicU64,
    closed: Notify,
    /// Number of times that its process ended.
    crashes: AtomicUsize,
    /// Number of bytes of endless responses that were sent.
    endless_bytes: AtomicUsize,
    crashed: Notify,
    /// Whether it doesn't start again after a crash.
    is_lost: AtomicBool,
    /// Number of open connections.
    connections: AtomicUsize,
    /// Whether it starts again at once.
    is_replaced: AtomicBool,
    /// Whether the gateway reset a connection.
    was_reset: AtomicBool,
    /// Header lines that all responses have from now on.
    notice: Mutex<String>,
}

/// A running upstream.
pub struct Upstream {
    /// Its identifier.
    pub id: &'static str,
    /// Address that it listens on.
    pub address: SocketAddr,
    /// Version of its software.
    pub version: &'static str,
    /// Start of its process in milliseconds, if it is listed.
    pub started_ms: Option<u64>,
    shared: Arc<Shared>,
    /// A socket that is bound but doesn't listen.
    reserved: Option<TcpSocket>,
}

/// Returns the bytes of a range of events.
pub fn events(from: u64, to: u64) -> Vec<u8> {
    (from..to).flat_map(event).collect()
}

fn event(id: u64) -> Vec<u8> {
    format!("id: {id}\ndata: event {id}\n\n").into_bytes()
}

impl Upstream {
    /// Starts an upstream; `step` returns its reaction to the request with a number.
    pub async fn start(
        id: &'static str,
        step: impl Fn(usize) -> Step + Send + Sync + Copy + 'static,
    ) -> Self {
        Self::start_by_request(id, move |number, _| step(number)).await
    }

    /// Starts an upstream; `step` returns its reaction to a request with a number.
    pub async fn start_by_request(
        id: &'static str,
        step: impl Fn(usize, &Request) -> Step + Send + Sync + Copy + 'static,
    ) -> Self {
        let mut listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let upstream = Self::at(id, address);
        let shared = upstream.shared.clone();
        tokio::spawn(async move {
            loop {
                accept(id, listener, &shared, step).await;
                shared.crashes.fetch_add(1, Ordering::Relaxed);
                if shared.is_lost.load(Ordering::Relaxed) {
                    // Keeps the port, which another test's upstream could get otherwise.
                    let _reserved = reserve(address);
                    return std::future::pending().await;
                }
                if !shared.is_replaced.load(Ordering::Relaxed) {
                    tokio::time::sleep(RESTART_DELAY).await;
                }
                listener = TcpListener::bind(address).await.unwrap();
            }
        });
        upstream
    }

    /// Returns how often its process has ended.
    pub fn crashes(&self) -> usize {
        self.shared.crashes.load(Ordering::Relaxed)
    }

    /// Returns how many connections are open.
    pub fn connections(&self) -> usize {
        self.shared.connections.load(Ordering::Relaxed)
    }

    /// Returns how many bytes of endless responses were sent.
    pub fn endless_bytes(&self) -> usize {
        self.shared.endless_bytes.load(Ordering::Relaxed)
    }

    /// Ends its process.
    pub fn crash(&self) {
        self.shared.crashed.notify_one();
    }

    /// Sets the version of its software.
    pub fn with_version(self, version: &'static str) -> Self {
        Self { version, ..self }
    }

    /// Sets the start of its process.
    pub fn with_start(self, started_ms: u64) -> Self {
        let started_ms = Some(started_ms);
        Self { started_ms, ..self }
    }

    /// Returns an upstream that is listed at an address that another process serves.
    pub fn listed_at(id: &'static str, address: SocketAddr) -> Self {
        Self::at(id, address)
    }

    /// Returns an upstream that refuses connections. It keeps its port, which another
    /// test's upstream could get otherwise.
    pub async fn refusing(id: &'static str) -> Self {
        let socket = TcpSocket::new_v4().unwrap();
        socket.bind("127.0.0.1:0".parse().unwrap()).unwrap();
        let mut upstream = Self::at(id, socket.local_addr().unwrap());
        upstream.reserved = Some(socket);
        upstream
    }

    /// Returns this upstream as a host finds it at another address.
    pub fn behind(&self, address: SocketAddr) -> Self {
        Self {
            id: self.id,
            address,
            version: self.version,
            started_ms: self.started_ms,
            shared: self.shared.clone(),
            reserved: None,
        }
    }

    fn at(id: &'static str, address: SocketAddr) -> Self {
        Self {
            id,
            address,
            version: "v1",
            started_ms: None,
            reserved: None,
            shared: Arc::new(Shared {
                requests: Mutex::default(),
                number: AtomicUsize::new(0),
                resumed_to: AtomicU64::new(0),
                closed: Notify::new(),
                crashes: AtomicUsize::new(0),
                endless_bytes: AtomicUsize::new(0),
                crashed: Notify::new(),
                is_lost: AtomicBool::new(false),
                connections: AtomicUsize::new(0),
                is_replaced: AtomicBool::new(false),
                was_reset: AtomicBool::new(false),
                notice: Mutex::default(),
            }),
        }
    }

    /// Returns the received requests.
    pub fn requests(&self) -> Vec<Request> {
        self.shared.requests.lock().unwrap().clone()
    }

    /// Removes the received requests.
    pub fn forget_requests(&self) {
        self.shared.requests.lock().unwrap().clear();
    }

    /// Skips the reaction to the next request.
    pub fn skip_step(&self) {
        self.shared.number.fetch_add(1, Ordering::Relaxed);
    }

    /// Sets the number after that of the last event of resumed streams.
    pub fn set_resumed_to(&self, to: u64) {
        self.shared.resumed_to.store(to, Ordering::Relaxed);
    }

    /// Adds header lines to all responses from now on.
    pub fn announce(&self, lines: &str) {
        lines.clone_into(&mut self.shared.notice.lock().unwrap());
    }

    /// Returns whether the gateway reset a connection.
    pub fn was_reset(&self) -> bool {
        self.shared.was_reset.load(Ordering::Relaxed)
    }

    /// Waits until a connection has closed.
    pub async fn closed(&self) {
        self.shared.closed.notified().await;
    }
}

/// Binds a socket that doesn't listen.
fn reserve(address: SocketAddr) -> TcpSocket {
    let socket = TcpSocket::new_v4().unwrap();
    socket.set_reuseaddr(true).unwrap();
    socket.bind(address).unwrap();
    socket
}

/// Serves connections until the process ends.
async fn accept(
    id: &'static str,
    listener: TcpListener,
    shared: &Arc<Shared>,
    step: impl Fn(usize, &Request) -> Step + Send + Sync + Copy + 'static,
) {
    // Dropped, it ends the connections.
    let mut connections = JoinSet::new();
    loop {
        let (stream, _) = tokio::select! {
            accepted = listener.accept() => accepted.unwrap(),
            () = shared.crashed.notified() => return,
        };
        let shared = shared.clone();
        connections.spawn(async move {
            shared.connections.fetch_add(1, Ordering::Relaxed);
            serve(id, stream, &shared, step).await;
            shared.connections.fetch_sub(1, Ordering::Relaxed);
            shared.closed.notify_one();
        });
    }
}

async fn serve(
    id: &str,
    mut stream: TcpStream,
    shared: &Shared,
    step: impl Fn(usize, &Request) -> Step,
) {
    let mut earlier = 0;
    while let Some(mut request) = read(&mut stream).await {
        request.earlier = earlier;
        earlier += 1;
        let attempt = request.header("x-attempt").unwrap_or_default().to_owned();
        let resumed = request.header("x-last").and_then(|last| last.parse().ok());
        let resumed_to = shared.resumed_to.load(Ordering::Relaxed);
        let number = shared.number.fetch_add(1, Ordering::Relaxed);
        let reaction = step(number, &request);
        shared.requests.lock().unwrap().push(request);
        let step = match resumed {
            Some(last) if resumed_to > 0 => {
                let last: u64 = last;
                Step::Stream {
                    from: last + 1,
                    to: resumed_to,
                    truncated: false,
                }
            }
            _ => reaction,
        };
        let notice = shared.notice.lock().unwrap().clone();
        let echo = format!("x-attempt: {attempt}\r\nx-receipt: {id}\r\n{notice}");
        let complete = |status: u16, headers: &str, body: &str| {
            let length = body.len();
            format!("HTTP/1.1 {status} X\r\n{headers}content-length: {length}\r\n\r\n{body}")
        };
        let text = match step {
            Step::Respond(status, body) => complete(status, &echo, body),
            Step::RespondLate(status, body) => {
                tokio::time::sleep(SLOW_DELAY).await;
                complete(status, &echo, body)
            }
            Step::Foreign => complete(200, "x-attempt: other\r\nx-receipt: r\r\n", "not yours"),
            Step::Reject => complete(503, &format!("{echo}x-not-executed: 1\r\n"), "full"),
            Step::RejectWith(status) => {
                complete(status, &format!("{echo}x-not-executed: 1\r\n"), "")
            }
            Step::Misdirected => complete(421, &format!("x-attempt: {attempt}\r\n{notice}"), ""),
            Step::EarlierRefusal(421) => complete(421, "", ""),
            Step::EarlierRefusal(status) => complete(status, "x-not-executed: 1\r\n", "full"),
            Step::Reset | Step::ResetLate => {
                if matches!(step, Step::ResetLate) {
                    tokio::time::sleep(SLOW_DELAY).await;
                }
                End::Reset.apply(stream).unwrap();
                return;
            }
            Step::Truncate => {
                let head = format!("HTTP/1.1 200 X\r\n{echo}content-length: 100\r\n\r\nhalf");
                let _sent = stream.write_all(head.as_bytes()).await;
                return;
            }
            Step::Crash => {
                let head = format!("HTTP/1.1 200 X\r\n{echo}transfer-encoding: chunked\r\n\r\n");
                let _sent = stream.write_all(head.as_bytes()).await;
                shared.crashed.notify_one();
                // The connection ends with the process.
                std::future::pending::<()>().await;
                return;
            }
            Step::CloseLate(text) => {
                let text = format!("HTTP/1.1 200 X\r\n{echo}{text}");
                let _sent = stream.write_all(text.as_bytes()).await;
                tokio::time::sleep(SLOW_DELAY).await;
                return;
            }
            Step::RespondAndCloseLate(text) => {
                tokio::time::sleep(SLOW_DELAY).await;
                let text = format!("HTTP/1.1 200 X\r\n{echo}{text}");
                let _sent = stream.write_all(text.as_bytes()).await;
                return;
            }
            Step::CrashForGood(text) | Step::CrashLate(text) | Step::ReplaceLate(text) => {
                let text = format!("HTTP/1.1 200 X\r\n{echo}{text}");
                let _sent = stream.write_all(text.as_bytes()).await;
                if !matches!(step, Step::CrashForGood(_)) {
                    tokio::time::sleep(SLOW_DELAY).await;
                }
                let is_replaced = matches!(step, Step::ReplaceLate(_));
                shared.is_lost.store(!is_replaced, Ordering::Relaxed);
                shared.is_replaced.store(is_replaced, Ordering::Relaxed);
                shared.crashed.notify_one();
                // The connection ends with the process.
                std::future::pending::<()>().await;
                return;
            }
            Step::Hang => {
                // Returns when the gateway closes the connection.
                let end = stream.read(&mut [0; 16]).await;
                shared.was_reset.store(end.is_err(), Ordering::Relaxed);
                return;
            }
            Step::Stream {
                from,
                to,
                truncated,
            } => {
                let head = format!("HTTP/1.1 200 X\r\n{echo}transfer-encoding: chunked\r\n\r\n");
                let _sent = stream.write_all(head.as_bytes()).await;
                let mut body = events(from, to);
                if truncated {
                    body.extend_from_slice(b"id: 99\nda");
                }
                chunk(&mut stream, &body).await;
                if truncated {
                    return;
                }
                chunk(&mut stream, b"").await;
                continue;
            }
            Step::Raw { text, end } => {
                let text = format!("HTTP/1.1 200 X\r\n{echo}{text}");
                let _sent = stream.write_all(text.as_bytes()).await;
                end.apply(stream).unwrap();
                return;
            }
            Step::Head { text, sent, end } => {
                let text = text.replace("{echo}", &echo);
                let first = &text.as_bytes()[..sent.min(text.len())];
                let _sent = stream.write_all(first).await;
                end.apply(stream).unwrap();
                return;
            }
            Step::Endless { head, text, burst } => {
                let head = head.replace("{echo}", &echo);
                let _sent = stream.write_all(head.as_bytes()).await;
                send_endless(&mut stream, shared, text, burst).await;
                return;
            }
            Step::Stall { at, to } => {
                let head = format!("HTTP/1.1 200 X\r\n{echo}transfer-encoding: chunked\r\n\r\n");
                let _sent = stream.write_all(head.as_bytes()).await;
                chunk(&mut stream, &events(0, at)).await;
                tokio::time::sleep(SLOW_DELAY).await;
                chunk(&mut stream, &events(at, to)).await;
                chunk(&mut stream, b"").await;
                continue;
            }
        };
        // The gateway may have disconnected.
        let _sent = stream.write_all(text.as_bytes()).await;
    }
}

/// Repeats a text, `burst` bytes of it at once, until the gateway disconnects.
async fn send_endless(stream: &mut TcpStream, shared: &Shared, text: &str, burst: usize) {
    let block = text.repeat(ENDLESS_BLOCK_BYTES.div_ceil(text.len()));
    let mut sent = 0;
    loop {
        let bytes = match sent < burst {
            true => block.as_bytes(),
            false => {
                tokio::time::sleep(TRICKLE_INTERVAL).await;
                text.as_bytes()
            }
        };
        if stream.write_all(bytes).await.is_err() {
            return;
        }
        sent += bytes.len();
        shared
            .endless_bytes
            .fetch_add(bytes.len(), Ordering::Relaxed);
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
        earlier: 0,
        headers,
        body: bytes[head..].to_vec(),
    })
}
