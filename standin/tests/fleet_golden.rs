//! Compares complete sessions, as callers and upstreams saw them, with golden
//! files.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::fmt::Write;
use std::time::Duration;

use standin::answer;
use standin::fleet::Fleet;
use standin::fleet::client;
use standin::fleet::shape::Shape;
use standin::fleet::until;

const TIMEOUT: Duration = Duration::from_secs(30);

/// Sends three chats to each entry, one after the other, and logs the outcome
/// and the upstream that ran each of them.
async fn send_chats(fleet: &Fleet, entries: &[&str], log: &mut String) {
    for entry in entries {
        for chat in ["amber", "basin", "cedar"] {
            let before: Vec<_> = fleet.journals().map(|it| it.1.done).collect();
            let (request, body) = client::chat("school", chat, "hello", true).unwrap();
            let at = fleet.caller(entry).unwrap();
            let answer = client::send(at, request).await.unwrap();
            let text = String::from_utf8_lossy(&answer.body).into_owned();
            let words = answer::words(&body);
            let whole = words.iter().all(|word| text.contains(word.trim_end()));
            let ran = || {
                let after = fleet.journals().zip(&before);
                let ran = after.filter(|(now, before)| now.1.done > **before);
                ran.map(|(now, _)| now.0.to_owned()).collect::<Vec<_>>()
            };
            until("the journal", TIMEOUT, || !ran().is_empty())
                .await
                .unwrap();
            let (outcome, ran) = (answer.outcome(), ran().join(" "));
            let whole = if whole { "whole" } else { "cut" };
            writeln!(log, "  {entry} {chat}: {outcome}, {whole}, ran at {ran}").unwrap();
        }
    }
}

async fn set_draining(fleet: &mut Fleet, draining: &[&str], log: &mut String) {
    fleet.set_rules(|rules| rules.draining = draining.iter().map(|it| (*it).to_owned()).collect());
    let revision = fleet.shape.rules.revision;
    until("rules", TIMEOUT, || fleet.has_rules(revision))
        .await
        .unwrap();
    writeln!(log, "rules {revision}: draining {draining:?}").unwrap();
}

fn compare(name: &str, log: &str) {
    let path = format!("{}/tests/golden/{name}.txt", env!("CARGO_MANIFEST_DIR"));
    let golden = std::fs::read_to_string(path).unwrap_or_default();
    assert_eq!(log, golden);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_is_drained_and_restored() {
    let mut fleet = Fleet::start(Shape::zones(2, 2, 2, 0)).await.unwrap();
    fleet.ready().await.unwrap();
    let mut log = "start\n".to_owned();
    let entries = ["z1-h1", "z2-h1"];
    send_chats(&fleet, &entries, &mut log).await;
    for draining in [&["z1"][..], &[]] {
        set_draining(&mut fleet, draining, &mut log).await;
        let homed = |name: &str| fleet.hosts.values().any(|host| host.is_home(name));
        until("homes", TIMEOUT, || match draining {
            [] => fleet.is_settled(),
            _ => !homed("z1-e1") && !homed("z1-e2"),
        })
        .await
        .unwrap();
        send_chats(&fleet, &entries, &mut log).await;
    }
    compare("zone", &log);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_drains() {
    let mut shape = Shape::zones(1, 2, 2, 0);
    shape.tune = |options| options.token.lifetime = Duration::from_secs(1);
    let mut fleet = Fleet::start(shape).await.unwrap();
    fleet.ready().await.unwrap();
    let mut log = "start\n".to_owned();
    send_chats(&fleet, &["z1-h1", "z1-h2"], &mut log).await;
    let end = fleet.hosts.get_mut("z1-h1").unwrap().shutdown().unwrap();
    until("homes handed over", TIMEOUT, || {
        let (leaver, successor) = (&fleet.hosts["z1-h1"], &fleet.hosts["z1-h2"]);
        let handed = |name| successor.is_home(name) && leaver.home(name) == successor.home(name);
        !leaver.is_ready() && handed("z1-e1") && handed("z1-e2") && successor.is_settled()
    })
    .await
    .unwrap();
    writeln!(log, "z1-h1 drains").unwrap();
    send_chats(&fleet, &["z1-h1", "z1-h2"], &mut log).await;
    let report = end.await.unwrap();
    writeln!(log, "z1-h1 ends, {} cut", report.aborted).unwrap();
    let at = fleet.caller("z1-h1").unwrap();
    let (request, _) = client::chat("school", "amber", "hello", true).unwrap();
    let refused = client::send(at, request).await.is_err();
    writeln!(
        log,
        "  z1-h1 amber: {}",
        if refused { "refused" } else { "answered" }
    )
    .unwrap();
    fleet.kill("z1-h1").unwrap();
    send_chats(&fleet, &["z1-h2"], &mut log).await;
    compare("drain", &log);
}
