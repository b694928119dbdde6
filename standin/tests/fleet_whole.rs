//! Every caller gets the whole answer to its own request, or sees that it
//! didn't, whatever becomes of answers and connections on the way.

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

/// How soon a gate look-up is answered when connections went silent.
const PROMPT: Duration = Duration::from_secs(2);

/// How long a slow engine takes for each word.
const WORD: Duration = Duration::from_millis(200);

/// Within what a state that the journals tell of comes about.
const SOON: Duration = Duration::from_secs(5);

/// A fleet whose engine takes its time for each word.
fn slow(word: Duration) -> Shape {
    let mut shape = Shape::zones(1, 2, 1, 0).warm().patient();
    for upstream in shape.upstreams.values_mut() {
        if let Kind::Engine(options) = &mut upstream.kind {
            options.token_time = word;
        }
    }
    shape
}

#[rstest]
#[case::late(Plan { late_ms: 300, ..Plan::default() })]
#[case::foreign(Plan { foreign: true, ..Plan::default() })]
#[case::truncated(Plan { truncated: true, ..Plan::default() })]
#[case::duplicated(Plan { duplicated: true, ..Plan::default() })]
#[case::reset_before(Plan { reset: Some(Reset::BeforeRun), ..Plan::default() })]
#[case::reset_after(Plan { reset: Some(Reset::AfterRun), ..Plan::default() })]
#[case::reset_midway(Plan { reset: Some(Reset::AfterFirst), ..Plan::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn no_answer_is_short_or_another_ones(#[case] plan: Plan) {
    let fleet = Fleet::serving(Shape::zones(1, 2, 3, 0).warm().patient())
        .await
        .unwrap();
    let spoiled = Plan {
        requests: Some(2),
        ..plan
    };
    fleet.engines["z1-e1"]
        .shared
        .fault
        .set_plan(spoiled.clone());
    let calls: Vec<_> = (0..24)
        .map(|at| probe::chat(&format!("chat-{at}"), &format!("question {at}"), true))
        .collect();
    let hosts: Vec<_> = fleet.hosts.keys().collect();
    let asked = calls.iter().enumerate().map(|(at, call)| {
        let address = fleet.caller(hosts[at % hosts.len()]).unwrap();
        probe::ask(address, call, None)
    });
    let mut short = 0;
    for (call, seen) in calls.iter().zip(join_all(asked).await) {
        let seen = seen.unwrap();
        if !seen.is_answer(call) {
            assert!(!seen.passes_for_whole(), "{seen:?}");
            short += 1;
        }
    }
    // Only an answer that broke off after its head can't be made good.
    let midway = spoiled.truncated || spoiled.reset == Some(Reset::AfterFirst);
    assert!(short <= if midway { 2 } else { 0 }, "{short} not answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_stream_whose_home_is_killed_ends_in_an_error_event_and_a_cut() {
    let mut fleet = Fleet::serving(slow(WORD)).await.unwrap();
    let home = fleet.home("z1-e1").unwrap().to_owned();
    let entry = fleet.hosts.keys().find(|name| **name != home).unwrap();
    let address = fleet.caller(entry).unwrap();
    let call = probe::chat("long", "tell me all", true);
    let asked = tokio::spawn(async move { probe::ask(address, &call, None).await });
    let started = || fleet.engines["z1-e1"].shared.journal.snapshot().started == 1;
    until("the chat runs", SOON, started).await.unwrap();
    tokio::time::sleep(Duration::from_millis(500)).await;
    fleet.kill(&home).unwrap();
    let seen = asked.await.unwrap().unwrap();
    let text = String::from_utf8_lossy(&seen.body);
    assert!(!seen.is_whole && !seen.passes_for_whole(), "{seen:?}");
    assert!(text.contains("event: error\ndata: "), "{text}");
    assert!(
        text.contains("home-lost") && !text.contains("[DONE]"),
        "{text}"
    );
}

#[rstest]
#[case::through_the_home(true)]
#[case::through_another_entry(false)]
#[tokio::test(flavor = "multi_thread")]
async fn what_runs_for_a_caller_that_is_gone_is_cancelled(#[case] at_home: bool) {
    let fleet = Fleet::serving(slow(WORD)).await.unwrap();
    let home = fleet.home("z1-e1").unwrap();
    let mut names = fleet.hosts.keys();
    let entry = names.find(|name| (*name == home) == at_home).unwrap();
    let address = fleet.caller(entry).unwrap();
    let journal = &fleet.engines["z1-e1"].shared.journal;
    for (round, stream) in [(1, true), (2, false)] {
        let call = probe::chat("gone", &format!("round {round}"), stream);
        let opened = client::open(address, probe::request(&call, None).unwrap());
        let asked = tokio::spawn(async move { opened.await.unwrap().into_body().frame().await });
        let started = || journal.snapshot().started == round;
        until("the chat runs", SOON, started).await.unwrap();
        if stream {
            assert!(asked.await.unwrap().unwrap().is_ok());
        } else {
            asked.abort();
        }
        let cancelled = || journal.snapshot().cancelled == round && journal.snapshot().running == 0;
        until("the run is cancelled", SOON, cancelled)
            .await
            .unwrap();
        let state = &fleet.hosts[home].state;
        let idle = || {
            let desk = state.scheduler.lock().unwrap();
            desk.load(&"z1-e1".into()).unwrap().inflight == 0
        };
        until("the slot is given back", SOON, idle).await.unwrap();
    }
}

#[rstest]
#[case::deaf(Silence::Deaf)]
#[case::mute(Silence::Mute)]
#[tokio::test(flavor = "multi_thread")]
async fn look_ups_are_answered_when_kept_connections_go_silent(#[case] silence: Silence) {
    let fleet = Fleet::serving(Shape::zones(1, 2, 0, 1).warm().patient())
        .await
        .unwrap();
    let gates: Vec<_> = fleet.hosts.keys().cycle().take(8).collect();
    let look_up = |round: u64| {
        let asked = gates.iter().zip(0..).map(|(gate, at)| {
            let (address, call) = (fleet.caller(gate).unwrap(), probe::seat(round * 100 + at));
            async move {
                let began = Instant::now();
                let seen = probe::ask(address, &call, None).await.unwrap();
                assert!(seen.is_answer(&call), "{seen:?}");
                began.elapsed()
            }
        });
        join_all(asked)
    };
    look_up(0).await;
    for round in 1..4 {
        fleet.plains["z1-t1"].fault.silence(silence);
        let slowest = look_up(round).await.into_iter().max().unwrap();
        assert!(slowest < PROMPT, "round {round}: {slowest:?}");
    }
}
