//! Renders the status of a host as text.

use std::fmt::Display;
use std::time::Duration;

use super::Config;
use super::Rejection;
use super::Status;
use super::grid::Grid;
use crate::meter;
use crate::register::upstream::Pool;

/// The text of an absent value.
const ABSENT: &str = "-";

/// Renders the status of a host as aligned tables.
pub fn text(status: &Status) -> String {
    let sections = [
        ("HOST", host(status)),
        ("CONFIGURATION", configuration(status)),
        ("HOSTS", members(status)),
        ("UPSTREAMS", upstreams(status)),
        ("TOKENS", tokens(status)),
        ("REFUSALS", refusals(status)),
        ("TIMES", times(status)),
        ("CONTROL TRAFFIC", traffic(status)),
    ];
    let sections = sections.map(|(title, grid)| format!("{title}\n{grid}"));
    sections.join("\n")
}

fn host(status: &Status) -> Grid {
    let host = &status.host;
    let mut grid = Grid::new(["host", "zone", "incarnation", "stage", "up"]);
    grid.push([
        host.name.to_string(),
        host.zone.to_string(),
        host.incarnation.clone(),
        host.stage.to_string(),
        age(host.age_ms),
    ]);
    grid
}

fn configuration(status: &Status) -> Grid {
    let mut grid = Grid::new([
        "value", "revision", "since", "platform", "hosts", "rejected",
    ]);
    for (name, config) in [("register", &status.register), ("rules", &status.rules)] {
        grid.push([
            name.to_owned(),
            config.revision.to_string(),
            age(config.age_ms),
            config.heard_ms.map_or_else(absent, age),
            spread(config),
            config.rejected.as_ref().map_or_else(absent, rejection),
        ]);
    }
    grid
}

fn members(status: &Status) -> Grid {
    let mut grid = Grid::new([
        "host",
        "zone",
        "presence",
        "heard",
        "incarnation",
        "register",
        "rules",
    ]);
    for member in &status.members {
        grid.push([
            member.host.to_string(),
            member.zone.to_string(),
            member.presence.to_string(),
            member.heard_ms.map_or_else(absent, age),
            member.incarnation.clone().unwrap_or_else(absent),
            member.register.to_string(),
            member.rules.to_string(),
        ]);
    }
    grid
}

fn upstreams(status: &Status) -> Grid {
    let mut grid = Grid::new([
        "upstream", "zone", "serves", "home", "health", "since", "running", "limit", "queued",
    ]);
    for upstream in &status.upstreams {
        let serves: Vec<_> = upstream.pools.iter().map(pool).collect();
        grid.push([
            upstream.name.to_string(),
            upstream.zone.to_string(),
            serves.join(","),
            upstream.home.as_ref().map_or_else(absent, display),
            upstream.health.to_string(),
            age(upstream.age_ms),
            upstream.running.to_string(),
            upstream.limit.to_string(),
            upstream.queued.to_string(),
        ]);
    }
    grid
}

fn tokens(status: &Status) -> Grid {
    let (counters, ledger) = (&status.tokens, &status.ledger);
    let mut grid = Grid::new(["what", "count"]);
    for (what, count) in [
        ("issued", counters.issued),
        ("withheld", counters.withheld),
        ("spent", counters.spent),
        ("joined", counters.joined),
        ("replayed", counters.replayed),
        ("answered", counters.answered),
        ("not run", counters.not_run),
        ("unknown", counters.unknown),
        ("answers dropped", counters.dropped),
        ("refused: expired", counters.expired),
        ("refused: forgotten", counters.forgotten),
        ("refused: forged", counters.forged),
        ("refused: mismatched", counters.mismatched),
        ("refused: foreign", counters.foreign),
        ("remembered now", ledger.tokens),
        ("running now", ledger.running),
        ("answers kept now", ledger.answers),
        ("bytes kept now", ledger.bytes),
    ] {
        grid.push([what.to_owned(), count.to_string()]);
    }
    grid
}

fn refusals(status: &Status) -> Grid {
    let mut grid = Grid::new(["code", "count"]);
    for (code, count) in &status.meter.refusals {
        grid.push([code.to_string(), count.to_string()]);
    }
    grid
}

fn times(status: &Status) -> Grid {
    let mut grid = Grid::new([
        "workspace",
        "class",
        "phase",
        "count",
        "mean",
        "p50",
        "p90",
        "p99",
        "max",
        "over",
    ]);
    for row in &status.meter.rows {
        for line in &row.lines {
            grid.push(time(row, line));
        }
    }
    grid
}

fn time(row: &meter::Row, line: &meter::Line) -> [String; 10] {
    let others = || "(others)".to_owned();
    let summary = &line.summary;
    [
        row.workspace.as_ref().map_or_else(others, display),
        line.class.to_string(),
        line.phase.to_string(),
        summary.count.to_string(),
        micros(summary.mean),
        micros(summary.p50),
        micros(summary.p90),
        micros(summary.p99),
        micros(summary.max),
        age(row.age_ms),
    ]
}

fn traffic(status: &Status) -> Grid {
    let mut grid = Grid::new(["kind", "sent bytes", "received bytes"]);
    for (kind, traffic) in &status.meter.traffic {
        grid.push([
            kind.to_string(),
            traffic.sent.to_string(),
            traffic.received.to_string(),
        ]);
    }
    grid
}

fn pool(pool: &Pool) -> String {
    match pool {
        Pool::Model(model) => model.to_string(),
        Pool::Service(service) => service.to_string(),
    }
}

fn spread(config: &Config) -> String {
    let counts = config.spread.iter();
    let counts: Vec<_> = counts
        .map(|count| format!("{} on {}", count.revision, count.hosts))
        .collect();
    counts.join(", ")
}

fn rejection(rejection: &Rejection) -> String {
    format!("{}: {}", rejection.revision, rejection.cause)
}

fn age(millis: u64) -> String {
    let age = Duration::from_millis(millis);
    match age.as_secs() {
        0 => format!("{millis}ms"),
        seconds @ 1..60 => format!("{seconds}s"),
        seconds @ 60..3_600 => format!("{}m{:02}s", seconds / 60, seconds % 60),
        seconds => format!("{}h{:02}m", seconds / 3_600, seconds / 60 % 60),
    }
}

fn micros(micros: u64) -> String {
    match micros {
        0..1_000 => format!("{micros}us"),
        1_000..10_000_000 => format!("{}.{}ms", micros / 1_000, micros / 100 % 10),
        _ => format!("{}.{}s", micros / 1_000_000, micros / 100_000 % 10),
    }
}

fn absent() -> String {
    ABSENT.to_owned()
}

fn display(name: impl Display) -> String {
    name.to_string()
}
