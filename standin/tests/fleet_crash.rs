//! A request that crashes its upstreams is quarantined after two crashes, so
//! that its retries do not take down a whole zone. Requests that ran on the
//! same upstreams are retried and answered.

use std::time::Duration;

use futures_util::future::join_all;
use masticmoor::class::Class;
use standin::caller::call::Call;
use standin::caller::call::Chat;
use standin::engine::chat::Message;
use standin::fault::Plan;
use standin::fleet::Fleet;
use standin::fleet::probe;
use standin::fleet::shape::Kind;
use standin::fleet::shape::Shape;
use standin::fleet::until;

/// A text that crashes every upstream that processes it.
const MARKER: &str = "crash-me";

/// The time limit for all entries of a zone to quarantine the request.
const STATE_LIMIT: Duration = Duration::from_secs(5);

#[tokio::test(flavor = "multi_thread")]
async fn a_request_that_crashes_two_upstreams_is_quarantined_and_others_are_answered() {
    let mut shape = Shape::zones(1, 3, 4, 0).warm().with_long_timeouts();
    for upstream in shape.upstreams.values_mut() {
        if let Kind::Engine(options) = &mut upstream.kind {
            options.token_time = Duration::from_millis(20);
        }
    }
    let fleet = Fleet::start_ready(shape).await.unwrap();
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
    let bystanders: Vec<_> = (0..12)
        .map(|at| probe::chat(&format!("chat-{at}"), &format!("question {at}"), false))
        .collect();
    let crashing = probe::chat("guilty", MARKER, false);
    let pending = bystanders.iter().zip(addresses.iter().cycle());
    let pending = join_all(pending.map(|(call, address)| probe::send(*address, call, None)));
    let crash = async {
        let running = || {
            let engines = fleet.engines.values();
            engines
                .map(|it| it.shared.journal.snapshot().running)
                .sum::<u64>()
                >= 6
        };
        until("bystanders run", STATE_LIMIT, running).await.unwrap();
        probe::send(addresses[0], &crashing, None).await
    };
    let (replies, crashed) = tokio::join!(pending, crash);
    for (call, reply) in bystanders.iter().zip(replies) {
        let reply = reply.unwrap();
        assert!(reply.is_answer(call), "{reply:?}");
    }
    let crashed = crashed.unwrap();
    assert_eq!(
        (crashed.status, crashed.code.as_str()),
        (422, "quarantined")
    );
    assert_eq!(crashed.outcome, "unknown");
    let quarantined = || {
        let mut hosts = fleet.hosts.values();
        hosts.all(|host| host.quarantines(&crashing))
    };
    until(
        "all entries quarantine the request",
        STATE_LIMIT,
        quarantined,
    )
    .await
    .unwrap();
    for address in &addresses {
        let reply = probe::send(*address, &crashing, None).await.unwrap();
        assert_eq!(
            (reply.status, reply.code.as_str()),
            (422, "quarantined"),
            "{reply:?}"
        );
        assert_eq!(reply.outcome, "not-run");
        assert!(reply.retry_after.is_some());
        let again = bystanders
            .iter()
            .map(|call| probe::send(*address, call, None));
        for (call, reply) in bystanders.iter().zip(join_all(again).await) {
            let reply = reply.unwrap();
            assert!(reply.is_answer(call), "{reply:?}");
        }
    }
    let crashes = fleet
        .engines
        .values()
        .map(|it| it.shared.journal.snapshot().crashes);
    assert_eq!(crashes.sum::<u64>(), 2);
}

/// Crashes after which only a few more chats with the message may reach engines.
const MAX_CRASHES: u64 = 5;

/// Number of them.
const MAX_LATE_CRASHES: u64 = 3;

#[tokio::test(flavor = "multi_thread")]
async fn chats_that_share_a_message_do_not_crash_one_engine_after_another() {
    let shape = Shape::zones(1, 3, 4, 0).warm().with_long_timeouts();
    let fleet = Fleet::start_ready(shape).await.unwrap();
    for engine in fleet.engines.values() {
        engine.shared.fault.set_plan(Plan {
            marker: Some(MARKER.to_owned()),
            crash_ms: 200,
            ..Plan::default()
        });
    }
    let hosts: Vec<_> = fleet.hosts.keys().cycle().take(12).collect();
    for (number, host) in hosts.into_iter().enumerate() {
        let message = |role: &str, content: String| Message {
            role: role.to_owned(),
            content,
        };
        let chat = Chat {
            name: format!("chat-{number}"),
            workspace: probe::WORKSPACE.to_owned(),
            class: Class::Interactive,
            messages: vec![
                message("system", MARKER.to_owned()),
                message("user", format!("question {number}")),
            ],
        };
        let call = Call::chat(chat, "assistant", false);
        let _reply = probe::send(fleet.caller(host).unwrap(), &call, None).await;
        tokio::time::sleep(Duration::from_millis(250)).await;
    }
    let engines = fleet.engines.values();
    let crashes: u64 = engines.map(|it| it.shared.journal.snapshot().crashes).sum();
    assert!(crashes <= MAX_CRASHES + MAX_LATE_CRASHES, "{crashes}");
}
