//! Every caller receives the complete response to its own request or can detect
//! that it did not, whatever happens to responses and connections on the way.

use std::io::ErrorKind;
use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use http_body_util::BodyExt;
use rstest::rstest;
use standin::fault::Plan;
use standin::fault::Reset;
use standin::fleet::Fleet;
use standin::fleet::client;
use standin::fleet::probe;
use standin::fleet::shape::Kind;
use standin::fleet::shape::Shape;
use standin::fleet::until;
use standin::server::socket::Silence;
use tokio::io::AsyncReadExt;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::timeout;

/// The time limit for a lookup after pooled connections went silent.
const LOOKUP_LIMIT: Duration = Duration::from_secs(2);

/// The time that a slow engine takes per word.
const TOKEN_TIME: Duration = Duration::from_millis(200);

/// The time limit for a state to show in journals or in the scheduler.
const STATE_LIMIT: Duration = Duration::from_secs(5);

/// Returns a fleet whose engine takes `token_time` per word.
fn slow(token_time: Duration) -> Shape {
    let mut shape = Shape::zones(1, 2, 1, 0).warm().with_long_timeouts();
    for upstream in shape.upstreams.values_mut() {
        if let Kind::Engine(options) = &mut upstream.kind {
            options.token_time = token_time;
        }
    }
    shape
}

/// One engine of three delays, swaps, truncates, duplicates or resets two of its
/// responses.
#[rstest]
#[case::late(Plan { late_ms: 300, ..Plan::default() })]
#[case::foreign(Plan { foreign: true, ..Plan::default() })]
#[case::truncated(Plan { truncated: true, ..Plan::default() })]
#[case::duplicated(Plan { duplicated: true, ..Plan::default() })]
#[case::reset_before(Plan { reset: Some(Reset::BeforeRun), ..Plan::default() })]
#[case::reset_after(Plan { reset: Some(Reset::AfterRun), ..Plan::default() })]
#[case::reset_midway(Plan { reset: Some(Reset::AfterFirst), ..Plan::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn a_faulty_engine_causes_no_incomplete_or_foreign_response(#[case] plan: Plan) {
    let fleet = Fleet::start_ready(Shape::zones(1, 2, 3, 0).warm().with_long_timeouts())
        .await
        .unwrap();
    let faulty = Plan {
        requests: Some(2),
        ..plan
    };
    fleet.engines["z1-e1"].shared.fault.set_plan(faulty.clone());
    let calls: Vec<_> = (0..24)
        .map(|at| probe::chat(&format!("chat-{at}"), &format!("question {at}"), true))
        .collect();
    let hosts: Vec<_> = fleet.hosts.keys().collect();
    let pending = calls.iter().enumerate().map(|(at, call)| {
        let address = fleet.caller(hosts[at % hosts.len()]).unwrap();
        probe::send(address, call, None)
    });
    let mut incomplete = 0;
    for (call, reply) in calls.iter().zip(join_all(pending).await) {
        let reply = reply.unwrap();
        if !reply.is_answer(call) {
            assert!(!reply.looks_complete(), "{reply:?}");
            incomplete += 1;
        }
    }
    // Only a response that is truncated after its head cannot be retried.
    let is_cut_midway = faulty.truncated || faulty.reset == Some(Reset::AfterFirst);
    assert!(
        incomplete <= if is_cut_midway { 2 } else { 0 },
        "{incomplete} not answered"
    );
}

/// A response to HTTP/1.0 ends with its connection.
#[rstest]
#[case::whole(false)]
#[case::truncated(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_truncated_stream_resets_the_connection_of_an_http_1_0_caller(#[case] truncated: bool) {
    let fleet = Fleet::start_ready(Shape::zones(1, 1, 1, 0).warm().with_long_timeouts())
        .await
        .unwrap();
    fleet.engines["z1-e1"].shared.fault.set_plan(Plan {
        truncated,
        ..Plan::default()
    });
    let body = r#"{"model":"assistant","stream":true,"messages":[{"role":"user","content":"hi"}]}"#;
    let request = format!(
        "POST /v1/chat/completions HTTP/1.0\r\nhost: entry\r\nmasticmoor-workspace: school\r\n\
         content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
        body.len()
    );
    let address = fleet.caller("z1-h1").unwrap();
    let mut stream = TcpStream::connect(address).await.unwrap();
    stream.write_all(request.as_bytes()).await.unwrap();
    let mut bytes = Vec::new();
    let read = stream.read_to_end(&mut bytes);
    let end = timeout(STATE_LIMIT, read).await.unwrap();
    let text = String::from_utf8_lossy(&bytes);
    match truncated {
        true => assert_eq!(
            end.unwrap_err().kind(),
            ErrorKind::ConnectionReset,
            "{text}"
        ),
        false => assert!(end.is_ok() && text.contains("[DONE]"), "{text}"),
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_home_is_killed_ends_in_an_error_event_and_is_truncated() {
    let mut fleet = Fleet::start_ready(slow(TOKEN_TIME)).await.unwrap();
    let home = fleet.home("z1-e1").unwrap().to_owned();
    let entry = fleet.hosts.keys().find(|name| **name != home).unwrap();
    let address = fleet.caller(entry).unwrap();
    let call = probe::chat("long", "tell me all", true);
    let pending = tokio::spawn(async move { probe::send(address, &call, None).await });
    let started = || fleet.engines["z1-e1"].shared.journal.snapshot().started == 1;
    until("the chat runs", STATE_LIMIT, started).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.kill(&home).unwrap();
    let reply = pending.await.unwrap().unwrap();
    let text = String::from_utf8_lossy(&reply.body);
    assert!(!reply.is_complete && !reply.looks_complete(), "{reply:?}");
    assert!(text.contains("event: error\ndata: "), "{text}");
    assert!(
        text.contains("home-lost") && !text.contains("[DONE]"),
        "{text}"
    );
}

/// A run without a caller would keep its slot until it ends. In the second round
/// no byte of the response has been sent when the caller disconnects.
#[rstest]
#[case::through_the_home(true)]
#[case::through_another_entry(false)]
#[tokio::test(flavor = "multi_thread")]
async fn a_run_is_cancelled_when_its_caller_disconnects(#[case] at_home: bool) {
    let fleet = Fleet::start_ready(slow(TOKEN_TIME)).await.unwrap();
    let home = fleet.home("z1-e1").unwrap();
    let mut names = fleet.hosts.keys();
    let entry = names.find(|name| (*name == home) == at_home).unwrap();
    let address = fleet.caller(entry).unwrap();
    let journal = &fleet.engines["z1-e1"].shared.journal;
    for (round, stream) in [(1, true), (2, false)] {
        let call = probe::chat("gone", &format!("round {round}"), stream);
        let opened = client::open(address, probe::request(&call, None).unwrap());
        let pending = tokio::spawn(async move { opened.await.unwrap().into_body().frame().await });
        let started = || journal.snapshot().started == round;
        until("the chat runs", STATE_LIMIT, started).await.unwrap();
        if stream {
            assert!(pending.await.unwrap().unwrap().is_ok());
        } else {
            pending.abort();
        }
        let cancelled = || journal.snapshot().cancelled == round && journal.snapshot().running == 0;
        until("the run is cancelled", STATE_LIMIT, cancelled)
            .await
            .unwrap();
        let state = &fleet.hosts[home].state;
        let idle = || {
            let scheduler = state.scheduler.lock().unwrap();
            scheduler.load(&"z1-e1".into()).unwrap().inflight == 0
        };
        until("the slot is released", STATE_LIMIT, idle)
            .await
            .unwrap();
    }
}

/// A silent connection gives no error, so a request on it could wait for the whole
/// first-byte timeout.
#[rstest]
#[case::deaf(Silence::Deaf)]
#[case::mute(Silence::Mute)]
#[tokio::test(flavor = "multi_thread")]
async fn lookups_are_answered_when_pooled_connections_go_silent(#[case] silence: Silence) {
    let fleet = Fleet::start_ready(Shape::zones(1, 2, 0, 1).warm().with_long_timeouts())
        .await
        .unwrap();
    let entries: Vec<_> = fleet.hosts.keys().cycle().take(8).collect();
    let lookup = |round: u64| {
        let pending = entries.iter().zip(0..).map(|(entry, at)| {
            let (address, call) = (
                fleet.caller(entry).unwrap(),
                probe::lookup(round * 100 + at),
            );
            async move {
                let began = Instant::now();
                let reply = probe::send(address, &call, None).await.unwrap();
                assert!(reply.is_answer(&call), "{reply:?}");
                began.elapsed()
            }
        });
        join_all(pending)
    };
    lookup(0).await;
    for round in 1..4 {
        fleet.plains["z1-t1"].fault.silence(silence);
        let slowest = lookup(round).await.into_iter().max().unwrap();
        assert!(slowest < LOOKUP_LIMIT, "round {round}: {slowest:?}");
    }
}
