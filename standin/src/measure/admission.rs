//! The desks of all entry hosts, and what they tell each other.

use std::collections::BTreeMap;

use masticmoor::home::admission::Decision;
use masticmoor::home::admission::End;
use masticmoor::home::admission::Limits;
use masticmoor::home::admission::Permit;
use masticmoor::home::admission::Request;
use masticmoor::home::admission::Resolution;
use masticmoor::home::admission::Scheduler;
use masticmoor::home::admission::Takeover;
use masticmoor::ident::Host;
use masticmoor::ident::Upstream;
use masticmoor::ident::Zone;
use masticmoor::outcome::Code;
use masticmoor::outcome::Refusal;
use masticmoor::policy::eligible;
use masticmoor::policy::load;
use masticmoor::policy::ramp;
use masticmoor::policy::rank;
use masticmoor::register::Register;
use masticmoor::register::upstream::Pool;
use masticmoor::rules::Rules;
use tokio::time::Instant;

/// The desks, by host, and the load as they last told it.
pub struct Schedulers {
    desks: BTreeMap<Host, Scheduler<usize>>,
    told: BTreeMap<Host, BTreeMap<Pool, load::Mean>>,
    reports: BTreeMap<Upstream, load::Report>,
    owners: BTreeMap<Upstream, Host>,
    pools: Vec<Pool>,
}

impl Schedulers {
    /// Creates the desks of all hosts, with all upstreams warm.
    pub fn new(now: Instant, register: &Register, pools: Vec<Pool>) -> Self {
        let mut schedulers = Self {
            desks: BTreeMap::new(),
            told: BTreeMap::new(),
            reports: BTreeMap::new(),
            owners: BTreeMap::new(),
            pools,
        };
        for host in register.hosts.keys() {
            schedulers.open(host);
        }
        for host in register.hosts.keys() {
            schedulers.adopt(now, register, &Rules::default(), host, ramp::Start::Warm);
        }
        schedulers
    }

    /// Starts the desk of a host.
    pub fn open(&mut self, host: &Host) {
        self.desks
            .insert(host.clone(), Scheduler::new(Limits::default()));
    }

    /// Loses the desk of a host.
    pub fn close(&mut self, host: &Host) {
        self.desks.remove(host);
        self.told.remove(host);
        self.owners.retain(|_, owner| owner != host);
    }

    /// Lets a host take over its upstreams that are in service.
    pub fn adopt(
        &mut self,
        now: Instant,
        register: &Register,
        rules: &Rules,
        host: &Host,
        start: ramp::Start,
    ) {
        let Some(own) = register.hosts.get(host) else {
            return;
        };
        let mine = register.upstreams.iter().filter(|(name, spec)| {
            spec.zone == own.zone
                && !rules.draining.contains(&spec.zone)
                && self.home(register, name, &spec.zone).as_ref() == Some(host)
        });
        for (name, spec) in mine.collect::<Vec<_>>() {
            let adoption = Takeover {
                upstream: name.clone(),
                pools: eligible::pools_of(spec),
                slots: spec.slots,
                cold_slots: spec.cold_slots,
                start,
                predecessor_share: 0,
            };
            if let Some(desk) = self.desks.get_mut(host) {
                desk.take_over(now, adoption);
            }
            self.owners.insert(name.clone(), host.clone());
        }
    }

    /// Lets a host go of the upstreams of a zone; returns what waited.
    pub fn release(&mut self, register: &Register, host: &Host, zone: &Zone) -> Vec<usize> {
        let Some(desk) = self.desks.get_mut(host) else {
            return Vec::new();
        };
        let upstreams: Vec<Upstream> = desk.upstreams().cloned().collect();
        let of_zone = |it: &&Upstream| {
            let spec = register.upstreams.get(*it);
            spec.is_some_and(|spec| spec.zone == *zone)
        };
        let gone: Vec<&Upstream> = upstreams.iter().filter(of_zone).collect();
        gone.into_iter().flat_map(|it| desk.release(it)).collect()
    }

    /// Asks the home of an upstream.
    pub fn ask(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        ask: Request,
        ticket: usize,
    ) -> Decision<usize> {
        match self.desk(upstream) {
            Some(desk) => desk.submit(now, upstream, ask, ticket),
            None => Decision::Refuse(ticket, Refusal::not_run(Code::NotHome)),
        }
    }

    /// Gives a permit back.
    pub fn done(&mut self, now: Instant, permit: Permit, end: End) -> Vec<(usize, Resolution)> {
        let upstream = permit.upstream().clone();
        match self.desk(&upstream) {
            Some(desk) => desk.complete(now, permit, end),
            None => Vec::new(),
        }
    }

    /// Tells the home of an upstream that it was newly started.
    pub fn chill(&mut self, upstream: &Upstream) {
        if let Some(desk) = self.desk(upstream) {
            desk.restart_ramp(upstream);
        }
    }

    /// Ends waits and grants what may go.
    pub fn tick(&mut self, now: Instant) -> Vec<(usize, Resolution)> {
        let desks = self.desks.values_mut();
        desks.flat_map(|desk| desk.tick(now)).collect()
    }

    /// Lets a host tell the others its load and hear theirs.
    pub fn beat(&mut self, now: Instant, host: &Host) {
        let Some(desk) = self.desks.get_mut(host) else {
            return;
        };
        let means = self
            .pools
            .iter()
            .map(|it| (it.clone(), desk.local_mean(it)));
        self.told.insert(host.clone(), means.collect());
        for upstream in desk.upstreams() {
            if let Some(report) = desk.load(upstream) {
                self.reports.insert(upstream.clone(), report);
            }
        }
        for pool in &self.pools {
            let others = self.told.iter().filter(|it| it.0 != host);
            let sum = others.filter_map(|it| it.1.get(pool));
            let sum = sum.fold(load::Mean::default(), |sum, it| sum.plus(*it));
            desk.record_remote_mean(now, pool, sum);
        }
    }

    /// Returns the load of an upstream as last told.
    pub fn report(&self, upstream: &Upstream) -> Option<load::Report> {
        self.reports.get(upstream).copied()
    }

    fn desk(&mut self, upstream: &Upstream) -> Option<&mut Scheduler<usize>> {
        self.desks.get_mut(self.owners.get(upstream)?)
    }

    fn home(&self, register: &Register, upstream: &Upstream, zone: &Zone) -> Option<Host> {
        let in_zone = |host: &&Host| register.hosts.get(*host).is_some_and(|it| it.zone == *zone);
        let live = self.desks.keys().filter(in_zone);
        rank::home(upstream, live).cloned()
    }
}
