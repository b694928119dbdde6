//! Selects an upstream for a request and counts the request there.
//!
//! Gathers the candidates from this host's tables of health, load and held prompts,
//! and leaves the choice among them to [`placement`].

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;

use crate::boot;
use crate::gateway::capacity::Estimate;
use crate::gateway::cold_start;
use crate::gateway::health::Status;
use crate::gateway::job::Job;
use crate::gateway::limit;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Choice;
use crate::gateway::placement::Mean;
use crate::gateway::placement::Member;
use crate::gateway::reader;
use crate::gateway::rejections;
use crate::gateway::rejections::InFlight;
use crate::gateway::state::State;
use crate::gateway::upstream::Record;
use crate::gateway::upstream::Upstream;
use crate::gateway::view::View;
use crate::ident;
use crate::lock::lock;

/// Maximum time after which callers come back while this host has no share of the limits of all
/// upstreams, or has to wait longer for it. Other hosts may have one.
const MAX_LIMITED_WAIT: Duration = Duration::from_millis(500);

impl State {
    /// Chooses an upstream for a request, preferring those that are not in `tried`,
    /// and counts the request there. A stream in progress continues at `version` only.
    pub fn choose(
        self: &Arc<Self>,
        job: &Job,
        tried: &[ident::Upstream],
        version: Option<&ident::Version>,
    ) -> Selection {
        let now = Instant::now();
        let boot_now = boot::Instant::now();
        let view = self.view();
        let usable: Vec<&Arc<Record>> = view
            .usable(boot_now)
            .filter(|record| record.upstream.service == job.service)
            .filter(|record| version.is_none_or(|it| record.upstream.version == *it))
            .filter(|record| !self.is_leaving(record))
            .collect();
        let (usable, rest) = self.without_resting(now, usable);
        let allowances = self.allowances(now, &usable);
        if let Some(left) = wait_for_all(&allowances, rest) {
            return Selection::Later(left);
        }
        let cold_limit = view.route_table().and_then(|table| {
            let service = table.service(&job.service)?;
            let per_second = service.cold_requests_per_second?;
            let options = self.live_options();
            Some(per_second * options.cold_overage + options.cold_slack)
        });
        let quotas: Vec<Option<usize>> = usable
            .iter()
            .map(|record| match cold_limit {
                Some(limit) if record.cold_until > boot_now => {
                    Some(self.cold_quota(now, &record.upstream, limit))
                }
                Some(_) | None => None,
            })
            .collect();
        let rooms = self.rooms(now, &usable);
        let estimates = self.estimates(now, &usable);
        let silences = self.zone_silences(now, &usable);
        let (choice, condition, summary) = {
            let health = lock(&self.health);
            let loads = lock(&self.loads);
            let cache = lock(&self.prefix_cache);
            let mut zones: BTreeMap<&ident::Zone, Vec<&ident::Upstream>> = BTreeMap::new();
            let local = &self.options.host.zone;
            for record in usable.iter().filter(|it| it.upstream.zone != *local) {
                let upstreams = zones.entry(&record.upstream.zone).or_default();
                upstreams.push(&record.upstream.id);
            }
            zones.retain(|zone, upstreams| {
                let silence = silences.get(zone).copied().flatten();
                health.is_zone_cut_off(now, upstreams, silence)
            });
            let status = |record: &Record| match health.status(now, &record.upstream.id) {
                Status::Healthy if zones.contains_key(&record.upstream.zone) => Status::Probe,
                status => status,
            };
            let (age, duration) = (loads.age(now), loads.duration(&job.service));
            let known = |id: &ident::Upstream| loads.known(now, id, age, duration);
            let candidates: Vec<Candidate<'_>> = usable
                .iter()
                .zip(quotas.iter().zip(&allowances).zip(&rooms))
                .zip(&estimates)
                .map(|((record, ((quota, allowance), room)), estimate)| {
                    let id = &record.upstream.id;
                    let load = known(id);
                    Candidate {
                        id,
                        load: load.requests,
                        unseen: load.unseen,
                        slots: record.upstream.slots,
                        concurrency: estimate.concurrency,
                        slowdown: estimate.slowdown,
                        states_load: loads.is_stated(id),
                        is_local: record.upstream.zone == self.options.host.zone,
                        status: status(record),
                        failure_rate: health.score(id),
                        cold_quota: *quota,
                        limit_quota: allowance.map(|it| it.requests),
                        room: *room,
                        is_tried: tried.contains(id),
                        is_holder: is_complete(cache.prefix_len(now, &job.segments, id), job),
                    }
                })
                .collect();
            let may_probe = job.route.kind.is_repeatable();
            let members = view.listed(&job.service).map(|record| Member {
                load: known(&record.upstream.id).latest,
                status: status(record),
                is_cold: record.cold_until > boot_now,
            });
            let mean = Mean::of(&members.collect::<Vec<_>>());
            let draw = self.random_fraction();
            let choice = match job.route.is_sticky {
                true => placement::engine(job.prompt, mean, &candidates, may_probe, draw),
                false => placement::plain(draw, mean, &candidates, may_probe),
            };
            let condition = match choice {
                Choice::Send(index) => candidates.get(index).map(|it| Condition {
                    load: it.load,
                    unseen: it.unseen,
                    concurrency: it.concurrency,
                    slowdown: it.slowdown,
                    candidates: candidates.len(),
                    status: it.status,
                    is_cold: it.cold_quota.is_some(),
                    is_limited: it.limit_quota.is_some(),
                    is_holder: it.is_holder,
                }),
                Choice::Wait | Choice::NoUpstream => None,
            };
            let own = usable.iter().map(|it| loads.own(&it.upstream.id)).sum();
            (choice, condition, Summary::new(&candidates, own))
        };
        let record = match choice {
            Choice::Send(index) => usable.get(index),
            Choice::Wait => return Selection::Wait(summary),
            Choice::NoUpstream => return Selection::NoUpstream,
        };
        let (Some(record), Some(condition)) = (record, condition) else {
            return Selection::NoUpstream;
        };
        let id = &record.upstream.id;
        if condition.status == Status::Probe {
            lock(&self.health).begin_probe(now, id);
        }
        if condition.is_limited {
            lock(&self.notices).take(now, &record.upstream);
        }
        lock(&self.loads).begin(id);
        if condition.is_cold {
            lock(&self.cold_starts).record(now, id);
        }
        let holder = match job.route.is_sticky && !condition.is_holder {
            true => self.find_holder(now, &view, job, id),
            false => None,
        };
        if job.route.is_sticky {
            let mut cache = lock(&self.prefix_cache);
            let segments = job.segments.iter();
            let updates = segments
                .filter(|segment| cache.record(now, **segment, id))
                .count();
            drop(cache);
            if updates > 0 {
                self.gossip_urgent.notify_one();
            }
        }
        Selection::Selected(Lease {
            state: self.clone(),
            selected_at: now,
            record: Arc::clone(record),
            holder,
            condition,
        })
    }

    /// Returns whether an upstream has announced that it leaves.
    fn is_leaving(&self, record: &Record) -> bool {
        lock(&self.notices).is_leaving(&record.upstream)
    }

    /// Removes the upstreams that asked this host for rest, and returns the shortest time until
    /// one of them may get requests again.
    fn without_resting<'a>(
        &self,
        now: Instant,
        mut usable: Vec<&'a Arc<Record>>,
    ) -> (Vec<&'a Arc<Record>>, Option<Duration>) {
        let notices = lock(&self.notices);
        let left = |record: &&Arc<Record>| notices.rest_left(now, &record.upstream);
        let soonest = usable.iter().filter_map(left).min();
        if soonest.is_some() {
            usable.retain(|record| left(record).is_none());
        }
        (usable, soonest)
    }

    /// Returns another engine that holds more leading segments of a request's
    /// prompt than `upstream` does.
    fn find_holder(
        &self,
        now: Instant,
        view: &View,
        job: &Job,
        upstream: &ident::Upstream,
    ) -> Option<Arc<Record>> {
        let health = lock(&self.health);
        let notices = lock(&self.notices);
        let cache = lock(&self.prefix_cache);
        let held = cache.prefix_len(now, &job.segments, upstream);
        let mut missing = (held..job.segments.len()).rev();
        // Starts with the last segment, to find the engine that holds the longest prefix.
        missing.find_map(|last| {
            let segment = job.segments.get(last)?;
            let holders = cache.holders(now, *segment).into_iter();
            let others = holders
                .filter(|it| *it != upstream && cache.prefix_len(now, &job.segments, it) > last);
            let listed = others.filter_map(|it| view.upstream(it));
            let listed: Vec<_> = listed.filter(|it| it.expires_at.is_none()).collect();
            let holders = listed.iter().map(|record| placement::Holder {
                status: health.status(now, &record.upstream.id),
                is_draining: record.upstream.is_draining || notices.is_leaving(&record.upstream),
            });
            let holders: Vec<_> = holders.collect();
            let record = listed.get(placement::holder(&holders)?)?;
            Some(Arc::clone(record))
        })
    }

    /// Returns the time since any host of each other zone sent a message. Always empty in a large
    /// fleet, in which hosts of other zones send messages too seldom for their silence to mean a
    /// partition.
    fn zone_silences<'a>(
        &self,
        now: Instant,
        usable: &[&'a Arc<Record>],
    ) -> BTreeMap<&'a ident::Zone, Option<Duration>> {
        let peers = lock(&self.peers);
        if reader::is_large_fleet(&peers, now) {
            return BTreeMap::new();
        }
        let local = &self.options.host.zone;
        let zones = usable.iter().map(|record| &record.upstream.zone);
        let zones: BTreeSet<_> = zones.filter(|zone| *zone != local).collect();
        let zones = zones.into_iter();
        zones
            .map(|zone| (zone, peers.zone_silence(now, zone)))
            .collect()
    }

    /// Returns what this host may send now to each of some upstreams; `None` for one that has
    /// named no limit.
    fn allowances(&self, now: Instant, upstreams: &[&Arc<Record>]) -> Vec<Option<Allowance>> {
        let peers = lock(&self.peers);
        let mut notices = lock(&self.notices);
        if notices.is_empty() {
            return vec![None; upstreams.len()];
        }
        let is_settling = peers.is_settling(now);
        let hosts = peers.sharer_count(now);
        let zone = &self.options.host.zone;
        let allowances = upstreams.iter().map(|record| {
            let upstream = &record.upstream;
            let bucket = notices.bucket(now, upstream, |limit| {
                let chosen = limit::chosen_hosts(limit, hosts, is_settling);
                let rank = peers.rank(now, zone, upstream, chosen);
                limit::share(limit, hosts, rank, is_settling)
            })?;
            Some(Allowance {
                requests: bucket.available(now),
                wait: bucket.wait(now),
            })
        });
        allowances.collect()
    }

    /// Returns how many more requests this host may have in flight at each of some upstreams;
    /// `None` for one that isn't brittle.
    fn rooms(&self, now: Instant, upstreams: &[&Arc<Record>]) -> Vec<Option<u32>> {
        let peers = lock(&self.peers);
        let mut notices = lock(&self.notices);
        if notices.is_empty() {
            return vec![None; upstreams.len()];
        }
        let loads = lock(&self.loads);
        let hosts = peers.fleet_size(now);
        let zone = &self.options.host.zone;
        let rooms = upstreams.iter().map(|record| {
            let upstream = &record.upstream;
            let rank = notices.brittle_rank(now, upstream, || {
                let chosen = rejections::chosen_hosts(upstream.slots);
                peers.rank(now, zone, upstream, chosen)
            })?;
            let in_flight = InFlight {
                total: loads.total(&upstream.id),
                own: loads.own(&upstream.id),
            };
            Some(rejections::room(upstream.slots, in_flight, hosts, rank))
        });
        rooms.collect()
    }

    /// Returns what some upstreams can take at present.
    fn estimates(&self, now: Instant, upstreams: &[&Arc<Record>]) -> Vec<Estimate> {
        let capacity = lock(&self.capacity);
        let upstreams = upstreams.iter();
        upstreams
            .map(|record| capacity.estimate(now, &record.upstream))
            .collect()
    }

    /// Returns how many more requests this host may start at a cold upstream in the
    /// current window. `limit` is the rate for all hosts together, per second.
    fn cold_quota(&self, now: Instant, upstream: &Upstream, limit: f64) -> usize {
        let (hosts, rank) = {
            let peers = lock(&self.peers);
            let zone = &self.options.host.zone;
            let chosen = cold_start::chosen_hosts(limit);
            let rank = peers.rank(now, zone, upstream, chosen);
            (peers.fleet_size(now), rank)
        };
        let share = cold_start::share(limit, hosts, rank);
        share.saturating_sub(lock(&self.cold_starts).recent(now, &upstream.id))
    }
}

/// What this host may send to an upstream that has named a limit.
#[derive(Clone, Copy, Debug)]
struct Allowance {
    /// Requests that it may send now.
    requests: usize,
    /// Time until it may send one; `None` if it has no share.
    wait: Option<Duration>,
}

/// Returns the time until the first of some upstreams may get a request, if none may now. `rest`
/// is the shortest time for which others asked for rest.
fn wait_for_all(allowances: &[Option<Allowance>], rest: Option<Duration>) -> Option<Duration> {
    if allowances.is_empty() {
        return rest;
    }
    let is_used_up = |it: &Option<Allowance>| it.is_some_and(|it| it.requests == 0);
    if !allowances.iter().all(is_used_up) {
        return None;
    }
    let waits = allowances.iter().flatten().filter_map(|it| it.wait);
    waits.chain(rest).chain([MAX_LIMITED_WAIT]).min()
}

/// Returns whether `held` segments are the whole shared prompt of a request.
fn is_complete(held: usize, job: &Job) -> bool {
    held > 0 && held == job.segments.len()
}

/// The state of an upstream when it was chosen.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Condition {
    /// Requests of all hosts in flight there.
    pub load: u32,
    /// Those of other hosts that had probably ended and been replaced by others.
    pub unseen: f64,
    /// Requests that it handled well at the same time.
    pub concurrency: f64,
    /// How many times as long as usual work took there.
    pub slowdown: f64,
    /// Number of upstreams to choose from.
    pub candidates: usize,
    /// Whether it could get requests.
    pub status: Status,
    /// Whether it was cold.
    pub is_cold: bool,
    /// Whether it had named a limit.
    pub is_limited: bool,
    /// Whether it held the whole prompt that the request shares with others.
    pub is_holder: bool,
}

/// Counts of a service's upstreams when none of them could be chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Summary {
    /// Upstreams that accept new requests.
    pub usable: usize,
    /// Those that can't be reached.
    pub down: usize,
    /// Those that fail or lose many requests.
    pub suspect: usize,
    /// Cold ones at which this host has used up its rate of starts.
    pub cold: usize,
    /// Those that named a limit, of which this host has used up its share.
    pub limited: usize,
    /// Brittle ones of whose slots this host has no more to use.
    pub brittle: usize,
    /// Requests of this host in flight at them.
    pub own: u32,
    /// Requests of all hosts in flight at them.
    pub load: u32,
    /// Requests that they run concurrently.
    pub slots: u32,
}

impl Summary {
    /// Returns whether all upstreams are brittle, and this host has no more of their slots to use.
    pub fn has_no_room(&self) -> bool {
        self.usable > 0 && self.brittle == self.usable
    }

    /// Returns whether this host has no share of the slots of upstreams that are all brittle.
    pub fn has_no_share(&self) -> bool {
        self.has_no_room() && self.own == 0
    }

    fn new(candidates: &[Candidate<'_>], own: u32) -> Self {
        let count = |fits: &dyn Fn(&&Candidate<'_>) -> bool| candidates.iter().filter(fits).count();
        let sum = |number: &dyn Fn(&Candidate<'_>) -> u32| {
            let numbers = candidates.iter().map(number);
            numbers.fold(0, u32::saturating_add)
        };
        Self {
            usable: candidates.len(),
            down: count(&|it| it.status == Status::Down),
            suspect: count(&|it| it.status == Status::Suspect),
            cold: count(&|it| it.cold_quota == Some(0)),
            limited: count(&|it| it.limit_quota == Some(0)),
            brittle: count(&|it| it.room == Some(0)),
            own,
            load: sum(&|it| it.load),
            slots: sum(&|it| it.slots),
        }
    }
}

/// The result of a selection.
pub enum Selection {
    /// An upstream was selected, and the request is counted there.
    Selected(Lease),
    /// The request has to wait until an upstream has a free slot or becomes usable.
    Wait(Summary),
    /// All upstreams asked this host for rest, or it has used up its share of their limits. The
    /// first of them may get a request again after this time.
    Later(Duration),
    /// No upstream runs the service.
    NoUpstream,
}

/// Counts a request at an upstream until it is dropped.
pub struct Lease {
    state: Arc<State>,
    selected_at: Instant,
    /// The upstream.
    pub record: Arc<Record>,
    /// Another engine from which the upstream can copy the prompt.
    pub holder: Option<Arc<Record>>,
    /// The state of the upstream when it was chosen.
    pub condition: Condition,
}

impl Drop for Lease {
    fn drop(&mut self) {
        {
            let took = self.selected_at.elapsed();
            let mut loads = lock(&self.state.loads);
            loads.end(&self.record.upstream.id);
            loads.record_duration(&self.record.upstream.service, took);
        }
        self.state.capacity_changed.notify_waiters();
    }
}
