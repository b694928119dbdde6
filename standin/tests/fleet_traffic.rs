//! Mixed traffic through a fleet while upstreams and hosts fail: every response
//! is complete and belongs to its request, and every purchase runs at most once.
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

/// The duration of the traffic.
const TRAFFIC: Duration = Duration::from_secs(3);
/// The time from the start of the traffic to the fault.
const FAULT_AT: Duration = Duration::from_millis(700);
/// The number of requests that fail at the one faulty ticket service.
const SERVICE_FAULTS: u32 = 24;
/// The number of requests that fail at each of the two engines.
const ENGINE_FAULTS: u32 = 12;
/// Number of answers after which an engine is warm: it is warm from the start.
const WARM_FROM_START: u32 = 0;
/// Number of answers after which an engine is warm: from 2 cold slots to all 8,
/// one more with each answer.
const WARM_AFTER_ANSWERS: u32 = 6;

/// Starts a fleet of two zones with two hosts, an engine and a ticket service each.
/// The engines are warm after the given number of answers.
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
        duration: TRAFFIC,
        mix: mix.parse().unwrap(),
        workspaces: vec!["one".to_owned(), "two".to_owned()],
        model: "assistant".to_owned(),
        timeout: Duration::from_secs(4),
        journals: upstreams.filter_map(|upstream| upstream.address).collect(),
        seed: 7,
    }
}

/// Runs callers and injects a fault after [`FAULT_AT`].
async fn run(fleet: &mut Fleet, mix: &str, fault: impl AsyncFnOnce(&mut Fleet)) -> Report {
    let options = options(fleet, mix);
    let traffic = async {
        caller::run(&options, CancellationToken::new())
            .await
            .unwrap()
    };
    let inject = async {
        tokio::time::sleep(FAULT_AT).await;
        fault(fleet).await;
    };
    let (report, ()) = tokio::join!(traffic, inject);
    println!("{}", Table(&report));
    report
}

fn limit_to(plan: Plan, requests: u32) -> Plan {
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
async fn a_faulty_service_runs_no_purchase_twice(#[case] plan: Plan) {
    let mut fleet = fleet(WARM_FROM_START).await;
    let report = run(&mut fleet, "lookup=3,purchase=2", async |fleet| {
        // The other ticket service works, so every lookup must be answered.
        let service = fleet.plains.values().next().unwrap();
        service.fault.set_plan(limit_to(plan, SERVICE_FAULTS));
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
async fn a_faulty_engine_causes_no_wrong_stream(#[case] plan: Plan) {
    let mut fleet = fleet(WARM_FROM_START).await;
    let report = run(&mut fleet, "stream=1", async |fleet| {
        for engine in fleet.engines.values() {
            let plan = limit_to(plan.clone(), ENGINE_FAULTS);
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
async fn silent_connections_are_abandoned(#[case] silence: Silence) {
    let mut fleet = fleet(WARM_FROM_START).await;
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
async fn lookups_are_answered_while_one_of_two_services_is_out(#[case] reach: Reachability) {
    let mut fleet = fleet(WARM_FROM_START).await;
    let report = run(&mut fleet, "lookup=3,purchase=2", async |fleet| {
        let service = fleet.plains.values().next().unwrap();
        service.fault.limit(reach, Duration::from_secs(1));
    })
    .await;
    assert_sound(&report);
    assert!(report.lookups_answered(), "{}", Table(&report));
}

#[tokio::test(flavor = "multi_thread")]
async fn a_killed_and_restarted_host_causes_no_lost_or_doubled_purchase() {
    let mut fleet = fleet(WARM_FROM_START).await;
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
async fn an_engine_in_cold_start_is_not_overloaded() {
    let mut fleet = fleet(WARM_AFTER_ANSWERS).await;
    let report = run(&mut fleet, "chat=1,stream=1", async |_| ()).await;
    assert_sound(&report);
    assert_eq!(report.overloads, 0, "{}", Table(&report));
}
