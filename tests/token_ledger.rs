//! What a ledger decides, one case at a time.

use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use masticmoor::ident;
use masticmoor::outcome::Code;
use masticmoor::outcome::Outcome;
use masticmoor::outcome::Refusal;
use masticmoor::token::Completion;
use masticmoor::token::Decision;
use masticmoor::token::Fault;
use masticmoor::token::Key;
use masticmoor::token::Ledger;
use masticmoor::token::Limits;
use masticmoor::token::Response;
use masticmoor::token::Settlement;
use masticmoor::token::Token;
use masticmoor::token::allows_new_token;
use masticmoor::token::fingerprint::Request;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::fixture;
use rstest::rstest;
use tokio::time::Instant;

const LIMITS: Limits = Limits {
    lifetime: Duration::from_secs(10),
    retention: Duration::from_secs(30),
    capacity: 4,
    kept_bytes: 2_000,
    kept_answer_bytes: 1_500,
};

/// A ledger, and the time at which it starts.
struct Desk {
    ledger: Ledger,
    start: Instant,
}

impl Desk {
    fn at(&self, seconds: u64) -> Instant {
        self.start + Duration::from_secs(seconds)
    }

    fn issue(&mut self) -> Token {
        self.ledger.issue(self.start).expect("room for a token")
    }

    fn run(&mut self, token: &Token, completion: Completion) -> Settlement {
        match self.ledger.spend(self.start, token, 1) {
            Decision::Run(lease) => self.ledger.settle(self.start, lease, completion),
            other => panic!("{other:?}"),
        }
    }
}

fn ledger(host: &str, start: u64, seed: u64, now: Instant) -> Result<Ledger, Fault> {
    let key = Key::new(&mut StdRng::seed_from_u64(seed));
    Ledger::new(now, host.into(), start, key, LIMITS)
}

#[fixture]
fn desk() -> Desk {
    let start = Instant::now();
    let ledger = ledger("a", 1, 1, start).expect("a short name");
    Desk { ledger, start }
}

fn answer(length: usize) -> Response {
    Response {
        status: StatusCode::CREATED,
        headers: HeaderMap::new(),
        body: Bytes::from(vec![7; length]),
    }
}

fn refused(outcome: Outcome, code: Code) -> Decision {
    let refusal = Refusal::not_run(code);
    Decision::Refuse(Refusal { outcome, ..refusal })
}

#[rstest]
fn a_token_runs_once_and_repeats_join_then_replay(mut desk: Desk) {
    let token = desk.issue();
    let Decision::Run(lease) = desk.ledger.spend(desk.start, &token, 1) else {
        panic!("the first use runs");
    };
    let joined = desk.ledger.spend(desk.start, &token, 1);
    assert_eq!(joined, Decision::Join(lease.id()));
    let completion = Completion::Answered(answer(10));
    let Settlement::Answered(kept) = desk.ledger.settle(desk.start, lease, completion) else {
        panic!("an answer settles as one");
    };
    let late = desk.ledger.spend(desk.at(39), &token, 1);
    assert_eq!(late, Decision::Replay(kept));
}

#[rstest]
#[case::proven(
    Refusal::not_run(Code::Full),
    refused(Outcome::NotRun, Code::TokenExpired)
)]
#[case::maybe(
    Refusal::unknown(Code::UpstreamLost),
    refused(Outcome::Unknown, Code::UpstreamLost)
)]
fn a_refused_run_is_final(mut desk: Desk, #[case] end: Refusal, #[case] repeat: Decision) {
    let token = desk.issue();
    let settled = desk.run(&token, Completion::Refused(end.clone()));
    assert_eq!(settled, Settlement::Refused(end));
    assert_eq!(desk.ledger.spend(desk.at(1), &token, 1), repeat);
}

#[rstest]
#[case::streamed(Completion::Streamed)]
#[case::too_long(Completion::Answered(answer(1_501)))]
fn an_answer_not_kept_is_never_called_not_run(mut desk: Desk, #[case] completion: Completion) {
    let token = desk.issue();
    desk.run(&token, completion);
    let repeat = desk.ledger.spend(desk.at(1), &token, 1);
    assert_eq!(repeat, refused(Outcome::Unknown, Code::AnswerDropped));
}

#[rstest]
fn the_oldest_answer_goes_first(mut desk: Desk) {
    let (first, second) = (desk.issue(), desk.issue());
    desk.run(&first, Completion::Answered(answer(1_000)));
    desk.run(&second, Completion::Answered(answer(1_000)));
    let repeat = desk.ledger.spend(desk.start, &first, 1);
    assert_eq!(repeat, refused(Outcome::Unknown, Code::AnswerDropped));
    let repeat = desk.ledger.spend(desk.start, &second, 1);
    assert!(matches!(repeat, Decision::Replay(_)));
    assert!(desk.ledger.size().bytes <= 2_000);
}

#[rstest]
#[case::just_in_time(9, None)]
#[case::expired(10, Some(Outcome::NotRun))]
#[case::remembered(39, Some(Outcome::NotRun))]
#[case::forgotten(40, Some(Outcome::Unknown))]
fn an_unused_token_ages(mut desk: Desk, #[case] age: u64, #[case] outcome: Option<Outcome>) {
    let token = desk.issue();
    let now = desk.at(age);
    desk.ledger.sweep(now);
    let spend = desk.ledger.spend(now, &token, 1);
    match outcome {
        Some(outcome) => assert_eq!(spend, refused(outcome, Code::TokenExpired)),
        None => assert!(matches!(spend, Decision::Run(_))),
    }
}

#[rstest]
fn a_caller_woken_late_with_an_old_time_runs_nothing(mut desk: Desk) {
    let token = desk.issue();
    desk.run(&token, Completion::Answered(answer(1)));
    desk.ledger.sweep(desk.at(100));
    let late = desk.ledger.spend(desk.start, &token, 1);
    assert_eq!(late, refused(Outcome::Unknown, Code::TokenExpired));
}

#[rstest]
fn a_running_request_outlives_its_token(mut desk: Desk) {
    let token = desk.issue();
    let Decision::Run(lease) = desk.ledger.spend(desk.start, &token, 1) else {
        panic!("the first use runs");
    };
    desk.ledger.sweep(desk.at(100));
    let repeat = desk.ledger.spend(desk.at(100), &token, 1);
    assert_eq!(repeat, Decision::Join(lease.id()));
    let _ = desk
        .ledger
        .settle(desk.at(100), lease, Completion::Streamed);
    desk.ledger.sweep(desk.at(100));
    assert_eq!(desk.ledger.size().tokens, 0);
}

#[rstest]
fn another_request_never_runs_on_a_used_token(mut desk: Desk) {
    let token = desk.issue();
    desk.run(&token, Completion::Refused(Refusal::not_run(Code::Full)));
    let other = desk.ledger.spend(desk.start, &token, 2);
    assert_eq!(other, refused(Outcome::NotRun, Code::TokenMismatch));
}

#[rstest]
#[case::tag(|token: &mut Token| token.tag = [0; 16], Outcome::NotRun, Code::TokenForged)]
#[case::expiry(|token: &mut Token| token.expires += 1, Outcome::NotRun, Code::TokenForged)]
#[case::sequence(|token: &mut Token| token.sequence += 1, Outcome::NotRun, Code::TokenForged)]
#[case::incarnation(|token: &mut Token| token.start += 1, Outcome::Unknown, Code::IssuerLost)]
#[case::host(|token: &mut Token| token.issuer = "b".into(), Outcome::Unknown, Code::IssuerLost)]
fn a_changed_token_runs_nothing(
    mut desk: Desk,
    #[case] change: fn(&mut Token),
    #[case] outcome: Outcome,
    #[case] code: Code,
) {
    let mut token = desk.issue();
    change(&mut token);
    let spend = desk.ledger.spend(desk.start, &token, 1);
    assert_eq!(spend, refused(outcome, code));
}

#[rstest]
fn a_replacement_with_the_same_name_and_start_but_another_key_runs_nothing(mut desk: Desk) {
    let token = desk.issue();
    let mut other = ledger("a", 1, 2, desk.start).expect("a short name");
    let spend = other.spend(desk.start, &token, 1);
    assert_eq!(spend, refused(Outcome::NotRun, Code::TokenForged));
}

#[rstest]
fn tokens_are_issued_up_to_the_limit_and_again_when_old_ones_are_forgotten(mut desk: Desk) {
    for _ in 0..4 {
        desk.issue();
    }
    let wait = Duration::from_secs(40);
    let full = Refusal::not_run(Code::TooManyRequests).after(wait);
    assert_eq!(desk.ledger.issue(desk.start), Err(full));
    desk.ledger.sweep(desk.at(40));
    assert!(desk.ledger.issue(desk.at(40)).is_ok());
}

#[rstest]
fn a_closed_ledger_serves_its_tokens_until_they_expire(mut desk: Desk) {
    let (used, unused) = (desk.issue(), desk.issue());
    desk.ledger.close();
    let refusal = Refusal::not_run(Code::ShuttingDown);
    assert_eq!(desk.ledger.issue(desk.start), Err(refusal));
    desk.run(&used, Completion::Streamed);
    assert!(!desk.ledger.is_drained(desk.at(9)));
    assert!(desk.ledger.is_drained(desk.at(10)));
    let late = desk.ledger.spend(desk.start, &unused, 1);
    assert_eq!(late, refused(Outcome::NotRun, Code::TokenExpired));
}

#[rstest]
fn a_host_name_that_fits_no_token_is_told() {
    let name = "x".repeat(254);
    let fault = ledger(&name, 1, 1, Instant::now()).map(|_| ()).unwrap_err();
    assert_eq!(fault, Fault::HostLength { length: 254 });
}

#[rstest]
#[case("w", "POST", "/a", "b")]
#[case("v", "PUT", "/a", "b")]
#[case("v", "POST", "/ab", "")]
#[case("v", "POST", "/a", "c")]
fn any_part_changes_the_fingerprint(
    #[case] workspace: &str,
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let print = |workspace: &str, method, path, body: &str| {
        let workspace = &ident::Workspace::from(workspace);
        let body = body.as_bytes();
        Request {
            workspace,
            method,
            path,
            body,
        }
        .fingerprint()
    };
    let first = print("v", "POST", "/a", "b");
    assert_ne!(print(workspace, method, path, body), first);
    assert_eq!(print("v", "POST", "/a", "b"), first);
}

#[rstest]
#[case::proven(Refusal::not_run(Code::Full), true)]
#[case::expired(Refusal::not_run(Code::TokenExpired), true)]
#[case::maybe(Refusal::unknown(Code::TokenExpired), false)]
#[case::garbled(Refusal::not_run(Code::TokenForged), false)]
#[case::changed(Refusal::not_run(Code::TokenMismatch), false)]
fn a_new_token_goes_only_where_nothing_may_have_run(#[case] refusal: Refusal, #[case] yes: bool) {
    assert_eq!(allows_new_token(&refusal), yes);
}
