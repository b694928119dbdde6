//! A purchase with a token runs at most once, no matter how often and through
//! which entries it is retried.

use std::time::Duration;

use futures_util::future::join_all;
use masticmoor::token::Token;
use standin::fault::Plan;
use standin::fleet::Fleet;
use standin::fleet::client;
use standin::fleet::probe;
use standin::fleet::shape::Shape;
use standin::fleet::until;

/// The time limit for a purchase to reach its upstream.
const STATE_LIMIT: Duration = Duration::from_secs(5);

fn shape(zones: usize) -> Shape {
    Shape::zones(zones, 3, 0, 1).warm().with_long_timeouts()
}

#[tokio::test(flavor = "multi_thread")]
async fn a_token_repeated_through_every_entry_at_once_runs_once() {
    let fleet = Fleet::start_ready(shape(2)).await.unwrap();
    let late = Plan {
        late_ms: 300,
        ..Plan::default()
    };
    fleet
        .upstreams()
        .for_each(|(_, it)| it.fault.set_plan(late.clone()));
    for (at, issuer) in fleet.hosts.keys().enumerate() {
        let token = client::token(fleet.caller(issuer).unwrap()).await.unwrap();
        let call = probe::buy(issuer, at as u64);
        let entries = fleet.hosts.keys().cycle().take(18);
        let pending = entries.map(|entry| {
            let (address, call, token) = (fleet.caller(entry).unwrap(), &call, &token);
            async move { probe::send(address, call, Some(token)).await.unwrap() }
        });
        for reply in join_all(pending).await {
            assert!(reply.is_answer(&call), "{reply:?}");
        }
        assert_eq!(fleet.runs(&call).len(), 1);
    }
}

/// Only the issuer knows whether a token was used, and this knowledge is lost with
/// its process.
#[tokio::test(flavor = "multi_thread")]
async fn a_token_of_a_killed_or_replaced_issuer_is_unknown_and_runs_nothing_more() {
    let mut fleet = Fleet::start_ready(shape(1)).await.unwrap();
    let late = Plan {
        late_ms: 2_000,
        ..Plan::default()
    };
    fleet.plains["z1-t1"].fault.set_plan(late);
    let home = fleet.home("z1-t1").unwrap().to_owned();
    let others: Vec<_> = fleet
        .hosts
        .keys()
        .filter(|host| **host != home)
        .cloned()
        .collect();
    let (issuer, entry) = (&others[0], &others[1]);
    let token = client::token(fleet.caller(issuer).unwrap()).await.unwrap();
    let unused = client::token(fleet.caller(issuer).unwrap()).await.unwrap();
    let call = probe::buy("once", 1);
    let address = fleet.caller(entry).unwrap();
    let (first, with) = (call.clone(), token.clone());
    let first = tokio::spawn(async move { probe::send(address, &first, Some(&with)).await });
    let runs = || fleet.runs(&call).len() == 1;
    until("the purchase runs", STATE_LIMIT, runs).await.unwrap();
    fleet.kill(issuer).unwrap();
    let mut replies = vec![first.await.unwrap().unwrap()];
    for round in 0..2 {
        for token in [&token, &unused] {
            replies.push(probe::send(address, &call, Some(token)).await.unwrap());
        }
        if round == 0 {
            fleet.restart(issuer).await.unwrap();
            fleet.ready().await.unwrap();
        }
    }
    for reply in &replies {
        assert_eq!(
            (reply.outcome.as_str(), &reply.token),
            ("unknown", &None),
            "{reply:?}"
        );
    }
    assert_eq!(fleet.runs(&call).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_token_of_a_partitioned_issuer_is_unknown_until_the_partition_heals() {
    let fleet = Fleet::start_ready(shape(1)).await.unwrap();
    let home = fleet.home("z1-t1").unwrap();
    let issuer = fleet.hosts.keys().find(|host| *host != home).unwrap();
    let token = client::token(fleet.caller(issuer).unwrap()).await.unwrap();
    let call = probe::buy("cut", 1);
    let address = fleet.caller(home).unwrap();
    fleet.partition(|host| host == issuer);
    let reply = probe::send(address, &call, Some(&token)).await.unwrap();
    assert_eq!((reply.outcome.as_str(), reply.token), ("unknown", None));
    assert!(reply.retry_after.is_some());
    fleet.heal();
    fleet.ready().await.unwrap();
    let reply = probe::send(address, &call, Some(&token)).await.unwrap();
    assert!(reply.is_answer(&call), "{reply:?}");
    assert_eq!(fleet.runs(&call).len(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_forged_or_mismatched_token_is_not_renewed_and_an_expired_one_is() {
    let mut shape = shape(1);
    shape.tune = |options| {
        options.peer.lease = Duration::from_secs(2);
        options.token.lifetime = Duration::from_millis(1_500);
    };
    let fleet = Fleet::start_ready(shape).await.unwrap();
    let addresses: Vec<_> = fleet
        .hosts
        .keys()
        .map(|host| fleet.caller(host).unwrap())
        .collect();
    let token = client::token(addresses[0]).await.unwrap();
    let stale = client::token(addresses[0]).await.unwrap();
    let (call, other) = (probe::buy("one", 1), probe::buy("one", 2));
    let reply = probe::send(addresses[1], &call, Some(&token))
        .await
        .unwrap();
    assert!(reply.is_answer(&call) && reply.token.is_some(), "{reply:?}");
    let parsed = Token::parse(&token).unwrap();
    let mut tag = parsed.tag;
    tag[0] ^= 1;
    let forged = Token {
        tag,
        ..parsed.clone()
    };
    let foreign = Token {
        issuer: "nobody".into(),
        ..parsed
    };
    let (forged, foreign) = (forged.to_string(), foreign.to_string());
    tokio::time::sleep(Duration::from_millis(1_600)).await;
    for address in addresses {
        let cases = [
            (&other, &token, 422, "token-mismatch", "not-run", false),
            (&call, &forged, 400, "token-forged", "not-run", false),
            // The issuer is unknown, so no host can tell whether it ran.
            (&call, &foreign, 503, "issuer-lost", "unknown", false),
            (&other, &stale, 428, "token-expired", "not-run", true),
        ];
        for (call, token, status, code, outcome, has_token) in cases {
            let reply = probe::send(address, call, Some(token)).await.unwrap();
            assert_eq!(
                (reply.status, reply.code.as_str()),
                (status, code),
                "{reply:?}"
            );
            assert_eq!(
                (reply.outcome.as_str(), reply.token.is_some()),
                (outcome, has_token)
            );
        }
        let none = probe::send(address, &other, None).await.unwrap();
        assert_eq!((none.status, none.code.as_str()), (428, "token-required"));
        assert!(none.token.is_some());
    }
    assert_eq!((fleet.runs(&call).len(), fleet.runs(&other).len()), (1, 0));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_workspace_that_requests_many_tokens_leaves_some_for_others() {
    let mut shape = shape(1);
    shape.workspaces = [(probe::WORKSPACE.to_owned(), 1)].into();
    shape.tune = |options| {
        options.peer.lease = Duration::from_secs(2);
        options.token.count = 400;
    };
    let fleet = Fleet::start_ready(shape).await.unwrap();
    let address = fleet.caller("z1-h1").unwrap();
    let call = probe::buy("many", 1);
    for _ in 0..4 {
        let reply = probe::send(address, &call, None).await.unwrap();
        assert_eq!((reply.status, reply.token.is_some()), (428, true));
    }
    let reply = probe::send(address, &call, None).await.unwrap();
    assert_eq!((reply.status, reply.outcome.as_str()), (429, "not-run"));
    assert!(reply.retry_after.is_some() && reply.token.is_none());
    // This request names no workspace, so it uses the share of the unlisted.
    assert!(!client::token(address).await.unwrap().is_empty());
}
