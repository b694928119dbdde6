//! Decisions of a single ledger. Guards against a second run under a token that
//! was used, expired, removed or modified, and against "not run" for a request
//! that may have run.

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

/// A ledger and the time at which it starts.
struct Fixture {
    ledger: Ledger,
    start: Instant,
}

impl Fixture {
    fn at(&self, seconds: u64) -> Instant {
        self.start + Duration::from_secs(seconds)
    }

    fn issue(&mut self) -> Token {
        self.ledger
            .issue(self.start)
            .expect("the ledger should have room for a token")
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
fn host() -> Fixture {
    let start = Instant::now();
    let ledger = ledger("a", 1, 1, start).expect("the host name should fit into a token");
    Fixture { ledger, start }
}

fn response(length: usize) -> Response {
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
fn a_token_runs_once_and_repeats_join_and_then_replay(mut host: Fixture) {
    let token = host.issue();
    let Decision::Run(lease) = host.ledger.spend(host.start, &token, 1) else {
        panic!("the first use should run");
    };
    let joined = host.ledger.spend(host.start, &token, 1);
    assert_eq!(joined, Decision::Join(lease.id()));
    let completion = Completion::Answered(response(10));
    let Settlement::Answered(response) = host.ledger.settle(host.start, lease, completion) else {
        panic!("an answered request should settle as answered");
    };
    let late = host.ledger.spend(host.at(39), &token, 1);
    assert_eq!(late, Decision::Replay(response));
}

#[rstest]
#[case::proven(
    Refusal::not_run(Code::Full),
    refused(Outcome::NotRun, Code::TokenExpired)
)]
#[case::unknown(
    Refusal::unknown(Code::UpstreamLost),
    refused(Outcome::Unknown, Code::UpstreamLost)
)]
fn a_refused_run_is_final(mut host: Fixture, #[case] end: Refusal, #[case] repeat: Decision) {
    let token = host.issue();
    let settlement = host.run(&token, Completion::Refused(end.clone()));
    assert_eq!(settlement, Settlement::Refused(end));
    assert_eq!(host.ledger.spend(host.at(1), &token, 1), repeat);
}

#[rstest]
#[case::streamed(Completion::Streamed)]
#[case::too_long_to_store(Completion::Answered(response(1_501)))]
fn a_repeat_without_stored_response_ends_unknown(mut host: Fixture, #[case] end: Completion) {
    let token = host.issue();
    host.run(&token, end);
    let repeat = host.ledger.spend(host.at(1), &token, 1);
    assert_eq!(repeat, refused(Outcome::Unknown, Code::AnswerDropped));
}

#[rstest]
fn the_oldest_response_is_evicted_first(mut host: Fixture) {
    let (first, second) = (host.issue(), host.issue());
    host.run(&first, Completion::Answered(response(1_000)));
    host.run(&second, Completion::Answered(response(1_000)));
    let repeat = host.ledger.spend(host.start, &first, 1);
    assert_eq!(repeat, refused(Outcome::Unknown, Code::AnswerDropped));
    let repeat = host.ledger.spend(host.start, &second, 1);
    assert!(matches!(repeat, Decision::Replay(_)));
    assert!(host.ledger.size().bytes <= 2_000);
}

#[rstest]
#[case::valid(9, None)]
#[case::expired(10, Some(Outcome::NotRun))]
#[case::remembered(39, Some(Outcome::NotRun))]
#[case::forgotten(40, Some(Outcome::Unknown))]
fn an_unused_token_runs_until_it_expires(
    mut host: Fixture,
    #[case] age: u64,
    #[case] outcome: Option<Outcome>,
) {
    let token = host.issue();
    let now = host.at(age);
    host.ledger.sweep(now);
    let decision = host.ledger.spend(now, &token, 1);
    match outcome {
        Some(outcome) => assert_eq!(decision, refused(outcome, Code::TokenExpired)),
        None => assert!(matches!(decision, Decision::Run(_))),
    }
}

/// A task reads the clock, is suspended until the token was removed, and then
/// spends the token with the time it read.
#[rstest]
fn a_removed_token_does_not_run_for_a_task_with_an_old_time(mut host: Fixture) {
    let token = host.issue();
    host.run(&token, Completion::Answered(response(1)));
    host.ledger.sweep(host.at(100));
    let late = host.ledger.spend(host.start, &token, 1);
    assert_eq!(late, refused(Outcome::Unknown, Code::TokenExpired));
}

#[rstest]
fn the_token_of_a_running_request_is_not_removed(mut host: Fixture) {
    let token = host.issue();
    let Decision::Run(lease) = host.ledger.spend(host.start, &token, 1) else {
        panic!("the first use should run");
    };
    host.ledger.sweep(host.at(100));
    let repeat = host.ledger.spend(host.at(100), &token, 1);
    assert_eq!(repeat, Decision::Join(lease.id()));
    let _ = host
        .ledger
        .settle(host.at(100), lease, Completion::Streamed);
    host.ledger.sweep(host.at(100));
    assert_eq!(host.ledger.size().tokens, 0);
}

#[rstest]
fn another_request_does_not_run_under_a_used_token(mut host: Fixture) {
    let token = host.issue();
    host.run(&token, Completion::Refused(Refusal::not_run(Code::Full)));
    let other = host.ledger.spend(host.start, &token, 2);
    assert_eq!(other, refused(Outcome::NotRun, Code::TokenMismatch));
}

#[rstest]
#[case::tag(|token: &mut Token| token.tag = [0; 16], Outcome::NotRun, Code::TokenForged)]
#[case::expiry(|token: &mut Token| token.expires += 1, Outcome::NotRun, Code::TokenForged)]
#[case::sequence(|token: &mut Token| token.sequence += 1, Outcome::NotRun, Code::TokenForged)]
#[case::incarnation(|token: &mut Token| token.start += 1, Outcome::Unknown, Code::IssuerLost)]
#[case::host(|token: &mut Token| token.issuer = "b".into(), Outcome::Unknown, Code::IssuerLost)]
fn a_modified_token_does_not_run(
    mut host: Fixture,
    #[case] change: fn(&mut Token),
    #[case] outcome: Outcome,
    #[case] code: Code,
) {
    let mut token = host.issue();
    change(&mut token);
    let decision = host.ledger.spend(host.start, &token, 1);
    assert_eq!(decision, refused(outcome, code));
}

#[rstest]
fn a_token_does_not_run_at_an_issuer_with_the_same_name_and_start_but_another_key(
    mut host: Fixture,
) {
    let token = host.issue();
    let mut other = ledger("a", 1, 2, host.start).expect("the host name should fit into a token");
    let decision = other.spend(host.start, &token, 1);
    assert_eq!(decision, refused(Outcome::NotRun, Code::TokenForged));
}

#[rstest]
fn no_token_is_issued_at_capacity_until_old_ones_are_removed(mut host: Fixture) {
    for _ in 0..4 {
        host.issue();
    }
    let wait = Duration::from_secs(40);
    let full = Refusal::not_run(Code::TooManyRequests).with_retry_after(wait);
    assert_eq!(host.ledger.issue(host.start), Err(full));
    host.ledger.sweep(host.at(40));
    assert!(host.ledger.issue(host.at(40)).is_ok());
}

#[rstest]
fn a_closed_ledger_serves_its_tokens_until_they_expire(mut host: Fixture) {
    let (used, unused) = (host.issue(), host.issue());
    host.ledger.close();
    let refusal = Refusal::not_run(Code::ShuttingDown);
    assert_eq!(host.ledger.issue(host.start), Err(refusal));
    host.run(&used, Completion::Streamed);
    assert!(!host.ledger.is_drained(host.at(9)));
    assert!(host.ledger.is_drained(host.at(10)));
    let late = host.ledger.spend(host.start, &unused, 1);
    assert_eq!(late, refused(Outcome::NotRun, Code::TokenExpired));
}

#[rstest]
fn a_host_name_too_long_for_a_token_is_a_fault() {
    let name = "x".repeat(254);
    let fault = ledger(&name, 1, 1, Instant::now()).map(|_| ()).unwrap_err();
    assert_eq!(fault, Fault::HostLength { length: 254 });
}

#[rstest]
#[case("w", "POST", "/a", "b")]
#[case("v", "PUT", "/a", "b")]
#[case("v", "POST", "/ab", "")]
#[case("v", "POST", "/a", "c")]
fn every_field_changes_the_fingerprint(
    #[case] workspace: &str,
    #[case] method: &str,
    #[case] path: &str,
    #[case] body: &str,
) {
    let fingerprint = |workspace: &str, method, path, body: &str| {
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
    let first = fingerprint("v", "POST", "/a", "b");
    assert_ne!(fingerprint(workspace, method, path, body), first);
    assert_eq!(fingerprint("v", "POST", "/a", "b"), first);
}

#[rstest]
#[case::proven(Refusal::not_run(Code::Full), true)]
#[case::expired(Refusal::not_run(Code::TokenExpired), true)]
#[case::unknown(Refusal::unknown(Code::TokenExpired), false)]
#[case::corrupted(Refusal::not_run(Code::TokenForged), false)]
#[case::other_body(Refusal::not_run(Code::TokenMismatch), false)]
fn a_new_token_needs_proof_that_nothing_ran(#[case] refusal: Refusal, #[case] allowed: bool) {
    assert_eq!(allows_new_token(&refusal), allowed);
}
