//! Prompt segments that crash each engine that begins to respond to them.

use std::collections::BTreeMap;
use std::time::Duration;

use masticmoor::gateway::table::Kind;
use masticmoor::outcome::Outcome;
use rstest::rstest;

use crate::caller;
use crate::caller::Reply;
use crate::host::Host;
use crate::outcome;
use crate::runs;
use crate::upstream::Request;
use crate::upstream::Step;
use crate::upstream::Upstream;

/// Segment that crashes engines.
const CRASHING: &str = "666";

/// Crashes after which no more requests with the segment may be sent, except those that
/// other hosts have under way.
const MAX_CRASHES: usize = 5;

/// Requests with the segment that may be sent after that.
const MAX_LATE_REQUESTS: usize = 3;

/// Maximum time until engines that crashed serve again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(5);

fn step(_: usize, request: &Request) -> Step {
    let segments = request.header("x-parts").unwrap_or_default();
    match segments.split(',').any(|segment| segment == CRASHING) {
        true => Step::Crash,
        false => Step::Stream {
            from: 0,
            to: 4,
            truncated: false,
        },
    }
}

async fn engines(count: usize) -> Vec<Upstream> {
    let mut engines = Vec::new();
    for id in ["u1", "u2", "u3", "u4", "u5", "u6", "u7", "u8"]
        .into_iter()
        .take(count)
    {
        engines.push(Upstream::start_by_request(id, step).await);
    }
    engines
}

/// Sends a request whose path and last segment no other one has.
async fn send(host: &Host, number: usize, shared: &str, key: &str) -> Reply {
    let path = format!("/a/x{number}");
    let segments = format!("{shared},{}", 10_000 + number);
    let headers = [("x-parts", segments.as_str()), ("x-key", key)];
    caller::send_to(host.caller, &path, &format!("a{number}"), &headers).await
}

fn crashes(engines: &[Upstream]) -> usize {
    engines.iter().map(Upstream::crashes).sum()
}

/// Returns how many requests with the crashing segment engines received.
fn crashing_runs(engines: &[Upstream]) -> usize {
    let requests = engines.iter().flat_map(Upstream::requests);
    let is_crashing = |it: &Request| matches!(step(0, it), Step::Crash);
    requests.filter(is_crashing).count()
}

#[rstest]
#[case::resumable(Kind::ResumableStream)]
#[case::not_resumable(Kind::Stream)]
#[tokio::test]
async fn a_segment_that_crashes_engines_is_refused_whatever_else_the_request_holds(
    #[case] kind: Kind,
) {
    let engines = engines(8).await;
    let host = Host::start(kind, &engines.iter().collect::<Vec<_>>()).await;
    let mut last = None;
    for number in 0..30 {
        let shared = format!("1,{CRASHING},{}", number % 3);
        last = Some(send(&host, number, &shared, "k1").await);
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    let last = last.unwrap();
    assert_eq!(last.status, 503, "{}", last.text());
    assert_eq!(outcome(&last), Outcome::NotRun);
    assert!(last.header("retry-after").is_some());
    assert!(crashes(&engines) <= MAX_CRASHES, "{}", crashes(&engines));
}

#[tokio::test]
async fn requests_that_share_all_but_the_crashing_segment_are_served() {
    let engines = engines(8).await;
    let host = Host::start(Kind::Stream, &engines.iter().collect::<Vec<_>>()).await;
    let mut served = BTreeMap::new();
    for number in 0..60 {
        let other = format!("{}", 20 + number % 2);
        if number % 2 == 0 {
            send(&host, number, &format!("1,{CRASHING},{other}"), "k1").await;
        }
        let reply = send(&host, 1_000 + number, &format!("1,{other}"), "k1").await;
        let is_late = number >= 20;
        *served.entry((is_late, reply.status)).or_insert(0) += 1;
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    assert_eq!(served.get(&(true, 200)), Some(&40), "{served:?}");
    assert!(crashes(&engines) <= MAX_CRASHES, "{}", crashes(&engines));
}

#[tokio::test]
async fn all_hosts_refuse_a_segment_that_crashed_engines_at_any_of_them() {
    let engines = engines(8).await;
    let all: Vec<&Upstream> = engines.iter().collect();
    let fleet = Host::start_fleet(4, Kind::ResumableStream, &all).await;
    for number in 0..60 {
        let host = &fleet[number % fleet.len()];
        send(host, number, &format!("1,{CRASHING}"), "k1").await;
        let reply = send(host, 1_000 + number, "1,2", "k1").await;
        if number >= 30 {
            assert_eq!(reply.status, 200, "{number}: {}", reply.text());
        }
        tokio::time::sleep(Duration::from_millis(50)).await;
    }
    let runs = crashing_runs(&engines);
    assert!(runs <= MAX_CRASHES + MAX_LATE_REQUESTS, "{runs}");
}

#[tokio::test]
async fn a_workspace_can_not_get_the_segments_of_another_refused() {
    let engines = engines(8).await;
    let host = Host::start(Kind::Stream, &engines.iter().collect::<Vec<_>>()).await;
    for number in 0..12 {
        // The other workspace hasn't used segment 7 yet.
        send(&host, number, &format!("7,{CRASHING}"), "k1").await;
        tokio::time::sleep(Duration::from_millis(30)).await;
    }
    assert!(crashes(&engines) <= MAX_CRASHES, "{}", crashes(&engines));
    tokio::time::sleep(Duration::from_millis(300)).await;
    let reply = send(&host, 100, "7", "k2").await;
    assert_eq!(reply.status, 200, "{}", reply.text());
}

#[tokio::test]
async fn a_segment_in_flight_when_all_engines_crash_at_once_is_served() {
    let engines = engines(6).await;
    let host = Host::start(Kind::Stream, &engines.iter().collect::<Vec<_>>()).await;
    for round in 0..3 {
        for number in 0..6 {
            send(&host, round * 100 + number, "1,2", "k1").await;
        }
        for engine in &engines {
            engine.crash();
        }
        // Engines that refuse connections, and some that have just started again.
        for number in 10..16 {
            send(&host, round * 100 + number, "1,2", "k1").await;
        }
        tokio::time::sleep(Duration::from_millis(900)).await;
    }
    // Engines that crashed several times get requests again after up to four seconds.
    let served = async {
        for number in 1_000.. {
            let reply = send(&host, number, "1,2", "k1").await;
            if reply.status == 200 {
                return;
            }
            tokio::time::sleep(Duration::from_millis(50)).await;
        }
    };
    tokio::time::timeout(RECOVERY_TIMEOUT, served)
        .await
        .unwrap();
}

#[tokio::test]
async fn a_segment_of_requests_whose_connections_are_reset_is_not_refused() {
    let steps = |number| match number < 8 {
        true => Step::Reset,
        false => Step::Stream {
            from: 0,
            to: 4,
            truncated: false,
        },
    };
    let one = Upstream::start("u1", steps).await;
    let two = Upstream::start("u2", steps).await;
    let host = Host::start(Kind::Stream, &[&one, &two]).await;
    for number in 0..30 {
        send(&host, number, "1,2", "k1").await;
        tokio::time::sleep(Duration::from_millis(60)).await;
    }
    assert!(runs(&[&one, &two]) > 16);
    let reply = send(&host, 100, "1,2", "k1").await;
    assert_eq!(reply.status, 200, "{}", reply.text());
}

/// Guards against a segment that stays refused for ever: the request that tries it passes
/// both checks, on arrival and before it is sent.
#[tokio::test]
async fn a_refused_segment_is_tried_again_and_cleared_by_the_response() {
    let engines = engines(2).await;
    let host = Host::start(Kind::Stream, &engines.iter().collect::<Vec<_>>()).await;
    host.refuse_segment(2, &[63_000, 62_000, 61_000]);
    let reply = send(&host, 1, "1,2", "k1").await;
    assert_eq!(reply.status, 200, "{}", reply.text());
    host.refuse_segment(3, &[13_000, 12_000, 11_000]);
    let reply = send(&host, 2, "1,3", "k1").await;
    assert_eq!(reply.status, 503, "{}", reply.text());
    for number in 3..6 {
        let reply = send(&host, number, "1,2", "k1").await;
        assert_eq!(reply.status, 200, "{}", reply.text());
    }
}
