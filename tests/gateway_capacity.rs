//! What upstreams state of their load and speed, and what hosts make of it.

use std::time::Duration;

use masticmoor::gateway::load;
use masticmoor::ident;
use tokio::time::Instant;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

/// Requests that other hosts sent after their reports would be missing until the next ones, and
/// a statement that was kept too long would hide an upstream that has become idle.
#[tokio::test(start_paused = true)]
async fn a_statement_counts_while_it_is_younger_than_reports_and_moves_with_own_requests() {
    let id = ident::Upstream::from("u1");
    let mut loads = load::Table::default();
    loads.begin(&id);
    loads.report(
        Instant::now(),
        load::Source::Host(7),
        [(id.clone(), 2)].into(),
    );
    let known = |loads: &load::Table| {
        let now = Instant::now();
        loads.known(now, &id, loads.age(now), Some(SECOND))
    };
    advance(SECOND / 2).await;
    loads.record_statement(Instant::now(), &id, 9);
    assert_eq!(known(&loads).requests, 9);
    assert_eq!(known(&loads).unseen, 0.0);
    loads.begin(&id);
    loads.begin(&id);
    loads.end(&id);
    assert_eq!(known(&loads).requests, 10);
    // Hosts count more than is stated, as requests on their way there are.
    loads.record_statement(Instant::now(), &id, 1);
    assert_eq!((known(&loads).requests, known(&loads).latest), (4, 2));
    loads.record_statement(Instant::now(), &id, 9);
    advance(SECOND / 4).await;
    assert_eq!(known(&loads).requests, 9);
    loads.report(
        Instant::now(),
        load::Source::Host(7),
        [(id.clone(), 2)].into(),
    );
    assert_eq!(known(&loads).requests, 4);
    advance(SECOND * 2).await;
    assert_eq!(known(&loads).requests, 4);
}
