//! The simulated upstreams answer requests and inject their faults.

mod common;

use std::time::Duration;

use common::Client;
use common::buy;
use common::chat;
use http::StatusCode;
use rstest::rstest;
use standin::answer;
use standin::answer::Receipt;
use standin::engine;
use standin::engine::chat::Completion;
use standin::fault::Plan;
use standin::fault::Reachability;
use standin::fault::Reset;
use standin::journal::End;
use standin::server::socket::Silence;

#[tokio::test]
async fn an_engine_answers_complete_and_streamed() {
    let engine = common::engine(engine::Options::default()).await;
    let mut client = Client::connect(engine.address).await;
    let body = chat("one", false);
    let complete = client.post("/v1/chat/completions", &body).await.unwrap();
    let completion: Completion = serde_json::from_slice(&complete.body).unwrap();
    assert_eq!(
        completion.choices[0].message.content,
        answer::text(body.as_bytes())
    );
    let body = chat("one", true);
    let streamed = client.post("/v1/chat/completions", &body).await.unwrap();
    let text = String::from_utf8(streamed.body.to_vec()).unwrap();
    assert!(text.ends_with("data: [DONE]\n\n"));
    let journal = engine.handle.shared.journal.snapshot();
    assert_eq!((journal.done, journal.max_running), (2, 1));
    assert!(journal.cached_tokens > 0);
}

#[tokio::test]
async fn a_cold_engine_crashes_under_overload() {
    let options = engine::Options {
        cold_slots: 1,
        token_time: Duration::from_millis(5),
        ..engine::Options::default()
    };
    let engine = common::engine(options).await;
    let mut first = Client::connect(engine.address).await;
    let mut second = Client::connect(engine.address).await;
    let (one, two) = (chat("one", false), chat("two", false));
    let (one, two) = tokio::join!(
        first.post("/v1/chat/completions", &one),
        second.post("/v1/chat/completions", &two),
    );
    assert!(one.is_err() && two.is_err());
    assert_eq!(engine.handle.shared.journal.snapshot().overloads, 1);
    assert!(Client::try_connect(engine.address).await.is_err());
}

#[tokio::test]
async fn a_lost_connection_cancels_its_chat() {
    let options = engine::Options {
        token_time: Duration::from_millis(50),
        ..engine::Options::default()
    };
    let engine = common::engine(options).await;
    let mut client = Client::connect(engine.address).await;
    let body = chat("one", true);
    let call = client.post("/v1/chat/completions", &body);
    assert!(
        tokio::time::timeout(Duration::from_millis(120), call)
            .await
            .is_err()
    );
    drop(client);
    common::until(|| engine.handle.shared.journal.snapshot().cancelled == 1).await;
}

#[tokio::test]
async fn a_plain_service_counts_the_executions_of_a_purchase() {
    let plain = common::plain().await;
    let mut client = Client::connect(plain.address).await;
    let body = buy("p1");
    let answer = client.post("/tickets/buy", &body).await.unwrap();
    let receipt: Receipt = serde_json::from_slice(&answer.body).unwrap();
    assert_eq!(receipt.proof, answer::fingerprint(body.as_bytes()));
    client.post("/tickets/buy", &body).await.unwrap();
    assert_eq!(plain.shared.journal.snapshot().purchases["p1"], 2);
}

#[rstest]
#[case(Reset::BeforeRun, 0, None)]
#[case(Reset::AfterRun, 1, Some(End::Done))]
#[case(Reset::AfterFirst, 1, Some(End::Done))]
#[tokio::test]
async fn a_reset_aborts_the_answer(
    #[case] reset: Reset,
    #[case] expected_runs: u64,
    #[case] end: Option<End>,
) {
    let plain = common::plain().await;
    plain.shared.fault.set_plan(Plan {
        reset: Some(reset),
        requests: Some(1),
        ..Plan::default()
    });
    let mut client = Client::connect(plain.address).await;
    assert!(client.post("/tickets/buy", &buy("p1")).await.is_err());
    let journal = plain.shared.journal.snapshot();
    assert_eq!(
        journal.purchases.get("p1").copied().unwrap_or(0),
        expected_runs
    );
    assert_eq!(journal.runs.first().and_then(|run| run.end), end);
    let mut client = Client::connect(plain.address).await;
    assert!(client.post("/tickets/buy", &buy("p2")).await.is_ok());
}

#[rstest]
#[case(Silence::Deaf, 0)]
#[case(Silence::Mute, 1)]
#[tokio::test]
async fn only_open_connections_go_silent(#[case] silence: Silence, #[case] expected_runs: usize) {
    let plain = common::plain().await;
    let mut open = Client::connect(plain.address).await;
    open.get("/tickets/seats/1").await.unwrap();
    plain.shared.fault.silence(silence);
    let body = buy("p1");
    let call = open.post("/tickets/buy", &body);
    assert!(
        tokio::time::timeout(Duration::from_millis(100), call)
            .await
            .is_err()
    );
    assert_eq!(
        plain.shared.journal.snapshot().purchases.len(),
        expected_runs
    );
    let mut new = Client::connect(plain.address).await;
    assert_eq!(
        new.get("/tickets/seats/1").await.unwrap().status,
        StatusCode::OK
    );
}

#[tokio::test]
async fn open_connections_continue_while_new_ones_are_refused() {
    let plain = common::plain().await;
    let mut open = Client::connect(plain.address).await;
    open.get("/tickets/seats/1").await.unwrap();
    plain.shared.fault.set_reachability(Reachability::Refusing);
    common::until_refused(plain.address).await;
    assert!(open.get("/tickets/seats/1").await.is_ok());
    plain.shared.fault.set_reachability(Reachability::Up);
    common::until_accepted(plain.address).await;
}

#[tokio::test]
async fn a_marked_request_crashes_the_service() {
    let plain = common::plain().await;
    plain.shared.fault.set_plan(Plan {
        marker: Some("crash".to_owned()),
        crash_ms: 100,
        ..Plan::default()
    });
    let mut client = Client::connect(plain.address).await;
    assert!(client.post("/tickets/buy", &buy("crash")).await.is_err());
    let journal = plain.shared.journal.snapshot();
    assert_eq!((journal.crashes, journal.purchases.len()), (1, 0));
    common::until_accepted(plain.address).await;
}

#[rstest]
#[case(Plan { foreign: true, ..Plan::default() }, "foreign-exchange")]
#[case(Plan::default(), "x1")]
#[tokio::test]
async fn an_answer_has_the_id_of_its_exchange(#[case] plan: Plan, #[case] named: &str) {
    let plain = common::plain().await;
    plain.shared.fault.set_plan(plan);
    let mut client = Client::connect(plain.address).await;
    let answer = client.get("/tickets/seats/1").await.unwrap();
    assert_eq!(answer.exchange.as_deref(), Some(named));
}

#[tokio::test]
async fn answers_are_truncated_and_duplicated() {
    let plain = common::plain().await;
    let mut client = Client::connect(plain.address).await;
    let complete = client.get("/tickets/seats/1").await.unwrap().body;
    plain.shared.fault.set_plan(Plan {
        duplicated: true,
        ..Plan::default()
    });
    let twice = client.get("/tickets/seats/1").await.unwrap().body;
    assert_eq!(twice, [&complete[..], &complete[..]].concat());
    plain.shared.fault.set_plan(Plan {
        truncated: true,
        ..Plan::default()
    });
    assert!(client.get("/tickets/seats/1").await.is_err());
}
