//! Hosts as separate processes: signals, exit codes and replacement.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::net::SocketAddr;
use std::time::Duration;

use http_body_util::BodyExt;
use standin::answer;
use standin::fleet::Fleet;
use standin::fleet::client;
use standin::fleet::host;
use standin::fleet::process::Process;
use standin::fleet::shape::Kind;
use standin::fleet::shape::Shape;
use standin::fleet::until;

/// The time limit for the reaction to a signal or a failure.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// The time limit for conditions without a required delay.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Starts a fleet whose host `z1-h1` is a process and whose engine takes
/// `token_time` per word.
async fn start(token_time: Duration) -> (Fleet, Process, SocketAddr) {
    let mut shape = Shape::zones(1, 2, 1, 1);
    for upstream in shape.upstreams.values_mut() {
        if let Kind::Engine(options) = &mut upstream.kind {
            options.token_time = token_time;
        }
    }
    let mut fleet = Fleet::start(shape).await.unwrap();
    fleet.ready().await.unwrap();
    fleet.kill("z1-h1").unwrap();
    let process = Process::start(&fleet.shape, "z1-h1").await.unwrap();
    let at = fleet.caller("z1-h1").unwrap();
    wait_until_serving(at).await;
    (fleet, process, at)
}

/// Waits until an entry answers a lookup.
async fn wait_until_serving(at: SocketAddr) {
    let began = tokio::time::Instant::now();
    loop {
        match client::send(at, client::lookup(1).unwrap()).await {
            Ok(answer) if answer.outcome() == "answered" => return,
            _ if began.elapsed() < TIMEOUT => tokio::time::sleep(MAX_DELAY / 50).await,
            last => panic!("{last:?}"),
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn the_first_signal_completes_streams_and_exits_with_success() {
    let (_fleet, mut process, at) = start(Duration::from_millis(200)).await;
    let (request, body) = client::chat("school", "c1", "hello", true).unwrap();
    let response = client::open(at, request).await.unwrap();
    process.signal("TERM").unwrap();
    let text = response.into_body().collect().await.unwrap().to_bytes();
    let text = String::from_utf8_lossy(&text).into_owned();
    let words = answer::words(&body);
    let whole = words.iter().all(|word| text.contains(word.trim_end()));
    assert!(whole && text.contains("[DONE]"), "{text}");
    let mut status = None;
    until("exit", TIMEOUT, || {
        status = status.or_else(|| process.exit_status());
        status.is_some()
    })
    .await
    .unwrap();
    assert_eq!(status.unwrap().code(), Some(0), "{}", process.log());
}

#[tokio::test(flavor = "multi_thread")]
async fn the_second_signal_exits_at_once_and_logs_aborted_requests() {
    let (_fleet, mut process, at) = start(Duration::from_secs(5)).await;
    let (request, _) = client::chat("school", "c1", "hello", true).unwrap();
    let response = client::open(at, request).await.unwrap();
    process.signal("TERM").unwrap();
    until("the host still accepts connections", MAX_DELAY, || {
        // A second signal sent before the first is handled would merge with it.
        std::net::TcpStream::connect(at).is_ok()
    })
    .await
    .unwrap();
    tokio::time::sleep(MAX_DELAY / 10).await;
    process.signal("TERM").unwrap();
    let mut status = None;
    until("exit", MAX_DELAY, || {
        status = status.or_else(|| process.exit_status());
        status.is_some()
    })
    .await
    .unwrap();
    let log = process.log();
    assert_eq!(status.unwrap().code(), Some(1), "{log}");
    let line = log.lines().find(|line| line.contains("shutdown ended"));
    let logged = line.is_some_and(|line| !line.contains("cut=0") && !line.contains("\"cut\":0,"));
    assert!(logged, "{log}");
    assert!(
        response.into_body().collect().await.is_err(),
        "the aborted stream must end in an error"
    );
}

#[tokio::test(flavor = "multi_thread")]
async fn invalid_settings_end_the_process_before_it_listens() {
    let fleet = Fleet::start(Shape::zones(1, 1, 0, 1)).await.unwrap();
    let text = fleet.shape.settings("z1-h1").unwrap();
    let addresses = fleet.shape.hosts["z1-h1"].addresses;
    drop(fleet);
    // The fleet's own listener closes in the background.
    drop(host::bind_at(addresses).await.unwrap());
    let invalid = text.replace("beat_ms = 100", "beat_ms = 100\nunknown_key = 1");
    let mut process = Process::serve("invalid", &invalid).unwrap();
    let mut status = None;
    until("exit", MAX_DELAY, || {
        status = status.or_else(|| process.exit_status());
        status.is_some()
    })
    .await
    .unwrap();
    let log = process.log();
    assert_eq!(status.unwrap().code(), Some(2), "{log}");
    assert!(
        log.contains("unknown_key") && !log.contains("listening"),
        "{log}"
    );
    assert!(std::net::TcpStream::connect(addresses.caller).is_err());
}

#[tokio::test(flavor = "multi_thread")]
async fn a_process_killed_and_replaced_serves_again() {
    let (fleet, process, at) = start(Duration::from_millis(5)).await;
    drop(process);
    let other = fleet.caller("z1-h2").unwrap();
    wait_until_serving(other).await;
    let _replacement = Process::start(&fleet.shape, "z1-h1").await.unwrap();
    wait_until_serving(at).await;
    let is_home = || {
        let home = fleet.hosts["z1-h2"].home("z1-t1");
        let engine = fleet.hosts["z1-h2"].home("z1-e1");
        [home, engine]
            .into_iter()
            .flatten()
            .any(|home| home.as_str() == "z1-h1")
    };
    until("home of an upstream, or converged", MAX_DELAY, || {
        is_home() || fleet.is_converged()
    })
    .await
    .unwrap();
}
