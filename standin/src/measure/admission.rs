//! Admission schedulers of all entry hosts, and the loads that the hosts send
//! each other.

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

/// The schedulers by host, and the last loads that each host sent.
pub struct Schedulers {
    schedulers: BTreeMap<Host, Scheduler<usize>>,
    announced: BTreeMap<Host, BTreeMap<Pool, load::Mean>>,
    reports: BTreeMap<Upstream, load::Report>,
    homes: BTreeMap<Upstream, Host>,
    pools: Vec<Pool>,
}

impl Schedulers {
    /// Creates the schedulers of all hosts, with all upstreams warm.
    pub fn new(now: Instant, register: &Register, pools: Vec<Pool>) -> Self {
        let mut schedulers = Self {
            schedulers: BTreeMap::new(),
            announced: BTreeMap::new(),
            reports: BTreeMap::new(),
            homes: BTreeMap::new(),
            pools,
        };
        for host in register.hosts.keys() {
            schedulers.add_host(host);
        }
        for host in register.hosts.keys() {
            schedulers.take_over(now, register, &Rules::default(), host, ramp::Start::Warm);
        }
        schedulers
    }

    /// Adds a scheduler without upstreams for a host.
    pub fn add_host(&mut self, host: &Host) {
        self.schedulers
            .insert(host.clone(), Scheduler::new(Limits::default()));
    }

    /// Removes the scheduler of a host; its upstreams are without a home.
    pub fn remove_host(&mut self, host: &Host) {
        self.schedulers.remove(host);
        self.announced.remove(host);
        self.homes.retain(|_, home| home != host);
    }

    /// Makes a host the home of those upstreams of its zone that rank it first,
    /// unless the zone is drained.
    pub fn take_over(
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
        let homed = register.upstreams.iter().filter(|(name, spec)| {
            spec.zone == own.zone
                && !rules.draining.contains(&spec.zone)
                && self.home(register, name, &spec.zone).as_ref() == Some(host)
        });
        for (name, spec) in homed.collect::<Vec<_>>() {
            let takeover = Takeover {
                upstream: name.clone(),
                pools: eligible::pools_of(spec),
                slots: spec.slots,
                cold_slots: spec.cold_slots,
                start,
                predecessor_share: 0,
            };
            if let Some(scheduler) = self.schedulers.get_mut(host) {
                scheduler.take_over(now, takeover);
            }
            self.homes.insert(name.clone(), host.clone());
        }
    }

    /// Releases a host's upstreams in a zone and returns the requests that waited
    /// there.
    pub fn release(&mut self, register: &Register, host: &Host, zone: &Zone) -> Vec<usize> {
        let Some(scheduler) = self.schedulers.get_mut(host) else {
            return Vec::new();
        };
        let upstreams: Vec<Upstream> = scheduler.upstreams().cloned().collect();
        let is_in_zone = |it: &&Upstream| {
            let spec = register.upstreams.get(*it);
            spec.is_some_and(|spec| spec.zone == *zone)
        };
        let released: Vec<&Upstream> = upstreams.iter().filter(is_in_zone).collect();
        released
            .into_iter()
            .flat_map(|it| scheduler.release(it))
            .collect()
    }

    /// Submits a request to the home of an upstream; refuses it if there is none.
    pub fn submit(
        &mut self,
        now: Instant,
        upstream: &Upstream,
        request: Request,
        id: usize,
    ) -> Decision<usize> {
        match self.scheduler(upstream) {
            Some(scheduler) => scheduler.submit(now, upstream, request, id),
            None => Decision::Refuse(id, Refusal::not_run(Code::NotHome)),
        }
    }

    /// Ends the execution under a permit and returns the resolved requests.
    pub fn complete(&mut self, now: Instant, permit: Permit, end: End) -> Vec<(usize, Resolution)> {
        let upstream = permit.upstream().clone();
        match self.scheduler(&upstream) {
            Some(scheduler) => scheduler.complete(now, permit, end),
            None => Vec::new(),
        }
    }

    /// Restarts the ramp of an upstream that started anew.
    pub fn restart_ramp(&mut self, upstream: &Upstream) {
        if let Some(scheduler) = self.scheduler(upstream) {
            scheduler.restart_ramp(upstream);
        }
    }

    /// Expires and admits waiting requests at all hosts and returns them.
    pub fn tick(&mut self, now: Instant) -> Vec<(usize, Resolution)> {
        let schedulers = self.schedulers.values_mut();
        schedulers
            .flat_map(|scheduler| scheduler.tick(now))
            .collect()
    }

    /// Announces the loads of a host and records those of the others at it.
    pub fn heartbeat(&mut self, now: Instant, host: &Host) {
        let Some(scheduler) = self.schedulers.get_mut(host) else {
            return;
        };
        let means = self
            .pools
            .iter()
            .map(|it| (it.clone(), scheduler.local_mean(it)));
        self.announced.insert(host.clone(), means.collect());
        for upstream in scheduler.upstreams() {
            if let Some(report) = scheduler.load(upstream) {
                self.reports.insert(upstream.clone(), report);
            }
        }
        for pool in &self.pools {
            let others = self.announced.iter().filter(|it| it.0 != host);
            let sum = others.filter_map(|it| it.1.get(pool));
            let sum = sum.fold(load::Mean::default(), |sum, it| sum.plus(*it));
            scheduler.record_remote_mean(now, pool, sum);
        }
    }

    /// Returns the last announced load of an upstream.
    pub fn report(&self, upstream: &Upstream) -> Option<load::Report> {
        self.reports.get(upstream).copied()
    }

    fn scheduler(&mut self, upstream: &Upstream) -> Option<&mut Scheduler<usize>> {
        self.schedulers.get_mut(self.homes.get(upstream)?)
    }

    fn home(&self, register: &Register, upstream: &Upstream, zone: &Zone) -> Option<Host> {
        let in_zone = |host: &&Host| register.hosts.get(*host).is_some_and(|it| it.zone == *zone);
        let live = self.schedulers.keys().filter(in_zone);
        rank::home(upstream, live).cloned()
    }
}
