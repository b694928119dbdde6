//! Under a surge of requests no engine is overloaded, and no workspace starves
//! another. Excess requests wait, go to another upstream or are refused.

use std::sync::atomic::AtomicBool;
use std::sync::atomic::Ordering;
use std::time::Duration;

use futures_util::future::join_all;
use rstest::rstest;
use standin::fleet::Fleet;
use standin::fleet::probe;
use standin::fleet::shape::Kind;
use standin::fleet::shape::Shape;

/// The slots of an engine.
const SLOTS: u64 = 8;

/// The pause of a caller of the surge between two requests.
const RETRY_PAUSE: Duration = Duration::from_millis(20);

/// The number of chats that the small workspace sends one after the other.
const STEADY_CHATS: usize = 20;

fn shape(token_time: Duration) -> Shape {
    let mut shape = Shape::zones(1, 3, 3, 0).with_long_timeouts();
    for upstream in shape.upstreams.values_mut() {
        if let Kind::Engine(options) = &mut upstream.kind {
            options.token_time = token_time;
        }
    }
    shape
}

#[rstest]
#[case::cold(false)]
#[case::warm(true)]
#[tokio::test(flavor = "multi_thread")]
async fn no_engine_is_overloaded(#[case] warm: bool) {
    let shape = shape(Duration::from_millis(2));
    let shape = if warm { shape.warm() } else { shape };
    let fleet = Fleet::start_ready(shape).await.unwrap();
    let hosts: Vec<_> = fleet.hosts.keys().collect();
    let mut answered = 0;
    for round in 0..6 {
        let calls: Vec<_> = (0..30)
            .map(|at| probe::chat(&format!("c{at}"), &format!("{round}-{at}"), at % 2 == 0))
            .collect();
        let pending = calls.iter().zip(hosts.iter().cycle()).map(|(call, host)| {
            let address = fleet.caller(host).unwrap();
            probe::send(address, call, None)
        });
        for (call, reply) in calls.iter().zip(join_all(pending).await) {
            let reply = reply.unwrap();
            answered += u32::from(reply.is_answer(call));
            assert!(
                reply.is_answer(call) || reply.outcome == "not-run",
                "{reply:?}"
            );
        }
    }
    for (name, engine) in &fleet.engines {
        let journal = engine.shared.journal.snapshot();
        assert_eq!(journal.overloads, 0, "{name}: {journal:?}");
        assert!(
            journal.max_running <= SLOTS,
            "{name}: {}",
            journal.max_running
        );
    }
    assert!(answered > 100, "{answered} answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_surge_of_one_workspace_does_not_starve_another() {
    let fleet = Fleet::start_ready(shape(Duration::from_millis(5)).warm())
        .await
        .unwrap();
    let hosts: Vec<_> = fleet.hosts.keys().collect();
    let over = AtomicBool::new(false);
    let surge = (0..150).zip(hosts.iter().cycle()).map(|(at, host)| {
        let mut call = probe::chat(&format!("s{at}"), &format!("surge {at}"), false);
        call.workspace = "surge".to_owned();
        let (address, over) = (fleet.caller(host).unwrap(), &over);
        async move {
            let mut replies = Vec::new();
            while !over.load(Ordering::Acquire) {
                replies.push(probe::send(address, &call, None).await.unwrap());
                tokio::time::sleep(RETRY_PAUSE).await;
            }
            replies
        }
    });
    let steady = async {
        let mut answered = 0;
        for at in 0..STEADY_CHATS {
            let call = probe::chat(&format!("q{at}"), &format!("steady {at}"), false);
            let address = fleet.caller(hosts[at % hosts.len()]).unwrap();
            let reply = probe::send(address, &call, None).await.unwrap();
            answered += usize::from(reply.is_answer(&call));
        }
        over.store(true, Ordering::Release);
        answered
    };
    let (surged, answered) = tokio::join!(join_all(surge), steady);
    assert_eq!(answered, STEADY_CHATS);
    for reply in surged.into_iter().flatten() {
        let refused = reply.outcome == "not-run" && reply.retry_after.is_some();
        assert!(reply.outcome == "answered" || refused, "{reply:?}");
    }
}
