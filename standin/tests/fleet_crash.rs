//! A request that crashes its upstreams is refused after two, and those that
//! ran beside it are answered.

use std::time::Duration;

use futures_util::future::join_all;
use standin::fault::Plan;
use standin::fleet::Fleet;
use standin::fleet::probe;
use standin::fleet::shape::Kind;
use standin::fleet::shape::Shape;
use standin::fleet::until;

/// A text that crashes every upstream that runs it.
const MARKER: &str = "crash-me";

/// Within what all entries of a zone know of a request that crashes.
const SOON: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_two_upstreams_is_refused_and_innocents_are_answered() {
    let mut shape = Shape::zones(1, 3, 4, 0).warm().patient();
    for upstream in shape.upstreams.values_mut() {
        if let Kind::Engine(options) = &mut upstream.kind {
            options.token_time = Duration::from_millis(20);
        }
    }
    let fleet = Fleet::serving(shape).await.unwrap();
    for engine in fleet.engines.values() {
        engine.shared.fault.set_plan(Plan {
            marker: Some(MARKER.to_owned()),
            crash_ms: 1_000,
            ..Plan::default()
        });
    }
    let addresses: Vec<_> = fleet
        .hosts
        .keys()
        .map(|host| fleet.caller(host).unwrap())
        .collect();
    let innocents: Vec<_> = (0..12)
        .map(|at| probe::chat(&format!("chat-{at}"), &format!("question {at}"), false))
        .collect();
    let guilty = probe::chat("guilty", MARKER, false);
    let asked = innocents.iter().zip(addresses.iter().cycle());
    let asked = join_all(asked.map(|(call, address)| probe::ask(*address, call, None)));
    let crash = async {
        let running = || {
            let engines = fleet.engines.values();
            engines
                .map(|it| it.shared.journal.snapshot().running)
                .sum::<u64>()
                >= 6
        };
        until("innocents run", SOON, running).await.unwrap();
        probe::ask(addresses[0], &guilty, None).await
    };
    let (seen, crashed) = tokio::join!(asked, crash);
    for (call, seen) in innocents.iter().zip(seen) {
        let seen = seen.unwrap();
        assert!(seen.is_answer(call), "{seen:?}");
    }
    let crashed = crashed.unwrap();
    assert_eq!(
        (crashed.status, crashed.code.as_str()),
        (422, "quarantined")
    );
    assert_eq!(crashed.outcome, "unknown");
    let known = || {
        let mut hosts = fleet.hosts.values();
        hosts.all(|host| host.quarantines(&guilty))
    };
    until("all entries know", SOON, known).await.unwrap();
    for address in &addresses {
        let seen = probe::ask(*address, &guilty, None).await.unwrap();
        assert_eq!(
            (seen.status, seen.code.as_str()),
            (422, "quarantined"),
            "{seen:?}"
        );
        assert_eq!(seen.outcome, "not-run");
        assert!(seen.retry_after.is_some());
        let again = innocents
            .iter()
            .map(|call| probe::ask(*address, call, None));
        for (call, seen) in innocents.iter().zip(join_all(again).await) {
            let seen = seen.unwrap();
            assert!(seen.is_answer(call), "{seen:?}");
        }
    }
    let crashes = fleet
        .engines
        .values()
        .map(|it| it.shared.journal.snapshot().crashes);
    assert_eq!(crashes.sum::<u64>(), 2);
}
