//! Which prompt segments are refused after crashes of upstreams, and for how long.

use std::time::Duration;

use masticmoor::ident;
use masticmoor::policy::quarantine::Limits;
use masticmoor::policy::quarantine::Report;
use masticmoor::policy::quarantine::Table;
use masticmoor::policy::quarantine::Verdict;
use tokio::time::Instant;

const SCHOOL: u32 = 1;
const CLUB: u32 = 2;
const CHOIR: u32 = 3;

/// Segment that crashes upstreams.
const CRASHING: u64 = 666;

/// Segment that sound requests share.
const SHARED: u64 = 1;

/// Time that a request runs before its upstream crashes.
const RUN: Duration = Duration::from_millis(50);

fn table() -> Table {
    Table::new(Limits::default())
}

fn name(number: usize) -> ident::Upstream {
    format!("u{number}").as_str().into()
}

/// Records that a request was sent to an upstream, which crashed a little later.
async fn crash(table: &mut Table, segments: &[u64], workspace: u32, upstream: usize) {
    let sent_at = Instant::now();
    tokio::time::advance(RUN).await;
    table.record_crash(
        Instant::now(),
        segments,
        workspace,
        &name(upstream),
        sent_at,
    );
}

async fn wait(millis: u64) {
    tokio::time::advance(Duration::from_millis(millis)).await;
}

fn is_refused(table: &Table, segments: &[u64], workspace: u32) -> bool {
    let verdict = table.check(Instant::now(), segments, workspace, |_| 0);
    matches!(verdict, Verdict::Refused { .. })
}

/// Sends the reports of a table to another one.
fn report(from: &Table, to: &mut Table) {
    for report in from.reports(Instant::now(), 5) {
        to.merge(Instant::now(), &report);
    }
}

#[tokio::test(start_paused = true)]
async fn a_segment_is_refused_to_a_workspace_after_three_crashes() {
    let mut table = table();
    for upstream in 0..3 {
        let last = 100 + upstream as u64;
        assert!(!is_refused(&table, &[SHARED, CRASHING, last], SCHOOL));
        crash(&mut table, &[SHARED, CRASHING, last], SCHOOL, upstream).await;
        table.record_answer(Instant::now(), &[SHARED, 2]);
    }
    assert!(is_refused(&table, &[SHARED, CRASHING], SCHOOL));
    assert!(is_refused(&table, &[CRASHING], SCHOOL));
    assert!(!is_refused(&table, &[SHARED, 2], SCHOOL));
    assert!(!is_refused(&table, &[SHARED, 101], SCHOOL));
}

#[tokio::test(start_paused = true)]
async fn the_last_allowed_request_is_suspect_and_not_sent_again() {
    let mut table = table();
    crash(&mut table, &[CRASHING], SCHOOL, 0).await;
    assert!(!table.is_suspect(Instant::now(), &[CRASHING], SCHOOL));
    crash(&mut table, &[CRASHING], SCHOOL, 1).await;
    assert!(table.is_suspect(Instant::now(), &[CRASHING], SCHOOL));
    assert!(!is_refused(&table, &[CRASHING], SCHOOL));
}

/// Guards against a workspace that gets a segment of others refused by naming it in
/// requests that crash upstreams.
#[tokio::test(start_paused = true)]
async fn crashes_of_two_workspaces_refuse_nothing_to_a_third() {
    let mut table = table();
    for upstream in 0..10 {
        let workspace = [SCHOOL, CLUB][upstream % 2];
        crash(&mut table, &[SHARED, CRASHING], workspace, upstream).await;
    }
    assert!(is_refused(&table, &[SHARED], SCHOOL));
    assert!(is_refused(&table, &[SHARED], CLUB));
    assert!(!is_refused(&table, &[SHARED], CHOIR));
}

#[tokio::test(start_paused = true)]
async fn a_segment_that_crashes_upstreams_for_several_workspaces_is_refused_to_all() {
    let mut table = table();
    for upstream in 0..5 {
        assert!(!is_refused(&table, &[CRASHING], 9));
        let workspace = [SCHOOL, CLUB, CHOIR][upstream % 3];
        crash(&mut table, &[CRASHING], workspace, upstream).await;
    }
    assert!(is_refused(&table, &[CRASHING], 9));
}

/// Guards against refusing popular prompts after a rack was lost.
#[tokio::test(start_paused = true)]
async fn upstreams_that_crash_at_once_count_as_one_crash() {
    let mut table = table();
    let sent_at = Instant::now();
    for upstream in 0..9 {
        wait(10).await;
        table.record_crash(Instant::now(), &[SHARED], SCHOOL, &name(upstream), sent_at);
    }
    assert!(!is_refused(&table, &[SHARED], SCHOOL));
    assert!(!table.is_suspect(Instant::now(), &[SHARED], SCHOOL));
}

#[tokio::test(start_paused = true)]
async fn a_crash_that_two_requests_or_hosts_saw_counts_once() {
    let (mut one, mut two) = (table(), table());
    for upstream in 0..2 {
        let sent_at = Instant::now();
        wait(50).await;
        for _ in 0..3 {
            for table in [&mut one, &mut two] {
                table.record_crash(
                    Instant::now(),
                    &[CRASHING],
                    SCHOOL,
                    &name(upstream),
                    sent_at,
                );
            }
            wait(1).await;
        }
    }
    report(&one, &mut two);
    assert!(!is_refused(&two, &[CRASHING], SCHOOL));
}

#[tokio::test(start_paused = true)]
async fn crashes_at_several_hosts_add_up() {
    let mut hosts = [table(), table(), table()];
    for (number, host) in hosts.iter_mut().enumerate() {
        crash(host, &[SHARED, CRASHING], SCHOOL, number).await;
        wait(20).await;
    }
    let [one, two, three] = &mut hosts;
    report(one, three);
    report(two, three);
    assert!(is_refused(three, &[CRASHING], SCHOOL));
    report(three, one);
    assert!(is_refused(one, &[CRASHING], SCHOOL));
    assert!(!is_refused(two, &[CRASHING], SCHOOL));
}

#[tokio::test(start_paused = true)]
async fn a_response_clears_a_segment_at_all_hosts() {
    let (mut one, mut two) = (table(), table());
    for upstream in 0..3 {
        crash(&mut one, &[SHARED], SCHOOL, upstream).await;
    }
    report(&one, &mut two);
    assert!(is_refused(&two, &[SHARED], SCHOOL));
    // A request that was under way.
    wait(5).await;
    assert!(two.record_answer(Instant::now(), &[SHARED, 2]));
    assert!(!is_refused(&two, &[SHARED], SCHOOL));
    wait(100).await;
    // The first host hasn't heard of the response and reports the crashes again.
    report(&one, &mut two);
    assert!(!is_refused(&two, &[SHARED], SCHOOL));
    report(&two, &mut one);
    assert!(!is_refused(&one, &[SHARED], SCHOOL));
}

#[tokio::test(start_paused = true)]
async fn a_host_that_knows_a_response_clears_the_crashes_reported_to_it() {
    let (mut one, mut two) = (table(), table());
    for upstream in 0..3 {
        crash(&mut one, &[SHARED], SCHOOL, upstream).await;
    }
    two.record_answer(Instant::now(), &[SHARED]);
    wait(10).await;
    report(&one, &mut two);
    assert!(!is_refused(&two, &[SHARED], SCHOOL));
    report(&two, &mut one);
    assert!(!is_refused(&one, &[SHARED], SCHOOL));
}

/// Guards against refusing the prompts of all sound requests during a series of crashes in
/// which none of them gets a response.
#[tokio::test(start_paused = true)]
async fn a_segment_with_a_recent_response_is_not_accused_beside_one_without() {
    let mut table = table();
    table.record_answer(Instant::now(), &[SHARED]);
    for upstream in 0..20 {
        crash(&mut table, &[SHARED, CRASHING], SCHOOL, upstream).await;
        wait(600).await;
    }
    assert!(is_refused(&table, &[CRASHING], SCHOOL));
    assert!(!is_refused(&table, &[SHARED], SCHOOL));
}

/// A new version of the engines may crash on a segment that earlier ones responded to.
#[tokio::test(start_paused = true)]
async fn a_segment_with_a_recent_response_is_refused_after_more_crashes() {
    let mut table = table();
    table.record_answer(Instant::now(), &[CRASHING]);
    for upstream in 0..6 {
        assert!(!is_refused(&table, &[CRASHING], SCHOOL), "{upstream}");
        crash(&mut table, &[CRASHING], SCHOOL, upstream).await;
        wait(500).await;
    }
    assert!(is_refused(&table, &[CRASHING], SCHOOL));
}

#[tokio::test(start_paused = true)]
async fn one_host_after_another_tries_a_refused_segment() {
    let mut table = table();
    for upstream in 0..3 {
        crash(&mut table, &[CRASHING], SCHOOL, upstream).await;
    }
    let check =
        |table: &Table, rank: usize| table.check(Instant::now(), &[CRASHING], SCHOOL, |_| rank);
    let refused = |seconds| Verdict::Refused {
        segment: CRASHING,
        left: Duration::from_secs(seconds),
    };
    assert_eq!(check(&table, 0), refused(60));
    assert_eq!(check(&table, 2), refused(120));
    assert_eq!(check(&table, 3), refused(180));
    assert_eq!(check(&table, 379), refused(540));
    wait(60_000).await;
    assert_eq!(check(&table, 1), refused(60));
    assert_eq!(check(&table, 0), Verdict::Trial);
    table.begin_trial(Instant::now(), &[CRASHING]);
    assert_eq!(check(&table, 0), refused(60));
    // The trial crashed an upstream.
    crash(&mut table, &[CRASHING], SCHOOL, 9).await;
    assert!(is_refused(&table, &[CRASHING], SCHOOL));
    wait(60_000).await;
    let verdict = table.check(Instant::now(), &[CRASHING], SCHOOL, |_| 0);
    assert_eq!(verdict, Verdict::Trial);
    // This one got a response.
    table.record_answer(Instant::now(), &[CRASHING]);
    assert!(!is_refused(&table, &[CRASHING], SCHOOL));
}

#[tokio::test(start_paused = true)]
async fn memory_is_bounded_and_the_most_suspect_segments_are_kept() {
    let mut table = table();
    for upstream in 0..3 {
        crash(&mut table, &[CRASHING], SCHOOL, upstream).await;
    }
    for upstream in 0..100 {
        // A request with very many segments, as long as the limit on headers allows.
        let first = 10_000 + upstream * 1_000;
        let segments: Vec<u64> = (first..first + 1_000).collect();
        let upstream = usize::try_from(upstream).unwrap_or_default();
        crash(&mut table, &segments, CLUB, upstream).await;
        table.record_answer(
            Instant::now(),
            &(0..1_000).map(|it| it + first * 1_000).collect::<Vec<_>>(),
        );
    }
    let max = Limits::default().max_segments;
    let (suspects, answers) = table.len();
    assert!(suspects <= max && answers <= max, "{suspects}, {answers}");
    assert!(is_refused(&table, &[CRASHING], SCHOOL));
    wait(1_000_000).await;
    crash(&mut table, &[5], SCHOOL, 0).await;
    let (suspects, answers) = table.len();
    assert!(suspects <= 2 && answers == 0, "{suspects}, {answers}");
}

#[tokio::test(start_paused = true)]
async fn reports_are_bounded_and_begin_with_news_of_the_most_crashes() {
    let mut table = table();
    for upstream in 0..20 {
        crash(&mut table, &[7], SCHOOL, upstream).await;
        wait(2_000).await;
    }
    wait(10_000).await;
    for segment in 100..110 {
        crash(&mut table, &[segment], SCHOOL, 0).await;
    }
    for upstream in 1..3 {
        crash(&mut table, &[CRASHING], SCHOOL, upstream).await;
    }
    let reports = table.reports(Instant::now(), 5);
    assert_eq!(reports.len(), 5);
    assert_eq!(reports.first().map(|it| it.segment), Some(CRASHING));
    assert!(reports.iter().all(|it| it.segment >= 100));
    wait(5_000).await;
    let reports = table.reports(Instant::now(), 5);
    let oldest: Vec<&Report> = reports.iter().filter(|it| it.segment == 7).collect();
    assert!(oldest.iter().all(|it| it.crashes.len() <= 6) && oldest.len() == 1);
}
