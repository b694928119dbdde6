//! Measures the memory and time that the state of a host takes: tokens and histograms.
//!
//! `cargo run --release --example state -- WHAT COUNT`. Run each measurement in a
//! separate process, since freed memory would distort the next one. WHAT is one of
//!
//! - `issued`, `spent`, `answered`: bytes per token
//! - `calls`: nanoseconds per call on a ledger of COUNT tokens
//! - `rows`: bytes per workspace, each with a row of its own
//! - `table`: total bytes for COUNT workspaces with the default limits

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

/// The size of a memory page.
const PAGE_BYTES: u64 = 4_096;

/// The number of requests per workspace.
const REQUESTS: usize = 100;

/// The longest duration that is recorded.
const LONGEST_MICROS: u64 = 60_000_000;

/// The size of the body of a stored response.
const BODY_BYTES: usize = 500;

/// The minimum number of tokens in all ledgers: small ledgers are created repeatedly, so
/// that their memory can be measured.
const MIN_TOKENS: usize = 100_000;

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

/// Runs a step for each item and returns the mean time of a step in nanoseconds.
fn each<T>(items: impl IntoIterator<Item = T>, mut step: impl FnMut(T)) -> u128 {
    let start = Clock::now();
    let mut count = 0;
    for item in items {
        step(item);
        count += 1;
    }
    start.elapsed().as_nanos() / count.max(1)
}

/// Prints the memory per token after a step for each.
fn memory(count: usize, step: fn(&mut Ledger, &Token)) {
    let now = Instant::now();
    let copies = (MIN_TOKENS / count).max(1);
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
        Decision::Run(lease) => drop(ledger.settle(now, lease, Completion::Answered(response()))),
        other => panic!("{other:?}"),
    }
}

/// Prints the mean time of each kind of call.
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
        black_box(ledger.settle(now, lease, Completion::Answered(response())));
    });
    let replay = each(&issued, |token| {
        let _ = black_box(ledger.spend(now, token, 1));
    });
    let later = now + Duration::from_secs(3_600);
    let sweep = each([()], |()| ledger.sweep(later)) / count as u128;
    println!("{count} tokens: issue {issue} ns, spend {spend} ns, settle {settle} ns");
    println!("{count} tokens: replay {replay} ns, sweep {sweep} ns");
}

fn response() -> Response {
    Response {
        status: StatusCode::OK,
        headers: HeaderMap::new(),
        body: Bytes::from_static(&[b'.'; BODY_BYTES]),
    }
}

/// Prints the memory of a table and the time to record a request.
fn histograms(label: &str, workspaces: usize, rows: usize, counted: usize) {
    let now = Instant::now();
    let names: Vec<Workspace> = (0..workspaces)
        .map(|number| format!("workspace-{number:05}").as_str().into())
        .collect();
    let mut random = StdRng::seed_from_u64(1);
    let before = resident();
    let mut table = Table::new(now, MeterLimits { rows, counted });
    let record_nanos = each(0..REQUESTS * workspaces, |_| {
        let at = random.random_range(0..workspaces);
        record_request(&mut table, &names[at], &mut random);
    });
    let bytes = resident().saturating_sub(before);
    let rerank_micros = each([()], |()| table.rerank(now)) / 1_000;
    let bytes_each = bytes / workspaces as u64;
    println!("{label}, {workspaces} workspaces: {bytes} bytes, {bytes_each} each");
    println!(
        "{label}, {workspaces} workspaces: request {record_nanos} ns, rerank {rerank_micros} us"
    );
}

fn record_request(table: &mut Table, workspace: &Workspace, random: &mut StdRng) {
    for phase in Phase::iter() {
        let share: f64 = random.random();
        let micros = (share.powi(4) * LONGEST_MICROS as f64) as u64;
        let duration = Duration::from_micros(micros);
        table.record(workspace, Class::Interactive, phase, duration);
    }
}
