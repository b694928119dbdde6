//! A simulated fleet whose hosts choose engines by counts that reach them late, as gossip
//! brings them: messages of hosts within a zone, and a summary between zones once a second.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::time::Duration;

use masticmoor::gateway::health::Status;
use masticmoor::gateway::load;
use masticmoor::gateway::placement;
use masticmoor::gateway::placement::Candidate;
use masticmoor::gateway::placement::Choice;
use masticmoor::gateway::placement::Mean;
use masticmoor::gateway::placement::Member;
use masticmoor::gateway::placement::Prompt;
use masticmoor::ident;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;

/// Time between two messages of a host without news.
const ROUND: Duration = Duration::from_millis(820);

/// Minimum time between two messages of a host with news.
const URGENT_ROUND: Duration = Duration::from_millis(50);

/// Time between two summaries of a relay; the two relays of a zone send in turn.
const SUMMARY: Duration = Duration::from_secs(1);

/// Time from the sending of a datagram until its content is read.
const DELIVERY: Duration = Duration::from_millis(20);

/// Time after which a request that has to wait chooses again.
const POLL: Duration = Duration::from_millis(20);

/// Time that prompts and loads need to settle, not counted in the results.
const WARM_UP: Duration = Duration::from_secs(4);

/// The span in which users count requests above the bound.
const WINDOW: Duration = Duration::from_secs(5);

/// A fleet and its traffic.
#[derive(Clone, Copy, Debug)]
pub struct Shape {
    /// Number of zones.
    pub zones: usize,
    /// Hosts in each.
    pub hosts: usize,
    /// Engines in each.
    pub engines: usize,
    /// Requests that an engine runs concurrently.
    pub slots: u32,
    /// Requests of all kinds per second and engine.
    pub rate: f64,
    /// Share of the requests with a long prompt that have the same one.
    pub shared: f64,
    /// Whether the last zone is evacuated.
    pub is_evacuated: bool,
    /// Share of the datagrams that are lost.
    pub loss: f64,
}

/// A kind of request.
struct Kind {
    /// Share of all requests.
    share: f64,
    /// Length of the prompt.
    tokens: u64,
    /// Number of prompts for each engine.
    prompts: f64,
    /// Mean time at an engine in seconds.
    seconds: f64,
}

/// Mean time at an engine of all kinds together.
const MEAN_DURATION: Duration = Duration::from_millis(620);

const KINDS: [Kind; 3] = [
    Kind {
        share: 0.24,
        tokens: 10_512,
        prompts: 5.3,
        seconds: 1.25,
    },
    Kind {
        share: 0.28,
        tokens: 699,
        prompts: 2.7,
        seconds: 0.95,
    },
    Kind {
        share: 0.48,
        tokens: 2_041,
        prompts: 4.6,
        seconds: 0.12,
    },
];

/// What the hosts did with the requests of a run.
#[derive(Clone, Copy, Debug, Default)]
pub struct Outcome {
    /// Most requests in a hundred that were sent, in any span of five seconds, to an engine above
    /// twice the mean plus three.
    pub above: f64,
    /// Requests with a long prompt in a hundred that went to an engine that didn't hold it, as far
    /// as the host knew.
    pub prefilled: f64,
    /// Requests in a hundred that had to wait.
    pub waits: f64,
}

#[derive(Clone, Debug)]
enum Event {
    Arrival,
    Retry {
        host: usize,
        request: Request,
    },
    End {
        host: usize,
        engine: usize,
    },
    Round {
        host: usize,
        number: u64,
    },
    Message {
        from: usize,
        loads: BTreeMap<usize, u32>,
        news: Vec<(u64, usize)>,
    },
    Relay {
        zone: usize,
        rank: usize,
    },
    Summary {
        zone: usize,
        loads: Vec<u32>,
        news: BTreeSet<(u64, usize)>,
    },
}

#[derive(Clone, Copy, Debug)]
struct Request {
    key: u64,
    kind: usize,
    has_waited: bool,
}

#[derive(Clone, Debug, Default)]
struct Host {
    own: BTreeMap<usize, u32>,
    /// Latest report of each host of its zone.
    reports: BTreeMap<usize, BTreeMap<usize, u32>>,
    /// Sum of those reports.
    local: Vec<u32>,
    /// Engines that hold a prompt, as far as it knows.
    holders: BTreeMap<u64, BTreeSet<usize>>,
    /// Placements to tell.
    news: Vec<(u64, usize)>,
    sent_at: Duration,
    /// When the latest report of each host of its zone came.
    reported_at: BTreeMap<usize, Duration>,
    /// Number of the round that is due.
    round: u64,
}

/// The fleet.
pub struct Fleet {
    shape: Shape,
    ids: Vec<ident::Upstream>,
    hosts: Vec<Host>,
    /// Requests at each engine.
    loads: Vec<u32>,
    /// The latest summary of each zone, as the hosts of each zone know it.
    summaries: Vec<Vec<Vec<u32>>>,
    /// When it came.
    summarized_at: Vec<Vec<Duration>>,
    /// Placements to summarize, by zone and relay.
    queued: Vec<[BTreeSet<(u64, usize)>; 2]>,
    events: BTreeMap<(Duration, u64), Event>,
    sequence: u64,
    rng: StdRng,
    now: Duration,
    /// Times of the requests that were sent, and whether above the bound.
    sends: Vec<(Duration, bool)>,
    long: u64,
    cold: u64,
    waits: u64,
}

impl Fleet {
    /// Creates a fleet that has just started.
    pub fn new(shape: Shape, seed: u64) -> Self {
        let engines = shape.zones * shape.engines;
        let hosts = shape.zones * shape.hosts;
        let host = Host {
            local: vec![0; engines],
            ..Host::default()
        };
        let mut fleet = Self {
            shape,
            ids: (0..engines)
                .map(|it| format!("engine-{it}").as_str().into())
                .collect(),
            hosts: vec![host; hosts],
            loads: vec![0; engines],
            summaries: vec![vec![vec![0; engines]; shape.zones]; shape.zones],
            summarized_at: vec![vec![Duration::ZERO; shape.zones - 1]; shape.zones],
            queued: vec![[BTreeSet::new(), BTreeSet::new()]; shape.zones],
            events: BTreeMap::new(),
            sequence: 0,
            rng: StdRng::seed_from_u64(seed),
            now: Duration::ZERO,
            sends: Vec::new(),
            long: 0,
            cold: 0,
            waits: 0,
        };
        fleet.after(Duration::ZERO, Event::Arrival);
        for host in 0..hosts {
            let delay = ROUND.mul_f64(fleet.rng.random());
            fleet.after(delay, Event::Round { host, number: 0 });
        }
        for zone in 0..shape.zones {
            for rank in 0..2 {
                let delay = SUMMARY.mul_f64(fleet.rng.random());
                fleet.after(delay, Event::Relay { zone, rank });
            }
        }
        fleet
    }

    /// Plays some time of traffic.
    pub fn run(&mut self, length: Duration) -> Outcome {
        while let Some(((now, _), event)) = self.events.pop_first() {
            if now > length {
                break;
            }
            self.now = now;
            self.handle(event);
        }
        self.result()
    }

    fn result(&self) -> Outcome {
        let counted: Vec<_> = self.sends.iter().filter(|(at, _)| *at >= WARM_UP).collect();
        let mut most: f64 = 0.0;
        let mut first = 0;
        let mut above = 0;
        for (index, (at, is_above)) in counted.iter().enumerate() {
            above += u32::from(*is_above);
            while *at - counted[first].0 > WINDOW {
                above -= u32::from(counted[first].1);
                first += 1;
            }
            let is_full = *at - WARM_UP >= WINDOW;
            if is_full {
                most = most.max(f64::from(above) / (index + 1 - first) as f64);
            }
        }
        let percent = |part: u64, of: u64| 100.0 * part as f64 / of.max(1) as f64;
        Outcome {
            above: 100.0 * most,
            prefilled: percent(self.cold, self.long),
            waits: percent(self.waits, self.sends.len() as u64),
        }
    }

    fn after(&mut self, delay: Duration, event: Event) {
        self.sequence += 1;
        self.events.insert((self.now + delay, self.sequence), event);
    }

    fn exponential(&mut self, mean: f64) -> Duration {
        let draw: f64 = self.rng.random();
        Duration::from_secs_f64(-mean * (1.0 - draw).ln())
    }

    fn is_lost(&mut self) -> bool {
        let draw: f64 = self.rng.random();
        draw < self.shape.loss
    }

    fn zone(&self, host: usize) -> usize {
        host / self.shape.hosts
    }

    fn neighbours(&self, zone: usize) -> std::ops::Range<usize> {
        zone * self.shape.hosts..(zone + 1) * self.shape.hosts
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Arrival => {
                let rate = self.shape.rate * self.loads.len() as f64;
                let delay = self.exponential(1.0 / rate);
                self.after(delay, Event::Arrival);
                let host = self.rng.random_range(0..self.hosts.len());
                let request = self.draw_request();
                self.place(host, request);
            }
            Event::Retry { host, request } => self.place(host, request),
            Event::End { host, engine } => {
                self.loads[engine] -= 1;
                if let Some(count) = self.hosts[host].own.get_mut(&engine) {
                    *count -= 1;
                }
            }
            Event::Round { host, number } if self.hosts[host].round == number => {
                self.send_message(host);
            }
            Event::Round { .. } => {}
            Event::Message { from, loads, news } => self.receive(from, &loads, &news),
            Event::Relay { zone, rank } => self.send_summary(zone, rank),
            Event::Summary { zone, loads, news } => self.receive_summary(zone, &loads, &news),
        }
    }

    fn draw_request(&mut self) -> Request {
        let draw: f64 = self.rng.random();
        let kind = match draw {
            it if it < KINDS[0].share => 0,
            it if it < KINDS[0].share + KINDS[1].share => 1,
            _ => 2,
        };
        let shared: f64 = self.rng.random();
        let prompts = KINDS[kind].prompts * self.loads.len() as f64;
        let prompt = match kind == 0 && shared < self.shape.shared {
            true => 0,
            false => 1 + self.rng.random_range(0..prompts as u64),
        };
        Request {
            key: prompt * KINDS.len() as u64 + kind as u64,
            kind,
            has_waited: false,
        }
    }

    /// Returns the load of an engine as a host knows it.
    fn known(&self, host: usize, engine: usize) -> u32 {
        let state = &self.hosts[host];
        let own = state.own.get(&engine).copied().unwrap_or_default();
        let remote = self.summaries[self.zone(host)].iter();
        own + state.local[engine] + remote.map(|it| it[engine]).sum::<u32>()
    }

    /// Returns the age of the counts that a host has.
    fn age(&self, host: usize) -> load::Age {
        let mean = |times: &[Duration]| {
            let ages = times.iter().map(|at| self.now - *at);
            ages.sum::<Duration>() / u32::try_from(times.len()).unwrap_or(u32::MAX)
        };
        let reported = &self.hosts[host].reported_at;
        let near =
            (!reported.is_empty()).then(|| mean(&reported.values().copied().collect::<Vec<_>>()));
        let far = mean(&self.summarized_at[self.zone(host)]) + near.unwrap_or_default();
        let far = Some(far);
        load::Age { near, far }
    }

    /// Returns how many of the requests that a host knows at an engine have probably been replaced.
    fn unseen(&self, host: usize, engine: usize, turnover: load::Turnover) -> f64 {
        let remote = self.summaries[self.zone(host)].iter();
        let near = self.hosts[host].local[engine];
        turnover.unseen(near, remote.map(|it| it[engine]).sum())
    }

    fn place(&mut self, host: usize, request: Request) {
        let zone = self.zone(host);
        let draw: f64 = self.rng.random();
        let turnover = load::Turnover::new(self.age(host), Some(MEAN_DURATION));
        let holders = self.hosts[host].holders.get(&request.key);
        let known: Vec<u32> = (0..self.loads.len())
            .map(|it| self.known(host, it))
            .collect();
        let count = match self.shape.is_evacuated {
            true => self.loads.len() - self.shape.engines,
            false => self.loads.len(),
        };
        let candidates: Vec<_> = (0..count)
            .map(|engine| Candidate {
                id: &self.ids[engine],
                load: known[engine],
                unseen: self.unseen(host, engine, turnover),
                slots: self.shape.slots,
                concurrency: f64::from(self.shape.slots),
                slowdown: 1.0,
                states_load: false,
                is_local: engine / self.shape.engines == zone,
                status: Status::Healthy,
                failure_rate: 0.0,
                cold_quota: None,
                limit_quota: None,
                room: None,
                is_tried: false,
                is_holder: holders.is_some_and(|it| it.contains(&engine)),
            })
            .collect();
        let members: Vec<_> = known
            .iter()
            .map(|load| Member {
                load: *load,
                status: Status::Healthy,
                is_cold: false,
            })
            .collect();
        let prompt = Prompt {
            key: request.key,
            tokens: KINDS[request.kind].tokens,
        };
        let choice = placement::engine(prompt, Mean::of(&members), &candidates, true, draw);
        match choice {
            Choice::Send(engine) => self.send(host, engine, request),
            Choice::Wait | Choice::NoUpstream => {
                self.waits += u64::from(!request.has_waited);
                let request = Request {
                    has_waited: true,
                    ..request
                };
                self.after(POLL, Event::Retry { host, request });
            }
        }
    }

    fn send(&mut self, host: usize, engine: usize, request: Request) {
        let mean = f64::from(self.loads.iter().sum::<u32>()) / self.loads.len() as f64;
        let is_above = f64::from(self.loads[engine]) > 2.0 * mean + 3.0;
        self.sends.push((self.now, is_above));
        self.loads[engine] += 1;
        let seconds = KINDS[request.kind].seconds;
        let duration = self.exponential(seconds);
        self.after(duration, Event::End { host, engine });
        let state = &mut self.hosts[host];
        *state.own.entry(engine).or_default() += 1;
        let is_new = state.holders.entry(request.key).or_default().insert(engine);
        if self.now >= WARM_UP && request.kind == 0 {
            self.long += 1;
            self.cold += u64::from(is_new);
        }
        if is_new {
            state.news.push((request.key, engine));
            state.round += 1;
            let number = state.round;
            let due = (state.sent_at + URGENT_ROUND).max(self.now);
            self.after(due - self.now, Event::Round { host, number });
        }
    }

    fn send_message(&mut self, host: usize) {
        let state = &mut self.hosts[host];
        state.sent_at = self.now;
        state.round += 1;
        let number = state.round;
        let mut loads = state.own.clone();
        loads.retain(|_, count| *count > 0);
        let news = std::mem::take(&mut state.news);
        self.after(ROUND, Event::Round { host, number });
        let message = Event::Message {
            from: host,
            loads,
            news,
        };
        self.after(DELIVERY, message);
    }

    fn receive(&mut self, from: usize, loads: &BTreeMap<usize, u32>, news: &[(u64, usize)]) {
        let zone = self.zone(from);
        for queued in &mut self.queued[zone] {
            queued.extend(news);
        }
        for host in self.neighbours(zone) {
            if host == from || self.is_lost() {
                continue;
            }
            let state = &mut self.hosts[host];
            state.reported_at.insert(from, self.now);
            let old = state.reports.insert(from, loads.clone());
            for (engine, count) in old.into_iter().flatten() {
                state.local[engine] -= count;
            }
            for (engine, count) in loads {
                state.local[*engine] += count;
            }
            for (key, engine) in news {
                state.holders.entry(*key).or_default().insert(*engine);
            }
        }
    }

    fn send_summary(&mut self, zone: usize, rank: usize) {
        self.after(SUMMARY, Event::Relay { zone, rank });
        let host = zone * self.shape.hosts + rank;
        let state = &self.hosts[host];
        let mut loads = state.local.clone();
        for (engine, count) in &state.own {
            loads[*engine] += count;
        }
        let news = std::mem::take(&mut self.queued[zone][rank]);
        self.after(DELIVERY * 2, Event::Summary { zone, loads, news });
    }

    fn receive_summary(&mut self, from: usize, loads: &[u32], news: &BTreeSet<(u64, usize)>) {
        for zone in (0..self.shape.zones).filter(|it| *it != from) {
            if self.is_lost() {
                continue;
            }
            self.summaries[zone][from].copy_from_slice(loads);
            // The other zones of each, in order.
            let index = from - usize::from(from > zone);
            self.summarized_at[zone][index] = self.now;
            for host in self.neighbours(zone) {
                let state = &mut self.hosts[host];
                for (key, engine) in news {
                    state.holders.entry(*key).or_default().insert(*engine);
                }
            }
        }
    }
}
