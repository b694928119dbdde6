//! One run: a deployment, its trace and its faults under virtual time.

mod entry;
mod execution;
mod fault;
mod route;
mod skew;

use std::collections::BTreeMap;
use std::time::Duration;

use masticmoor::home::admission::Permit;
use masticmoor::ident;
use masticmoor::register::Register;
use masticmoor::rules::Rules;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::time::Instant;

use super::admission::Schedulers;
use super::deployment;
use super::deployment::Deployment;
use super::engine::Engine;
use super::engine::Run;
use super::plan;
use super::plan::Phase;
use super::results::Results;
use super::strategy::Strategy;
use super::trace;
use super::trace::Request;
use entry::Entry;

/// How often a host tells its load and an upstream reports its own.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// How old a report is when it arrives.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// How often a desk looks for waits that are over.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// How long the last requests have to end.
const DRAIN_TIME: Duration = Duration::from_secs(60);

/// The most times that a request is sent to an upstream.
const MAX_ATTEMPTS: u32 = 4;

/// What happens next.
enum Event {
    Arrive(usize),
    Route(usize),
    Admit(usize, Permit),
    Finish(usize, u64),
    Heartbeat(ident::Host),
    Report(BTreeMap<ident::Upstream, u32>),
    Cached(u64, ident::Upstream),
    Tick,
    Step(plan::Step),
    Rules(ident::Host, Rules),
    Started(ident::Upstream),
}

/// A request that came and has not ended.
struct Pending {
    phase: Phase,
    entry: ident::Host,
    attempts: u32,
    /// Whether it waits for the place where its chat is cached.
    only_warm: bool,
    arrived: Instant,
    execution: u64,
    running: Option<(ident::Upstream, Option<Permit>, Run)>,
}

/// One run.
pub struct Simulation {
    strategy: Strategy,
    start: Instant,
    until: Duration,
    now: Instant,
    rng: StdRng,
    events: BTreeMap<(Instant, u64), Event>,
    sequence: u64,
    requests: Vec<Request>,
    register: Register,
    rules: Rules,
    is_platform_up: bool,
    engines: BTreeMap<ident::Upstream, Engine>,
    entries: BTreeMap<ident::Host, Entry>,
    schedulers: Schedulers,
    pending: BTreeMap<usize, Pending>,
    reported: BTreeMap<ident::Upstream, u32>,
    cached_at: BTreeMap<u64, ident::Upstream>,
    results: Results,
}

/// Runs a deployment in one way and returns what it has shown.
pub fn run(deployment: &Deployment, strategy: Strategy, seed: u64, until: Duration) -> Results {
    let mut simulation = Simulation::new(deployment, strategy, seed, until);
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.results
}

impl Simulation {
    fn new(deployment: &Deployment, strategy: Strategy, seed: u64, until: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let requests = trace::generate(deployment, &mut rng, until, &plan::surge());
        let register = deployment::register(deployment);
        let start = Instant::now();
        let engines = register.upstreams.iter();
        let engines =
            engines.map(|(name, spec)| (name.clone(), Engine::new(spec, deployment.cache)));
        let pools = vec![deployment::engines(), deployment::plain()];
        let mut simulation = Self {
            strategy,
            start,
            until,
            now: start,
            rng,
            events: BTreeMap::new(),
            sequence: 0,
            requests,
            rules: Rules::default(),
            is_platform_up: true,
            engines: engines.collect(),
            entries: entry::all(&register),
            schedulers: Schedulers::new(start, &register, pools),
            pending: BTreeMap::new(),
            reported: BTreeMap::new(),
            cached_at: BTreeMap::new(),
            results: Results::new(),
            register,
        };
        simulation.schedule_all();
        simulation
    }

    fn schedule_all(&mut self) {
        for (at, step) in plan::steps() {
            self.schedule(at, Event::Step(step));
        }
        let arrivals: Vec<Duration> = self.requests.iter().map(|it| it.at).collect();
        for (id, at) in arrivals.into_iter().enumerate() {
            self.schedule(at, Event::Arrive(id));
        }
        let hosts: Vec<ident::Host> = self.entries.keys().cloned().collect();
        for host in hosts {
            let jitter = HEARTBEAT_INTERVAL.mul_f64(self.rng.random());
            self.schedule(jitter, Event::Heartbeat(host));
        }
        self.schedule(REPORT_LAG, Event::Report(BTreeMap::new()));
        self.schedule(TICK_INTERVAL, Event::Tick);
    }

    fn schedule(&mut self, wait: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + wait, self.sequence), event);
    }

    /// Schedules an event that repeats until the run is over.
    fn schedule_repeated(&mut self, wait: Duration, event: Event) {
        if self.now + wait < self.start + self.until + DRAIN_TIME {
            self.schedule(wait, event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::Route(id) => self.route(id),
            Event::Admit(id, permit) => {
                let upstream = permit.upstream().clone();
                self.execute(id, upstream, Some(permit));
            }
            Event::Finish(id, execution) => self.finish(id, execution),
            Event::Heartbeat(host) => {
                self.schedulers.heartbeat(self.now, &host);
                self.schedule_repeated(HEARTBEAT_INTERVAL, Event::Heartbeat(host));
            }
            Event::Report(report) => {
                self.reported = report;
                let loads = self
                    .engines
                    .iter()
                    .map(|(name, it)| (name.clone(), it.inflight()));
                let next = Event::Report(loads.collect());
                self.schedule_repeated(REPORT_LAG, next);
            }
            Event::Cached(key, upstream) => drop(self.cached_at.insert(key, upstream)),
            Event::Tick => {
                let resolutions = self.schedulers.tick(self.now);
                self.apply_resolutions(resolutions);
                self.schedule_repeated(TICK_INTERVAL, Event::Tick);
            }
            Event::Step(step) => self.step(step),
            Event::Rules(host, rules) => self.apply_rules(&host, rules),
            Event::Started(upstream) => self.schedulers.restart_ramp(&upstream),
        }
    }

    fn arrive(&mut self, id: usize) {
        let Some(kind) = self.requests.get(id).map(|it| it.kind) else {
            return;
        };
        self.results.record_arrival(kind);
        let pending = Pending {
            phase: self.results.phase(),
            entry: self.live_entry(),
            attempts: 0,
            only_warm: false,
            arrived: self.now,
            execution: 0,
            running: None,
        };
        if let Some(entry) = self.entries.get_mut(&pending.entry) {
            entry.budget.record_request();
        }
        self.pending.insert(id, pending);
        self.route(id);
    }
}
