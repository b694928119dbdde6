//! The load tool detects wrong responses, follows the token protocol and
//! audits purchases; otherwise a run could hide a fault of the fleet.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use common::Reply;
use common::start_entry;
use http::Request;
use http::StatusCode;
use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use rstest::rstest;
use standin::answer;
use standin::answer::Receipt;
use standin::caller;
use standin::caller::Options;
use standin::caller::Pace;
use standin::caller::call::Call;
use standin::caller::check;
use standin::caller::completion::Verdict;
use standin::caller::mix::Mix;
use standin::caller::policy::Policy;
use standin::caller::pool::Pool;
use standin::caller::tally::Report;
use standin::engine;
use standin::fault::Plan;
use standin::fault::Reset;
use tokio_util::sync::CancellationToken;

fn options(entries: Vec<SocketAddr>) -> Options {
    Options {
        entries,
        direct: false,
        pace: Pace::Closed(4),
        duration: Duration::from_millis(300),
        mix: Mix::default(),
        workspaces: vec!["one".to_owned(), "two".to_owned()],
        model: "assistant".to_owned(),
        timeout: Duration::from_millis(200),
        journals: Vec::new(),
        seed: 1,
    }
}

async fn direct(address: SocketAddr, mix: &str) -> Report {
    let options = Options {
        direct: true,
        mix: mix.parse().unwrap(),
        journals: vec![address],
        timeout: Duration::from_secs(5),
        ..options(vec![address])
    };
    caller::run(&options, CancellationToken::new())
        .await
        .unwrap()
}

fn purchase(id: &str) -> Call {
    let purchase = answer::Purchase {
        id: id.to_owned(),
        seat: 3,
        buyer: "parent".to_owned(),
    };
    Call::purchase("one".to_owned(), purchase)
}

#[rstest]
#[case("chat=1")]
#[case("stream=1")]
#[tokio::test]
async fn repeated_chats_hit_the_prompt_cache(#[case] mix: &str) {
    let options = engine::Options {
        cold_slots: 8,
        ..engine::Options::default()
    };
    let engine = common::engine(options).await;
    let report = direct(engine.address, mix).await;
    assert!(report.is_sound());
    assert!(report.rows.iter().all(|row| row.answered == row.calls));
    assert!(report.rows.iter().any(|row| row.cached_tokens > 0));
}

#[tokio::test]
async fn lookups_and_purchases_are_audited() {
    let plain = common::plain().await;
    let report = direct(plain.address, "lookup=1,purchase=1").await;
    assert!(report.is_sound() && report.lookups_answered());
    let finding = report.finding.unwrap();
    assert!(finding.purchases > 0);
    assert_eq!(finding.ran_once, finding.purchases);
}

/// The upstream resets the connection after it ran the purchase. In direct mode
/// there is no token, so the retry runs it again, and the audit must report that.
#[tokio::test]
async fn a_retry_without_a_token_is_reported_as_doubled() {
    let plain = common::plain().await;
    plain.shared.fault.set_plan(Plan {
        reset: Some(Reset::AfterRun),
        requests: Some(1),
        ..Plan::default()
    });
    let report = direct(plain.address, "purchase=1").await;
    assert_eq!(report.finding.unwrap().doubled, 1);
    assert!(!report.is_sound());
}

#[tokio::test]
async fn a_duplicated_response_is_wrong() {
    let plain = common::plain().await;
    plain.shared.fault.set_plan(Plan {
        duplicated: true,
        requests: Some(1),
        ..Plan::default()
    });
    let report = direct(plain.address, "lookup=1").await;
    assert_eq!(report.rows.iter().map(|row| row.wrong).sum::<u64>(), 1);
}

#[test]
fn a_stream_without_its_end_marker_is_incomplete() {
    let chat = caller::call::Chat {
        name: "c1".to_owned(),
        workspace: "one".to_owned(),
        class: masticmoor::class::Class::Interactive,
        messages: Vec::new(),
    };
    let call = Call::chat(chat, "assistant", true);
    assert_eq!(check::check(&call, b""), Err(check::Error::Incomplete));
    let broken = b"\n\nevent: error\ndata: {\"code\":\"answer-cut\"}\n\n";
    assert_eq!(check::check(&call, broken), Err(check::Error::BrokenOff));
    let end = b"data: [DONE]\n\ndata: [DONE]\n\n";
    assert_eq!(check::check(&call, end), Err(check::Error::Trailing));
}

/// The first purchase needs two attempts, since it has no token yet. The second
/// one uses the token that came with the response to the first.
#[tokio::test]
async fn a_purchase_fetches_a_token_and_stores_the_next() {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let keys = Arc::clone(&seen);
    let entry = start_entry(move |request| {
        let key = common::token_of(request);
        keys.lock().unwrap().push(key.clone());
        match key {
            None => Reply::refuse(Outcome::NotRun, Code::TokenRequired).token("t1"),
            Some(_) => sell(request).token("t2"),
        }
    })
    .await;
    let options = options(vec![entry.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    let first = policy.complete(&purchase("p1")).await;
    assert_eq!((first.verdict, first.attempts), (Verdict::Answered, 2));
    let second = policy.complete(&purchase("p2")).await;
    assert_eq!((second.verdict, second.attempts), (Verdict::Answered, 1));
    let keys = seen.lock().unwrap().clone();
    let texts: Vec<_> = keys.iter().map(Option::as_deref).collect();
    assert_eq!(texts, [None, Some("t1"), Some("t2")]);
}

/// A retry under a second token could run the purchase twice.
#[tokio::test]
async fn an_unknown_purchase_is_retried_under_one_token() {
    let seen = Arc::new(Mutex::new(BTreeSet::new()));
    let keys = Arc::clone(&seen);
    let entry = start_entry(move |request| match common::token_of(request) {
        None => Reply::refuse(Outcome::NotRun, Code::TokenRequired).token("t1"),
        Some(key) => {
            keys.lock().unwrap().insert(key);
            Reply::refuse(Outcome::Unknown, Code::HomeLost).retry_after_ms(1)
        }
    })
    .await;
    let options = options(vec![entry.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    let completion = policy.complete(&purchase("p1")).await;
    assert_eq!(completion.verdict, Verdict::Unknown);
    assert!(completion.attempts > 3);
    assert_eq!(seen.lock().unwrap().len(), 1);
}

/// One entry takes the purchase and never responds; the other offers a new token
/// because the first one has expired. Using it could run the purchase twice.
#[tokio::test]
async fn a_purchase_that_may_have_run_is_not_retried_under_a_new_token() {
    let taken = Arc::new(Mutex::new(BTreeSet::new()));
    let bodies = Arc::clone(&taken);
    let silent = start_entry(move |request| match common::token_of(request) {
        None => Reply::refuse(Outcome::NotRun, Code::TokenRequired).token("t1"),
        Some(_) => {
            bodies.lock().unwrap().insert(request.body().clone());
            Reply::silent()
        }
    })
    .await;
    let other = start_entry(|request| match common::token_of(request).as_deref() {
        None => Reply::refuse(Outcome::NotRun, Code::TokenRequired).token("t2"),
        Some("t1") => Reply::refuse(Outcome::Unknown, Code::TokenExpired).token("t2"),
        Some(_) => sell(request),
    })
    .await;
    let options = options(vec![silent.address, other.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    let mut unknown = 0;
    for id in 0..8 {
        let call = purchase(&format!("p{id}"));
        let completion = policy.complete(&call).await;
        let may_have_run = taken.lock().unwrap().contains(&call.body);
        assert_eq!(completion.verdict == Verdict::Unknown, may_have_run);
        unknown += u32::from(may_have_run);
    }
    assert!(unknown > 0);
}

#[tokio::test]
async fn a_token_sent_with_not_run_replaces_the_previous_one() {
    let entry = start_entry(|request| match common::token_of(request).as_deref() {
        None => Reply::refuse(Outcome::NotRun, Code::TokenRequired).token("t1"),
        Some("t1") => Reply::refuse(Outcome::NotRun, Code::Full).token("t2"),
        Some("t2") => sell(request),
        Some(_) => Reply::with_status(StatusCode::OK),
    })
    .await;
    let options = options(vec![entry.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    let completion = policy.complete(&purchase("p1")).await;
    assert_eq!(completion.verdict, Verdict::Answered);
    assert_eq!(completion.attempts, 3);
}

#[tokio::test]
async fn a_refused_lookup_is_retried_at_another_entry() {
    let closed = common::closed_address().await;
    let full = start_entry(|_| Reply::refuse(Outcome::NotRun, Code::Full).retry_after_ms(1)).await;
    let open = start_entry(|_| {
        let body = serde_json::to_vec(&answer::Seat::of(5)).unwrap();
        Reply::answer(body.into())
    })
    .await;
    let options = options(vec![closed, full.address, open.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    for _ in 0..6 {
        let call = Call::lookup("one".to_owned(), 5);
        let completion = policy.complete(&call).await;
        assert_eq!(completion.verdict, Verdict::Answered);
    }
}

#[tokio::test]
async fn a_response_without_an_outcome_is_wrong() {
    let entry = start_entry(|_| Reply::with_status(StatusCode::OK)).await;
    let options = options(vec![entry.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    let completion = policy.complete(&Call::lookup("one".to_owned(), 5)).await;
    assert_eq!(completion.verdict, Verdict::Wrong);
}

#[rstest]
#[case("chat=1,lookup=0", true)]
#[case("chat=0", false)]
#[case("chat", false)]
#[case("talk=1", false)]
#[case("chat=many", false)]
fn a_mix_is_validated(#[case] text: &str, #[case] valid: bool) {
    assert_eq!(text.parse::<Mix>().is_ok(), valid);
}

fn sell(request: &Request<Bytes>) -> Reply {
    let purchase = serde_json::from_slice(request.body()).unwrap();
    let receipt = Receipt::of(&purchase, request.body());
    Reply::answer(serde_json::to_vec(&receipt).unwrap().into())
}
