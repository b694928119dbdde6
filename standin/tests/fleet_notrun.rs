//! A refusal that says "not run" is true, by the journals of the upstreams;
//! where it may have run, the refusal says so.

use std::time::Duration;
use std::time::Instant;

use futures_util::future::join_all;
use rstest::rstest;
use standin::fault::Plan;
use standin::fault::Reachability;
use standin::fault::Reset;
use standin::fleet::Fleet;
use standin::fleet::client;
use standin::fleet::probe;
use standin::fleet::shape::Kind;
use standin::fleet::shape::Shape;
use standin::fleet::until;

/// How soon a caller hears that a request is given up.
const AT_ONCE: Duration = Duration::from_secs(2);

/// Within what a state that the journals tell of comes about.
const SOON: Duration = Duration::from_secs(5);

#[rstest]
#[case::refused(None, "not-run", 0)]
#[case::reset_before(Some(Reset::BeforeRun), "unknown", 0)]
#[case::reset_after(Some(Reset::AfterRun), "unknown", 1)]
#[case::reset_midway(Some(Reset::AfterFirst), "unknown", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_purchase_that_fails_is_not_run_only_if_it_did_not(
    #[case] reset: Option<Reset>,
    #[case] outcome: &str,
    #[case] runs: usize,
) {
    let fleet = Fleet::serving(Shape::zones(1, 2, 0, 2).warm().patient())
        .await
        .unwrap();
    for plain in fleet.plains.values() {
        match reset {
            None => plain.fault.set_reachability(Reachability::Refusing),
            Some(_) => plain.fault.set_plan(Plan {
                reset,
                ..Plan::default()
            }),
        }
    }
    for (at, host) in fleet.hosts.keys().enumerate() {
        let address = fleet.caller(host).unwrap();
        let token = client::token(address).await.unwrap();
        let call = probe::buy(host, at as u64);
        let began = Instant::now();
        let seen = probe::ask(address, &call, Some(&token)).await.unwrap();
        assert!(began.elapsed() < AT_ONCE, "{seen:?}");
        assert_eq!(seen.outcome, outcome, "{seen:?}");
        assert_eq!(fleet.runs(&call).len(), runs, "{seen:?}");
        // A token goes only with a truthful "not run", which says when to return.
        assert_eq!(seen.token.is_some(), outcome == "not-run");
        assert!(
            outcome == "unknown" || seen.retry_after.is_some(),
            "{seen:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn what_is_refused_when_full_or_too_late_never_ran() {
    let mut shape = Shape::zones(1, 2, 0, 1).warm();
    for upstream in shape.upstreams.values_mut() {
        upstream.slots = 2;
        upstream.cold_slots = 2;
        if let Kind::Plain(options) = &mut upstream.kind {
            options.work_time = Duration::from_secs(1);
        }
    }
    shape.rules.floor = 2;
    shape.tune = |options| {
        options.peer.lease = Duration::from_secs(2);
        options.queue.wait = Duration::from_millis(1_500);
        options.queue.length = 4;
        options.queue.workspace_length = 4;
    };
    let fleet = Fleet::serving(shape).await.unwrap();
    let calls: Vec<_> = (0..16)
        .map(|at| probe::buy(&format!("b{at}"), at))
        .collect();
    let hosts = fleet.hosts.keys().cycle();
    let asked = calls.iter().zip(hosts).map(|(call, host)| {
        let address = fleet.caller(host).unwrap();
        async move {
            let token = client::token(address).await.unwrap();
            probe::ask(address, call, Some(&token)).await.unwrap()
        }
    });
    let mut refused = 0;
    for (call, seen) in calls.iter().zip(join_all(asked).await) {
        if seen.is_answer(call) {
            assert_eq!(fleet.runs(call).len(), 1);
            continue;
        }
        refused += 1;
        assert_eq!(seen.outcome, "not-run", "{seen:?}");
        assert!(seen.retry_after.is_some(), "{seen:?}");
        assert_eq!(fleet.runs(call).len(), 0, "{seen:?}");
    }
    assert!((1..16).contains(&refused), "{refused} refused");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_lost_before_it_dispatched_leaves_the_outcome_unknown() {
    let mut shape = Shape::zones(1, 3, 0, 1).warm().patient();
    for upstream in shape.upstreams.values_mut() {
        upstream.slots = 1;
        upstream.cold_slots = 1;
    }
    shape.rules.floor = 1;
    let mut fleet = Fleet::serving(shape).await.unwrap();
    let late = Plan {
        late_ms: 4_000,
        ..Plan::default()
    };
    fleet.plains["z1-t1"].fault.set_plan(late);
    let home = fleet.home("z1-t1").unwrap().to_owned();
    let entry = fleet.hosts.keys().find(|host| **host != home).unwrap();
    let address = fleet.caller(entry).unwrap();
    let ask = |id: &str, token: String| {
        let call = probe::buy(id, 1);
        tokio::spawn(async move { probe::ask(address, &call, Some(&token)).await })
    };
    let token = client::token(address).await.unwrap();
    let running = ask("running", token);
    let runs = || fleet.runs(&probe::buy("running", 1)).len() == 1;
    until("the first runs", SOON, runs).await.unwrap();
    let token = client::token(address).await.unwrap();
    let waiting = ask("waiting", token);
    let queued = || {
        let desk = fleet.hosts[&home].state.scheduler.lock().unwrap();
        desk.load(&"z1-t1".into())
            .is_some_and(|load| load.queued == 1)
    };
    until("the second waits", SOON, queued).await.unwrap();
    fleet.kill(&home).unwrap();
    for asked in [running, waiting] {
        let seen = asked.await.unwrap().unwrap();
        assert_eq!((seen.outcome.as_str(), seen.token), ("unknown", None));
    }
    assert_eq!(fleet.runs(&probe::buy("waiting", 1)).len(), 0);
}
