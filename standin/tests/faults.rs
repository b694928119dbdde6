//! Faults are injected by commands over HTTP, and can be combined.

mod common;

use std::time::Duration;

use common::Client;
use common::buy;
use common::chat;
use http::StatusCode;
use rstest::rstest;
use standin::engine;
use standin::fault::Command;
use standin::fault::Plan;
use standin::fault::Reset;
use standin::server::socket::Silence;
use tokio::time::Instant;

#[rstest]
#[case(r#"{"plan":{"reset":"after-run","requests":1}}"#, Command::Plan(Plan {
    reset: Some(Reset::AfterRun),
    requests: Some(1),
    ..Plan::default()
}))]
#[case(r#"{"refuse":{"ms":5}}"#, Command::Refuse { ms: 5 })]
#[case(r#"{"down":{"ms":5}}"#, Command::Down { ms: 5 })]
#[case(r#"{"silent":"mute"}"#, Command::Silent(Silence::Mute))]
fn a_command_is_parsed(#[case] json: &str, #[case] command: Command) {
    assert_eq!(serde_json::from_str::<Command>(json).unwrap(), command);
}

#[tokio::test]
async fn a_posted_command_takes_effect() {
    let plain = common::plain().await;
    let mut client = Client::connect(plain.address).await;
    let command = r#"{"plan":{"late-ms":50}}"#;
    let accepted = client.post("/standin/fault", command).await.unwrap();
    assert_eq!(accepted.status, StatusCode::NO_CONTENT);
    let start = Instant::now();
    client.get("/tickets/seats/1").await.unwrap();
    assert!(start.elapsed() >= Duration::from_millis(50));
    let bad = client.post("/standin/fault", "{}").await.unwrap();
    assert_eq!(bad.status, StatusCode::BAD_REQUEST);
}

#[tokio::test]
async fn a_posted_outage_ends() {
    let plain = common::plain().await;
    let mut client = Client::connect(plain.address).await;
    let command = r#"{"down":{"ms":100}}"#;
    let _ = client.post("/standin/fault", command).await;
    common::until_refused(plain.address).await;
    common::until_accepted(plain.address).await;
    let mut client = Client::connect(plain.address).await;
    assert!(client.get("/tickets/seats/1").await.is_ok());
}

#[tokio::test]
async fn a_delayed_answer_can_have_a_foreign_exchange() {
    let plain = common::plain().await;
    plain.shared.fault.set_plan(Plan {
        late_ms: 20,
        foreign: true,
        requests: Some(1),
        ..Plan::default()
    });
    let mut client = Client::connect(plain.address).await;
    let first = client.post("/tickets/buy", &buy("p1")).await.unwrap();
    assert_eq!(first.exchange.as_deref(), Some("foreign-exchange"));
    let second = client.post("/tickets/buy", &buy("p2")).await.unwrap();
    assert_eq!(second.exchange.as_deref(), Some("x1"));
}

#[tokio::test]
async fn a_truncated_stream_ends_without_the_done_event() {
    let options = engine::Options {
        token_time: Duration::ZERO,
        ..engine::Options::default()
    };
    let engine = common::engine(options).await;
    engine.handle.shared.fault.set_plan(Plan {
        truncated: true,
        ..Plan::default()
    });
    let mut client = Client::connect(engine.address).await;
    let body = chat("one", true);
    let answer = client.post("/v1/chat/completions", &body).await.unwrap();
    let text = String::from_utf8(answer.body.to_vec()).unwrap();
    assert!(text.starts_with("data: ") && !text.contains("[DONE]"));
}

#[tokio::test]
async fn a_cold_restart_clears_the_cache() {
    let options = engine::Options {
        warm_after: 1,
        cold_slots: 1,
        ..engine::Options::default()
    };
    let engine = common::engine(options).await;
    let mut client = Client::connect(engine.address).await;
    let body = chat("one", false);
    client.post("/v1/chat/completions", &body).await.unwrap();
    client.post("/v1/chat/completions", &body).await.unwrap();
    let before = engine.handle.shared.journal.snapshot().cached_tokens;
    engine.handle.restart_cold();
    client.post("/v1/chat/completions", &body).await.unwrap();
    let after = engine.handle.shared.journal.snapshot().cached_tokens;
    assert!(before > 0);
    assert_eq!(before, after);
}

#[rstest]
#[case(0, 2, 0)]
#[case(0, 3, 1)]
#[case(4, 5, 0)]
#[case(4, 6, 1)]
#[case(8, 20, 0)]
#[tokio::test]
async fn the_capacity_of_a_cold_engine_grows_with_each_answer(
    #[case] answers: u32,
    #[case] load: usize,
    #[case] overloads: u64,
) {
    let options = engine::Options {
        slots: 8,
        cold_slots: 2,
        warm_after: 8,
        ..engine::Options::default()
    };
    let engine = common::engine(options).await;
    let mut client = Client::connect(engine.address).await;
    for _ in 0..answers {
        let body = chat("one", false);
        client.post("/v1/chat/completions", &body).await.unwrap();
    }
    let calls = (0..load).map(|_| async {
        let mut client = Client::connect(engine.address).await;
        let body = chat("two", false);
        let _ = client.post("/v1/chat/completions", &body).await;
    });
    futures_util::future::join_all(calls).await;
    let journal = engine.handle.shared.journal.snapshot();
    assert_eq!(journal.overloads.min(1), overloads);
}

#[tokio::test]
async fn the_load_report_lags() {
    let options = engine::Options {
        token_time: Duration::from_millis(50),
        load_lag: Duration::from_millis(100),
        ..engine::Options::default()
    };
    let engine = common::engine(options).await;
    let mut busy = Client::connect(engine.address).await;
    let mut client = Client::connect(engine.address).await;
    tokio::time::sleep(Duration::from_millis(150)).await;
    let body = chat("one", false);
    let watch = async {
        common::until(|| engine.handle.shared.journal.snapshot().running == 1).await;
        let early = client.get("/load").await.unwrap().body;
        tokio::time::sleep(Duration::from_millis(250)).await;
        let late = client.get("/load").await.unwrap().body;
        (early, late)
    };
    let (answer, (early, late)) = tokio::join!(busy.post("/v1/chat/completions", &body), watch);
    assert!(answer.is_ok());
    assert_eq!(early, r#"{"running":0,"queued":0}"#);
    assert_eq!(late, r#"{"running":1,"queued":0}"#);
}
