//! A refusal with outcome "not-run" is true by the journals of the upstreams.
//! If the request may have run, the outcome is "unknown". A caller retries a
//! purchase after "not-run", so a false one would run it twice.

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
use tokio::time::timeout;

/// The time limit for the refusal of a request.
const REFUSAL_LIMIT: Duration = Duration::from_secs(2);

/// The time limit for a state to show in journals or in the scheduler.
const STATE_LIMIT: Duration = Duration::from_secs(5);

#[rstest]
#[case::refused(None, "not-run", 0)]
#[case::reset_before(Some(Reset::BeforeRun), "unknown", 0)]
#[case::reset_after(Some(Reset::AfterRun), "unknown", 1)]
#[case::reset_midway(Some(Reset::AfterFirst), "unknown", 1)]
#[tokio::test(flavor = "multi_thread")]
async fn a_failed_purchase_is_not_run_only_if_it_did_not_run(
    #[case] reset: Option<Reset>,
    #[case] outcome: &str,
    #[case] runs: usize,
) {
    let fleet = Fleet::start_ready(Shape::zones(1, 2, 0, 2).warm().with_long_timeouts())
        .await
        .unwrap();
    for plain in fleet.plains.values() {
        match reset {
            None => {
                let refusing = plain.fault.apply_reachability(Reachability::Refusing);
                timeout(STATE_LIMIT, refusing).await.unwrap();
            }
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
        let reply = probe::send(address, &call, Some(&token)).await.unwrap();
        assert!(began.elapsed() < REFUSAL_LIMIT, "{reply:?}");
        assert_eq!(reply.outcome, outcome, "{reply:?}");
        assert_eq!(fleet.runs(&call).len(), runs, "{reply:?}");
        // A refusal comes with a token and a retry delay only if it is "not-run".
        assert_eq!(reply.token.is_some(), outcome == "not-run");
        assert!(
            outcome == "unknown" || reply.retry_after.is_some(),
            "{reply:?}"
        );
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn a_purchase_refused_by_a_full_or_slow_queue_never_ran() {
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
    let fleet = Fleet::start_ready(shape).await.unwrap();
    let calls: Vec<_> = (0..16)
        .map(|at| probe::buy(&format!("b{at}"), at))
        .collect();
    let hosts = fleet.hosts.keys().cycle();
    let pending = calls.iter().zip(hosts).map(|(call, host)| {
        let address = fleet.caller(host).unwrap();
        async move {
            let token = client::token(address).await.unwrap();
            probe::send(address, call, Some(&token)).await.unwrap()
        }
    });
    let mut refused = 0;
    for (call, reply) in calls.iter().zip(join_all(pending).await) {
        if reply.is_answer(call) {
            assert_eq!(fleet.runs(call).len(), 1);
            continue;
        }
        refused += 1;
        assert_eq!(reply.outcome, "not-run", "{reply:?}");
        assert!(reply.retry_after.is_some(), "{reply:?}");
        assert_eq!(fleet.runs(call).len(), 0, "{reply:?}");
    }
    assert!((1..16).contains(&refused), "{refused} refused");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_home_lost_before_dispatch_leaves_the_outcome_unknown() {
    let mut shape = Shape::zones(1, 3, 0, 1).warm().with_long_timeouts();
    for upstream in shape.upstreams.values_mut() {
        upstream.slots = 1;
        upstream.cold_slots = 1;
    }
    shape.rules.floor = 1;
    let mut fleet = Fleet::start_ready(shape).await.unwrap();
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
        tokio::spawn(async move { probe::send(address, &call, Some(&token)).await })
    };
    let token = client::token(address).await.unwrap();
    let running = ask("running", token);
    let runs = || fleet.runs(&probe::buy("running", 1)).len() == 1;
    until("the first runs", STATE_LIMIT, runs).await.unwrap();
    let token = client::token(address).await.unwrap();
    let waiting = ask("waiting", token);
    let queued = || {
        let scheduler = fleet.hosts[&home].state.scheduler.lock().unwrap();
        scheduler
            .load(&"z1-t1".into())
            .is_some_and(|load| load.queued == 1)
    };
    until("the second waits", STATE_LIMIT, queued)
        .await
        .unwrap();
    fleet.kill(&home).unwrap();
    for pending in [running, waiting] {
        let reply = pending.await.unwrap().unwrap();
        assert_eq!((reply.outcome.as_str(), reply.token), ("unknown", None));
    }
    assert_eq!(fleet.runs(&probe::buy("waiting", 1)).len(), 0);
}
