//! What upstreams state of their load and speed, and what hosts make of it.

use std::time::Duration;

use masticmoor::gateway::capacity::Sample;
use masticmoor::gateway::capacity::Table;
use masticmoor::gateway::capacity::exchange;
use masticmoor::gateway::capacity::exchange::Reading;
use masticmoor::gateway::capacity::table::Key;
use masticmoor::gateway::capacity::usual::Work;
use masticmoor::gateway::datagram;
use masticmoor::gateway::datagram::DATAGRAM_BYTES;
use masticmoor::gateway::datagram::Origins;
use masticmoor::gateway::datagram::format::Extension;
use masticmoor::gateway::health::Status;
use masticmoor::gateway::load;
use masticmoor::gateway::placement;
use masticmoor::gateway::placement::Candidate;
use masticmoor::gateway::placement::Choice;
use masticmoor::gateway::placement::Mean;
use masticmoor::gateway::placement::Prompt;
use masticmoor::gateway::upstream::Upstream;
use masticmoor::ident;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;
use tokio::time::advance;

const SECOND: Duration = Duration::from_secs(1);

/// Requests that other hosts sent after their reports would be missing until the next ones, and
/// a statement that was kept too long would hide an upstream that has become idle.
#[tokio::test(start_paused = true)]
async fn a_statement_counts_while_it_is_younger_than_reports_and_moves_with_own_requests() {
    let id = ident::Upstream::from("u1");
    let mut loads = load::Table::default();
    loads.begin(&id);
    loads.report(
        Instant::now(),
        load::Source::Host(7),
        [(id.clone(), 2)].into(),
    );
    let known = |loads: &load::Table| {
        let now = Instant::now();
        loads.known(now, &id, loads.age(now), Some(SECOND))
    };
    advance(SECOND / 2).await;
    loads.record_statement(Instant::now(), &id, 9);
    assert_eq!(known(&loads).requests, 9);
    assert_eq!(known(&loads).unseen, 0.0);
    loads.begin(&id);
    loads.begin(&id);
    loads.end(&id);
    assert_eq!(known(&loads).requests, 10);
    // Hosts count more than is stated, as requests on their way there are.
    loads.record_statement(Instant::now(), &id, 1);
    assert_eq!((known(&loads).requests, known(&loads).latest), (4, 2));
    loads.record_statement(Instant::now(), &id, 9);
    advance(SECOND / 4).await;
    assert_eq!(known(&loads).requests, 9);
    loads.report(
        Instant::now(),
        load::Source::Host(7),
        [(id.clone(), 2)].into(),
    );
    assert_eq!(known(&loads).requests, 4);
    advance(SECOND * 2).await;
    assert_eq!(known(&loads).requests, 4);
}

fn upstream(started_ms: u64) -> Upstream {
    Upstream {
        id: "u1".into(),
        service: "s1".into(),
        version: "v1".into(),
        address: ([10, 0, 0, 9], 80).into(),
        zone: "z1".into(),
        slots: 16,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: Some(started_ms),
    }
}

/// Records a slowdown twice a second for a time, and returns concurrency and slowdown after it.
async fn play(table: &mut Table, seconds: u32, slowdown: f64) -> (f64, f64) {
    for _ in 0..seconds * 2 {
        advance(SECOND / 2).await;
        table.record(Instant::now(), &upstream(1), Sample::Stated(slowdown));
    }
    estimate(table)
}

fn estimate(table: &Table) -> (f64, f64) {
    let estimate = table.estimate(Instant::now(), &upstream(1));
    (estimate.concurrency, estimate.slowdown)
}

/// An upstream that is slower is avoided and gets less, one that is slow whatever it gets keeps a
/// part, and both are over soon after the slowdown.
#[tokio::test(start_paused = true)]
async fn the_estimate_follows_a_change_down_to_a_floor_and_back() {
    let mut table = Table::default();
    assert_eq!(play(&mut table, 10, 1.0).await, (16.0, 1.0));
    let (concurrency, slowdown) = play(&mut table, 2, 4.0).await;
    assert!(
        concurrency < 8.0 && slowdown == 4.0,
        "{concurrency} {slowdown}"
    );
    assert_eq!(table.review(Instant::now()).len(), 1);
    assert_eq!(play(&mut table, 60, 4.0).await, (4.0, 4.0));
    assert_eq!(table.review(Instant::now()).len(), 0);
    let (concurrency, slowdown) = play(&mut table, 3, 1.0).await;
    assert!(
        concurrency > 8.0 && slowdown == 1.0,
        "{concurrency} {slowdown}"
    );
    assert_eq!(play(&mut table, 3, 1.0).await, (16.0, 1.0));
    assert!(!table.review(Instant::now())[0].is_lowered);
}

/// Noise that is taken as lasting would keep capacity unused: 15 % of the time, each upstream is
/// slow for reasons that end at once.
#[tokio::test(start_paused = true)]
async fn noise_of_600_ms_lowers_no_limit() {
    let mut rng = StdRng::seed_from_u64(42);
    let mut table = Table::default();
    let mut lowered = 0;
    for _ in 0..2_000 {
        let slowdown = if rng.random_bool(0.15) { 2.5 } else { 1.0 };
        for _ in 0..6 {
            advance(SECOND / 10).await;
            table.record(Instant::now(), &upstream(1), Sample::Stated(slowdown));
        }
        lowered += u32::from(estimate(&table).0 < 12.0);
    }
    assert!(lowered <= 40, "lowered in {lowered} of 2,000 periods");
}

/// One reading in a silence may fall into noise, and an upstream that isn't tried again would stay
/// slow for ever.
#[tokio::test(start_paused = true)]
async fn a_single_reading_is_no_evidence_and_silence_restores_the_usual_estimate() {
    let mut table = Table::default();
    table.record(Instant::now(), &upstream(1), Sample::Stated(2.5));
    assert_eq!(estimate(&table), (16.0, 2.5));
    assert_eq!(play(&mut table, 20, 4.0).await, (4.0, 4.0));
    advance(SECOND * 8).await;
    let (concurrency, slowdown) = estimate(&table);
    assert!(
        concurrency > 15.9 && slowdown < 1.2,
        "{concurrency} {slowdown}"
    );
    play(&mut table, 20, 4.0).await;
    let restarted = table.estimate(Instant::now(), &upstream(2));
    assert_eq!((restarted.concurrency, restarted.slowdown), (16.0, 1.0));
}

/// An upstream that slows down with its load would never be found to take more than at its worst.
#[tokio::test(start_paused = true)]
async fn a_lowered_limit_is_probed_upwards() {
    let mut table = Table::default();
    play(&mut table, 20, 4.0).await;
    let mut limits = Vec::new();
    for _ in 0..200 {
        // Twice as slow from ten requests on.
        let is_full = estimate(&table).0 > 10.0;
        limits.push(play(&mut table, 1, if is_full { 2.2 } else { 1.0 }).await.0);
    }
    let mean = limits.iter().sum::<f64>() / 200.0;
    assert!((8.0..13.0).contains(&mean), "{mean}");
}

/// Upstreams that don't state their speed are served as before while they respond evenly.
#[tokio::test(start_paused = true)]
async fn uneven_responses_count_only_when_they_are_far_from_usual() {
    let mut table = Table::default();
    let mut observe = async |work: Work, ms: u64| {
        advance(SECOND / 10).await;
        let sample = Sample::Observed(work, Duration::from_millis(ms));
        table.record(Instant::now(), &upstream(1), sample);
        estimate(&table)
    };
    for ms in [40, 70, 60, 75, 55].repeat(40) {
        assert_eq!(observe(Work::Idempotent, ms).await, (16.0, 1.0));
    }
    for ms in [0, 1, 0, 2, 19].repeat(40) {
        assert_eq!(observe(Work::Event, ms).await, (16.0, 1.0));
    }
    for _ in 0..5 {
        observe(Work::Idempotent, 240).await;
    }
    assert!(observe(Work::Idempotent, 240).await.1 > 1.5);
    assert_ne!(Key::of(&upstream(1)), Key::of(&upstream(2)));
}

/// An engine that holds a prompt but is far slower than others brings the first event later than a
/// copy does; one that is hardly slower keeps the prompt, and none gets more than its cap.
#[test]
fn a_slow_holder_is_left_for_a_fast_engine_below_its_cap() {
    let ids = ["u1", "u2"].map(ident::Upstream::from);
    let choose = |slowdown, other_load| {
        let candidates = [(0, slowdown, true), (1, 1.0, false)].map(|(at, slowdown, is_holder)| {
            let id: &ident::Upstream = &ids[at];
            Candidate {
                id,
                load: if at == 0 { 4 } else { other_load },
                unseen: 0.0,
                slots: 16,
                concurrency: 16.0,
                slowdown,
                states_load: true,
                is_local: true,
                status: Status::Healthy,
                failure_rate: 0.0,
                cold_quota: None,
                limit_quota: None,
                room: None,
                is_tried: false,
                is_holder,
            }
        });
        let mean = Mean {
            listed: 4.0,
            sound: 4.0,
            reachable: 4.0,
        };
        let (key, tokens) = (1, 10_512);
        placement::engine(Prompt { key, tokens }, mean, &candidates, true, 0.5)
    };
    assert_eq!(choose(1.0, 0), Choice::Send(0));
    assert_eq!(choose(1.6, 4), Choice::Send(0));
    assert_eq!(choose(2.5, 4), Choice::Send(1));
    // Above 1.4 times the mean and 1.5, it gets no prompt that it doesn't hold.
    assert_eq!(choose(2.5, 8), Choice::Send(0));
}

/// A message must fit a datagram whatever is appended to it, and bytes of any sender are read.
#[tokio::test(start_paused = true)]
async fn readings_reach_other_hosts_as_far_as_they_fit_and_younger_ones_hold() {
    let (mut sender, mut table) = (Table::default(), Table::default());
    play(&mut sender, 1, 2.53).await;
    advance(SECOND / 4).await;
    let now = Instant::now();
    let readings = sender.readings(now, false);
    let key = Key::of(&upstream(1));
    let age = SECOND / 4;
    let slowdown = 2.53;
    assert_eq!(readings, [Reading { key, slowdown, age }]);
    assert_eq!(exchange::decode(&exchange::encode(&readings)), readings);
    let mut bytes = Origins::default().encode().unwrap().remove(0);
    let length = bytes.len();
    assert_eq!(
        Extension::append_readings(&mut bytes, &readings).unwrap(),
        0
    );
    assert_eq!(bytes.len(), length + 20);
    assert_eq!(datagram::decode(&bytes).unwrap().readings, readings);
    let mut full = vec![0; DATAGRAM_BYTES - 20];
    let two = [readings[0], readings[0]];
    assert_eq!(Extension::append_readings(&mut full, &two).unwrap(), 1);
    assert_eq!(full.len(), DATAGRAM_BYTES);

    // The one of another host is older than this host's own, or has waited too long.
    table.record(now, &upstream(1), Sample::Stated(1.0));
    table.merge(now, &readings[0], Duration::ZERO);
    assert_eq!(estimate(&table), (16.0, 1.0));
    advance(SECOND).await;
    let now = Instant::now();
    table.merge(now, &readings[0], SECOND * 2);
    assert_eq!(estimate(&table), (16.0, 1.0));
    table.merge(now, &readings[0], Duration::ZERO);
    assert!(estimate(&table).1 > 1.5);
    // It goes on to other zones, but isn't told as one that this host read.
    assert_eq!(table.readings(now, true)[0].slowdown, 2.53);
    assert_eq!(table.readings(now, false), []);
    for length in 0..40 {
        exchange::decode(&vec![0xff; length]);
        table.merge(
            now,
            &Reading {
                slowdown: 0.0,
                ..readings[0]
            },
            Duration::ZERO,
        );
    }
}
