//! Under a surge no engine gets more than it bears, and no workspace starves
//! another.

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

/// How long a caller of a surge waits before it comes again.
const BACK_OFF: Duration = Duration::from_millis(20);

/// How many chats a small workspace asks one after the other.
const STEADY: usize = 20;

fn shape(token_time: Duration) -> Shape {
    let mut shape = Shape::zones(1, 3, 3, 0).patient();
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
async fn no_engine_gets_more_than_it_bears(#[case] warm: bool) {
    let shape = shape(Duration::from_millis(2));
    let shape = if warm { shape.warm() } else { shape };
    let fleet = Fleet::serving(shape).await.unwrap();
    let hosts: Vec<_> = fleet.hosts.keys().collect();
    let mut answered = 0;
    for round in 0..6 {
        let calls: Vec<_> = (0..30)
            .map(|at| probe::chat(&format!("c{at}"), &format!("{round}-{at}"), at % 2 == 0))
            .collect();
        let asked = calls.iter().zip(hosts.iter().cycle()).map(|(call, host)| {
            let address = fleet.caller(host).unwrap();
            probe::ask(address, call, None)
        });
        for (call, seen) in calls.iter().zip(join_all(asked).await) {
            let seen = seen.unwrap();
            answered += u32::from(seen.is_answer(call));
            assert!(
                seen.is_answer(call) || seen.outcome == "not-run",
                "{seen:?}"
            );
        }
    }
    for (name, engine) in &fleet.engines {
        let page = engine.shared.journal.snapshot();
        assert_eq!(page.overloads, 0, "{name}: {page:?}");
        assert!(page.max_running <= SLOTS, "{name}: {}", page.max_running);
    }
    assert!(answered > 100, "{answered} answered");
}

#[tokio::test(flavor = "multi_thread")]
async fn a_surge_of_one_workspace_does_not_starve_another() {
    let fleet = Fleet::serving(shape(Duration::from_millis(5)).warm())
        .await
        .unwrap();
    let hosts: Vec<_> = fleet.hosts.keys().collect();
    let over = AtomicBool::new(false);
    let surge = (0..150).zip(hosts.iter().cycle()).map(|(at, host)| {
        let mut call = probe::chat(&format!("s{at}"), &format!("surge {at}"), false);
        call.workspace = "surge".to_owned();
        let (address, over) = (fleet.caller(host).unwrap(), &over);
        async move {
            let mut seen = Vec::new();
            while !over.load(Ordering::Acquire) {
                seen.push(probe::ask(address, &call, None).await.unwrap());
                tokio::time::sleep(BACK_OFF).await;
            }
            seen
        }
    });
    let steady = async {
        let mut good = 0;
        for at in 0..STEADY {
            let call = probe::chat(&format!("q{at}"), &format!("steady {at}"), false);
            let address = fleet.caller(hosts[at % hosts.len()]).unwrap();
            let seen = probe::ask(address, &call, None).await.unwrap();
            good += usize::from(seen.is_answer(&call));
        }
        over.store(true, Ordering::Release);
        good
    };
    let (surged, good) = tokio::join!(join_all(surge), steady);
    assert_eq!(good, STEADY);
    for seen in surged.into_iter().flatten() {
        let refused = seen.outcome == "not-run" && seen.retry_after.is_some();
        assert!(seen.outcome == "answered" || refused, "{seen:?}");
    }
}
