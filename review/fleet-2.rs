//! The installation that the cases of the second review play: three routes of two services, machines,
//! runners, and consumers that ask for streams.

use std::collections::BTreeSet;
use std::io;
use std::thread;
use std::thread::JoinHandle;
use std::time::Duration;

use super::*;

const STREAM_ROUTE: &str = "{\"name\":\"r-6y7z5k6\",\"host\":\"ficu95.example\",\
    \"prefix\":\"/pufi791/\",\"routeKind\":\"streaming\",\"timeoutMs\":10000,\"goalMs\":250,\
    \"priority\":0,\"service\":\"huvo11a\",\"maxAttempts\":1,\"public\":false,\"sticky\":true,\
    \"resumable\":false,\"gapTargetMs\":250}";

const PURCHASE_ROUTE: &str = "{\"name\":\"r-k2m8c1d\",\"host\":\"ficu95.example\",\
    \"prefix\":\"/puxa403/\",\"routeKind\":\"non_idempotent\",\"timeoutMs\":1200,\"goalMs\":150,\
    \"priority\":2,\"service\":\"wuno96b\",\"maxAttempts\":1,\"public\":false,\"sticky\":false,\
    \"resumable\":false}";

/// Paths of requests on the routes.
pub const STREAM: &str = "/pufi791/2f";
pub const RESUMABLE: &str = "/lohu930/2f";
pub const PURCHASE: &str = "/puxa403/2f";

const RESUMABLE_ROUTE: &str = "{\"name\":\"r-hvz3pfi\",\"host\":\"ficu95.example\",\
    \"prefix\":\"/lohu930/\",\"routeKind\":\"streaming\",\"timeoutMs\":12000,\"goalMs\":600,\
    \"priority\":1,\"service\":\"huvo11a\",\"maxAttempts\":2,\"public\":false,\"sticky\":true,\
    \"resumable\":true,\"gapTargetMs\":250}";

pub fn config(version: u64) -> String {
    let routes = [STREAM_ROUTE, RESUMABLE_ROUTE, PURCHASE_ROUTE].join(",");
    format!(
        "{{\"version\":{version},\"routeTable\":[{routes}],\"services\":[\
         {{\"name\":\"huvo11a\",\"healthPath\":\"/healthz\",\"maxConns\":370,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}},\
         {{\"name\":\"wuno96b\",\"healthPath\":\"/healthz\",\"maxConns\":110,\"protocol\":\"h1\",\
         \"tls\":false,\"coldStartS\":0.0,\"coldPerS\":0.0}}],\
         \"limits\":{{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\
         \"tenants\":[{{\"name\":\"hule930\",\"apiKeys\":[\"{KEY}\"],\"priority\":1}}]}}"
    )
}

/// Starts gateways on machines 11 and up, and waits until they are ready.
pub fn gateways(fleet: &Fleet, count: u8) -> io::Result<Vec<Process>> {
    let machines = 11..11 + count;
    let started: io::Result<Vec<_>> = machines
        .clone()
        .map(|it| fleet.gateway(it, &[11, 12], true))
        .collect();
    let started = started?;
    for machine in machines {
        if !fleet.wait_ready(machine) {
            return Err(io::Error::other("a gateway isn't ready"));
        }
    }
    // Traffic begins some seconds after the machines do.
    thread::sleep(Duration::from_secs(3));
    Ok(started)
}

/// Starts runners of version 1, with their entries.
pub fn runners(fleet: &Fleet, count: u8, manner: &str) -> io::Result<Vec<(Process, Entry)>> {
    (1..=count)
        .map(|index| fleet.runner(&describe(fleet, index, 1, manner)))
        .collect()
}

/// Describes a runner of the first service.
pub fn describe(fleet: &Fleet, index: u8, version: u8, manner: &str) -> Runner {
    Runner {
        id: format!("i-7f3a91c{index}"),
        service: "huvo11a".into(),
        version: format!("v{version}"),
        address: fleet.address(100 + index, 4),
        zone: "kgn-a".into(),
        slots: 64,
        manner: manner.into(),
        cold_ms: 0,
    }
}

/// Asks for a stream, and reads it to its end, in a thread.
pub fn stream(
    record: &Record,
    gateway: SocketAddr,
    path: &'static str,
    number: u32,
    events: u64,
) -> JoinHandle<Got> {
    let record = record.clone();
    let attempt = format!("9c41d07be2a3{number:04}");
    thread::spawn(move || ask(&record, gateway, path, &attempt, number, events))
}

/// Asks for a stream, and reads it to its end.
pub fn ask(
    record: &Record,
    gateway: SocketAddr,
    path: &str,
    attempt: &str,
    number: u32,
    events: u64,
) -> Got {
    record.line(format!("consumer sends {attempt}"));
    let headers = format!(
        "X-Model: m\r\nX-Token-Usage: 830,{events}\r\n\
         X-Prompt-Prefix: {number:x}1e07a2:700,{number:x}2e4402b:130\r\n"
    );
    let ended = match Connection::open(gateway) {
        Ok(mut it) => it.request("POST", path, attempt, 10_000, &headers, b"{}"),
        Err(error) => Ended {
            error: Some(error.to_string()),
            ..Ended::default()
        },
    };
    let text = String::from_utf8_lossy(&ended.body).into_owned();
    let last = text.lines().filter_map(|it| it.strip_prefix("id: ")).last();
    let last = last.and_then(|it| it.parse::<u64>().ok()).unwrap_or(0);
    let data = text.lines().filter_map(|it| it.strip_prefix("data: "));
    let versions: BTreeSet<String> = data
        .filter_map(|it| Some(it.rsplit_once(' ')?.1.to_owned()))
        .collect();
    record.line(format!(
        "consumer's {attempt} ends: status {}, last event {last} of {events}, complete: {}, \
         versions {versions:?}, {:?}",
        ended.status, ended.is_complete, ended.error,
    ));
    Got {
        status: ended.status,
        is_complete: ended.status == 200 && ended.is_complete,
        last,
        versions,
    }
}

/// What a consumer got of a stream.
pub struct Got {
    pub status: u16,
    pub is_complete: bool,
    pub last: u64,
    pub versions: BTreeSet<String>,
}
