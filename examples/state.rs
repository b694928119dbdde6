//! Measures what the state of a host takes: tokens and histograms.
//!
//! `cargo run --release --example state -- WHAT COUNT`, each in a process of its
//! own, since freed memory would blur the next figure. WHAT is one of
//!
//! - `issued`, `spent`, `answered`: bytes per token
//! - `calls`: nanoseconds per call on a ledger of this many tokens
//! - `rows`: bytes per workspace, each with a row of its own
//! - `table`: bytes in all for this many workspaces, with the usual limits

#![expect(clippy::indexing_slicing, reason = "a measurement may panic")]

use std::env;
use std::fs;
use std::hint::black_box;
use std::mem;
use std::time::Duration;
use std::time::Instant as Clock;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use masticmoor::class::Class;
use masticmoor::ident::Workspace;
use masticmoor::meter::Limits as MeterLimits;
use masticmoor::meter::Phase;
use masticmoor::meter::Table;
use masticmoor::token::Completion;
use masticmoor::token::Decision;
use masticmoor::token::Key;
use masticmoor::token::Ledger;
use masticmoor::token::Limits;
use masticmoor::token::Response;
use masticmoor::token::Token;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use strum::IntoEnumIterator;
use tokio::time::Instant;

/// The size of a page of memory in bytes.
const PAGE_BYTES: u64 = 4_096;

/// The requests of each workspace.
const REQUESTS: usize = 100;

/// The longest time recorded in microseconds.
const LONGEST_MICROS: u64 = 60_000_000;

/// The body of a kept answer in bytes.
const BODY_BYTES: usize = 500;

/// The number of tokens over which small ledgers are repeated.
const TOKENS: usize = 100_000;

fn main() {
    let words: Vec<String> = env::args().skip(1).collect();
    let count = words.get(1).and_then(|count| count.parse().ok());
    match (words.first().map(String::as_str), count) {
        (Some("issued"), Some(count)) => memory(count, |_, _| ()),
        (Some("spent"), Some(count)) => memory(count, |ledger, token| {
            mem::forget(ledger.spend(Instant::now(), token, 1));
        }),
        (Some("answered"), Some(count)) => memory(count, answered),
        (Some("calls"), Some(count)) => calls(count),
        (Some("rows"), Some(count)) => histograms("rows", count, count, count),
        (Some("table"), Some(count)) => {
            let limits = MeterLimits::default();
            histograms("table", count, limits.rows, limits.counted);
        }
        _ => println!("state issued|spent|answered|calls|rows|table COUNT"),
    }
}

/// Returns the resident memory of this process in bytes.
fn resident() -> u64 {
    let statm = fs::read_to_string("/proc/self/statm").unwrap_or_default();
    let pages = statm.split_whitespace().nth(1);
    pages.and_then(|pages| pages.parse().ok()).unwrap_or(0) * PAGE_BYTES
}

fn ledger(now: Instant, count: usize) -> Ledger {
    let key = Key::new(&mut StdRng::seed_from_u64(1));
    let limits = Limits {
        capacity: count,
        kept_bytes: usize::MAX,
        ..Limits::default()
    };
    Ledger::new(now, "10.20.30.40".into(), 1, key, limits).expect("a short name")
}

/// Does something to each item, and returns the nanoseconds that one took.
fn each<T>(items: impl IntoIterator<Item = T>, mut step: impl FnMut(T)) -> u128 {
    let start = Clock::now();
    let mut count = 0;
    for item in items {
        step(item);
        count += 1;
    }
    start.elapsed().as_nanos() / count.max(1)
}

/// Prints the memory per token, after something was done to each.
fn memory(count: usize, step: fn(&mut Ledger, &Token)) {
    let now = Instant::now();
    let copies = (TOKENS / count).max(1);
    let before = resident();
    let mut ledgers: Vec<Ledger> = (0..copies).map(|_| ledger(now, count)).collect();
    for ledger in &mut ledgers {
        for _ in 0..count {
            let token = ledger.issue(now).expect("room for a token");
            step(ledger, &token);
        }
    }
    let bytes = resident().saturating_sub(before) / (copies * count) as u64;
    black_box(&ledgers);
    println!("{count} tokens: {bytes} bytes each");
}

fn answered(ledger: &mut Ledger, token: &Token) {
    let now = Instant::now();
    match ledger.spend(now, token, 1) {
        Decision::Run(lease) => drop(ledger.settle(now, lease, Completion::Answered(answer()))),
        other => panic!("{other:?}"),
    }
}

/// Prints the time of each call.
fn calls(count: usize) {
    let now = Instant::now();
    let mut ledger = ledger(now, count);
    let mut issued = Vec::with_capacity(count);
    let mut leases = Vec::with_capacity(count);
    let issue = each(0..count, |_| {
        issued.push(ledger.issue(now).expect("room for a token"));
    });
    let spend = each(&issued, |token| match ledger.spend(now, token, 1) {
        Decision::Run(lease) => leases.push(lease),
        other => panic!("{other:?}"),
    });
    let settle = each(leases, |lease| {
        black_box(ledger.settle(now, lease, Completion::Answered(answer())));
    });
    let replay = each(&issued, |token| {
        let _ = black_box(ledger.spend(now, token, 1));
    });
    let later = now + Duration::from_secs(3_600);
    let sweep = each([()], |()| ledger.sweep(later)) / count as u128;
    println!("{count} tokens: issue {issue} ns, spend {spend} ns, settle {settle} ns");
    println!("{count} tokens: replay {replay} ns, sweep {sweep} ns");
}

fn answer() -> Response {
    Response {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from_static(&[b'.'; BODY_BYTES]),
    }
}

/// Prints the memory of a table, and the time to record one request.
fn histograms(what: &str, workspaces: usize, rows: usize, counted: usize) {
    let now = Instant::now();
    let names: Vec<Workspace> = (0..workspaces)
        .map(|number| format!("workspace-{number:05}").as_str().into())
        .collect();
    let mut random = StdRng::seed_from_u64(1);
    let before = resident();
    let mut table = Table::new(now, MeterLimits { rows, counted });
    let record = each(0..REQUESTS * workspaces, |_| {
        let at = random.random_range(0..workspaces);
        request(&mut table, &names[at], &mut random);
    });
    let bytes = resident().saturating_sub(before);
    let rerank = each([()], |()| table.rerank(now)) / 1_000;
    let each = bytes / workspaces as u64;
    println!("{what}, {workspaces} workspaces: {bytes} bytes, {each} each");
    println!("{what}, {workspaces} workspaces: request {record} ns, rerank {rerank} us");
}

fn request(table: &mut Table, workspace: &Workspace, random: &mut StdRng) {
    for phase in Phase::iter() {
        let share: f64 = random.random();
        let micros = (share.powi(4) * LONGEST_MICROS as f64) as u64;
        let took = Duration::from_micros(micros);
        table.record(workspace, Class::Interactive, phase, took);
    }
}
