//! Stand-ins for the scripts of the second review: the platform's store, runners and consumers, and
//! the control of the processes that a case starts.
//!
//! `stand-2 runner ...` is one runner, a process of its own, so that it can be killed.
//! `stand-2 case N DIR` plays a case and writes DIR/record.txt. It exits with 1 if the rule was
//! broken, 0 if it held, and 2 if the case couldn't run.

use std::collections::BTreeMap;
use std::fs;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Ipv4Addr, SocketAddr, SocketAddrV4, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitCode, Stdio};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex, OnceLock};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

#[path = "fleet-2.rs"]
mod fleet;

#[path = "10/case.rs"]
mod case_10;
#[path = "6/case.rs"]
mod case_6;
#[path = "7/case.rs"]
mod case_7;
#[path = "8/case.rs"]
mod case_8;
#[path = "9/case.rs"]
mod case_9;

extern "C" {
    fn kill(pid: i32, signal: i32) -> i32;
}

pub const SIGKILL: i32 = 9;
pub const SIGTERM: i32 = 15;
pub const SIGCONT: i32 = 18;
pub const SIGSTOP: i32 = 19;

/// The gateway's program, built by the deploy file's command.
const GATEWAY: &str = "target/release/masticmoor-platform";

pub const KEY: &str = "n2ctnfzs989anu6wsjnb";
pub const HOST: &str = "ficu95.example";

/// What a case saw, with times since its start.
#[derive(Clone)]
pub struct Record {
    started: Instant,
    lines: Arc<Mutex<Vec<(u128, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Self {
            started: Instant::now(),
            lines: Arc::default(),
        }
    }

    pub fn line(&self, text: impl Into<String>) {
        let at = self.started.elapsed().as_millis();
        self.lines.lock().unwrap().push((at, text.into()));
    }

    /// Writes the record, with the lines that runners wrote to `runs` (times of the same clock).
    pub fn save(&self, path: &Path, runs: &Path, wall_start: u128) -> io::Result<()> {
        let mut lines = self.lines.lock().unwrap().clone();
        for line in fs::read_to_string(runs).unwrap_or_default().lines() {
            if let Some((at, text)) = line.split_once(' ') {
                let at: u128 = at.parse().unwrap_or(0);
                lines.push((at.saturating_sub(wall_start), text.to_owned()));
            }
        }
        lines.sort();
        let mut text = String::new();
        for (at, line) in lines {
            text += &format!("{:8.3} s  {line}\n", at as f64 / 1000.0);
        }
        fs::write(path, text)
    }
}

pub fn wall_ms() -> u128 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap()
        .as_millis()
}

// ---------------------------------------------------------------------------------------------
// HTTP

pub struct Message {
    pub first: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(it, _)| it.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn path(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or("")
    }

    pub fn status(&self) -> u16 {
        self.first
            .split(' ')
            .nth(1)
            .and_then(|it| it.parse().ok())
            .unwrap_or(0)
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let mut first = String::new();
    if reader.read_line(&mut first)? == 0 {
        return Ok(None);
    }
    let mut headers = Vec::new();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let line = line.trim_end();
        if line.is_empty() {
            break;
        }
        if let Some((name, value)) = line.split_once(':') {
            headers.push((name.trim().to_owned(), value.trim().to_owned()));
        }
    }
    Ok(Some(Message {
        first: first.trim_end().to_owned(),
        headers,
        body: Vec::new(),
    }))
}

/// Reads a request with a body of a known length.
pub fn read_request(reader: &mut BufReader<TcpStream>) -> io::Result<Option<Message>> {
    let Some(mut message) = read_head(reader)? else {
        return Ok(None);
    };
    let length = message
        .header("content-length")
        .and_then(|it| it.parse().ok())
        .unwrap_or(0);
    message.body = vec![0; length];
    reader.read_exact(&mut message.body)?;
    Ok(Some(message))
}

/// Path without a query, and a parameter of the query.
pub fn parameter<'a>(path: &'a str, name: &str) -> Option<&'a str> {
    let query = path.split_once('?')?.1;
    query
        .split('&')
        .find_map(|it| it.strip_prefix(name)?.strip_prefix('='))
}

fn base64(bytes: &[u8]) -> String {
    const SET: &[u8] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for chunk in bytes.chunks(3) {
        let word = (u32::from(chunk[0]) << 16)
            | (u32::from(*chunk.get(1).unwrap_or(&0)) << 8)
            | u32::from(*chunk.get(2).unwrap_or(&0));
        for index in 0..4 {
            match index <= chunk.len() {
                true => text.push(SET[(word >> (18 - 6 * index) & 63) as usize] as char),
                false => text.push('='),
            }
        }
    }
    text
}

// ---------------------------------------------------------------------------------------------
// The platform's store

#[derive(Default)]
struct Content {
    revision: u64,
    items: BTreeMap<String, (String, u64)>,
    /// Changes: revision, key, value.
    log: Vec<(u64, String, Option<String>)>,
}

#[derive(Clone, Default)]
pub struct Store {
    content: Arc<(Mutex<Content>, Condvar)>,
    /// Whether it answers nothing, and does nothing.
    is_down: Arc<AtomicBool>,
}

impl Store {
    pub fn start(address: SocketAddr) -> io::Result<Self> {
        let store = Self::default();
        let listener = TcpListener::bind(address)?;
        let it = store.clone();
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let it = it.clone();
                thread::spawn(move || it.serve(stream));
            }
        });
        Ok(store)
    }

    /// Makes the store silent, or lets it answer again. Calls made meanwhile are never answered.
    pub fn set_down(&self, is_down: bool) {
        self.is_down.store(is_down, Ordering::Relaxed);
    }

    pub fn is_down(&self) -> bool {
        self.is_down.load(Ordering::Relaxed)
    }

    pub fn put(&self, key: &str, value: String) {
        self.change(key, Some(value));
    }

    pub fn delete(&self, key: &str) {
        self.change(key, None);
    }

    fn change(&self, key: &str, value: Option<String>) {
        let mut content = self.content.0.lock().unwrap();
        content.revision += 1;
        let revision = content.revision;
        match &value {
            Some(value) => drop(
                content
                    .items
                    .insert(key.to_owned(), (value.clone(), revision)),
            ),
            None => drop(content.items.remove(key)),
        }
        content.log.push((revision, key.to_owned(), value));
        self.content.1.notify_all();
    }

    fn serve(&self, stream: TcpStream) {
        let Ok(mut writer) = stream.try_clone() else {
            return;
        };
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream);
        while let Ok(Some(request)) = read_request(&mut reader) {
            let path = request.path().to_owned();
            if self.is_down() {
                thread::sleep(Duration::from_secs(20));
                return;
            }
            let (status, body) = match path.split('?').next().unwrap_or("") {
                "/masticmoor/kv-range" => ("200 OK", self.range(&path)),
                "/masticmoor/kv-watch" => ("200 OK", self.watch(&path)),
                _ => ("404 Not Found", "{}".to_owned()),
            };
            if self.is_down() {
                thread::sleep(Duration::from_secs(20));
                return;
            }
            let head = format!(
                "HTTP/1.1 {status}\r\nContent-Type: application/json\r\nContent-Length: {}\r\n\r\n",
                body.len()
            );
            if writer.write_all((head + &body).as_bytes()).is_err() {
                return;
            }
        }
    }

    fn range(&self, path: &str) -> String {
        let prefix = parameter(path, "prefix").unwrap_or("").to_owned();
        let content = self.content.0.lock().unwrap();
        let items = content
            .items
            .iter()
            .filter(|(key, _)| key.starts_with(&prefix));
        let items: Vec<_> = items
            .map(|(key, (value, at))| item(key, value, *at))
            .collect();
        let revision = content.revision;
        format!(
            "{{\"items\":[{}],\"hasMore\":false,\"currentRev\":{revision}}}",
            items.join(",")
        )
    }

    fn watch(&self, path: &str) -> String {
        let after: u64 = parameter(path, "after")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let wait = parameter(path, "waitMs")
            .and_then(|it| it.parse().ok())
            .unwrap_or(0);
        let until = Instant::now() + Duration::from_millis(wait);
        let mut content = self.content.0.lock().unwrap();
        while content.revision <= after {
            let Some(left) = until.checked_duration_since(Instant::now()) else {
                break;
            };
            content = self.content.1.wait_timeout(content, left).unwrap().0;
        }
        let new = content
            .log
            .iter()
            .filter(|(revision, ..)| *revision > after);
        let events: Vec<_> = new
            .map(|(revision, key, value)| match value {
                Some(value) => item(key, value, *revision),
                None => format!("{{\"key\":\"{key}\",\"revision\":{revision},\"deleted\":true}}"),
            })
            .collect();
        let revision = content.revision;
        format!(
            "{{\"events\":[{}],\"currentRev\":{revision}}}",
            events.join(",")
        )
    }
}

fn item(key: &str, value: &str, revision: u64) -> String {
    let value = base64(value.as_bytes());
    format!("{{\"key\":\"{key}\",\"value\":\"{value}\",\"revision\":{revision},\"created\":1,\"lease\":0}}")
}

// ---------------------------------------------------------------------------------------------
// Processes

/// Ends a process on drop.
pub struct Process(pub Child);

impl Process {
    pub fn signal(&self, signal: i32) {
        unsafe { kill(self.0.id() as i32, signal) };
    }

    pub fn end(&mut self) {
        let _ = self.0.kill();
        let _ = self.0.wait();
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        self.end();
    }
}

/// How a runner is started.
#[derive(Clone)]
pub struct Runner {
    pub id: String,
    pub service: String,
    pub version: String,
    pub address: SocketAddr,
    pub zone: String,
    pub slots: u32,
    /// How it answers; see `runner`.
    pub manner: String,
    /// How long it stays cold after its start, in milliseconds.
    pub cold_ms: u128,
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Ready,
    Draining,
    Stopped,
}

/// A runner's entry in the store.
#[derive(Clone)]
pub struct Entry {
    store: Store,
    key: String,
    state: Arc<Mutex<(State, u64)>>,
    runner: Runner,
    born: u128,
}

impl Entry {
    /// Writes the entry, unless the store is down. Returns whether it is to be renewed.
    fn renew(&self) -> bool {
        let mut state = self.state.lock().unwrap();
        if state.0 == State::Stopped || self.store.is_down() {
            return state.0 != State::Stopped;
        }
        state.1 += 1;
        let runner = &self.runner;
        let text = match state.0 {
            State::Draining => "draining",
            State::Ready | State::Stopped => "ready",
        };
        let cold = runner.cold_ms.saturating_sub(wall_ms() - self.born);
        let value = format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\"version\":\"{}\",\
             \"slots\":{},\"state\":\"{text}\",\"coldLeftMs\":{cold},\"sequence\":{},\"born\":{}}}",
            runner.service,
            runner.address,
            runner.zone,
            runner.version,
            runner.slots,
            state.1,
            self.born,
        );
        self.store.put(&self.key, value);
        true
    }

    /// The runner reports that it drains.
    pub fn drain(&self) {
        self.state.lock().unwrap().0 = State::Draining;
        self.renew();
    }

    /// The runner's process has ended, and writes nothing more.
    pub fn stop(&self) {
        self.state.lock().unwrap().0 = State::Stopped;
    }

    /// The runner removes its entry.
    pub fn remove(&self) {
        self.stop();
        self.store.delete(&self.key);
    }
}

/// A fleet of one test: the store, the runners' entries, the gateways.
pub struct Fleet {
    pub record: Record,
    pub store: Store,
    pub folder: PathBuf,
    pub runs: PathBuf,
    pub wall_start: u128,
    pub net: u8,
    pub ports: Vec<u16>,
    pub store_address: SocketAddr,
}

impl Fleet {
    /// Starts the store. Each machine has an address of its own in a loopback network.
    pub fn start(name: &str) -> io::Result<Self> {
        let net = 20 + (std::process::id() % 200) as u8;
        let ip = |last: u8| Ipv4Addr::new(127, 88, net, last);
        let mut ports = Vec::new();
        let mut held = Vec::new();
        for _ in 0..6 {
            let listener = TcpListener::bind((ip(1), 0))?;
            ports.push(listener.local_addr()?.port());
            held.push(listener);
        }
        drop(held);
        let folder = std::env::temp_dir().join(format!("masticmoor-{name}-{}", std::process::id()));
        fs::create_dir_all(&folder)?;
        let store_address = SocketAddr::V4(SocketAddrV4::new(ip(200), ports[5]));
        let record = Record::new();
        let wall_start = wall_ms();
        Ok(Self {
            record,
            store: Store::start(store_address)?,
            runs: folder.join("runs.txt"),
            folder,
            wall_start,
            net,
            ports,
            store_address,
        })
    }

    pub fn address(&self, last: u8, port: usize) -> SocketAddr {
        let ip = Ipv4Addr::new(127, 88, self.net, last);
        SocketAddr::V4(SocketAddrV4::new(ip, self.ports[port]))
    }

    /// Starts a gateway on the machine `last` with the deploy file's command, and settings like
    /// those that the template gives.
    pub fn gateway(&self, last: u8, seeds: &[u8], first_start: bool) -> io::Result<Process> {
        let seeds: Vec<_> = seeds
            .iter()
            .map(|it| format!("\"{}\"", self.address(*it, 1)))
            .collect();
        let settings = format!(
            "[host]\nname = \"edge-{last}\"\nzone = \"kgn-a\"\ncaller = \"{}\"\npeer = \"{}\"\n\
             operator = \"{}\"\n[platform]\naddresses = [\"{}\"]\n[peer]\nseeds = [{}]\n\
             [log]\nlevel = \"info\"\nformat = \"json\"\n[gateway]\n\
             ready_path = \"/masticmoor/readyz\"\ngossip_port = {}\nrevocation_ms = \"5000\"\n\
             grace_s = \"8\"\nretry_ratio = \"0.2\"\nretry_slack = \"58\"\nretry_window_s = \"10\"\n\
             cold_overage = \"1.5\"\ncold_slack = \"5\"\nlink_mbps = \"1000.0\"\n\
             memory_mb = \"260\"\nmax_fds = \"4100\"\nfirst_start = {first_start}\n",
            self.address(last, 0),
            self.address(last, 1),
            self.address(last, 2),
            self.store_address,
            seeds.join(","),
            self.ports[3],
        );
        let file = self.folder.join(format!("host-{last}.toml"));
        fs::write(&file, settings)?;
        let log = fs::OpenOptions::new()
            .create(true)
            .append(true)
            .open(self.folder.join(format!("log-{last}.txt")))?;
        let child = Command::new(GATEWAY)
            .arg("serve")
            .env("MASTICMOOR_SETTINGS", &file)
            .stdin(Stdio::null())
            .stdout(log.try_clone()?)
            .stderr(log)
            .spawn()?;
        self.record.line(format!(
            "gateway edge-{last} starts at {}",
            self.address(last, 0)
        ));
        Ok(Process(child))
    }

    /// Waits until a gateway says that it is ready.
    pub fn wait_ready(&self, last: u8) -> bool {
        for _ in 0..100 {
            let request = "GET /masticmoor/readyz HTTP/1.1\r\nHost: edge\r\n\r\n";
            if let Ok(mut stream) = TcpStream::connect(self.address(last, 2)) {
                let _ = stream.set_read_timeout(Some(Duration::from_secs(1)));
                let _ = stream.write_all(request.as_bytes());
                let mut reader = BufReader::new(stream);
                if let Ok(Some(answer)) = read_head(&mut reader) {
                    if answer.status() == 200 {
                        return true;
                    }
                }
            }
            thread::sleep(Duration::from_millis(100));
        }
        false
    }

    /// Starts a runner's process. Its entry is renewed until it is stopped.
    pub fn runner(&self, runner: &Runner) -> io::Result<(Process, Entry)> {
        let born = wall_ms();
        let child = Command::new(std::env::current_exe()?)
            .arg("runner")
            .arg(runner.address.to_string())
            .arg(&runner.id)
            .arg(runner.slots.to_string())
            .arg(&runner.manner)
            .arg(&self.runs)
            .stdin(Stdio::null())
            .spawn()?;
        for _ in 0..200 {
            if TcpStream::connect(runner.address).is_ok() {
                break;
            }
            thread::sleep(Duration::from_millis(5));
        }
        self.record.line(format!(
            "runner {} of version {} starts at {}",
            runner.id, runner.version, runner.address
        ));
        let entry = Entry {
            store: self.store.clone(),
            key: format!("servers/{}", runner.id),
            state: Arc::new(Mutex::new((State::Ready, 0))),
            runner: runner.clone(),
            born,
        };
        let it = entry.clone();
        thread::spawn(move || {
            while it.renew() {
                let pause = match it.store.is_down() {
                    true => 200,
                    false => 1_200,
                };
                thread::sleep(Duration::from_millis(pause));
            }
        });
        Ok((Process(child), entry))
    }

    /// Returns what the runners wrote: wall-clock time in milliseconds, and the line.
    pub fn runs(&self) -> Vec<(u128, String)> {
        let text = fs::read_to_string(&self.runs).unwrap_or_default();
        let lines = text.lines().filter_map(|line| line.split_once(' '));
        lines
            .filter_map(|(at, line)| Some((at.parse().ok()?, line.to_owned())))
            .collect()
    }

    /// Ends the test's processes' files, keeps nothing.
    pub fn finish(&self, folder: &Path) -> io::Result<()> {
        self.record
            .save(&folder.join("record.txt"), &self.runs, self.wall_start)?;
        if std::env::var_os("KEEP").is_none() {
            let _ = fs::remove_dir_all(&self.folder);
        }
        Ok(())
    }
}

// ---------------------------------------------------------------------------------------------
// A runner

struct Log(Mutex<fs::File>);

impl Log {
    fn line(&self, text: String) {
        let mut file = self.0.lock().unwrap();
        let _ = file.write_all(format!("{} {text}\n", wall_ms()).as_bytes());
    }
}

/// Serves requests as a runner does. Its manner says how: `KIND:KEY=VALUE,...`.
fn runner(arguments: &[String]) -> io::Result<()> {
    let [address, id, slots, manner, log] = arguments else {
        return Err(io::ErrorKind::InvalidInput.into());
    };
    let listener = TcpListener::bind(address)?;
    fails(manner, 0);
    let log = fs::OpenOptions::new().create(true).append(true).open(log)?;
    let log = Arc::new(Log(Mutex::new(log)));
    let runs = Arc::new(AtomicU64::new(0));
    for stream in listener.incoming().flatten() {
        let (id, slots, manner) = (id.clone(), slots.clone(), manner.clone());
        let (log, runs) = (log.clone(), runs.clone());
        thread::spawn(move || {
            let _ = serve_runner(stream, &id, &slots, &manner, &log, &runs);
        });
    }
    Ok(())
}

/// Returns whether a request is one of those that fail after they have begun.
fn fails(manner: &str, number: u64) -> bool {
    static STARTED: OnceLock<Instant> = OnceLock::new();
    let percent = option(manner, "fails").unwrap_or(0);
    let up = STARTED.get_or_init(Instant::now).elapsed().as_millis() as u64;
    let after = option(manner, "after").unwrap_or(0);
    let is_due = up >= after && up < after + option(manner, "for").unwrap_or(0);
    is_due && number * percent % 100 < percent
}

/// Ends the process if it is cold, and more than `most` requests have arrived within a second.
fn fall_over(id: &str, log: &Log, most: u64, cold_ms: u64) {
    static ARRIVALS: Mutex<Vec<Instant>> = Mutex::new(Vec::new());
    static STARTED: OnceLock<Instant> = OnceLock::new();
    let now = Instant::now();
    let started = STARTED.get_or_init(|| now);
    let mut arrivals = ARRIVALS.lock().unwrap();
    arrivals.push(now);
    arrivals.retain(|at| now.duration_since(*at) < Duration::from_secs(1));
    let is_cold = started.elapsed() < Duration::from_millis(cold_ms);
    if is_cold && arrivals.len() as u64 > most {
        log.line(format!(
            "runner {id} falls over: {} requests in a second",
            arrivals.len()
        ));
        std::process::exit(1);
    }
}

fn option(manner: &str, name: &str) -> Option<u64> {
    let options = manner.split_once(':')?.1;
    options
        .split(',')
        .find_map(|it| it.strip_prefix(name)?.strip_prefix('=')?.parse().ok())
}

fn serve_runner(
    stream: TcpStream,
    id: &str,
    slots: &str,
    manner: &str,
    log: &Log,
    runs: &AtomicU64,
) -> io::Result<()> {
    stream.set_nodelay(true)?;
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    while let Some(request) = read_request(&mut reader)? {
        let path = request.path().to_owned();
        if path.starts_with("/healthz") {
            let head = format!(
                "HTTP/1.1 200 OK\r\nX-Instance-Id: {id}\r\nX-Instance-Load: 0,0,{slots}\r\n\
                 Content-Length: 0\r\n\r\n"
            );
            writer.write_all(head.as_bytes())?;
            continue;
        }
        if path.starts_with("/masticmoor/kv-list") {
            let body = "{\"epoch\":1,\"next\":0,\"held\":[]}";
            let head = format!(
                "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}",
                body.len()
            );
            writer.write_all(head.as_bytes())?;
            continue;
        }
        let attempt = request.header("x-attempt-id").unwrap_or("").to_owned();
        if let Some(expected) = request.header("x-expect-instance") {
            if expected != id {
                let head = format!(
                    "HTTP/1.1 421 Misdirected Request\r\nX-Attempt-Id: {attempt}\r\n\
                     X-Instance-Id: {id}\r\nContent-Length: 0\r\n\r\n"
                );
                writer.write_all(head.as_bytes())?;
                continue;
            }
        }
        let number = runs.fetch_add(1, Ordering::Relaxed);
        if let Some(most) = option(manner, "falls") {
            fall_over(id, log, most, option(manner, "cold").unwrap_or(0));
        }
        let tenant = request.header("x-tenant").unwrap_or("-");
        log.line(format!(
            "runner {id} runs {attempt} for tenant {tenant}: {}",
            request.first
        ));
        let stamp = format!("{id}.{number}");
        let base = format!(
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: {attempt}\r\nX-Server-Stamp: {stamp}\r\n\
             X-Instance-Load: 1,0,{slots}\r\n"
        );
        if manner.starts_with("stream") {
            let pause = option(manner, "pause").unwrap_or(100);
            // An event is a token here, so the answer is as long as the consumer allows.
            let usage = request
                .header("x-token-usage")
                .and_then(|it| it.split_once(','));
            let total = usage.and_then(|it| it.1.parse().ok()).unwrap_or(40);
            let first = request
                .header("last-event-id")
                .and_then(|it| it.parse().ok())
                .unwrap_or(0);
            let version = option(manner, "version").unwrap_or(1);
            let is_framed = manner.starts_with("stream-framed");
            let head = match is_framed {
                true => format!(
                    "{base}Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n"
                ),
                false => {
                    format!("{base}Content-Type: text/event-stream\r\nConnection: close\r\n\r\n")
                }
            };
            writer.write_all(head.as_bytes())?;
            for event in first + 1..=total {
                thread::sleep(Duration::from_millis(pause));
                let text = format!("id: {event}\ndata: {attempt} {event}/{total} v{version}\n\n");
                let text = match is_framed {
                    true => format!("{:x}\r\n{text}\r\n", text.len()),
                    false => text,
                };
                if let Err(error) = writer.write_all(text.as_bytes()) {
                    log.line(format!(
                        "runner {id} stops {attempt} after event {}: {error}",
                        event - 1
                    ));
                    return Err(error);
                }
            }
            log.line(format!("runner {id} ends {attempt} with event {total}"));
            match is_framed {
                true => writer.write_all(b"0\r\n\r\n")?,
                false => return Ok(()),
            }
        } else {
            let work = option(manner, "work").unwrap_or(30);
            thread::sleep(Duration::from_millis(work));
            if fails(manner, number) {
                let body = "the desk is not available\n";
                let head = base.replacen("200 OK", "503 Service Unavailable", 1);
                let head = format!("{head}Content-Length: {}\r\n\r\n{body}", body.len());
                writer.write_all(head.as_bytes())?;
                log.line(format!("runner {id} fails {attempt} with 503"));
                continue;
            }
            let body = format!("{attempt} done\n");
            let head = format!("{base}Content-Length: {}\r\n\r\n{body}", body.len());
            writer.write_all(head.as_bytes())?;
            log.line(format!("runner {id} answers {attempt}"));
        }
    }
    Ok(())
}

// ---------------------------------------------------------------------------------------------
// A consumer

/// How a consumer's request ended.
#[derive(Debug, Default, Clone)]
pub struct Ended {
    pub status: u16,
    pub body: Vec<u8>,
    /// Whether the answer ended as its framing says.
    pub is_complete: bool,
    pub headers: Vec<(String, String)>,
    pub error: Option<String>,
}

/// A consumer's connection, which carries one request after the other.
pub struct Connection {
    reader: BufReader<TcpStream>,
}

impl Connection {
    pub fn open(gateway: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&gateway, Duration::from_secs(1))?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(Duration::from_secs(20)))?;
        Ok(Self {
            reader: BufReader::new(stream),
        })
    }

    /// Sends a request and reads the answer.
    pub fn request(
        &mut self,
        method: &str,
        path: &str,
        attempt: &str,
        deadline_ms: u64,
        headers: &str,
        body: &[u8],
    ) -> Ended {
        let length = match body.is_empty() {
            true => String::new(),
            false => format!("Content-Length: {}\r\n", body.len()),
        };
        let head = format!(
            "{method} {path} HTTP/1.1\r\nHost: {HOST}\r\nX-Attempt-Id: {attempt}\r\n\
             X-Deadline-Ms: {deadline_ms}\r\nX-Api-Key: {KEY}\r\n{headers}{length}\r\n"
        );
        let sent = self
            .reader
            .get_mut()
            .write_all(&[head.as_bytes(), body].concat());
        let result = sent.and_then(|()| read_answer(&mut self.reader));
        result.unwrap_or_else(|error| Ended {
            error: Some(error.to_string()),
            ..Ended::default()
        })
    }
}

pub fn read_answer(reader: &mut BufReader<TcpStream>) -> io::Result<Ended> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let mut ended = Ended {
        status: head.status(),
        headers: head.headers.clone(),
        ..Ended::default()
    };
    let result = match head.header("content-length").and_then(|it| it.parse().ok()) {
        Some(length) => {
            ended.body = vec![0; length];
            reader.read_exact(&mut ended.body)
        }
        None => read_chunks(reader, &mut ended.body),
    };
    match result {
        Ok(()) => ended.is_complete = true,
        Err(error) => ended.error = Some(error.to_string()),
    }
    Ok(ended)
}

fn read_chunks(reader: &mut BufReader<TcpStream>, body: &mut Vec<u8>) -> io::Result<()> {
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        let size =
            usize::from_str_radix(line.trim(), 16).map_err(|_| io::ErrorKind::InvalidData)?;
        let mut chunk = vec![0; size + 2];
        reader.read_exact(&mut chunk)?;
        if size == 0 {
            return Ok(());
        }
        body.extend_from_slice(&chunk[..size]);
    }
}

/// Plays a case, and returns whether its rule was broken.
fn play(case: &str, folder: &Path, has_trouble: bool) -> io::Result<bool> {
    let fleet = Fleet::start(&format!("case-{case}"))?;
    let result = match case {
        "6" => case_6::play(&fleet, has_trouble),
        "7" => case_7::play(&fleet, has_trouble),
        "8" => case_8::play(&fleet, has_trouble),
        "9" => case_9::play(&fleet, has_trouble),
        "10" => case_10::play(&fleet, has_trouble),
        _ => Err(io::Error::other("no such case")),
    };
    fleet.finish(folder)?;
    result
}

fn main() -> ExitCode {
    let arguments: Vec<String> = std::env::args().skip(1).collect();
    match arguments.first().map(String::as_str) {
        Some("runner") => match runner(&arguments[1..]) {
            Ok(()) => ExitCode::SUCCESS,
            Err(error) => {
                eprintln!("runner: {error}");
                ExitCode::from(2)
            }
        },
        Some("case") if arguments.len() == 3 => {
            let has_trouble = std::env::var("TROUBLE").map_or(true, |it| it != "0");
            match play(&arguments[1], Path::new(&arguments[2]), has_trouble) {
                Ok(true) => ExitCode::from(1),
                Ok(false) => ExitCode::SUCCESS,
                Err(error) => {
                    eprintln!("case {}: {error}", arguments[1]);
                    ExitCode::from(2)
                }
            }
        }
        _ => ExitCode::from(2),
    }
}
