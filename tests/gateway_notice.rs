//! What upstreams announce of themselves: which run it belongs to, how long it is kept, and
//! that reports of hosts replace each other by run.

use std::collections::BTreeSet;
use std::time::Duration;

use masticmoor::gateway::gossip::Backlog;
use masticmoor::gateway::headers::Notice;
use masticmoor::gateway::notice::Report;
use masticmoor::gateway::notice::Table;
use masticmoor::gateway::upstream::Upstream;
use tokio::time::Instant;
use tokio::time::advance;

fn upstream(id: &str, started_ms: u64) -> Upstream {
    Upstream {
        id: id.into(),
        service: "desk".into(),
        version: "v1".into(),
        address: ([10, 0, 0, 1], 80).into(),
        zone: "z1".into(),
        slots: 8,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: Some(started_ms),
    }
}

fn leaving(id: &str, started_ms: u64, age_ms: u64) -> Report {
    Report {
        upstream: id.into(),
        started_ms: Some(started_ms),
        is_leaving: true,
        limit: None,
        rejection_limit: None,
        age_ms,
        is_partial: false,
    }
}

/// Records that an upstream announced that it leaves, and returns whether this is news.
fn record_leaving(table: &mut Table, now: Instant, upstream: &Upstream) -> bool {
    let notice = Notice {
        is_leaving: true,
        ..Notice::default()
    };
    table.record(now, now, upstream, &notice).is_leaving
}

#[tokio::test(start_paused = true)]
async fn a_later_run_of_an_upstream_is_not_leaving() {
    let mut table = Table::default();
    let now = Instant::now();
    assert!(record_leaving(&mut table, now, &upstream("u1", 5)));
    assert!(!record_leaving(&mut table, now, &upstream("u1", 5)));
    assert!(table.is_leaving(&upstream("u1", 5)));
    assert!(!table.is_leaving(&upstream("u1", 6)));
}

/// A host whose copy of the store lists an earlier run sends to the one that leaves.
#[tokio::test(start_paused = true)]
async fn a_report_of_a_later_run_applies_while_the_earlier_one_is_listed() {
    let mut table = Table::default();
    let now = Instant::now();
    assert!(
        table
            .merge(now, &leaving("u1", 6, 10), Duration::ZERO)
            .is_any()
    );
    assert!(table.is_leaving(&upstream("u1", 5)));
    assert!(
        !table
            .merge(now, &leaving("u1", 4, 0), Duration::ZERO)
            .is_any()
    );
    assert!(!table.is_leaving(&upstream("u1", 7)));
}

#[tokio::test(start_paused = true)]
async fn a_notice_ends_some_time_after_it_was_last_read_by_any_host() {
    let mut table = Table::default();
    record_leaving(&mut table, Instant::now(), &upstream("u1", 5));
    advance(Duration::from_secs(500)).await;
    // A report of the same reading doesn't renew it.
    table.merge(Instant::now(), &leaving("u1", 5, 500_000), Duration::ZERO);
    advance(Duration::from_secs(99)).await;
    assert_eq!(table.reports(Instant::now()).len(), 1);
    advance(Duration::from_secs(2)).await;
    assert!(table.reports(Instant::now()).is_empty());
    assert!(!table.is_leaving(&upstream("u1", 5)));
    let late = leaving("u1", 5, 601_000);
    assert!(!table.merge(Instant::now(), &late, Duration::ZERO).is_any());
}

#[tokio::test(start_paused = true)]
async fn notices_take_limited_memory() {
    let mut table = Table::default();
    for number in 0..10_000 {
        record_leaving(
            &mut table,
            Instant::now(),
            &upstream(&format!("u{number}"), 5),
        );
        advance(Duration::from_millis(1)).await;
    }
    assert!(table.len() <= 8_192);
    assert!(table.is_leaving(&upstream("u9999", 5)));
}

#[tokio::test(start_paused = true)]
async fn all_notices_are_reported_in_turn_and_news_first() {
    let mut table = Table::default();
    for number in 0..25 {
        record_leaving(
            &mut table,
            Instant::now(),
            &upstream(&format!("u{number}"), 5),
        );
    }
    advance(Duration::from_secs(5)).await;
    let mut reported = BTreeSet::new();
    for _ in 0..13 {
        let reports = table.reports(Instant::now());
        table.record_reported(Instant::now(), &reports);
        reported.extend(reports.into_iter().map(|it| it.upstream));
    }
    assert_eq!(reported.len(), 25);
    record_leaving(&mut table, Instant::now(), &upstream("news", 5));
    let first = table.reports(Instant::now()).into_iter().next();
    assert_eq!(first.map(|it| it.upstream), Some("news".into()));
}

#[tokio::test(start_paused = true)]
async fn a_rest_ends_in_time_and_is_bounded_and_belongs_to_one_run() {
    let mut table = Table::default();
    let one = upstream("u1", 5);
    let now = Instant::now();
    assert!(table.record_rest(now, &one, Duration::from_millis(1_500)));
    assert!(!table.record_rest(now, &one, Duration::from_millis(200)));
    let left = table.rest_left(now, &one);
    assert_eq!(left, Some(Duration::from_millis(1_500)));
    assert_eq!(table.rest_left(now, &upstream("u1", 6)), None);
    advance(Duration::from_millis(1_500)).await;
    assert_eq!(table.rest_left(Instant::now(), &one), None);
    table.record_rest(Instant::now(), &one, Duration::from_secs(1_000_000));
    advance(Duration::from_secs(600)).await;
    assert_eq!(table.rest_left(Instant::now(), &one), None);
}

fn limited(limit: Option<f64>) -> Notice {
    Notice {
        limit,
        ..Notice::default()
    }
}

/// Responses on different connections overtake each other.
#[tokio::test(start_paused = true)]
async fn a_limit_ends_with_a_response_to_a_request_that_was_sent_after_it() {
    let mut table = Table::default();
    let one = upstream("u1", 5);
    let sent = Instant::now();
    advance(Duration::from_millis(50)).await;
    let named = Instant::now();
    let news = table.record(named, sent, &one, &limited(Some(4.5)));
    assert!(news.is_limit_changed && !news.is_leaving);
    advance(Duration::from_millis(50)).await;
    let now = Instant::now();
    assert!(!table.record(now, sent, &one, &limited(None)).is_any());
    let leaving = Notice {
        is_leaving: true,
        ..Notice::default()
    };
    let news = table.record(now, sent, &one, &leaving);
    assert!(news.is_leaving && !news.is_limit_changed);
    assert_eq!(table.limit(&one), Some(4.5));
    advance(Duration::from_millis(1)).await;
    let now = Instant::now();
    assert!(table.record(now, now, &one, &limited(None)).is_any());
    assert_eq!(table.limit(&one), None);
}

#[tokio::test(start_paused = true)]
async fn the_limit_that_any_host_read_last_holds() {
    let mut table = Table::default();
    let one = upstream("u1", 5);
    advance(Duration::from_secs(10)).await;
    let now = Instant::now();
    let report = |limit, age_ms| Report {
        rejection_limit: None,
        is_leaving: false,
        limit,
        ..leaving("u1", 5, age_ms)
    };
    assert!(
        table
            .merge(now, &report(Some(3.0), 500), Duration::ZERO)
            .is_any()
    );
    assert!(
        !table
            .merge(now, &report(Some(9.0), 800), Duration::ZERO)
            .is_any()
    );
    assert!(
        table
            .merge(now, &report(None, 200), Duration::ZERO)
            .is_any()
    );
    assert!(
        !table
            .merge(now, &report(Some(3.0), 400), Duration::ZERO)
            .is_any()
    );
    assert_eq!(table.limit(&one), None);
    for wrong in [f64::NAN, f64::INFINITY, -1.0] {
        assert!(
            !table
                .merge(now, &report(Some(wrong), 0), Duration::ZERO)
                .is_any()
        );
    }
}

/// Guards against a message between hosts, and a log line, for each response.
#[tokio::test(start_paused = true)]
async fn a_limit_that_varies_a_little_is_news_only_once_it_has_drifted() {
    let mut table = Table::default();
    let one = upstream("u1", 5);
    let mut now = Instant::now();
    let mut read = |limit: f64| {
        now += Duration::from_millis(1);
        let news = table.record(now, now, &one, &limited(Some(limit)));
        assert_eq!(table.limit(&one), Some(limit));
        news.is_limit_changed
    };
    let varied = (0..100).map(|number| 10.0 + 0.1 * f64::from(number % 5));
    assert_eq!(varied.filter(|limit| read(*limit)).count(), 1);
    let falling = (0..100).map(|number| 10.0 - 0.05 * f64::from(number));
    let news = falling.filter(|limit| read(*limit)).count();
    assert!((5..=8).contains(&news), "{news}");
}

/// A host that was frozen reads messages that are older than they say.
#[tokio::test(start_paused = true)]
async fn a_report_that_waited_does_not_replace_what_was_read_since() {
    let mut table = Table::default();
    let one = upstream("u1", 5);
    advance(Duration::from_secs(10)).await;
    let read_at = Instant::now();
    table.record(read_at, read_at, &one, &limited(Some(4.0)));
    advance(Duration::from_secs(1)).await;
    let ended = Report {
        is_leaving: false,
        ..leaving("u1", 5, 0)
    };
    let waited = Duration::from_secs(3);
    assert!(!table.merge(Instant::now(), &ended, waited).is_any());
    assert_eq!(table.limit(&one), Some(4.0));
    assert!(table.merge(Instant::now(), &ended, Duration::ZERO).is_any());
}

/// Guards against messages of before a freeze that look like new ones.
#[tokio::test(start_paused = true)]
async fn messages_of_a_suspension_are_told_from_later_ones() {
    let mut backlog = Backlog::default();
    let due = Instant::now() + Duration::from_millis(100);
    advance(Duration::from_millis(150)).await;
    assert_eq!(backlog.delay(Instant::now(), due), Duration::ZERO);
    advance(Duration::from_secs(4)).await;
    let late = backlog.delay(Instant::now(), due);
    assert!(late >= Duration::from_secs(4), "{late:?}");
    // The next round is due, and more of these messages are read.
    let due = Instant::now() + Duration::from_millis(100);
    advance(Duration::from_millis(50)).await;
    assert_eq!(backlog.delay(Instant::now(), due), late);
    advance(Duration::from_millis(200)).await;
    assert_eq!(backlog.delay(Instant::now(), due), Duration::ZERO);
}

/// Returns an upstream as a listing without a start shows it.
fn without_start(id: &str) -> Upstream {
    Upstream {
        started_ms: None,
        ..upstream(id, 0)
    }
}

#[tokio::test(start_paused = true)]
async fn a_leaving_upstream_stays_so_if_its_start_is_listed_later() {
    let mut table = Table::default();
    let now = Instant::now();
    record_leaving(&mut table, now, &without_start("u1"));
    assert!(table.is_leaving(&upstream("u1", 5)));
    let limited = Report {
        is_leaving: false,
        limit: Some(4.0),
        ..leaving("u1", 5, 0)
    };
    table.merge(now, &limited, Duration::ZERO);
    assert!(table.is_leaving(&upstream("u1", 5)));
}

/// An older copy of the store lists the run before, or no start.
#[tokio::test(start_paused = true)]
async fn a_rest_holds_whatever_start_an_older_listing_shows() {
    let mut table = Table::default();
    let now = Instant::now();
    let rest = Duration::from_secs(2);
    table.record_rest(now, &upstream("u1", 5), rest);
    for listed in [upstream("u1", 4), without_start("u1")] {
        assert_eq!(table.rest_left(now, &listed), Some(rest), "{listed:?}");
    }
    assert_eq!(table.rest_left(now, &upstream("u1", 6)), None);
    table.record_rest(now, &without_start("u2"), rest);
    assert_eq!(table.rest_left(now, &upstream("u2", 5)), Some(rest));
}

#[tokio::test(start_paused = true)]
async fn a_rest_of_several_minutes_is_kept_to_the_end() {
    let mut table = Table::default();
    let resting = upstream("u1", 5);
    table.record_rest(Instant::now(), &resting, Duration::from_secs(300));
    advance(Duration::from_secs(299)).await;
    assert_eq!(
        table.rest_left(Instant::now(), &resting),
        Some(Duration::from_secs(1))
    );
}

/// Guards against ranking a host at thousands of upstreams for each request.
#[tokio::test(start_paused = true)]
async fn the_rank_at_a_brittle_upstream_is_computed_once_a_second() {
    let mut table = Table::default();
    let one = upstream("u1", 5);
    let now = Instant::now();
    assert_eq!(table.brittle_rank(now, &one, || 3), None);
    let brittle = Notice {
        rejection_limit: Some(4),
        ..Notice::default()
    };
    assert!(table.record(now, now, &one, &brittle).is_any());
    assert_eq!(table.brittle_rank(now, &one, || 3), Some(3));
    assert_eq!(table.brittle_rank(now, &one, || 7), Some(3));
    advance(Duration::from_secs(1)).await;
    assert_eq!(table.brittle_rank(Instant::now(), &one, || 7), Some(7));
    let later = Instant::now();
    table.record(later, later, &one, &Notice::default());
    assert_eq!(table.brittle_rank(later, &one, || 7), None);
}

/// On a day on which all upstreams name a limit at once, the same few would be reported for as long
/// as they are news.
#[tokio::test(start_paused = true)]
async fn notices_of_many_upstreams_are_reported_in_bounded_time() {
    const UPSTREAMS: usize = 140;
    let mut table = Table::default();
    for number in 0..UPSTREAMS {
        let now = Instant::now();
        let limited = upstream(&format!("u{number}"), 5);
        let notice = Notice {
            limit: Some(2.5),
            ..Notice::default()
        };
        table.record(now, now, &limited, &notice);
    }
    let mut reported = BTreeSet::new();
    for _ in 0..30 {
        let now = Instant::now();
        let reports = table.reports(now);
        table.record_reported(now, &reports);
        reported.extend(reports.into_iter().map(|report| report.upstream));
        advance(Duration::from_millis(100)).await;
    }
    assert_eq!(reported.len(), UPSTREAMS);
}
