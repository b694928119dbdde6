//! A zone drained by the rules gets no new requests after a few seconds, and
//! lookups are answered throughout.

#![expect(clippy::unwrap_used, reason = "a test may panic")]

use std::time::Duration;

use masticmoor::config::key::Key;
use rstest::rstest;
use standin::fault::Reachability;
use standin::fleet::Fleet;
use standin::fleet::client;
use standin::fleet::load::Load;
use standin::fleet::process::Process;
use standin::fleet::shape::Shape;
use standin::fleet::until;
use tokio::time::Instant;
use tokio::time::sleep_until;

/// The time limit for a change of the rules to take effect.
const MAX_DELAY: Duration = Duration::from_secs(5);

/// The time limit for conditions without a required delay.
const TIMEOUT: Duration = Duration::from_secs(30);

/// The number of requests after which an idle zone is known to get none.
const SAMPLE_REQUESTS: u64 = 300;

async fn fleet(tune: fn(&mut masticmoor::options::Options)) -> (Fleet, Load) {
    let shape = Shape {
        tune,
        ..Shape::zones(3, 2, 0, 2)
    };
    let fleet = Fleet::start(shape).await.unwrap();
    fleet.ready().await.unwrap();
    let load = Load::lookups(fleet.callers(|_| true));
    wait_started(&fleet, SAMPLE_REQUESTS).await;
    let idle: Vec<_> = fleet.journals().filter(|it| it.1.started == 0).collect();
    assert!(idle.is_empty(), "no requests before the change: {idle:?}");
    (fleet, load)
}

/// Sets the default heartbeats and leases instead of the short ones of tests.
fn default_timing(options: &mut masticmoor::options::Options) {
    options.peer = masticmoor::options::peer::Peer::default();
}

async fn wait_started(fleet: &Fleet, count: u64) {
    let before = fleet.started(|_| true);
    until("more requests started", TIMEOUT, || {
        fleet.started(|_| true) >= before + count
    })
    .await
    .unwrap();
}

fn drain(fleet: &mut Fleet, zone: &str) {
    fleet.set_rules(|rules| rules.draining = [zone.to_owned()].into());
}

/// Drains a zone by rules that only one host receives, without the platform.
fn inject_drain(fleet: &mut Fleet, zone: &str, host: &str) {
    fleet.shape.rules.draining = [zone.to_owned()].into();
    fleet.shape.rules.revision += 1;
    let adopted = fleet
        .hosts
        .get(host)
        .unwrap()
        .inject(Key::Rules, &fleet.shape.rules());
    assert!(adopted.is_change());
}

async fn assert_idle(fleet: &Fleet, zone: &str, since: Instant) {
    sleep_until(since + MAX_DELAY).await;
    let before = fleet.started(|name| name.starts_with(zone));
    wait_started(fleet, SAMPLE_REQUESTS).await;
    assert_eq!(fleet.started(|name| name.starts_with(zone)), before);
}

async fn assert_all_answered(load: Load) {
    let report = load.finish().await;
    assert!(report.failed.is_empty(), "{:#?}", report.failed);
    assert!(report.answered > SAMPLE_REQUESTS);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_drained_zone_gets_no_requests_and_a_restored_one_does() {
    let (mut fleet, load) = fleet(|_| {}).await;
    drain(&mut fleet, "z1");
    assert_idle(&fleet, "z1", Instant::now()).await;
    fleet.set_rules(|rules| rules.draining.clear());
    let before = fleet.started(|name| name.starts_with("z1"));
    until("requests in the zone again", MAX_DELAY, || {
        fleet.started(|name| name.starts_with("z1")) > before
    })
    .await
    .unwrap();
    assert_all_answered(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_change_read_by_one_host_reaches_all_while_the_platform_is_down() {
    let (mut fleet, load) = fleet(default_timing).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    let began = Instant::now();
    inject_drain(&mut fleet, "z1", "z2-h2");
    assert_idle(&fleet, "z1", began).await;
    assert!(fleet.has_rules(2));
    assert_all_answered(load).await;
}

/// The platform is down, so the change can reach the zone only through its peers.
#[tokio::test(flavor = "multi_thread")]
async fn a_partitioned_zone_applies_the_change_after_the_partition_heals() {
    let (mut fleet, load) = fleet(|_| {}).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    let open_watches = || fleet.platform.calls().waiting;
    // An open watch would carry the change across the partition.
    until("no watch open", MAX_DELAY, || open_watches() == 0)
        .await
        .unwrap();
    fleet.partition(|host| host.starts_with("z1"));
    inject_drain(&mut fleet, "z1", "z2-h1");
    let others = |fleet: &Fleet| {
        let mut others = fleet.hosts.iter().filter(|it| !it.0.starts_with("z1"));
        others.all(|(_, host)| host.state.plan().rules.revision.0 == 2)
    };
    until("the others know", MAX_DELAY, || others(&fleet))
        .await
        .unwrap();
    wait_started(&fleet, SAMPLE_REQUESTS).await;
    assert!(!fleet.has_rules(2), "the partitioned zone has the rules");
    fleet.heal();
    assert_idle(&fleet, "z1", Instant::now()).await;
    assert!(fleet.has_rules(2));
    assert_all_answered(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_restored_and_drained_again_at_once_stays_drained() {
    let (mut fleet, load) = fleet(|_| {}).await;
    for _ in 0..3 {
        drain(&mut fleet, "z1");
        fleet.set_rules(|rules| rules.draining.clear());
    }
    drain(&mut fleet, "z1");
    assert_idle(&fleet, "z1", Instant::now()).await;
    assert_all_answered(load).await;
}

#[rstest]
#[case::current_host_list(false)]
#[case::stale_host_list(true)]
#[tokio::test(flavor = "multi_thread")]
async fn a_leaving_upstream_gets_no_requests(#[case] is_stale: bool) {
    let (mut fleet, load) = fleet(|_| {}).await;
    if is_stale {
        // The platform's list still shows the killed host as live.
        fleet.kill("z3-h2").unwrap();
    }
    fleet.set_rules(|rules| rules.leaving = ["z1-t1".to_owned()].into());
    assert_idle(&fleet, "z1-t1", Instant::now()).await;
    let report = load.finish().await;
    let gone = fleet.caller("z3-h2").unwrap().to_string();
    let others = report
        .failed
        .iter()
        .filter(|reason| !is_stale || !reason.starts_with(&gone));
    assert_eq!(others.collect::<Vec<_>>(), Vec::<&String>::new());
}

/// A process that resumes after SIGSTOP still has the rules from before the change.
#[tokio::test(flavor = "multi_thread")]
async fn an_entry_paused_during_the_change_sends_nothing_there_when_it_resumes() {
    let shape = Shape::zones(3, 2, 0, 2);
    let mut fleet = Fleet::start(shape).await.unwrap();
    fleet.ready().await.unwrap();
    fleet.kill("z2-h1").unwrap();
    let process = Process::start(&fleet.shape, "z2-h1").await.unwrap();
    let at = fleet.caller("z2-h1").unwrap();
    wait_until_serving(at).await;
    let load = Load::lookups(fleet.callers(|host| host != "z2-h1"));
    process.signal("STOP").unwrap();
    drain(&mut fleet, "z2");
    assert_idle(&fleet, "z2", Instant::now()).await;
    let before = fleet.started(|name| name.starts_with("z2"));
    process.signal("CONT").unwrap();
    // The rules of the resumed host are stale from its first request on.
    let resumed = Load::lookups([at]);
    until("lookups by the resumed host", TIMEOUT, || {
        resumed.report().answered > 50
    })
    .await
    .unwrap();
    assert_eq!(fleet.started(|name| name.starts_with("z2")), before);
    assert_all_answered(load).await;
    assert!(resumed.finish().await.failed.is_empty());
}

/// Waits until an entry answers a lookup.
async fn wait_until_serving(at: std::net::SocketAddr) {
    let began = Instant::now();
    loop {
        let answer = client::send(at, client::lookup(1).unwrap()).await;
        match answer {
            Ok(answer) if answer.outcome() == "answered" => return,
            _ if began.elapsed() < TIMEOUT => tokio::time::sleep(MAX_DELAY / 50).await,
            last => panic!("{last:?}"),
        }
    }
}
