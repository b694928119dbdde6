//! Stand-ins for the review's scripts, with the standard library only: the platform's store, a
//! runner as a process of its own, callers, and the start of hosts as the deploy file does it.
//!
//! `stand runner ...` is one runner; `stand case N` plays the case in `review/N/`.

use std::collections::BTreeMap;
use std::fs::File;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

// ---------------------------------------------------------------- HTTP

struct Message {
    first: String,
    headers: Vec<(String, String)>,
    body: Vec<u8>,
}

impl Message {
    fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(key, _)| key.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }
}

/// Reads the head of a message; `None` if the connection ends before it.
fn read_head(reader: &mut impl BufRead) -> Option<Message> {
    let mut first = String::new();
    if reader.read_line(&mut first).ok()? == 0 {
        return None;
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line).ok()? == 0 {
            return None;
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        let (name, value) = line.split_once(':')?;
        headers.push((name.to_owned(), value.trim().to_owned()));
    }
    Some(Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    })
}

/// Reads a request with its body.
fn read_request(reader: &mut impl BufRead) -> Option<Message> {
    let mut message = read_head(reader)?;
    if let Some(length) = message.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        message.body = body;
    }
    Some(message)
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = chunk
            .iter()
            .fold(0u32, |word, byte| word << 8 | u32::from(*byte));
        let word = word << (8 * (3 - chunk.len()));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(SET[(word >> (18 - 6 * index)) as usize & 63] as char),
                false => text.push('='),
            }
        }
    }
    text
}

fn unix_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

// ---------------------------------------------------------------- the platform's store

#[derive(Default)]
struct Items {
    revision: u64,
    items: BTreeMap<String, (u64, u64, String)>,
    history: Vec<(u64, String, Option<String>)>,
}

#[derive(Clone, Default)]
struct Store(Arc<(Mutex<Items>, Condvar)>);

fn item(key: &str, revision: u64, created: u64, value: &str) -> String {
    let value = base64(value.as_bytes());
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":{created},\"lease\":0}}")
}

impl Store {
    fn put(&self, key: &str, value: Option<String>) {
        let mut items = self.0 .0.lock().unwrap();
        items.revision += 1;
        let revision = items.revision;
        match &value {
            Some(value) => {
                let created = items
                    .items
                    .get(key)
                    .map_or(revision, |(_, created, _)| *created);
                items
                    .items
                    .insert(key.to_owned(), (revision, created, value.clone()));
            }
            None => {
                items.items.remove(key);
            }
        }
        items.history.push((revision, key.to_owned(), value));
        self.0 .1.notify_all();
    }

    fn serve(&self) -> SocketAddr {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let store = self.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = store.clone();
                thread::spawn(move || store.connection(stream));
            }
        });
        address
    }

    fn connection(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut writer = stream;
        while let Some(request) = read_request(&mut reader) {
            let target = request
                .first
                .split(' ')
                .nth(1)
                .unwrap_or_default()
                .to_owned();
            let (path, query) = target.split_once('?').unwrap_or((&target, ""));
            let query: BTreeMap<_, _> = query
                .split('&')
                .filter_map(|it| it.split_once('='))
                .collect();
            let text = |name: &str| query.get(name).copied().unwrap_or_default().to_owned();
            let number = |name: &str| text(name).parse::<u64>().unwrap_or_default();
            let body = match path {
                "/masticmoor/kv-range" => self.range(&text("prefix")),
                "/masticmoor/kv-watch" => {
                    self.watch(&text("prefix"), number("after"), number("waitMs"))
                }
                _ => return,
            };
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, prefix: &str) -> String {
        let items = self.0 .0.lock().unwrap();
        let list = items
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(prefix));
        let list: Vec<_> = list
            .map(|(key, (revision, created, value))| item(key, *revision, *created, value))
            .collect();
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"currentRev\":{}}}",
            list.join(","),
            items.revision
        )
    }

    fn watch(&self, prefix: &str, after: u64, wait_ms: u64) -> String {
        let until = Instant::now() + Duration::from_millis(wait_ms.min(30_000));
        let mut items = self.0 .0.lock().unwrap();
        loop {
            let new = items
                .history
                .iter()
                .filter(|(revision, key, _)| *revision > after && key.starts_with(prefix));
            let new: Vec<_> = new
                .map(|(revision, key, value)| match value {
                    Some(value) => item(key, *revision, *revision, value),
                    None => {
                        format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}")
                    }
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !new.is_empty() || left.is_zero() {
                return format!(
                    "{{\"events\":[{}],\"currentRev\":{}}}",
                    new.join(","),
                    items.revision
                );
            }
            items = self.0 .1.wait_timeout(items, left).unwrap().0;
        }
    }
}

// ---------------------------------------------------------------- a runner

/// One runner: answers streams of `events` events, one each `pause` ms, and plain requests after
/// `pause` ms. Writes a line for each request that it runs.
///
/// Arguments: address, id, events, pause in ms, `close` or `chunks`.
fn runner(args: &[String]) {
    let listener = TcpListener::bind(&args[0]).unwrap();
    let id = args[1].clone();
    let events: u64 = args[2].parse().unwrap();
    let pause = Duration::from_millis(args[3].parse().unwrap());
    let is_unframed = args[4] == "close";
    for stream in listener.incoming().flatten() {
        let id = id.clone();
        thread::spawn(move || {
            let _ = stream.set_nodelay(true);
            let mut reader = BufReader::new(stream.try_clone().unwrap());
            let mut writer = stream;
            while let Some(request) = read_request(&mut reader) {
                if run(&id, events, pause, is_unframed, &request, &mut writer).is_none() {
                    return;
                }
            }
        });
    }
}

/// Answers a request. `None` if the connection ends with the answer.
fn run(
    id: &str,
    events: u64,
    pause: Duration,
    is_unframed: bool,
    request: &Message,
    writer: &mut TcpStream,
) -> Option<()> {
    let path = request
        .first
        .split(' ')
        .nth(1)
        .unwrap_or_default()
        .to_owned();
    let mut send = |text: &str| writer.write_all(text.as_bytes()).ok();
    if path == "/healthz" {
        send(&format!(
            "HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
        ))?;
        return Some(());
    }
    if path == "/masticmoor/kv-list" {
        let body = "{\"epoch\":1,\"next\":1,\"held\":[]}";
        send(&format!(
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n{body}",
            body.len()
        ))?;
        return Some(());
    }
    let attempt = request.header("x-attempt-id").unwrap_or_default();
    if attempt.is_empty()
        || request
            .header("x-expect-instance")
            .is_some_and(|it| it != id)
    {
        let status = if attempt.is_empty() {
            "400 Bad Request"
        } else {
            "421 Misdirected Request"
        };
        send(&format!("HTTP/1.1 {status}\r\nX-Attempt-Id: {attempt}\r\nX-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n"))?;
        return Some(());
    }
    let last: u64 = request
        .header("last-event-id")
        .and_then(|it| it.parse().ok())
        .unwrap_or_default();
    println!(
        "{} run runner={id} attempt={attempt} after={last}",
        unix_ms()
    );
    let head = format!("HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {id}.{attempt}\r\nX-Instance-Load: 1,0,64\r\n");
    if !path.starts_with("/chat/") {
        thread::sleep(pause);
        let body = format!("{:800}", format!("done {attempt}"));
        send(&format!(
            "{head}Content-Length: {}\r\n\r\n{body}",
            body.len()
        ))?;
        return Some(());
    }
    let head = format!("{head}Content-Type: text/event-stream\r\nX-Weight-Versions: 1\r\n");
    match is_unframed {
        true => send(&format!("{head}Connection: close\r\n\r\n"))?,
        false => send(&format!("{head}Transfer-Encoding: chunked\r\n\r\n"))?,
    }
    for number in last + 1..=events {
        thread::sleep(pause);
        let event = format!("id: {number}\ndata: {attempt} {number} of {events}\n\n");
        match is_unframed {
            true => send(&event)?,
            false => send(&format!("{:x}\r\n{event}\r\n", event.len()))?,
        }
    }
    println!("{} end runner={id} attempt={attempt}", unix_ms());
    match is_unframed {
        true => {
            let _ = writer.shutdown(Shutdown::Both);
            None
        }
        false => send("0\r\n\r\n"),
    }
}

// ---------------------------------------------------------------- processes

/// Lines of the record, in the folder of the case.
#[derive(Clone)]
struct Record(Arc<Mutex<File>>);

impl Record {
    fn line(&self, text: &str) {
        let _ = writeln!(self.0.lock().unwrap(), "{} {text}", unix_ms());
    }
}

/// A process that ends with its owner.
struct Process(Child);

impl Drop for Process {
    fn drop(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Process {
    fn signal(&self, name: &str) {
        let _ = Command::new("kill")
            .arg(format!("-{name}"))
            .arg(self.0.id().to_string())
            .status();
    }

    fn has_ended(&mut self) -> Option<String> {
        self.0.try_wait().unwrap().map(|status| status.to_string())
    }
}

fn free_address(ip: Ipv4Addr) -> SocketAddr {
    TcpListener::bind((ip, 0)).unwrap().local_addr().unwrap()
}

/// A runner's process, which is listed in the store while it lives.
struct Runner {
    id: String,
    service: &'static str,
    zone: &'static str,
    address: SocketAddr,
    born: u128,
    sequence: u64,
    process: Option<Process>,
    seen: Instant,
    args: Vec<String>,
}

impl Runner {
    fn new(id: &str, service: &'static str, zone: &'static str, args: &[&str]) -> Self {
        Self {
            id: id.to_owned(),
            service,
            zone,
            address: free_address(Ipv4Addr::LOCALHOST),
            born: 0,
            sequence: 0,
            process: None,
            seen: Instant::now(),
            args: args.iter().map(|it| it.to_string()).collect(),
        }
    }

    fn start(&mut self, record: &Record) {
        let mut child = Command::new(std::env::current_exe().unwrap())
            .args(["runner", &self.address.to_string(), &self.id])
            .args(&self.args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let lines = BufReader::new(child.stdout.take().unwrap()).lines();
        let record = record.clone();
        thread::spawn(move || {
            for line in lines.map_while(Result::ok) {
                let (_, text) = line.split_once(' ').unwrap_or(("", &line));
                record.line(text);
            }
        });
        self.process = Some(Process(child));
        self.born = unix_ms();
        self.sequence = 0;
    }

    /// Renews the entry of a runner that lives; removes that of one which has been silent for
    /// three intervals.
    fn beat(&mut self, store: &Store) {
        let key = format!("servers/{}", self.id);
        if self
            .process
            .as_mut()
            .is_some_and(|it| it.has_ended().is_none())
        {
            self.sequence += 1;
            self.seen = Instant::now();
            let (service, address, zone, sequence, born) = (
                self.service,
                self.address,
                self.zone,
                self.sequence,
                self.born,
            );
            store.put(&key, Some(format!("{{\"service\":\"{service}\",\"address\":\"{address}\",\"zone\":\"{zone}\",\"version\":\"v1\",\"slots\":64,\"state\":\"ready\",\"coldLeftMs\":0,\"sequence\":{sequence},\"born\":{born}}}")));
        } else if self.sequence > 0 && self.seen.elapsed() > 3 * HEARTBEAT {
            self.sequence = 0;
            store.put(&key, None);
        }
    }
}

const HEARTBEAT: Duration = Duration::from_millis(1_200);

/// Values of the platform's fields for the template of a host's settings.
struct Fields {
    grace_s: String,
}

struct Host {
    name: String,
    zone: &'static str,
    ip: Ipv4Addr,
    front: SocketAddr,
    ready: SocketAddr,
    settings: PathBuf,
    process: Option<Process>,
}

struct Fleet {
    hosts: Vec<Host>,
    seeds: Vec<String>,
    control: u16,
    gossip: u16,
    store: SocketAddr,
    folder: PathBuf,
    logs: PathBuf,
}

impl Fleet {
    fn new(zones: &[&'static str], store: SocketAddr, folder: &Path) -> Self {
        let low = (std::process::id() % 200 + 20) as u8;
        let ip = |number: usize| Ipv4Addr::new(127, 77, low, number as u8 + 1);
        let gossip = UdpSocket::bind((ip(0), 0))
            .unwrap()
            .local_addr()
            .unwrap()
            .port();
        let control = free_address(ip(0)).port();
        let hosts = zones.iter().enumerate().map(|(number, zone)| Host {
            name: format!("edge-{number}"),
            zone,
            ip: ip(number),
            front: free_address(ip(number)),
            ready: free_address(ip(number)),
            settings: folder.join(format!("host-{number}.toml")),
            process: None,
        });
        let hosts: Vec<_> = hosts.collect();
        let seeds = hosts
            .iter()
            .take(3)
            .map(|it| format!("{}:{control}", it.ip))
            .collect();
        Self {
            hosts,
            seeds,
            control,
            gossip,
            store,
            folder: folder.to_owned(),
            logs: folder.to_owned(),
        }
    }

    /// Fills in the template of the deploy file for a host.
    fn write_settings(&self, number: usize, fields: &Fields, is_first: bool) {
        let host = &self.hosts[number];
        let seeds: Vec<_> = self.seeds.iter().map(|it| format!("\"{it}\"")).collect();
        let values = [
            ("{{nodeName}}", host.name.clone()),
            ("{{zone}}", host.zone.to_owned()),
            ("{{listen.front}}", host.front.to_string()),
            ("{{listen.ready}}", host.ready.to_string()),
            (
                "{{listen.control}}",
                format!("{}:{}", host.ip, self.control),
            ),
            ("{{platform.address}}", self.store.to_string()),
            ("{{seeds|json}}", format!("[{}]", seeds.join(","))),
            ("{{portRange.0}}", self.gossip.to_string()),
            ("{{bounds.revokeMs}}", "5000".to_owned()),
            ("{{bounds.graceS}}", fields.grace_s.clone()),
            ("{{bounds.retryRatio}}", "0.2".to_owned()),
            ("{{bounds.retrySlack}}", "58".to_owned()),
            ("{{bounds.retryWindowS}}", "10".to_owned()),
            ("{{bounds.coldOverage}}", "1.5".to_owned()),
            ("{{bounds.coldSlack}}", "5".to_owned()),
            ("{{limits.linkMbps}}", "1000.0".to_owned()),
            ("{{limits.memoryMb}}", "512".to_owned()),
            ("{{limits.maxFds}}", "8192".to_owned()),
            ("{{bootstrap|json}}", is_first.to_string()),
        ];
        let mut text = std::fs::read_to_string("deploy/settings.toml").unwrap();
        for (name, value) in values {
            text = text.replace(name, &value);
        }
        if text
            .lines()
            .any(|line| !line.starts_with('#') && line.contains("{{"))
        {
            eprintln!("the template names a field that this script doesn't know");
            std::process::exit(2);
        }
        std::fs::write(&host.settings, text).unwrap();
    }

    /// Starts a host with the command of the deploy file.
    fn start(&mut self, number: usize) {
        let deploy = std::fs::read_to_string("deploy/system.toml").unwrap();
        let run = deploy
            .lines()
            .find_map(|line| line.strip_prefix("run = \""))
            .unwrap();
        let mut words = run.trim_end_matches('"').split(' ');
        let log = self.logs.join(format!("host-{number}.log"));
        let log = File::options().create(true).append(true).open(log).unwrap();
        let child = Command::new(words.next().unwrap())
            .args(words)
            .env_clear()
            .env("PATH", std::env::var_os("PATH").unwrap_or_default())
            .env("MASTICMOOR_SETTINGS", &self.hosts[number].settings)
            .stderr(log.try_clone().unwrap())
            .stdout(log)
            .spawn();
        match child {
            Ok(child) => self.hosts[number].process = Some(Process(child)),
            Err(error) => {
                eprintln!("can't start a host: {error}");
                std::process::exit(2);
            }
        }
    }

    fn is_ready(&self, number: usize) -> bool {
        let text = "GET /masticmoor/readyz HTTP/1.1\r\nHost: x\r\nConnection: close\r\n\r\n";
        let answer = TcpStream::connect(self.hosts[number].ready)
            .ok()
            .and_then(|mut stream| {
                stream.set_read_timeout(Some(Duration::from_secs(1))).ok()?;
                stream.write_all(text.as_bytes()).ok()?;
                read_head(&mut BufReader::new(stream))
            });
        answer.is_some_and(|it| it.first.contains(" 200"))
    }

    fn wait_ready(&self, limit: Duration) -> bool {
        let until = Instant::now() + limit;
        (0..self.hosts.len()).all(|number| loop {
            if self.is_ready(number) {
                return true;
            }
            if Instant::now() > until {
                return false;
            }
            thread::sleep(Duration::from_millis(50));
        })
    }
}

impl Drop for Fleet {
    fn drop(&mut self) {
        self.hosts.clear();
        if std::env::var_os("KEEP").is_none() {
            let _ = std::fs::remove_dir_all(&self.folder);
        }
    }
}

// ---------------------------------------------------------------- callers

/// What a caller got.
#[derive(Debug)]
struct Answer {
    /// `None` if the connection ended before the head of an answer.
    status: Option<u16>,
    stamp: Option<String>,
    body: Vec<u8>,
    /// Whether the answer is complete by its framing.
    is_complete: bool,
}

/// Sends a request on a new connection and reads the answer.
fn call(
    front: SocketAddr,
    attempt: &str,
    host: &str,
    path: &str,
    more: &str,
    limit: Duration,
) -> Answer {
    let mut answer = Answer {
        status: None,
        stamp: None,
        body: Vec::new(),
        is_complete: false,
    };
    let _ = exchange(front, attempt, host, path, more, limit, &mut answer);
    answer
}

fn exchange(
    front: SocketAddr,
    attempt: &str,
    host: &str,
    path: &str,
    more: &str,
    limit: Duration,
    answer: &mut Answer,
) -> Option<()> {
    let mut stream = TcpStream::connect_timeout(&front, Duration::from_secs(1)).ok()?;
    stream.set_read_timeout(Some(limit)).ok()?;
    let deadline = limit.as_millis();
    let text = format!("POST {path} HTTP/1.1\r\nHost: {host}\r\nX-Attempt-Id: {attempt}\r\nX-Deadline-Ms: {deadline}\r\n{more}Content-Length: 2\r\n\r\n{{}}");
    stream.write_all(text.as_bytes()).ok()?;
    let mut reader = BufReader::new(stream);
    let head = read_head(&mut reader)?;
    answer.status = head.first.split(' ').nth(1)?.parse().ok();
    answer.stamp = head.header("x-server-stamp").map(str::to_owned);
    if let Some(length) = head.header("content-length") {
        let mut body = vec![0; length.parse().ok()?];
        reader.read_exact(&mut body).ok()?;
        answer.body = body;
    } else if head.header("transfer-encoding").is_some() {
        loop {
            let mut line = String::new();
            reader.read_line(&mut line).ok()?;
            let size = usize::from_str_radix(line.trim_end(), 16).ok()?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk).ok()?;
            if size == 0 {
                break;
            }
            answer.body.extend_from_slice(&chunk[..size]);
        }
    } else {
        // It ends with the connection; a reset isn't an end.
        reader.read_to_end(&mut answer.body).ok()?;
    }
    answer.is_complete = true;
    Some(())
}

fn event_ids(body: &[u8]) -> Vec<u64> {
    let text = String::from_utf8_lossy(body);
    text.lines()
        .filter_map(|line| line.strip_prefix("id: ")?.parse().ok())
        .collect()
}

// ---------------------------------------------------------------- cases

include!("cases.rs");

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    match args.first().map(String::as_str) {
        Some("runner") => runner(&args[1..]),
        Some("case") => std::process::exit(case(&args[1])),
        _ => std::process::exit(2),
    }
}
