//! Stand-ins for the platform's store, runners, a network and consumers, and the scenarios of the
//! cases 11 to 15, which run hosts of the gateway as processes.
//!
//! `review-3 SCENARIO FOLDER` writes `record.txt` to the folder and exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run. `TROUBLE=0` leaves out the disruption.
//! `review-3 runner ...` is a runner as a process of its own.

use std::collections::BTreeMap;
use std::fs;
use std::fs::File;
use std::io;
use std::io::Read;
use std::io::Write;
use std::net::Ipv4Addr;
use std::net::Shutdown;
use std::net::SocketAddr;
use std::net::TcpListener;
use std::net::TcpStream;
use std::net::UdpSocket;
use std::path::Path;
use std::path::PathBuf;
use std::process::Child;
use std::process::Command;
use std::process::Stdio;
use std::sync::Arc;
use std::sync::Condvar;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::sync::OnceLock;
use std::sync::atomic::AtomicBool;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::thread;
use std::time::Duration;
use std::time::Instant;
use std::time::SystemTime;

type Result<T> = std::result::Result<T, Box<dyn std::error::Error + Send + Sync>>;

const PROGRAM: &str = "target/release/masticmoor-platform";

const HOST_NAME: &str = "ficu95.example";
const KEY: &str = "n2ctnfzs989anu6wsjnb";
const REVOCABLE_KEY: &str = "anfqasnmgkcuyj8pjbvk";

fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex
        .lock()
        .unwrap_or_else(|poisoned| poisoned.into_inner())
}

/// Milliseconds since the scenario began.
fn now_ms() -> u64 {
    static START: OnceLock<Instant> = OnceLock::new();
    START.get_or_init(Instant::now).elapsed().as_millis() as u64
}

fn unix_ms() -> u64 {
    let now = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    now.map_or(0, |it| it.as_millis() as u64)
}

fn sleep_ms(ms: u64) {
    thread::sleep(Duration::from_millis(ms));
}

/// Sleeps until a time of the scenario.
fn sleep_until(ms: u64) {
    sleep_ms(ms.saturating_sub(now_ms()));
}

/// `record.txt`: a line for each event, with its time.
#[derive(Clone)]
struct Record(Arc<Mutex<File>>);

impl Record {
    fn create(folder: &Path) -> Result<Self> {
        let file = File::create(folder.join("record.txt"))?;
        Ok(Self(Arc::new(Mutex::new(file))))
    }

    fn line(&self, text: impl AsRef<str>) {
        let _written = writeln!(lock(&self.0), "{:>7} {}", now_ms(), text.as_ref());
    }
}

// --- HTTP/1.1 -----------------------------------------------------------------------------------

/// A connection with what was read ahead.
struct Wire {
    stream: TcpStream,
    buffer: Vec<u8>,
}

#[derive(Debug, Default, Clone)]
struct Head {
    first: String,
    headers: Vec<(String, String)>,
}

impl Head {
    fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(it, _)| it == name);
        found.map(|(_, value)| value.as_str())
    }

    fn status(&self) -> u16 {
        let status = self.first.split(' ').nth(1);
        status.and_then(|it| it.parse().ok()).unwrap_or(0)
    }

    fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }
}

impl Wire {
    fn new(stream: TcpStream) -> Self {
        let _set = stream.set_nodelay(true);
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut bytes = [0; 16 << 10];
        let length = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..length]);
        Ok(length > 0)
    }

    /// Reads a line without its end; `None` at the end of the connection.
    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(at) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=at).collect();
                let line = String::from_utf8_lossy(&line);
                return Ok(Some(line.trim_end_matches(['\r', '\n']).to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    fn exact(&mut self, length: usize) -> io::Result<Option<Vec<u8>>> {
        while self.buffer.len() < length {
            if !self.fill()? {
                return Ok(None);
            }
        }
        Ok(Some(self.buffer.drain(..length).collect()))
    }

    /// Reads a head; `None` at the end of the connection.
    fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(first) = self.line()? else {
            return Ok(None);
        };
        let mut head = Head {
            first,
            headers: Vec::new(),
        };
        loop {
            match self.line()? {
                None => return Ok(None),
                Some(line) if line.is_empty() => return Ok(Some(head)),
                Some(line) => {
                    if let Some((name, value)) = line.split_once(':') {
                        let name = name.trim().to_ascii_lowercase();
                        head.headers.push((name, value.trim().to_owned()));
                    }
                }
            }
        }
    }

    /// Reads the body of a request.
    fn request_body(&mut self, head: &Head) -> io::Result<Option<Vec<u8>>> {
        let length = head.get("content-length").and_then(|it| it.parse().ok());
        self.exact(length.unwrap_or(0))
    }
}

/// Returns the standard base64 of some bytes.
fn base64(bytes: &[u8]) -> String {
    const ALPHABET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::with_capacity(bytes.len() / 3 * 4 + 4);
    for chunk in bytes.chunks(3) {
        let group = chunk
            .iter()
            .fold(0u32, |group, byte| group << 8 | u32::from(*byte));
        let group = group << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(ALPHABET[(group >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// --- the platform's store -----------------------------------------------------------------------

#[derive(Default)]
struct Items {
    revision: u64,
    era: u64,
    items: BTreeMap<String, (u64, String)>,
    history: Vec<(u64, String, Option<String>)>,
    /// Revision up to which there is no history.
    compacted: u64,
    is_away: bool,
    /// All writes with their times, for a copy of an earlier time.
    log: Vec<(Instant, String, Option<String>)>,
}

struct Store {
    address: SocketAddr,
    items: Mutex<Items>,
    changed: Condvar,
}

/// Maximum number of items of a page, and of their bytes.
const PAGE_ITEMS: usize = 500;
const PAGE_BYTES: usize = 1 << 20;

impl Store {
    fn start() -> Result<Arc<Self>> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let store = Arc::new(Self {
            address: listener.local_addr()?,
            items: Mutex::new(Items {
                revision: 1,
                era: 1,
                ..Items::default()
            }),
            changed: Condvar::new(),
        });
        let served = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = served.clone();
                thread::spawn(move || store.serve(stream));
            }
        });
        Ok(store)
    }

    /// Writes or deletes an item. The return is the confirmation.
    fn put(&self, key: &str, value: Option<String>) {
        let mut items = lock(&self.items);
        items
            .log
            .push((Instant::now(), key.to_owned(), value.clone()));
        items.write(key, value);
        self.changed.notify_all();
    }

    /// Goes away, and comes back after a time from a copy of `until`.
    fn restore(&self, away: Duration, until: Instant) {
        lock(&self.items).is_away = true;
        self.changed.notify_all();
        thread::sleep(away);
        let mut items = lock(&self.items);
        let log = std::mem::take(&mut items.log);
        items.log = log.into_iter().filter(|(at, ..)| *at <= until).collect();
        items.era += 1;
        items.revision = 1;
        items.items.clear();
        for (_, key, value) in items.log.clone() {
            items.write(&key, value);
        }
        items.history.clear();
        items.compacted = items.revision;
        items.is_away = false;
        self.changed.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let mut wire = Wire::new(stream);
        while let Ok(Some(head)) = wire.head() {
            let target = head.target().to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<String, String> = query
                .split('&')
                .filter_map(|pair| pair.split_once('='))
                .map(|(name, value)| (name.to_owned(), percent_decode(value)))
                .collect();
            let Some((status, body, era)) = self.call(path, &query) else {
                return;
            };
            let text = format!(
                "HTTP/1.1 {status} X\r\nStore-Era: {era}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            if wire.stream.write_all(text.as_bytes()).is_err() {
                return;
            }
        }
    }

    /// Answers a call; `None` while the store is away.
    fn call(&self, path: &str, query: &BTreeMap<String, String>) -> Option<(u16, String, u64)> {
        let mut items = lock(&self.items);
        if items.is_away {
            return None;
        }
        let text = |name: &str| query.get(name).cloned().unwrap_or_default();
        let number = |name: &str| text(name).parse::<u64>().unwrap_or(0);
        let prefix = text("prefix");
        match path {
            "/masticmoor/kv-range" => {
                let after = text("after");
                let matching = items.items.iter();
                let mut matching = matching
                    .filter(|(key, _)| key.starts_with(&prefix) && **key > after)
                    .peekable();
                let mut page = Vec::new();
                let mut bytes = 0;
                while let Some((key, (revision, value))) = matching.peek() {
                    if page.len() >= PAGE_ITEMS || bytes > 0 && bytes + value.len() > PAGE_BYTES {
                        break;
                    }
                    bytes += value.len();
                    page.push(item(key, *revision, value));
                    matching.next();
                }
                let body = format!(
                    r#"{{"items":[{}],"hasMore":{},"currentRev":{}}}"#,
                    page.join(","),
                    matching.peek().is_some(),
                    items.revision
                );
                Some((200, body, items.era))
            }
            "/masticmoor/kv-watch" => {
                let after = number("after");
                let until = Instant::now() + Duration::from_millis(number("waitMs").min(30_000));
                let era = items.era;
                loop {
                    if items.is_away || items.era != era {
                        return None;
                    }
                    if after < items.compacted || after > items.revision {
                        return Some((410, "{}".to_owned(), items.era));
                    }
                    let new = items.history.iter();
                    let new = new
                        .filter(|(revision, key, _)| *revision > after && key.starts_with(&prefix));
                    let events: Vec<String> = new
                        .map(|(revision, key, value)| match value {
                            Some(value) => item(key, *revision, value),
                            None => {
                                format!(r#"{{"key":"{key}","revision":{revision},"deleted":true}}"#)
                            }
                        })
                        .collect();
                    let left = until.saturating_duration_since(Instant::now());
                    if !events.is_empty() || left.is_zero() {
                        let body = format!(
                            r#"{{"events":[{}],"currentRev":{}}}"#,
                            events.join(","),
                            items.revision
                        );
                        return Some((200, body, items.era));
                    }
                    let waited = self.changed.wait_timeout(items, left);
                    items = waited.unwrap_or_else(|poisoned| poisoned.into_inner()).0;
                }
            }
            "/masticmoor/kv-key" => {
                let key = text("key");
                match items.items.get(&key) {
                    Some((revision, value)) => Some((200, item(&key, *revision, value), items.era)),
                    None => Some((404, "{}".to_owned(), items.era)),
                }
            }
            _ => Some((404, "{}".to_owned(), items.era)),
        }
    }
}

impl Items {
    fn write(&mut self, key: &str, value: Option<String>) {
        self.revision += 1;
        let revision = self.revision;
        match &value {
            Some(value) => {
                self.items.insert(key.to_owned(), (revision, value.clone()));
            }
            None => {
                self.items.remove(key);
            }
        }
        self.history.push((revision, key.to_owned(), value));
        // At least the last hundred changes are kept, a few seconds of the quickest ones.
        if self.history.len() > 200 {
            let dropped: Vec<_> = self.history.drain(..100).collect();
            self.compacted = dropped
                .last()
                .map_or(self.compacted, |(revision, ..)| *revision);
        }
    }
}

fn item(key: &str, revision: u64, value: &str) -> String {
    format!(
        r#"{{"key":"{key}","value":"{}","revision":{revision},"created":{revision},"lease":0}}"#,
        base64(value.as_bytes())
    )
}

fn percent_decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let mut rest = text.bytes();
    while let Some(byte) = rest.next() {
        match byte {
            b'%' => {
                let digits: Vec<u8> = rest.by_ref().take(2).collect();
                let digits = String::from_utf8_lossy(&digits).into_owned();
                bytes.push(u8::from_str_radix(&digits, 16).unwrap_or(b'?'));
            }
            byte => bytes.push(byte),
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

/// A route of the configuration.
fn route(name: &str, prefix: &str, kind: &str, service: &str, more: &str) -> String {
    format!(
        r#"{{"name":"{name}","host":"{HOST_NAME}","prefix":"{prefix}","routeKind":"{kind}","service":"{service}","public":false,{more}}}"#
    )
}

/// The routes that the cases use, as in the sheets of cgta-ceremony. Objective and pause of the
/// streams are those of its larger installation.
fn routes() -> Vec<String> {
    vec![
        route(
            "parent-query",
            "/chat/",
            "streaming",
            "engines",
            r#""timeoutMs":8000,"goalMs":300,"gapTargetMs":400,"priority":0,"maxAttempts":1,"sticky":true,"resumable":false"#,
        ),
        route(
            "seat-purchase",
            "/buy/",
            "non_idempotent",
            "desk",
            r#""timeoutMs":2500,"goalMs":150,"priority":1,"maxAttempts":1,"sticky":false,"resumable":false"#,
        ),
        route(
            "ticket-lookup",
            "/look/",
            "idempotent",
            "desk",
            r#""timeoutMs":2500,"goalMs":150,"priority":1,"maxAttempts":2,"sticky":false,"resumable":false"#,
        ),
    ]
}

fn config(version: u64, routes: &[String], keys: &[&str]) -> String {
    let keys: Vec<String> = keys.iter().map(|key| format!("\"{key}\"")).collect();
    format!(
        r#"{{"version":{version},"routeTable":[{}],"services":[{{"name":"engines","healthPath":"/healthz","maxConns":370,"coldStartS":0.0,"coldPerS":0.0}},{{"name":"desk","healthPath":"/healthz","maxConns":110,"coldStartS":0.0,"coldPerS":0.0}}],"limits":{{"maxHeaderBytes":16384,"maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}},"tenants":[{{"name":"hule930","apiKeys":[{}],"priority":1}}]}}"#,
        routes.join(","),
        keys.join(",")
    )
}

/// A runner's entry in the store.
fn entry(
    service: &str,
    address: SocketAddr,
    zone: &str,
    slots: u32,
    sequence: u64,
    born: u64,
) -> String {
    format!(
        r#"{{"service":"{service}","address":"{address}","zone":"{zone}","version":"v1","slots":{slots},"state":"ready","coldLeftMs":0,"phase":"mixed","models":[{{"name":"m","version":1,"adapters":[]}}],"sequence":{sequence},"born":{born}}}"#
    )
}

// --- runners ------------------------------------------------------------------------------------

/// How a runner serves.
#[derive(Clone)]
struct Runner {
    id: String,
    /// Whether streams end with their connection.
    is_unframed: bool,
    events: usize,
    gap_ms: u64,
    work_ms: u64,
    /// Time after which an idle connection is closed; 0 for none.
    idle_ms: u64,
    slots: u32,
    running: Arc<AtomicUsize>,
    /// Is told of each run.
    log: Arc<dyn Fn(String) + Send + Sync>,
}

impl Runner {
    fn listen(self, listener: TcpListener) {
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let runner = self.clone();
                thread::spawn(move || {
                    let _ended = runner.serve(stream);
                });
            }
        });
    }

    fn serve(&self, stream: TcpStream) -> io::Result<()> {
        if self.idle_ms > 0 {
            stream.set_read_timeout(Some(Duration::from_millis(self.idle_ms)))?;
        }
        let mut wire = Wire::new(stream);
        while let Some(head) = wire.head()? {
            let Some(_body) = wire.request_body(&head)? else {
                return Ok(());
            };
            let id = head.get("x-attempt-id").unwrap_or_default().to_owned();
            let path = head.target().to_owned();
            let expected = head.get("x-expect-instance");
            let common = format!(
                "X-Attempt-Id: {id}\r\nX-Instance-Id: {}\r\nX-Instance-Load: {},0,{}\r\n",
                self.id,
                self.running.load(Ordering::Relaxed),
                self.slots
            );
            if expected.is_some_and(|it| it != self.id) {
                let text = format!("HTTP/1.1 421 X\r\n{common}Content-Length: 0\r\n\r\n");
                wire.stream.write_all(text.as_bytes())?;
                continue;
            }
            if path.starts_with("/masticmoor/kv-list") {
                let body = r#"{"epoch":1,"next":1,"held":[]}"#;
                let text = format!(
                    "HTTP/1.1 200 OK\r\n{common}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
                    body.len()
                );
                wire.stream.write_all(text.as_bytes())?;
                continue;
            }
            if path == "/healthz" || path.starts_with("/masticmoor/") {
                let text = format!("HTTP/1.1 200 OK\r\n{common}Content-Length: 0\r\n\r\n");
                wire.stream.write_all(text.as_bytes())?;
                continue;
            }
            self.running.fetch_add(1, Ordering::Relaxed);
            (self.log)(format!("run {id} at {}", self.id));
            let common = format!("{common}X-Server-Stamp: {}.{id}\r\n", self.id);
            let result = match path.starts_with("/chat/") {
                true => self.stream(&mut wire, &common, &id),
                false => self.answer(&mut wire, &common, &id),
            };
            self.running.fetch_sub(1, Ordering::Relaxed);
            if !result? {
                return Ok(());
            }
        }
        Ok(())
    }

    fn answer(&self, wire: &mut Wire, common: &str, id: &str) -> io::Result<bool> {
        sleep_ms(self.work_ms);
        let body = format!(r#"{{"attempt":"{id}","server":"{}"}}"#, self.id);
        let text = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        );
        wire.stream.write_all(text.as_bytes())?;
        Ok(true)
    }

    /// Sends a stream, and returns whether the connection stays open.
    fn stream(&self, wire: &mut Wire, common: &str, id: &str) -> io::Result<bool> {
        let framing = match self.is_unframed {
            true => "Connection: close",
            false => "Transfer-Encoding: chunked",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\n{common}Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n{framing}\r\n\r\n"
        );
        wire.stream.write_all(head.as_bytes())?;
        for number in 1..=self.events {
            sleep_ms(self.gap_ms);
            let event = format!("id: {number}\ndata: {id} {number}/{}\n\n", self.events);
            let bytes = match self.is_unframed {
                true => event,
                false => format!("{:x}\r\n{event}\r\n", event.len()),
            };
            wire.stream.write_all(bytes.as_bytes())?;
        }
        if !self.is_unframed {
            wire.stream.write_all(b"0\r\n\r\n")?;
        }
        Ok(!self.is_unframed)
    }
}

// --- the network --------------------------------------------------------------------------------

/// A path to an address, which can be cut: open connections hang, and their bytes are held up until
/// the cut has healed, while new ones are refused.
struct Link {
    address: SocketAddr,
    is_cut: Mutex<bool>,
    changed: Condvar,
    has_listener: AtomicBool,
}

impl Link {
    fn start(address: SocketAddr, server: SocketAddr) -> Result<Arc<Self>> {
        let listener = bind(address)?;
        let path = Arc::new(Self {
            address: listener.local_addr()?,
            is_cut: Mutex::new(false),
            changed: Condvar::new(),
            has_listener: AtomicBool::new(true),
        });
        let served = path.clone();
        thread::spawn(move || served.run(listener, server));
        Ok(path)
    }

    fn run(self: Arc<Self>, listener: TcpListener, server: SocketAddr) {
        let mut listener = Some(listener);
        loop {
            let is_cut = *lock(&self.is_cut);
            match &listener {
                Some(_) if is_cut => {
                    listener = None;
                    self.has_listener.store(false, Ordering::SeqCst);
                }
                None if !is_cut => {
                    listener = bind(self.address).ok();
                    self.has_listener
                        .store(listener.is_some(), Ordering::SeqCst);
                }
                Some(open) => match open.accept() {
                    Ok((stream, _)) => {
                        let path = self.clone();
                        thread::spawn(move || path.forward(stream, server));
                    }
                    Err(_) => sleep_ms(1),
                },
                None => sleep_ms(1),
            }
        }
    }

    fn forward(self: Arc<Self>, caller: TcpStream, server: SocketAddr) {
        let _blocking = caller.set_nonblocking(false);
        let Ok(server) = TcpStream::connect(server) else {
            return;
        };
        let _set = (caller.set_nodelay(true), server.set_nodelay(true));
        let (Ok(from), Ok(to)) = (caller.try_clone(), server.try_clone()) else {
            return;
        };
        let path = self.clone();
        thread::spawn(move || path.copy(from, to));
        self.copy(server, caller);
    }

    fn copy(&self, mut from: TcpStream, mut to: TcpStream) {
        let mut bytes = vec![0; 64 << 10];
        loop {
            let read = from.read(&mut bytes);
            let mut is_cut = lock(&self.is_cut);
            while *is_cut {
                let waited = self.changed.wait(is_cut);
                is_cut = waited.unwrap_or_else(|poisoned| poisoned.into_inner());
            }
            drop(is_cut);
            match read {
                Ok(length) if length > 0 => {
                    if to.write_all(&bytes[..length]).is_err() {
                        let _ended = from.shutdown(Shutdown::Both);
                        return;
                    }
                }
                Ok(_) => {
                    let _ended = to.shutdown(Shutdown::Write);
                    return;
                }
                // A reset is passed on as the end of both directions.
                Err(_) => {
                    let _ended = (to.shutdown(Shutdown::Both), from.shutdown(Shutdown::Both));
                    return;
                }
            }
        }
    }

    /// Begins a cut, and returns once new connections are refused.
    fn cut(&self) {
        *lock(&self.is_cut) = true;
        while self.has_listener.load(Ordering::SeqCst) {
            sleep_ms(1);
        }
    }

    /// Ends a cut: new connections are accepted, and bytes that were held up arrive.
    fn heal(&self) {
        *lock(&self.is_cut) = false;
        while !self.has_listener.load(Ordering::SeqCst) {
            sleep_ms(1);
        }
        self.changed.notify_all();
    }
}

/// Number of hosts in `restored`. Host 1 knows the others by aliases, 12 and 13, and they know it by
/// the alias 11.
const HOSTS: u8 = 3;

/// Forwards datagrams between host 1, which uses `port`, and the others, which use `other_port`.
/// Drops them while host 1 is cut off. As the ports differ, no datagram gets past this.
fn relay_datagrams(port: u16, other_port: u16, is_cut: &Arc<AtomicBool>) -> Result<()> {
    let to_first = UdpSocket::bind((network(11), other_port))?;
    let mut aliases = BTreeMap::new();
    for last in 2..=HOSTS {
        aliases.insert(last, UdpSocket::bind((network(10 + last), port))?);
    }
    for (last, alias) in &aliases {
        let (alias, sender) = (alias.try_clone()?, to_first.try_clone()?);
        let (is_cut, last) = (is_cut.clone(), *last);
        thread::spawn(move || {
            let mut bytes = vec![0; 64 << 10];
            while let Ok((length, from)) = alias.recv_from(&mut bytes) {
                if from.ip() == network(1) && !is_cut.load(Ordering::SeqCst) {
                    let _sent = sender.send_to(&bytes[..length], (network(last), other_port));
                }
            }
        });
    }
    let is_cut = is_cut.clone();
    thread::spawn(move || {
        let mut bytes = vec![0; 64 << 10];
        while let Ok((length, from)) = to_first.recv_from(&mut bytes) {
            let alias = (2..=HOSTS).find(|last| from.ip() == network(*last));
            let alias = alias.and_then(|last| aliases.get(&last));
            if let Some(alias) = alias.filter(|_| !is_cut.load(Ordering::SeqCst)) {
                let _sent = alias.send_to(&bytes[..length], (network(1), port));
            }
        }
    });
    Ok(())
}

fn bind(address: SocketAddr) -> Result<TcpListener> {
    let listener = TcpListener::bind(address)?;
    listener.set_nonblocking(true)?;
    Ok(listener)
}

/// Returns a free port at an address.
fn free_port(ip: Ipv4Addr) -> Result<u16> {
    Ok(TcpListener::bind((ip, 0))?.local_addr()?.port())
}

// --- hosts --------------------------------------------------------------------------------------

/// A host of the gateway, a process of the program of the deploy file.
struct Host {
    name: String,
    settings: PathBuf,
    log: PathBuf,
    caller: SocketAddr,
    operator: SocketAddr,
    child: Option<Child>,
}

/// What the template of the deploy file gets from the platform, as far as hosts differ.
struct Place<'a> {
    name: &'a str,
    zone: &'a str,
    ip: Ipv4Addr,
    peer_port: u16,
    gossip_port: u16,
    store: SocketAddr,
    seeds: &'a [SocketAddr],
}

/// Memory of a machine of cgta-ceremony, in MB.
const MEMORY_MB: u64 = 260;

impl Host {
    fn start(folder: &Path, place: &Place<'_>) -> Result<Self> {
        let ip = place.ip;
        let listeners = [TcpListener::bind((ip, 0))?, TcpListener::bind((ip, 0))?];
        let [caller, operator] = [listeners[0].local_addr()?, listeners[1].local_addr()?];
        drop(listeners);
        let seeds: Vec<String> = place.seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let text = format!(
            "[host]\nname = \"{}\"\nzone = \"{}\"\ncaller = \"{caller}\"\npeer = \"{ip}:{}\"\n\
             operator = \"{operator}\"\n\n[platform]\naddresses = [\"{}\"]\n\n[peer]\nseeds = [{}]\n\n\
             [log]\nlevel = \"info\"\nformat = \"json\"\n\n[gateway]\n\
             ready_path = \"/masticmoor/readyz\"\ngossip_port = {}\nrevocation_ms = \"5000\"\n\
             grace_s = \"8\"\nretry_ratio = \"0.2\"\nretry_slack = \"58\"\nretry_window_s = \"10\"\n\
             cold_overage = \"1.5\"\ncold_slack = \"5\"\nlink_mbps = \"1000.0\"\n\
             memory_mb = \"{MEMORY_MB}\"\nmax_fds = \"4100\"\nfirst_start = true\n",
            place.name,
            place.zone,
            place.peer_port,
            place.store,
            seeds.join(", "),
            place.gossip_port
        );
        let settings = folder.join(format!("{}.toml", place.name));
        fs::write(&settings, text)?;
        let mut host = Self {
            name: place.name.to_owned(),
            log: folder.join(format!("{}.log", place.name)),
            settings,
            caller,
            operator,
            child: None,
        };
        host.spawn()?;
        Ok(host)
    }

    fn spawn(&mut self) -> Result<()> {
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(PROGRAM)
            .arg("serve")
            .env_clear()
            .env("MASTICMOOR_SETTINGS", &self.settings)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.child = Some(child);
        Ok(())
    }

    fn wait_ready(&self) -> Result<()> {
        let until = Instant::now() + Duration::from_secs(15);
        while Instant::now() < until {
            if get(self.operator, "/masticmoor/readyz").is_some_and(|status| status == 200) {
                return Ok(());
            }
            sleep_ms(50);
        }
        Err(format!("{} isn't ready", self.name).into())
    }

    /// Returns the resident memory of the process in KB.
    fn memory_kb(&self) -> Option<u64> {
        let id = self.child.as_ref()?.id();
        let status = fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        line.trim().trim_end_matches("kB").trim().parse().ok()
    }

    /// Sends SIGTERM to the process.
    fn terminate(&self) -> Result<()> {
        let id = self.child.as_ref().ok_or("not running")?.id();
        let status = Command::new("kill")
            .args(["-TERM", &id.to_string()])
            .status()?;
        match status.success() {
            true => Ok(()),
            false => Err("can't send a signal".into()),
        }
    }

    fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ended = child.kill();
            let _ended = child.wait();
        }
    }
}

impl Drop for Host {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Returns the status of a GET request.
fn get(address: SocketAddr, path: &str) -> Option<u16> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
    let mut wire = Wire::new(stream);
    let text = format!("GET {path} HTTP/1.1\r\nHost: h\r\nConnection: close\r\n\r\n");
    wire.stream.write_all(text.as_bytes()).ok()?;
    Some(wire.head().ok()??.status())
}

/// Returns the loopback network of this run: others use other networks.
fn network(last: u8) -> Ipv4Addr {
    let [low, high, ..] = std::process::id().to_le_bytes();
    Ipv4Addr::new(127, high | 1, low, last)
}

// --- consumers ----------------------------------------------------------------------------------

/// What a consumer got.
#[derive(Debug, Clone)]
#[allow(dead_code, reason = "some fields are only written to the record")]
enum Answer {
    /// An answer that looks complete.
    Whole { status: u16, body: Vec<u8> },
    /// The connection ended before the end of the answer.
    Cut { status: Option<u16>, bytes: usize },
    /// The consumer waited no longer.
    Abandoned { bytes: usize },
    /// No connection, or it was closed before the request was written.
    Unsent,
}

/// A consumer with a connection that it keeps.
struct Consumer {
    address: SocketAddr,
    wire: Option<Wire>,
}

/// A consumer's request.
struct Request<'a> {
    method: &'a str,
    path: &'a str,
    id: &'a str,
    key: &'a str,
    deadline_ms: u64,
    /// Longest gap in the answer.
    patience: Duration,
    body: &'a str,
    more: &'a str,
}

impl Consumer {
    fn new(address: SocketAddr) -> Self {
        Self {
            address,
            wire: None,
        }
    }

    fn send(&mut self, request: &Request<'_>) -> Answer {
        if self.wire.is_none() {
            let stream = TcpStream::connect_timeout(&self.address, Duration::from_secs(1));
            self.wire = stream.ok().map(Wire::new);
        }
        let Some(mut wire) = self.wire.take() else {
            return Answer::Unsent;
        };
        let Request {
            method,
            path,
            id,
            key,
            deadline_ms,
            patience,
            body,
            more,
        } = request;
        let length = match body.is_empty() && *method == "GET" {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let text = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST_NAME}\r\nX-Attempt-Id: {id}\r\nX-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {key}\r\n{more}{length}\r\n{body}"
        );
        let _set = wire.stream.set_read_timeout(Some(*patience));
        if wire.stream.write_all(text.as_bytes()).is_err() {
            return Answer::Unsent;
        }
        let head = match wire.head() {
            Ok(Some(head)) => head,
            Ok(None) => {
                return Answer::Cut {
                    status: None,
                    bytes: 0,
                };
            }
            Err(error) if is_timeout(&error) => return Answer::Abandoned { bytes: 0 },
            Err(_) => {
                return Answer::Cut {
                    status: None,
                    bytes: 0,
                };
            }
        };
        let status = head.status();
        let mut got = Vec::new();
        let ended = read_body(&mut wire, &head, &mut got);
        match ended {
            Ok(true) => {
                if head
                    .get("connection")
                    .is_none_or(|it| !it.eq_ignore_ascii_case("close"))
                {
                    self.wire = Some(wire);
                }
                Answer::Whole { status, body: got }
            }
            Err(error) if is_timeout(&error) => Answer::Abandoned { bytes: got.len() },
            Ok(false) | Err(_) => Answer::Cut {
                status: Some(status),
                bytes: got.len(),
            },
        }
    }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
    )
}

/// Reads the body of an answer, and returns whether it is complete by its framing.
fn read_body(wire: &mut Wire, head: &Head, got: &mut Vec<u8>) -> io::Result<bool> {
    let is_chunked = head
        .get("transfer-encoding")
        .is_some_and(|it| it.eq_ignore_ascii_case("chunked"));
    if !is_chunked {
        let length = head
            .get("content-length")
            .and_then(|it| it.parse::<usize>().ok());
        let Some(length) = length else {
            while wire.fill()? {}
            got.append(&mut wire.buffer);
            return Ok(true);
        };
        while wire.buffer.len() < length {
            if !wire.fill()? {
                got.append(&mut wire.buffer);
                return Ok(false);
            }
        }
        got.extend(wire.buffer.drain(..length));
        return Ok(true);
    }
    loop {
        let Some(size) = wire.line()? else {
            return Ok(false);
        };
        let Ok(size) = usize::from_str_radix(size.trim(), 16) else {
            return Ok(false);
        };
        let Some(chunk) = wire.exact(size)? else {
            return Ok(false);
        };
        got.extend_from_slice(&chunk);
        if wire.line()?.is_none() {
            return Ok(false);
        }
        if size == 0 {
            return Ok(true);
        }
    }
}

/// Returns the number of events of a stream.
fn events(body: &[u8]) -> usize {
    let text = String::from_utf8_lossy(body);
    text.lines().filter(|line| line.starts_with("id: ")).count()
}

// --- scenarios ----------------------------------------------------------------------------------

/// What every scenario gets.
struct Setup {
    record: Record,
    /// A folder for settings and logs, which is removed at the end.
    folder: PathBuf,
    has_trouble: bool,
}

/// Whether the rule held.
enum Verdict {
    Held,
    Broken,
}

fn main() {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    let code = match arguments.iter().map(String::as_str).collect::<Vec<_>>()[..] {
        ["runner", address, id] => runner_process(address, id),
        [scenario, folder] => scenario_process(scenario, Path::new(folder)),
        _ => 2,
    };
    std::process::exit(code);
}

fn scenario_process(scenario: &str, folder: &Path) -> i32 {
    now_ms();
    let result = Record::create(folder).and_then(|record| {
        let name = format!("masticmoor-review-{}", std::process::id());
        let setup = Setup {
            record,
            folder: std::env::temp_dir().join(name),
            has_trouble: std::env::var("TROUBLE").as_deref() != Ok("0"),
        };
        fs::create_dir_all(&setup.folder)?;
        let verdict = match scenario {
            "reborn" => reborn(&setup),
            "restored" => restored(&setup),
            "storms" => storms(&setup),
            "unlisted" => unlisted(&setup),
            _ => Err("unknown scenario".into()),
        };
        if std::env::var_os("KEEP").is_none() {
            fs::remove_dir_all(&setup.folder)?;
        }
        match &verdict {
            Ok(Verdict::Held) => setup.record.line("the rule held"),
            Ok(Verdict::Broken) => setup.record.line("THE RULE WAS BROKEN"),
            Err(error) => setup.record.line(format!("couldn't run: {error}")),
        }
        verdict
    });
    match result {
        Ok(Verdict::Held) => 0,
        Ok(Verdict::Broken) => 1,
        Err(error) => {
            eprintln!("couldn't run: {error}");
            2
        }
    }
}

/// Runs a runner until it is killed. Prints its runs.
fn runner_process(address: &str, id: &str) -> i32 {
    let Ok(listener) = TcpListener::bind(address) else {
        return 2;
    };
    let runner = Runner {
        id: id.to_owned(),
        is_unframed: true,
        events: 36,
        gap_ms: 50,
        work_ms: 30,
        idle_ms: 0,
        slots: 64,
        running: Arc::default(),
        log: Arc::new(|text| {
            let _printed = writeln!(io::stdout(), "{text}");
        }),
    };
    runner.listen(listener);
    println!("ready");
    // Ends with its parent.
    let mut rest = Vec::new();
    let _ended = io::stdin().read_to_end(&mut rest);
    0
}

/// A runner as a process of its own.
struct RunnerProcess {
    child: Child,
}

impl RunnerProcess {
    fn start(address: SocketAddr, id: &str, record: &Record) -> Result<Self> {
        let mut child = Command::new(std::env::current_exe()?)
            .args(["runner", &address.to_string(), id])
            .stdin(Stdio::piped())
            .stdout(Stdio::piped())
            .spawn()?;
        let output = child.stdout.take().ok_or("no output")?;
        let record = record.clone();
        let (ready, is_ready) = std::sync::mpsc::channel();
        thread::spawn(move || {
            for line in io::BufRead::lines(io::BufReader::new(output)).map_while(io::Result::ok) {
                match line.as_str() {
                    "ready" => drop(ready.send(())),
                    line => record.line(line),
                }
            }
        });
        is_ready.recv_timeout(Duration::from_secs(5))?;
        Ok(Self { child })
    }

    fn kill(&mut self) {
        let _ended = self.child.kill();
        let _ended = self.child.wait();
    }
}

impl Drop for RunnerProcess {
    fn drop(&mut self) {
        self.kill();
    }
}

/// Number of runners of the model in `reborn`, of which one is cut off.
const ENGINES: usize = 5;

/// A runner is cut off from all machines and from the store, crashes behind the cut and starts
/// again. Its streams have no length and end with their connections.
fn reborn(setup: &Setup) -> Result<Verdict> {
    let record = &setup.record;
    let store = Store::start()?;
    store.put("op/config", Some(config(7, &routes(), &[KEY])));
    let mut engines = Vec::new();
    for number in 0..ENGINES {
        let ip = network(100 + number as u8);
        let own = SocketAddr::from((ip, free_port(ip)?));
        let id = format!("i-7f3a91c{number}");
        let process = RunnerProcess::start(own, &id, record)?;
        let path = Link::start(SocketAddr::from((network(50 + number as u8), 0)), own)?;
        let zone = if number % 2 == 0 { "kgn-a" } else { "kgn-b" };
        let born = unix_ms();
        store.put(
            &format!("servers/{id}"),
            Some(entry("engines", path.address, zone, 64, 1, born)),
        );
        engines.push((id, own, path, process, zone));
    }
    let peer_port = free_port(network(1))?;
    let gossip_port = free_port(network(1))?;
    let seeds: Vec<SocketAddr> = (1..=3)
        .map(|last| (network(last), peer_port).into())
        .collect();
    let mut hosts = Vec::new();
    for last in 1..=3u8 {
        let place = Place {
            name: &format!("edge-{last}"),
            zone: if last % 2 == 1 { "kgn-a" } else { "kgn-b" },
            ip: network(last),
            peer_port,
            gossip_port,
            store: store.address,
            seeds: &seeds,
        };
        hosts.push(Host::start(&setup.folder, &place)?);
    }
    for host in &hosts {
        host.wait_ready()?;
    }
    record.line("hosts are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let broken = Arc::new(Mutex::new(Vec::new()));
    let served = Arc::new(AtomicUsize::new(0));
    let mut consumers = Vec::new();
    for number in 0..30 {
        let address = hosts[number % hosts.len()].caller;
        let (record, is_over) = (record.clone(), is_over.clone());
        let (broken, served) = (broken.clone(), served.clone());
        consumers.push(thread::spawn(move || {
            let mut consumer = Consumer::new(address);
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("c{number:02}-{count}");
                let answer = consumer.send(&Request {
                    method: "POST",
                    path: "/chat/2f",
                    id: &id,
                    key: KEY,
                    deadline_ms: 8_000,
                    // The longest of two seconds, four times the objective and eight times the pause.
                    patience: Duration::from_millis(3_200),
                    body: "How are the rows?",
                    more: &format!("X-Model: m\r\nX-Token-Usage: 830,280\r\nX-Prompt-Prefix: {:x}:120,{:x}:580,{number:x}{count:x}:130\r\n", number % 8 + 16, number + 64),
                });
                match answer {
                    Answer::Whole { status: 200, body } => {
                        let got = events(&body);
                        record.line(format!("answer {id} 200, complete, {got} of 36 events"));
                        match got == 36 {
                            true => drop(served.fetch_add(1, Ordering::Relaxed)),
                            false => lock(&broken).push(id),
                        }
                    }
                    Answer::Whole { status, .. } => record.line(format!("answer {id} {status}")),
                    answer => record.line(format!("answer {id} {answer:?}")),
                }
                sleep_ms(20);
            }
        }));
    }
    sleep_ms(6_000);
    if setup.has_trouble {
        let (id, own, path, process, zone) = &mut engines[0];
        path.cut();
        let cut_at = now_ms();
        record.line(format!(
            "CUT: {id} is partitioned from all machines and from the store"
        ));
        sleep_until(cut_at + 100);
        process.kill();
        record.line(format!("CRASH: the process of {id} is killed"));
        sleep_until(cut_at + 2_300);
        let born = unix_ms();
        *process = RunnerProcess::start(*own, id, record)?;
        record.line(format!(
            "START: {id} has started again, and can't reach the store"
        ));
        sleep_until(cut_at + 2_700);
        path.heal();
        record.line(format!("HEAL: {id} can be reached again"));
        sleep_ms(300);
        store.put(
            &format!("servers/{id}"),
            Some(entry("engines", path.address, zone, 64, 1, born)),
        );
        record.line(format!("REGISTERED: the store has the new entry of {id}"));
    }
    sleep_ms(5_000);
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _joined = consumer.join();
    }
    let broken = lock(&broken).clone();
    let served = served.load(Ordering::Relaxed);
    record.line(format!(
        "whole streams: {served}; streams that looked complete and weren't: {}: {}",
        broken.len(),
        broken.join(" ")
    ));
    if served < 30 {
        return Err("too few streams were served".into());
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

/// A machine is cut off from the others and from the store. Meanwhile a key is taken away, and the
/// store comes back from a copy that still has it.
fn restored(setup: &Setup) -> Result<Verdict> {
    const REVOKE_MS: u64 = 5_000;
    let record = &setup.record;
    let store = Store::start()?;
    let keys = [KEY, REVOCABLE_KEY];
    store.put("op/config", Some(config(7, &routes(), &keys)));
    let runs: Arc<Mutex<Vec<(u64, String)>>> = Arc::default();
    for number in 0..2u8 {
        let listener = TcpListener::bind((network(100 + number), 0))?;
        let address = listener.local_addr()?;
        let id = format!("i-02d9e6b{number}");
        let value = entry("desk", address, "kgn-a", 6, 1, unix_ms());
        store.put(&format!("servers/{id}"), Some(value));
        let (record, runs) = (record.clone(), runs.clone());
        let runner = Runner {
            id,
            is_unframed: false,
            events: 36,
            gap_ms: 50,
            work_ms: 5,
            idle_ms: 0,
            slots: 6,
            running: Arc::default(),
            log: Arc::new(move |text| {
                let id = text.split(' ').nth(1).unwrap_or_default().to_owned();
                lock(&runs).push((now_ms(), id));
                record.line(text);
            }),
        };
        runner.listen(listener);
    }
    let peer_port = free_port(network(1))?;
    let (gossip_port, other_gossip_port) = (free_port(network(1))?, free_port(network(2))?);
    let is_cut = Arc::new(AtomicBool::new(false));
    relay_datagrams(gossip_port, other_gossip_port, &is_cut)?;
    let address = |last: u8| SocketAddr::from((network(last), peer_port));
    let store_path = Link::start((network(20), 0).into(), store.address)?;
    let mut paths = vec![store_path.clone()];
    for last in 1..=HOSTS {
        paths.push(Link::start(address(10 + last), address(last))?);
    }
    let mut hosts = Vec::new();
    for last in 1..=HOSTS {
        let seeds = match last {
            1 => [address(1), address(12), address(13)],
            _ => [address(11), address(2), address(3)],
        };
        let place = Place {
            name: &format!("edge-{last}"),
            zone: "kgn-a",
            ip: network(last),
            peer_port,
            gossip_port: if last == 1 {
                gossip_port
            } else {
                other_gossip_port
            },
            store: if last == 1 {
                store_path.address
            } else {
                store.address
            },
            seeds: &seeds,
        };
        hosts.push(Host::start(&setup.folder, &place)?);
    }
    for host in &hosts {
        host.wait_ready()?;
    }
    record.line("hosts are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let sent: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    let mut consumers = Vec::new();
    for (number, host) in hosts.iter().enumerate() {
        for (name, key) in [("k", KEY), ("r", REVOCABLE_KEY), ("rr", REVOCABLE_KEY)] {
            let address = host.caller;
            let (record, is_over, sent) = (record.clone(), is_over.clone(), sent.clone());
            consumers.push(thread::spawn(move || {
                let mut consumer = Consumer::new(address);
                let mut count = 0;
                while !is_over.load(Ordering::Relaxed) {
                    count += 1;
                    let id = format!("{name}{}-{count}", number + 1);
                    let sent_at = now_ms();
                    lock(&sent).insert(id.clone(), sent_at);
                    let answer = consumer.send(&Request {
                        method: "GET",
                        path: "/look/2f",
                        id: &id,
                        key,
                        deadline_ms: 2_500,
                        patience: Duration::from_millis(2_500),
                        body: "",
                        more: "",
                    });
                    match answer {
                        Answer::Whole { status, .. } => {
                            record.line(format!("answer {id} sent at {sent_at}: {status}"))
                        }
                        answer => record.line(format!("answer {id} sent at {sent_at}: {answer:?}")),
                    }
                    sleep_ms(15);
                }
            }));
        }
    }
    sleep_ms(7_000);
    if setup.has_trouble {
        is_cut.store(true, Ordering::SeqCst);
        paths.iter().for_each(|path| path.cut());
        record.line("CUT: edge-1 is cut off from the other machines and from the store");
        sleep_ms(200);
    }
    let before = Instant::now();
    sleep_ms(200);
    store.put("op/config", Some(config(9, &routes(), &[KEY])));
    let revoked_at = now_ms();
    record.line("CONFIRMED: version 9, without the key of the requests r");
    if setup.has_trouble {
        sleep_until(revoked_at + 4_000);
        record.line("AWAY: the store is away");
        store.restore(Duration::from_millis(1_000), before);
        record.line(format!(
            "BACK: the store is back from a copy of {} ms ago, with version 7",
            before.elapsed().as_millis()
        ));
        sleep_until(revoked_at + 5_600);
        is_cut.store(false, Ordering::SeqCst);
        paths.iter().for_each(|path| path.heal());
        record.line("HEAL: edge-1 is not cut off any more");
    }
    sleep_until(revoked_at + 7_500);
    if setup.has_trouble {
        store.put("op/config", Some(config(9, &routes(), &[KEY])));
        record.line("WRITTEN AGAIN: version 9");
    }
    sleep_until(revoked_at + 9_500);
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _joined = consumer.join();
    }
    let sent = lock(&sent);
    let runs = lock(&runs);
    let late = |id: &String| {
        id.starts_with('r') && sent.get(id).is_some_and(|at| *at > revoked_at + REVOKE_MS)
    };
    let broken: Vec<&str> = runs
        .iter()
        .filter(|(_, id)| late(id))
        .map(|(_, id)| id.as_str())
        .collect();
    record.line(format!(
        "runs: {}; runs with the key, sent later than {REVOKE_MS} ms after it was taken away: {}: {}",
        runs.len(), broken.len(), broken.join(" ")
    ));
    let served = |name: &str| runs.iter().filter(|(_, id)| id.starts_with(name)).count();
    if served("k1") < 100 || served("r1") < 100 || served("k2") < 100 {
        return Err("too few requests were served".into());
    }
    Ok(match broken.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}

/// Routes of the configuration of `storms`: three that are used, 110 idle ones, and those of eleven
/// times `big_config` with 350 each.
const MANY_ROUTES: usize = 3 + 110 + 11 * 350;

/// Largest item of the store (`valueBytes`).
const VALUE_BYTES: usize = 1_048_576;

/// A large configuration changes in quick succession, again and again. As the platform does, a
/// process that exceeds the memory of its machine is killed and started again.
fn storms(setup: &Setup) -> Result<Verdict> {
    let record = &setup.record;
    let store = Store::start()?;
    let mut all = routes();
    for number in all.len()..MANY_ROUTES {
        all.push(route(
            &format!("r-{number:07}"), &format!("/idle{number}/"), "idempotent", "desk",
            r#""timeoutMs":2500,"goalMs":150,"priority":2,"maxAttempts":2,"sticky":false,"resumable":false"#,
        ));
    }
    let first = config(7, &all, &[KEY]);
    record.line(format!(
        "the configuration has {} routes and {} bytes",
        all.len(),
        first.len()
    ));
    if first.len() > VALUE_BYTES {
        return Err("the configuration is too large".into());
    }
    store.put("op/config", Some(first));
    let runs: Arc<Mutex<BTreeMap<String, u64>>> = Arc::default();
    for number in 0..4u8 {
        let listener = TcpListener::bind((network(100 + number), 0))?;
        let id = format!("i-02d9e6b{number}");
        let value = entry("desk", listener.local_addr()?, "kgn-a", 6, 1, unix_ms());
        store.put(&format!("servers/{id}"), Some(value));
        let (record, runs) = (record.clone(), runs.clone());
        let runner = Runner {
            id,
            is_unframed: false,
            events: 36,
            gap_ms: 50,
            work_ms: 30,
            idle_ms: 0,
            slots: 6,
            running: Arc::default(),
            log: Arc::new(move |text| {
                let id = text.split(' ').nth(1).unwrap_or_default().to_owned();
                lock(&runs).insert(id, now_ms());
                record.line(text);
            }),
        };
        runner.listen(listener);
    }
    let peer_port = free_port(network(1))?;
    let gossip_port = free_port(network(1))?;
    let seeds: Vec<SocketAddr> = (1..=3)
        .map(|last| (network(last), peer_port).into())
        .collect();
    let mut hosts = Vec::new();
    for last in 1..=3u8 {
        let place = Place {
            name: &format!("edge-{last}"),
            zone: "kgn-a",
            ip: network(last),
            peer_port,
            gossip_port,
            store: store.address,
            seeds: &seeds,
        };
        hosts.push(Host::start(&setup.folder, &place)?);
    }
    for host in &hosts {
        host.wait_ready()?;
    }
    record.line("hosts are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    // Requests on kept connections that ended without an answer, with their hosts.
    let cut: Arc<Mutex<Vec<(usize, String)>>> = Arc::default();
    let mut consumers = Vec::new();
    for number in 0..36 {
        let on = number % hosts.len();
        let address = hosts[on].caller;
        let (record, is_over, cut) = (record.clone(), is_over.clone(), cut.clone());
        consumers.push(thread::spawn(move || {
            let mut consumer = Consumer::new(address);
            let mut count = 0;
            while !is_over.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("p{}-{number}-{count}", on + 1);
                let is_kept = consumer.wire.is_some();
                let answer = consumer.send(&Request {
                    method: "POST",
                    path: "/buy/2f",
                    id: &id,
                    key: KEY,
                    deadline_ms: 2_500,
                    patience: Duration::from_millis(2_600),
                    body: r#"{"seat":7}"#,
                    more: "",
                });
                match answer {
                    Answer::Whole { status: 200, .. } => {}
                    Answer::Whole { status, .. } => record.line(format!("answer {id} {status}")),
                    Answer::Cut { status: None, .. } if is_kept => {
                        record.line(format!(
                            "answer {id}: the kept connection was closed without an answer"
                        ));
                        lock(&cut).push((on, id));
                    }
                    Answer::Unsent => sleep_ms(100),
                    answer => record.line(format!("answer {id} {answer:?}")),
                }
                sleep_ms(1);
            }
        }));
    }
    sleep_ms(3_000);
    let mut version = 7;
    let mut peak = vec![0; hosts.len()];
    let mut kills = 0;
    let mut restarts: Vec<Option<u64>> = vec![None; hosts.len()];
    let until = now_ms() + STORM_TIME_MS;
    let mut next_change = now_ms();
    let mut changes = 0;
    while now_ms() < until && (kills < hosts.len() || !setup.has_trouble) {
        if setup.has_trouble && now_ms() >= next_change {
            version += 2;
            changes += 1;
            store.put("op/config", Some(config(version, &all, &[KEY])));
            // A change each 80 ms for 2 s, and no changes for 2 s.
            next_change = now_ms().max(next_change) + if changes % 25 == 0 { 2_000 } else { 80 };
        }
        for (number, host) in hosts.iter_mut().enumerate() {
            if restarts[number].is_some_and(|at| now_ms() >= at) {
                restarts[number] = None;
                host.spawn()?;
            }
            let memory = host.memory_kb().unwrap_or(0);
            if memory > peak[number] {
                if memory / 20_480 > peak[number] / 20_480 {
                    record.line(format!(
                        "{} has {} MB after {changes} changes",
                        host.name,
                        memory / 1_024
                    ));
                }
                peak[number] = memory;
            }
            if memory > MEMORY_MB * 1_024 {
                record.line(format!(
                    "KILLED: {} exceeds {MEMORY_MB} MB, after {changes} changes",
                    host.name
                ));
                host.kill();
                kills += 1;
                peak[number] = 0;
                restarts[number] = Some(now_ms() + 500);
            }
        }
        sleep_ms(5);
    }
    sleep_ms(500);
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _joined = consumer.join();
    }
    let runs = lock(&runs);
    let cut = lock(&cut);
    let lost: Vec<&(usize, String)> = cut.iter().filter(|(_, id)| runs.contains_key(id)).collect();
    let most = (0..hosts.len())
        .map(|on| lost.iter().filter(|(it, _)| *it == on).count())
        .max();
    record.line(format!(
        "runs: {}; changes: {changes}; processes that exceeded their memory: {kills}; requests of kept connections that ran, and whose connection was closed without an answer: {}, {} of them at one machine",
        runs.len(), lost.len(), most.unwrap_or(0)
    ));
    if runs.len() < 1_000 {
        return Err("too few requests were served".into());
    }
    Ok(match lost.len() > 3 {
        true => Verdict::Broken,
        false => Verdict::Held,
    })
}

/// Time in which the configuration changes.
const STORM_TIME_MS: u64 = 95_000;

/// A machine is stopped, and a runner leaves without a word: its entry is removed and it serves on. Its
/// streams have no length, and it closes connections that are idle for a second.
fn unlisted(setup: &Setup) -> Result<Verdict> {
    let record = &setup.record;
    let store = Store::start()?;
    store.put("op/config", Some(config(7, &routes(), &[KEY])));
    let runs: Arc<Mutex<BTreeMap<String, String>>> = Arc::default();
    for number in 0..4u8 {
        let listener = TcpListener::bind((network(100 + number), 0))?;
        let id = format!("i-7f3a91c{number}");
        let value = entry("engines", listener.local_addr()?, "kgn-a", 64, 1, unix_ms());
        store.put(&format!("servers/{id}"), Some(value));
        let (record, runs) = (record.clone(), runs.clone());
        let runner = Runner {
            id,
            is_unframed: true,
            events: 36,
            gap_ms: 50,
            work_ms: 30,
            idle_ms: 1_000,
            slots: 64,
            running: Arc::default(),
            log: Arc::new(move |text| {
                let mut words = text.split(' ').skip(1);
                let id = words.next().unwrap_or_default().to_owned();
                let runner = words.nth(1).unwrap_or_default().to_owned();
                lock(&runs).insert(id, runner);
                record.line(text);
            }),
        };
        runner.listen(listener);
    }
    let peer_port = free_port(network(1))?;
    let gossip_port = free_port(network(1))?;
    let seeds: Vec<SocketAddr> = (1..=3)
        .map(|last| (network(last), peer_port).into())
        .collect();
    let mut hosts = Vec::new();
    for last in 1..=3u8 {
        let place = Place {
            name: &format!("edge-{last}"),
            zone: "kgn-a",
            ip: network(last),
            peer_port,
            gossip_port,
            store: store.address,
            seeds: &seeds,
        };
        hosts.push(Host::start(&setup.folder, &place)?);
    }
    for host in &hosts {
        host.wait_ready()?;
    }
    record.line("hosts are ready");
    let is_over = Arc::new(AtomicBool::new(false));
    let lost: Arc<Mutex<Vec<String>>> = Arc::default();
    let served = Arc::new(AtomicUsize::new(0));
    let mut consumers = Vec::new();
    for number in 0..36 {
        let on = number % hosts.len();
        let address = hosts[on].caller;
        let (record, is_over) = (record.clone(), is_over.clone());
        let (lost, served) = (lost.clone(), served.clone());
        consumers.push(thread::spawn(move || {
            let mut consumer = Consumer::new(address);
            let mut count = 0;
            // The streams begin at different times.
            sleep_ms(number as u64 * 50);
            while !is_over.load(Ordering::Relaxed) {
                count += 1;
                let id = format!("c{}-{number:02}-{count}", on + 1);
                let answer = consumer.send(&Request {
                    method: "POST",
                    path: "/chat/2f",
                    id: &id,
                    key: KEY,
                    deadline_ms: 8_000,
                    // The longest of two seconds, four times the objective and eight times the pause.
                    patience: Duration::from_millis(3_200),
                    body: "How are the rows?",
                    more: &format!("X-Model: m\r\nX-Token-Usage: 830,280\r\nX-Prompt-Prefix: {:x}:120,{:x}:580,{number:x}{count:x}:130\r\n", number % 8 + 16, number + 64),
                });
                match answer {
                    Answer::Whole { status: 200, body } if events(&body) == 36 => {
                        served.fetch_add(1, Ordering::Relaxed);
                        record.line(format!("answer {id} 200, complete"));
                    }
                    Answer::Cut { status: Some(200), bytes } => {
                        record.line(format!("answer {id} 200, CUT after {bytes} bytes"));
                        lock(&lost).push(id);
                    }
                    Answer::Whole { status, .. } => record.line(format!("answer {id} {status}")),
                    Answer::Unsent => sleep_ms(200),
                    answer => record.line(format!("answer {id} {answer:?}")),
                }
                sleep_ms(10);
            }
        }));
    }
    sleep_ms(6_000);
    if setup.has_trouble {
        hosts[0].terminate()?;
        record.line("SIGTERM: edge-1");
        store.put("servers/i-7f3a91c0", None);
        record.line("REMOVED: the entry of i-7f3a91c0, which serves on");
    }
    sleep_ms(5_000);
    is_over.store(true, Ordering::Relaxed);
    for consumer in consumers {
        let _joined = consumer.join();
    }
    let runs = lock(&runs);
    let lost = lock(&lost);
    let at = |id: &String| runs.get(id).cloned().unwrap_or_default();
    let of_stopped: Vec<String> = lost
        .iter()
        .filter(|id| id.starts_with("c1-"))
        .map(|id| format!("{id} at {}", at(id)))
        .collect();
    record.line(format!(
        "whole streams: {}; streams cut: {}, of these through the machine that stops: {}: {}",
        served.load(Ordering::Relaxed),
        lost.len(),
        of_stopped.len(),
        of_stopped.join(", ")
    ));
    if served.load(Ordering::Relaxed) < 60 {
        return Err("too few streams were served".into());
    }
    Ok(match of_stopped.is_empty() {
        true => Verdict::Held,
        false => Verdict::Broken,
    })
}
