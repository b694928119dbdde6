//! The load tool checks answers, keeps to the token protocol and audits.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

mod common;

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::Mutex;
use std::time::Duration;

use bytes::Bytes;
use common::Entry;
use common::script;
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
use standin::caller::ending::Verdict;
use standin::caller::link::Pool;
use standin::caller::mix::Mix;
use standin::caller::policy::Policy;
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
        lasts: Duration::from_millis(300),
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
async fn chats_return_to_an_engine(#[case] mix: &str) {
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

#[tokio::test]
async fn a_repeat_without_tokens_is_found_out() {
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
async fn a_duplicated_answer_is_wrong() {
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
fn a_stream_without_its_end_mark_is_incomplete() {
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

#[tokio::test]
async fn a_purchase_fetches_a_token_and_keeps_the_next() {
    let seen = Arc::new(Mutex::new(Vec::new()));
    let keys = Arc::clone(&seen);
    let entry = script(move |request| {
        let key = common::key(request);
        keys.lock().unwrap().push(key.clone());
        match key {
            None => Entry::refuse(Outcome::NotRun, Code::TokenRequired).token("t1"),
            Some(_) => sold(request).token("t2"),
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

#[tokio::test]
async fn an_unknown_purchase_is_repeated_with_one_token_only() {
    let seen = Arc::new(Mutex::new(BTreeSet::new()));
    let keys = Arc::clone(&seen);
    let entry = script(move |request| match common::key(request) {
        None => Entry::refuse(Outcome::NotRun, Code::TokenRequired).token("t1"),
        Some(key) => {
            keys.lock().unwrap().insert(key);
            Entry::refuse(Outcome::Unknown, Code::HomeLost).wait_ms(1)
        }
    })
    .await;
    let options = options(vec![entry.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    let ending = policy.complete(&purchase("p1")).await;
    assert_eq!(ending.verdict, Verdict::Unknown);
    assert!(ending.attempts > 3);
    assert_eq!(seen.lock().unwrap().len(), 1);
}

#[tokio::test]
async fn a_new_token_is_not_used_for_what_may_have_run() {
    let taken = Arc::new(Mutex::new(BTreeSet::new()));
    let bodies = Arc::clone(&taken);
    let silent = script(move |request| match common::key(request) {
        None => Entry::refuse(Outcome::NotRun, Code::TokenRequired).token("t1"),
        Some(_) => {
            bodies.lock().unwrap().insert(request.body().clone());
            Entry::silent()
        }
    })
    .await;
    let other = script(|request| match common::key(request).as_deref() {
        None => Entry::refuse(Outcome::NotRun, Code::TokenRequired).token("t2"),
        Some("t1") => Entry::refuse(Outcome::Unknown, Code::TokenExpired).token("t2"),
        Some(_) => sold(request),
    })
    .await;
    let options = options(vec![silent.address, other.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    let mut unknown = 0;
    for id in 0..8 {
        let call = purchase(&format!("p{id}"));
        let ending = policy.complete(&call).await;
        let may_have_run = taken.lock().unwrap().contains(&call.body);
        assert_eq!(ending.verdict == Verdict::Unknown, may_have_run);
        unknown += u32::from(may_have_run);
    }
    assert!(unknown > 0);
}

#[tokio::test]
async fn a_token_that_comes_with_not_run_takes_the_place_of_the_old() {
    let entry = script(|request| match common::key(request).as_deref() {
        None => Entry::refuse(Outcome::NotRun, Code::TokenRequired).token("t1"),
        Some("t1") => Entry::refuse(Outcome::NotRun, Code::Full).token("t2"),
        Some("t2") => sold(request),
        Some(_) => Entry::bare(StatusCode::OK),
    })
    .await;
    let options = options(vec![entry.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    let ending = policy.complete(&purchase("p1")).await;
    assert_eq!(ending.verdict, Verdict::Answered);
    assert_eq!(ending.attempts, 3);
}

#[tokio::test]
async fn a_refused_lookup_goes_to_another_entry() {
    let closed = common::closed_address().await;
    let full = script(|_| Entry::refuse(Outcome::NotRun, Code::Full).wait_ms(1)).await;
    let open = script(|_| {
        let body = serde_json::to_vec(&answer::Seat::of(5)).unwrap();
        Entry::answer(body.into())
    })
    .await;
    let options = options(vec![closed, full.address, open.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    for _ in 0..6 {
        let call = Call::lookup("one".to_owned(), 5);
        let ending = policy.complete(&call).await;
        assert_eq!(ending.verdict, Verdict::Answered);
    }
}

#[tokio::test]
async fn an_answer_without_an_outcome_is_wrong() {
    let entry = script(|_| Entry::bare(StatusCode::OK)).await;
    let options = options(vec![entry.address]);
    let policy = Policy::new(&options, Arc::new(Pool::new(options.timeout)));
    let ending = policy.complete(&Call::lookup("one".to_owned(), 5)).await;
    assert_eq!(ending.verdict, Verdict::Wrong);
}

#[rstest]
#[case("chat=1,lookup=0", true)]
#[case("chat=0", false)]
#[case("chat", false)]
#[case("talk=1", false)]
#[case("chat=many", false)]
fn a_mix_is_checked(#[case] text: &str, #[case] good: bool) {
    assert_eq!(text.parse::<Mix>().is_ok(), good);
}

fn sold(request: &Request<Bytes>) -> Entry {
    let purchase = serde_json::from_slice(request.body()).unwrap();
    let receipt = Receipt::of(&purchase, request.body());
    Entry::answer(serde_json::to_vec(&receipt).unwrap().into())
}
