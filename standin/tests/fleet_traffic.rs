//! Mixed traffic through a fleet whose upstreams and hosts fail: each answer
//! is whole and its caller's own, and each purchase runs at most once.
#![expect(clippy::unwrap_used, reason = "a test fails by panicking")]

use std::time::Duration;

use rstest::rstest;
use standin::caller;
use standin::caller::Options;
use standin::caller::Pace;
use standin::caller::table::Table;
use standin::caller::tally::Report;
use standin::fault::Plan;
use standin::fault::Reachability;
use standin::fault::Reset;
use standin::fleet::Fleet;
use standin::fleet::shape::Kind;
use standin::fleet::shape::Shape;
use standin::server::Shared;
use standin::server::socket::Silence;
use tokio_util::sync::CancellationToken;

/// How long callers go on.
const TRAFFIC: Duration = Duration::from_secs(3);
/// When a fault begins.
const FAULT_AT: Duration = Duration::from_millis(700);
/// How many requests a fault befalls at the one desk that has it.
const BEFALLEN_ONE: u32 = 24;
/// How many requests a fault befalls at each of the two engines.
const BEFALLEN_EACH: u32 = 12;
/// Engines that are warm from the start.
const WARM: u32 = 0;
/// Engines of eight slots, two of them when cold, that bear one request more
/// with each answer.
const ONE_EACH: u32 = 6;

/// Starts a fleet of two zones, with two hosts, an engine and a desk in each.
/// The engines are warm after a number of answers.
async fn fleet(warm_after: u32) -> Fleet {
    let mut shape = Shape::zones(2, 2, 1, 1);
    for upstream in shape.upstreams.values_mut() {
        if let Kind::Engine(options) = &mut upstream.kind {
            options.warm_after = warm_after;
        }
    }
    shape.tune = |options| {
        options.upstream.first_byte = Duration::from_secs(1);
        options.upstream.between_frames = Duration::from_secs(1);
    };
    let fleet = Fleet::start(shape).await.unwrap();
    fleet.ready().await.unwrap();
    fleet
}

fn options(fleet: &Fleet, mix: &str) -> Options {
    let hosts = fleet.shape.hosts.values();
    let upstreams = fleet.shape.upstreams.values();
    Options {
        entries: hosts.map(|host| host.addresses.caller).collect(),
        direct: false,
        pace: Pace::Closed(6),
        lasts: TRAFFIC,
        mix: mix.parse().unwrap(),
        workspaces: vec!["one".to_owned(), "two".to_owned()],
        model: "assistant".to_owned(),
        timeout: Duration::from_secs(4),
        journals: upstreams.filter_map(|upstream| upstream.address).collect(),
        seed: 7,
    }
}

/// Runs callers, with a fault that begins under way.
async fn run(fleet: &mut Fleet, mix: &str, fault: impl AsyncFnOnce(&mut Fleet)) -> Report {
    let options = options(fleet, mix);
    let traffic = async {
        caller::run(&options, CancellationToken::new())
            .await
            .unwrap()
    };
    let trouble = async {
        tokio::time::sleep(FAULT_AT).await;
        fault(fleet).await;
    };
    let (report, ()) = tokio::join!(traffic, trouble);
    println!("{}", Table(&report));
    report
}

fn befall(plan: Plan, requests: u32) -> Plan {
    Plan {
        requests: Some(requests),
        ..plan
    }
}

fn assert_sound(report: &Report) {
    assert!(report.is_sound(), "{}", Table(report));
    let answered: u64 = report.rows.iter().map(|row| row.answered).sum();
    assert!(answered > 50, "{}", Table(report));
}

#[rstest]
#[case::reset_before_run(Plan { reset: Some(Reset::BeforeRun), ..Plan::default() })]
#[case::reset_after_run(Plan { reset: Some(Reset::AfterRun), ..Plan::default() })]
#[case::reset_after_first(Plan { reset: Some(Reset::AfterFirst), ..Plan::default() })]
#[case::foreign(Plan { foreign: true, ..Plan::default() })]
#[case::truncated(Plan { truncated: true, ..Plan::default() })]
#[case::late(Plan { late_ms: 1_500, ..Plan::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn a_desk_that_fails_runs_no_purchase_twice(#[case] plan: Plan) {
    let mut fleet = fleet(WARM).await;
    let report = run(&mut fleet, "lookup=3,purchase=2", async |fleet| {
        // With the other desk well, no lookup has an excuse.
        let desk = fleet.plains.values().next().unwrap();
        desk.fault.set_plan(befall(plan, BEFALLEN_ONE));
    })
    .await;
    assert_sound(&report);
    assert!(report.lookups_answered(), "{}", Table(&report));
}

#[rstest]
#[case::reset_before_run(Plan { reset: Some(Reset::BeforeRun), ..Plan::default() })]
#[case::reset_after_first(Plan { reset: Some(Reset::AfterFirst), ..Plan::default() })]
#[case::foreign(Plan { foreign: true, ..Plan::default() })]
#[case::truncated(Plan { truncated: true, ..Plan::default() })]
#[tokio::test(flavor = "multi_thread")]
async fn an_engine_that_fails_gives_no_wrong_stream(#[case] plan: Plan) {
    let mut fleet = fleet(WARM).await;
    let report = run(&mut fleet, "stream=1", async |fleet| {
        for engine in fleet.engines.values() {
            let plan = befall(plan.clone(), BEFALLEN_EACH);
            engine.shared.fault.set_plan(plan);
        }
    })
    .await;
    assert_sound(&report);
}

#[rstest]
#[case::deaf(Silence::Deaf)]
#[case::mute(Silence::Mute)]
#[tokio::test(flavor = "multi_thread")]
async fn connections_that_go_silent_are_given_up(#[case] silence: Silence) {
    let mut fleet = fleet(WARM).await;
    let report = run(&mut fleet, "lookup=3,purchase=1,stream=2", async |fleet| {
        let engines = fleet.engines.values().map(|engine| &engine.shared);
        let all: Vec<&Shared> = fleet.plains.values().chain(engines).collect();
        for shared in all {
            shared.fault.silence(silence);
        }
    })
    .await;
    assert_sound(&report);
    assert!(report.lookups_answered(), "{}", Table(&report));
}

#[rstest]
#[case::refusing(Reachability::Refusing)]
#[case::down(Reachability::Down)]
#[tokio::test(flavor = "multi_thread")]
async fn one_desk_of_two_that_is_out_leaves_lookups_answered(#[case] reach: Reachability) {
    let mut fleet = fleet(WARM).await;
    let report = run(&mut fleet, "lookup=3,purchase=2", async |fleet| {
        let desk = fleet.plains.values().next().unwrap();
        desk.fault.limit(reach, Duration::from_secs(1));
    })
    .await;
    assert_sound(&report);
    assert!(report.lookups_answered(), "{}", Table(&report));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_host_that_is_killed_and_replaced_loses_and_doubles_nothing() {
    let mut fleet = fleet(WARM).await;
    let mix = "lookup=4,purchase=2,chat=1,stream=1";
    let report = run(&mut fleet, mix, async |fleet| {
        fleet.kill("z1-h1").unwrap();
        tokio::time::sleep(Duration::from_millis(300)).await;
        fleet.restart("z1-h1").await.unwrap();
    })
    .await;
    assert_sound(&report);
    assert!(report.lookups_answered(), "{}", Table(&report));
}

#[tokio::test(flavor = "multi_thread")]
async fn an_engine_in_cold_start_gets_no_more_than_it_bears() {
    let mut fleet = fleet(ONE_EACH).await;
    let report = run(&mut fleet, "chat=1,stream=1", async |_| ()).await;
    assert_sound(&report);
    assert_eq!(report.overloads, 0, "{}", Table(&report));
}
