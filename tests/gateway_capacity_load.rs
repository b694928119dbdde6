//! A small simulated service against the placement, with and without what hosts estimate of its
//! upstreams.

#![expect(clippy::indexing_slicing, reason = "a test may panic")]

use std::collections::VecDeque;
use std::time::Duration;

use masticmoor::gateway::capacity;
use masticmoor::gateway::capacity::Estimate;
use masticmoor::gateway::capacity::Sample;
use masticmoor::gateway::health::Status;
use masticmoor::gateway::load;
use masticmoor::gateway::placement;
use masticmoor::gateway::placement::Candidate;
use masticmoor::gateway::placement::Choice;
use masticmoor::gateway::placement::Mean;
use masticmoor::gateway::placement::Member;
use masticmoor::gateway::upstream::Upstream;
use masticmoor::ident;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

const HOSTS: usize = 24;
const UPSTREAMS: usize = 7;
const SLOTS: usize = 6;
/// Requests that an upstream queues before it resets connections.
const QUEUE: usize = 24;
const WORK_MS: f64 = 60.0;
const OBJECTIVE_MS: u64 = 300;
const LENGTH_MS: u64 = 20_000;
/// When half of the upstreams are four times slower.
const SLOW_MS: std::ops::Range<u64> = 8_000..14_000;
const REPORT_MS: u64 = 800;

#[derive(Clone, Copy)]
struct Request {
    host: usize,
    arrived: u64,
    left_ms: f64,
}

#[derive(Default)]
struct Server {
    /// Requests in the order of their arrival; the first ones run.
    requests: VecDeque<Request>,
    is_noisy: bool,
}

impl Server {
    /// Returns how many times as long as usual work takes. Even ones have half the speed from half
    /// of their slots on, odd ones slow down for a while.
    fn slowdown(&self, at: usize, now: u64) -> f64 {
        let noise = if self.is_noisy { 2.5 } else { 1.0 };
        let is_full = at.is_multiple_of(2) && self.requests.len() > SLOTS / 2;
        let is_slow = !at.is_multiple_of(2) && SLOW_MS.contains(&now);
        noise * if is_full { 2.0 } else { 1.0 } * if is_slow { 4.0 } else { 1.0 }
    }
}

/// Plays `rate` requests a second, and returns how many in a hundred are answered in time.
fn play(rate: f64, has_estimates: bool, seed: u64) -> f64 {
    let mut rng = StdRng::seed_from_u64(seed);
    let listed: Vec<Upstream> = (0..UPSTREAMS).map(upstream).collect();
    let start = Instant::now();
    let mut servers: Vec<Server> = (0..UPSTREAMS).map(|_| Server::default()).collect();
    let mut loads = vec![load::Table::default(); HOSTS];
    let mut capacities = vec![capacity::Table::default(); HOSTS];
    let mut waiting: Vec<Request> = Vec::new();
    let (mut arrived, mut in_time) = (0_u32, 0_u32);
    for ms in 0..LENGTH_MS {
        let now = start + Duration::from_millis(ms);
        for (at, server) in servers.iter_mut().enumerate() {
            if (ms + 85 * at as u64).is_multiple_of(600) {
                server.is_noisy = rng.random_bool(0.15);
            }
            let slowdown = server.slowdown(at, ms);
            for request in server.requests.iter_mut().take(SLOTS) {
                request.left_ms -= 1.0 / slowdown;
            }
            let requests = server.requests.len() as u32;
            server.requests.retain(|request| {
                let is_over = request.left_ms <= 0.0;
                if is_over {
                    let loads = &mut loads[request.host];
                    if has_estimates {
                        loads.record_statement(now, &listed[at].id, requests);
                        capacities[request.host].record(now, &listed[at], Sample::Stated(slowdown));
                    }
                    loads.end(&listed[at].id);
                    let took = ms - request.arrived;
                    loads.record_duration(&"s1".into(), Duration::from_millis(took));
                    in_time += u32::from(took <= OBJECTIVE_MS);
                }
                !is_over
            });
        }
        for host in 0..HOSTS {
            if (ms + 33 * host as u64).is_multiple_of(REPORT_MS) {
                let counts = loads[host].own_counts().clone();
                for other in (0..HOSTS).filter(|it| *it != host) {
                    loads[other].report(now, load::Source::Host(host as u64), counts.clone());
                    for reading in capacities[host].readings(now, false) {
                        capacities[other].merge(now, &reading, Duration::ZERO);
                    }
                }
            }
        }
        if rng.random_bool(rate / 1_000.0) {
            let host = rng.random_range(0..HOSTS);
            arrived += 1;
            waiting.push(Request {
                host,
                arrived: ms,
                left_ms: WORK_MS,
            });
        }
        waiting.retain(|request| {
            let age = ms - request.arrived;
            let capacity = &capacities[request.host];
            let loads = &mut loads[request.host];
            if !age.is_multiple_of(20) || age >= OBJECTIVE_MS / 2 {
                return age < OBJECTIVE_MS / 2;
            }
            let draw = rng.random();
            let Choice::Send(at) = place(now, &listed, loads, capacity, draw) else {
                return true;
            };
            if servers[at].requests.len() < SLOTS + QUEUE {
                loads.begin(&listed[at].id);
                servers[at].requests.push_back(*request);
            }
            false
        });
    }
    f64::from(in_time) * 100.0 / f64::from(arrived)
}

fn place(
    now: Instant,
    listed: &[Upstream],
    loads: &load::Table,
    capacity: &capacity::Table,
    draw: f64,
) -> Choice {
    let (age, duration) = (loads.age(now), loads.duration(&"s1".into()));
    let known = |it: &Upstream| loads.known(now, &it.id, age, duration);
    let candidates = listed.iter().map(|it| {
        let Estimate {
            concurrency,
            slowdown,
        } = capacity.estimate(now, it);
        Candidate {
            id: &it.id,
            load: known(it).requests,
            unseen: known(it).unseen,
            slots: it.slots,
            concurrency,
            slowdown,
            states_load: loads.is_stated(&it.id),
            is_local: true,
            status: Status::Healthy,
            failure_rate: 0.0,
            cold_quota: None,
            limit_quota: None,
            room: None,
            is_tried: false,
            is_holder: false,
        }
    });
    let members = listed.iter().map(|it| Member {
        load: known(it).latest,
        status: Status::Healthy,
        is_cold: false,
    });
    let mean = Mean::of(&members.collect::<Vec<_>>());
    placement::plain(draw, mean, &candidates.collect::<Vec<_>>(), false)
}

fn upstream(number: usize) -> Upstream {
    Upstream {
        id: ident::Upstream::from(format!("u{number}").as_str()),
        service: "s1".into(),
        version: "v1".into(),
        address: ([10, 0, 0, 9], 80).into(),
        zone: "z1".into(),
        slots: SLOTS as u32,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: None,
    }
}

/// Returns the responses in time in percent, as means of eight seeds: without and with estimates.
fn compare(rate: f64) -> (f64, f64) {
    let played = |has_estimates| (0..8).map(move |seed| play(rate, has_estimates, seed));
    let mean = |has_estimates| played(has_estimates).sum::<f64>() / 8.0;
    let (without, with) = (mean(false), mean(true));
    println!("{rate} requests a second: {without:.1} % in time, with estimates {with:.1} %");
    (without, with)
}

/// Without estimates, upstreams that are slow get as many requests as the others.
#[test]
fn more_callers_get_a_response_in_time_with_estimates() {
    for (rate, gain) in [(120.0, 0.5), (180.0, 1.5), (320.0, 3.0)] {
        let (without, with) = compare(rate);
        assert!(with >= without + gain, "{without} without, {with} with");
    }
}

/// Estimates must not cost responses either where the service is saturated while half of it is
/// slow.
#[test]
fn estimates_cost_no_response_in_time_in_a_saturated_service() {
    let (without, with) = compare(220.0);
    assert!(with >= without, "{without} without, {with} with");
}
