//! An issuer shared by concurrent tasks. Guards against two runs under one token,
//! and against waits that never end because the lease was dropped or settled at
//! the moment another attempt joined it.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http::HeaderMap;
use http::StatusCode;
use masticmoor::outcome::Code;
use masticmoor::outcome::Refusal;
use masticmoor::token::Completion;
use masticmoor::token::Issuer;
use masticmoor::token::Key;
use masticmoor::token::Ledger;
use masticmoor::token::Limits;
use masticmoor::token::Response;
use masticmoor::token::Settlement;
use masticmoor::token::Token;
use masticmoor::token::issuer::Decision;
use masticmoor::token::issuer::Lease;
use masticmoor::token::waiter::Waiter;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rstest::rstest;
use tokio::task::JoinSet;
use tokio::time::Instant;
use tokio::time::sleep;

fn issuer() -> (Issuer, Token) {
    let key = Key::new(&mut StdRng::seed_from_u64(1));
    let ledger = Ledger::new(Instant::now(), "a".into(), 1, key, Limits::default());
    let issuer = Issuer::new(ledger.expect("the host name should fit into a token"));
    let token = issuer
        .issue(Instant::now())
        .expect("the ledger should have room for a token");
    (issuer, token)
}

fn run(issuer: &Issuer, token: &Token) -> Lease {
    match issuer.spend(Instant::now(), token, 1) {
        Decision::Run(lease) => lease,
        other => panic!("{other:?}"),
    }
}

fn join(issuer: &Issuer, token: &Token) -> Waiter {
    match issuer.spend(Instant::now(), token, 1) {
        Decision::Join(waiter) => waiter,
        other => panic!("{other:?}"),
    }
}

/// Makes one attempt; returns whether it ran the request, and the response.
async fn attempt(issuer: Issuer, token: Token, number: u8) -> (bool, Arc<Response>) {
    match issuer.spend(Instant::now(), &token, 1) {
        Decision::Run(lease) => {
            sleep(Duration::from_millis(5)).await;
            let response = Response {
                status: StatusCode::OK,
                headers: HeaderMap::new(),
                body: Bytes::from(vec![number]),
            };
            match lease.settle(Completion::Answered(response)) {
                Settlement::Answered(response) => (true, response),
                other => panic!("{other:?}"),
            }
        }
        Decision::Join(waiter) => match waiter.wait().await {
            Settlement::Answered(response) => (false, response),
            other => panic!("{other:?}"),
        },
        Decision::Replay(response) => (false, response),
        other => panic!("{other:?}"),
    }
}

#[rstest]
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn one_of_many_concurrent_attempts_runs_and_all_get_its_response() {
    for _ in 0..100 {
        let (issuer, token) = issuer();
        let attempts: JoinSet<_> = (0..16)
            .map(|number| attempt(issuer.clone(), token.clone(), number))
            .collect();
        let results = attempts.join_all().await;
        assert_eq!(results.iter().filter(|(ran, _)| *ran).count(), 1);
        assert!(
            results
                .iter()
                .all(|(_, response)| *response == results[0].1)
        );
    }
}

#[rstest]
#[tokio::test]
async fn a_dropped_lease_settles_as_unknown_for_all_waiters() {
    let (issuer, token) = issuer();
    let lease = run(&issuer, &token);
    let waiter = join(&issuer, &token);
    drop(lease);
    let lost = Refusal::unknown(Code::HomeLost);
    assert_eq!(waiter.wait().await, Settlement::Refused(lost.clone()));
    let repeat = issuer.spend(Instant::now(), &token, 1);
    assert!(matches!(repeat, Decision::Refuse(refusal) if refusal == lost));
}

#[rstest]
#[tokio::test]
async fn a_cancelled_wait_does_not_affect_other_waiters() {
    let (issuer, token) = issuer();
    let lease = run(&issuer, &token);
    let waiters = [join(&issuer, &token), join(&issuer, &token)];
    let [cancelled, remaining] = waiters;
    drop(cancelled);
    let refusal = Refusal::not_run(Code::Full);
    let _ = lease.settle(Completion::Refused(refusal.clone()));
    assert_eq!(remaining.wait().await, Settlement::Refused(refusal));
}

#[rstest]
#[tokio::test]
async fn a_wait_ends_when_the_issuer_is_dropped() {
    let (issuer, token) = issuer();
    let lease = run(&issuer, &token);
    let waiter = join(&issuer, &token);
    drop(issuer);
    drop(lease);
    let lost = Refusal::unknown(Code::HomeLost);
    assert_eq!(waiter.wait().await, Settlement::Refused(lost));
}
