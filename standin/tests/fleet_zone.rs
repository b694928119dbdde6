//! A zone taken out by the rules gets no new work after a few seconds, and
//! look-ups are answered all the while.

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

/// What the brief calls a few seconds.
const FEW: Duration = Duration::from_secs(5);

/// How long a test waits for what only has to happen at all.
const PATIENCE: Duration = Duration::from_secs(30);

/// So many requests tell that a zone gets none.
const MANY: u64 = 300;

async fn fleet(tune: fn(&mut masticmoor::options::Options)) -> (Fleet, Load) {
    let shape = Shape {
        tune,
        ..Shape::zones(3, 2, 0, 2)
    };
    let fleet = Fleet::start(shape).await.unwrap();
    fleet.ready().await.unwrap();
    let load = Load::look_ups(fleet.callers(|_| true));
    more(&fleet, MANY).await;
    let idle: Vec<_> = fleet.journals().filter(|it| it.1.started == 0).collect();
    assert!(idle.is_empty(), "no work before the change: {idle:?}");
    (fleet, load)
}

/// The timing that hosts have by default.
fn usual(options: &mut masticmoor::options::Options) {
    options.peer = masticmoor::options::peer::Peer::default();
}

async fn more(fleet: &Fleet, count: u64) {
    let before = fleet.started(|_| true);
    until("more work", PATIENCE, || {
        fleet.started(|_| true) >= before + count
    })
    .await
    .unwrap();
}

fn take_out(fleet: &mut Fleet, zone: &str) {
    fleet.set_rules(|rules| rules.draining = [zone.to_owned()].into());
}

/// Takes a zone out in the eyes of one host only, with the platform down.
fn tell_one(fleet: &mut Fleet, zone: &str, host: &str) {
    fleet.shape.rules.draining = [zone.to_owned()].into();
    fleet.shape.rules.revision += 1;
    let adopted = fleet
        .hosts
        .get(host)
        .unwrap()
        .read(Key::Rules, &fleet.shape.rules());
    assert!(adopted.is_change());
}

async fn assert_quiet(fleet: &Fleet, zone: &str, since: Instant) {
    sleep_until(since + FEW).await;
    let before = fleet.started(|name| name.starts_with(zone));
    more(fleet, MANY).await;
    assert_eq!(fleet.started(|name| name.starts_with(zone)), before);
}

async fn assert_all_answered(load: Load) {
    let report = load.end().await;
    assert!(report.failed.is_empty(), "{:#?}", report.failed);
    assert!(report.answered > MANY);
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_taken_out_gets_no_work_and_put_back_gets_some() {
    let (mut fleet, load) = fleet(|_| {}).await;
    take_out(&mut fleet, "z1");
    assert_quiet(&fleet, "z1", Instant::now()).await;
    fleet.set_rules(|rules| rules.draining.clear());
    let before = fleet.started(|name| name.starts_with("z1"));
    until("work in the zone again", FEW, || {
        fleet.started(|name| name.starts_with("z1")) > before
    })
    .await
    .unwrap();
    assert_all_answered(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn one_host_that_read_the_change_tells_all_when_the_platform_is_down() {
    let (mut fleet, load) = fleet(usual).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    let began = Instant::now();
    tell_one(&mut fleet, "z1", "z2-h2");
    assert_quiet(&fleet, "z1", began).await;
    assert!(fleet.has_rules(2));
    assert_all_answered(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_cut_off_during_the_change_learns_of_it_when_the_cut_heals() {
    let (mut fleet, load) = fleet(|_| {}).await;
    fleet
        .platform
        .shared
        .fault
        .set_reachability(Reachability::Down);
    let open = || fleet.platform.calls().waiting;
    // A watch still open would carry the change over the cut.
    until("no watch open", FEW, || open() == 0).await.unwrap();
    fleet.cut(|host| host.starts_with("z1"));
    tell_one(&mut fleet, "z1", "z2-h1");
    let others = |fleet: &Fleet| {
        let mut others = fleet.hosts.iter().filter(|it| !it.0.starts_with("z1"));
        others.all(|(_, host)| host.state.plan().rules.revision.0 == 2)
    };
    until("the rest knows", FEW, || others(&fleet))
        .await
        .unwrap();
    more(&fleet, MANY).await;
    assert!(!fleet.has_rules(2), "the cut zone can't know");
    fleet.heal();
    assert_quiet(&fleet, "z1", Instant::now()).await;
    assert!(fleet.has_rules(2));
    assert_all_answered(load).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn a_zone_put_back_and_out_again_at_once_stays_out() {
    let (mut fleet, load) = fleet(|_| {}).await;
    for _ in 0..3 {
        take_out(&mut fleet, "z1");
        fleet.set_rules(|rules| rules.draining.clear());
    }
    take_out(&mut fleet, "z1");
    assert_quiet(&fleet, "z1", Instant::now()).await;
    assert_all_answered(load).await;
}

#[rstest]
#[case::listed_as_it_is(false)]
#[case::under_a_list_that_lags(true)]
#[tokio::test(flavor = "multi_thread")]
async fn an_upstream_that_leaves_gets_no_work(#[case] lags: bool) {
    let (mut fleet, load) = fleet(|_| {}).await;
    if lags {
        // The list shows a host that is gone, as it was before the change.
        fleet.kill("z3-h2").unwrap();
    }
    fleet.set_rules(|rules| rules.leaving = ["z1-t1".to_owned()].into());
    assert_quiet(&fleet, "z1-t1", Instant::now()).await;
    let report = load.end().await;
    let gone = fleet.caller("z3-h2").unwrap().to_string();
    let others = report
        .failed
        .iter()
        .filter(|why| !lags || !why.starts_with(&gone));
    assert_eq!(others.collect::<Vec<_>>(), Vec::<&String>::new());
}

#[tokio::test(flavor = "multi_thread")]
async fn an_entry_that_slept_over_the_change_sends_nothing_there_when_it_wakes() {
    let shape = Shape::zones(3, 2, 0, 2);
    let mut fleet = Fleet::start(shape).await.unwrap();
    fleet.ready().await.unwrap();
    fleet.kill("z2-h1").unwrap();
    let sleeper = Process::start(&fleet.shape, "z2-h1").await.unwrap();
    let at = fleet.caller("z2-h1").unwrap();
    answered(at).await;
    let load = Load::look_ups(fleet.callers(|host| host != "z2-h1"));
    sleeper.signal("STOP").unwrap();
    take_out(&mut fleet, "z2");
    assert_quiet(&fleet, "z2", Instant::now()).await;
    let before = fleet.started(|name| name.starts_with("z2"));
    sleeper.signal("CONT").unwrap();
    // What the sleeper believed is true no more from its first request on.
    let woken = Load::look_ups([at]);
    until("look-ups by the woken", PATIENCE, || {
        woken.report().answered > 50
    })
    .await
    .unwrap();
    assert_eq!(fleet.started(|name| name.starts_with("z2")), before);
    assert_all_answered(load).await;
    assert!(woken.end().await.failed.is_empty());
}

/// Waits until an entry answers a look-up.
async fn answered(at: std::net::SocketAddr) {
    let began = Instant::now();
    loop {
        let answer = client::send(at, client::look_up(1).unwrap()).await;
        match answer {
            Ok(answer) if answer.outcome() == "answered" => return,
            _ if began.elapsed() < PATIENCE => tokio::time::sleep(FEW / 50).await,
            last => panic!("{last:?}"),
        }
    }
}
