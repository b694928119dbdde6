//! One run of a deployment with its trace and faults, as a discrete-event
//! simulation: events are handled in the order of virtual time, and each may
//! schedule others.

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

/// Interval between the load announcements of a host.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(1);

/// Age of an upstream's load report on arrival; also the interval of reports.
const REPORT_LAG: Duration = Duration::from_secs(1);

/// Interval between the ticks of the admission schedulers.
const TICK_INTERVAL: Duration = Duration::from_millis(100);

/// Time for the last requests to end after arrivals stop.
const DRAIN_TIME: Duration = Duration::from_secs(60);

/// Maximum number of times that a request is sent to an upstream.
const MAX_ATTEMPTS: u32 = 4;

/// A scheduled event. Requests are identified by their index in the trace.
enum Event {
    Arrive(usize),
    Route(usize),
    Run(usize, Permit),
    Finish(usize, u64),
    Heartbeat(ident::Host),
    Report(BTreeMap<ident::Upstream, u32>),
    Cached(u64, ident::Upstream),
    Tick,
    Step(plan::Step),
    Rules(ident::Host, Rules),
    Started(ident::Upstream),
}

/// A request that has arrived and not ended.
struct Pending {
    phase: Phase,
    entry: ident::Host,
    attempts: u32,
    /// Whether it waits only for the upstream that has its chat cached.
    only_warm: bool,
    arrived: Instant,
    /// Identifies the current execution; the end of an earlier one is ignored.
    execution: u64,
    running: Option<(ident::Upstream, Option<Permit>, Run)>,
}

/// The state of one run.
pub struct Simulation {
    strategy: Strategy,
    start: Instant,
    end: Duration,
    now: Instant,
    rng: StdRng,
    events: BTreeMap<(Instant, u64), Event>,
    /// Number of the last event or execution; orders events of the same time.
    sequence: u64,
    requests: Vec<Request>,
    register: Register,
    rules: Rules,
    is_platform_up: bool,
    engines: BTreeMap<ident::Upstream, Engine>,
    entries: BTreeMap<ident::Host, Entry>,
    schedulers: Schedulers,
    pending: BTreeMap<usize, Pending>,
    /// Requests in flight at each upstream, as last reported.
    reported: BTreeMap<ident::Upstream, u32>,
    /// The upstream of each chat, by the last cache event.
    cached_at: BTreeMap<u64, ident::Upstream>,
    results: Results,
}

/// Runs a deployment with one strategy and returns the results.
pub fn run(deployment: &Deployment, strategy: Strategy, seed: u64, end: Duration) -> Results {
    let mut simulation = Simulation::new(deployment, strategy, seed, end);
    while let Some(((at, _), event)) = simulation.events.pop_first() {
        simulation.now = at;
        simulation.handle(event);
    }
    simulation.results
}

impl Simulation {
    fn new(deployment: &Deployment, strategy: Strategy, seed: u64, end: Duration) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let requests = trace::generate(deployment, &mut rng, end, &plan::surge());
        let register = deployment::register(deployment);
        let start = Instant::now();
        let engines = register.upstreams.iter();
        let engines =
            engines.map(|(name, spec)| (name.clone(), Engine::new(spec, deployment.cache)));
        let pools = vec![deployment::engines(), deployment::plain()];
        let mut simulation = Self {
            strategy,
            start,
            end,
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

    /// Schedules a recurring event, unless the run has ended by then.
    fn schedule_repeated(&mut self, wait: Duration, event: Event) {
        if self.now + wait < self.start + self.end + DRAIN_TIME {
            self.schedule(wait, event);
        }
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrive(id) => self.arrive(id),
            Event::Route(id) => self.route(id),
            Event::Run(id, permit) => {
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
