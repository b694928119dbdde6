//! Accuracy and bounded size of the table of measurements.

use std::collections::BTreeMap;
use std::time::Duration;

use masticmoor::class::Class;
use masticmoor::ident::Workspace;
use masticmoor::meter::Kind;
use masticmoor::meter::Limits;
use masticmoor::meter::Phase;
use masticmoor::meter::Row;
use masticmoor::meter::Snapshot;
use masticmoor::meter::Table;
use masticmoor::meter::Traffic;
use masticmoor::outcome::Code;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::time::Instant;

const LIMITS: Limits = Limits {
    rows: 4,
    counted: 32,
};

fn record_total(table: &mut Table, workspace: &str, millis: u64) {
    let duration = Duration::from_millis(millis);
    table.record(&workspace.into(), Class::Urgent, Phase::Total, duration);
}

fn row_names(snapshot: &Snapshot) -> Vec<&str> {
    let names = snapshot
        .rows
        .iter()
        .filter_map(|row| row.workspace.as_ref());
    names.map(Workspace::as_str).collect()
}

fn request_count(row: &Row) -> u64 {
    row.lines.iter().map(|line| line.summary.count).sum()
}

#[rstest]
#[case::short(&[1])]
#[case::even(&[5, 10, 15, 20])]
#[case::tail(&[1, 1, 1, 1, 1, 1, 1, 1, 1, 60_000])]
#[case::growing(&[1, 10, 100, 1_000, 10_000, 100_000, 1_000_000])]
fn summaries_are_accurate_to_a_sixteenth(#[case] millis: &[u64]) {
    let now = Instant::now();
    let mut table = Table::new(now, LIMITS);
    for millis in millis {
        record_total(&mut table, "a", *millis);
    }
    let summary = table.snapshot(now).rows[0].lines[0].summary;
    let rank = |share: f64| (share * millis.len() as f64).ceil() as usize - 1;
    let is_close =
        |micros: u64, millis: u64| micros.abs_diff(millis * 1_000) <= millis * 1_000 / 16;
    assert_eq!(summary.count, millis.len() as u64);
    assert_eq!(
        summary.mean,
        millis.iter().sum::<u64>() * 1_000 / summary.count
    );
    assert!(is_close(summary.p50, millis[rank(0.5)]), "{summary:?}");
    assert!(is_close(summary.p99, millis[rank(0.99)]), "{summary:?}");
    assert!(
        is_close(summary.max, millis[millis.len() - 1]),
        "{summary:?}"
    );
}

#[rstest]
fn a_duration_beyond_the_histogram_counts_at_its_maximum() {
    let now = Instant::now();
    let mut table = Table::new(now, LIMITS);
    table.record(&"a".into(), Class::Batch, Phase::Wait, Duration::MAX);
    let summary = table.snapshot(now).rows[0].lines[0].summary;
    assert_eq!(summary.count, 1);
    assert!(summary.max >= 3_600_000_000);
}

#[rstest]
fn the_busiest_workspaces_have_rows_and_no_request_is_lost() {
    let now = Instant::now();
    let mut table = Table::new(now, LIMITS);
    let mut random = StdRng::seed_from_u64(3);
    for _ in 0..20_000 {
        let busy = random.random_bool(0.5);
        let number = if busy {
            random.random_range(0..4)
        } else {
            random.random_range(4..2_000)
        };
        record_total(&mut table, &format!("w{number:04}"), 10);
    }
    table.rerank(now);
    let snapshot = table.snapshot(now);
    assert_eq!(row_names(&snapshot), ["w0000", "w0001", "w0002", "w0003"]);
    assert_eq!(snapshot.rows.iter().map(request_count).sum::<u64>(), 20_000);
}

#[rstest]
fn a_workspace_that_becomes_busy_gets_a_row() {
    let now = Instant::now();
    let mut table = Table::new(now, LIMITS);
    for quiet in ["a", "b", "c", "d"] {
        record_total(&mut table, quiet, 10);
        record_total(&mut table, quiet, 10);
    }
    for _ in 0..10 {
        record_total(&mut table, "surge", 10);
    }
    assert!(!row_names(&table.snapshot(now)).contains(&"surge"));
    table.rerank(now);
    assert!(row_names(&table.snapshot(now)).contains(&"surge"));
}

// Workspaces that swapped rows in turn would lose their histograms each time.
#[rstest]
fn equally_busy_workspaces_keep_their_rows() {
    let now = Instant::now();
    let mut table = Table::new(now, LIMITS);
    let all = ["a", "b", "c", "d", "x", "y"];
    for round in 0..10 {
        all.iter()
            .for_each(|name| record_total(&mut table, name, 10));
        table.rerank(now);
        let snapshot = table.snapshot(now);
        assert_eq!(row_names(&snapshot), ["a", "b", "c", "d"], "round {round}");
    }
}

#[rstest]
fn a_period_covers_the_time_since_the_last_one() {
    let now = Instant::now();
    let mut table = Table::new(now, LIMITS);
    record_total(&mut table, "a", 10);
    table.record_refusal(Code::Full);
    table.record_sent(Kind::Heartbeat, 30);
    table.take_period(now);
    record_total(&mut table, "b", 20);
    table.record_refusal(Code::Full);
    table.record_refusal(Code::NoRoute);
    table.record_received(Kind::Heartbeat, 40);
    let period = table.take_period(now);
    assert_eq!(period.lines.len(), 1);
    assert_eq!(period.lines[0].summary.mean, 20_000);
    let refusals = BTreeMap::from([(Code::Full, 1), (Code::NoRoute, 1)]);
    assert_eq!(period.refusals, refusals);
    let heartbeat = Traffic {
        sent: 0,
        received: 40,
    };
    assert_eq!(
        period.traffic,
        BTreeMap::from([(Kind::Heartbeat, heartbeat)])
    );
    assert_eq!(table.snapshot(now).refusals[&Code::Full], 2);
    let quiet = table.take_period(now);
    assert!(quiet.lines.is_empty() && quiet.refusals.is_empty() && quiet.traffic.is_empty());
}
