//! Choosing an upstream by what this host knows, and counting the request there.
//!
//! The decision itself is [`placement`]; here its candidates are put together.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::sync::Arc;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::boot;
use crate::gateway::cold;
use crate::gateway::health::Use;
use crate::gateway::job::Job;
use crate::gateway::placement;
use crate::gateway::placement::Candidate;
use crate::gateway::placement::Choice;
use crate::gateway::reader;
use crate::gateway::state::State;
use crate::gateway::upstream::Known;
use crate::gateway::upstream::Upstream;
use crate::gateway::view::View;
use crate::ident;
use crate::lock::lock;

/// Upstreams of another zone that couldn't be reached a moment ago from which on
/// the whole zone counts as cut off.
const ZONE_FAILURES: usize = 2;

/// Silence of all hosts of a zone from which on it counts as cut off: a few
/// messages of each in a small fleet.
const ZONE_SILENCE: Duration = Duration::from_millis(450);

impl State {
    /// Chooses an upstream for a request, and counts the request there.
    pub fn choose(self: &Arc<Self>, job: &Job, tried: &[ident::Upstream]) -> Placed {
        let now = Instant::now();
        let boot = boot::Instant::now();
        let view = self.view();
        let usable: Vec<&Arc<Known>> = view
            .usable(boot)
            .filter(|known| known.upstream.service == job.service)
            .collect();
        let most = view.table().and_then(|table| {
            let service = table.service(&job.service)?;
            let per_second = service.cold_per_second?;
            let bounds = self.bounds();
            Some(per_second * bounds.cold_overage + bounds.cold_slack)
        });
        let rooms: Vec<Option<usize>> = usable
            .iter()
            .map(|known| match most {
                Some(most) if known.cold_until > boot => {
                    Some(self.cold_room(now, &known.upstream, most))
                }
                Some(_) | None => None,
            })
            .collect();
        let silent = self.silent_zones(now, &usable);
        let (choice, facts, pool) = {
            let health = lock(&self.health);
            let loads = lock(&self.loads);
            let warm = lock(&self.warm);
            let mut failed: BTreeMap<&ident::Zone, usize> = BTreeMap::new();
            for known in &usable {
                if health.was_unreached(now, &known.upstream.id) {
                    *failed.entry(&known.upstream.zone).or_default() += 1;
                }
            }
            let own = &self.options.host.zone;
            let usage = |known: &Known| {
                let zone = &known.upstream.zone;
                let failures = failed.get(zone).copied().unwrap_or_default();
                match health.usage(now, &known.upstream.id) {
                    Use::Good if zone != own && failures >= ZONE_FAILURES => Use::Trial,
                    Use::Good if silent.contains(zone) => Use::Trial,
                    usage => usage,
                }
            };
            let candidates: Vec<Candidate<'_>> = usable
                .iter()
                .zip(&rooms)
                .map(|(known, room)| {
                    let id = &known.upstream.id;
                    Candidate {
                        id,
                        load: loads.total(id),
                        slots: known.upstream.slots,
                        is_near: known.upstream.zone == self.options.host.zone,
                        usage: usage(known),
                        losses: health.score(id),
                        cold_room: *room,
                        is_tried: tried.contains(id),
                        is_warm: is_whole(warm.depth(now, &job.parts, id), job),
                    }
                })
                .collect();
            let may_try = job.route.kind.is_repeatable();
            let listed = view.listed(&job.service);
            let listed = listed.map(|known| loads.total(&known.upstream.id));
            let (total, count) =
                listed.fold((0, 0_u32), |(total, count), load| (total + load, count + 1));
            let mean = f64::from(total) / f64::from(count.max(1));
            let choice = match job.route.is_sticky {
                true => placement::engine(job.prompt, mean, &candidates, may_try),
                false => placement::plain(self.draw(), &candidates, may_try),
            };
            let facts = match choice {
                Choice::Send(index) => candidates.get(index).map(|it| Facts {
                    load: it.load,
                    candidates: candidates.len(),
                    usage: it.usage,
                    is_cold: it.cold_room.is_some(),
                    is_warm: it.is_warm,
                }),
                Choice::Wait | Choice::NoUpstream => None,
            };
            (choice, facts, Pool::new(&candidates))
        };
        let known = match choice {
            Choice::Send(index) => usable.get(index),
            Choice::Wait => return Placed::Wait(pool),
            Choice::NoUpstream => return Placed::NoUpstream,
        };
        let (Some(known), Some(facts)) = (known, facts) else {
            return Placed::NoUpstream;
        };
        let id = &known.upstream.id;
        if facts.usage == Use::Trial {
            lock(&self.health).begin_trial(now, id);
        }
        lock(&self.loads).begin(id);
        if facts.is_cold {
            lock(&self.cold).record(now, id);
        }
        let holder = match job.route.is_sticky && !facts.is_warm {
            true => self.holder(now, &view, job, id),
            false => None,
        };
        if job.route.is_sticky {
            let mut warm = lock(&self.warm);
            let parts = job.parts.iter();
            let updates = parts.filter(|part| warm.record(now, **part, id)).count();
            drop(warm);
            if updates > 0 {
                self.urgent.notify_one();
            }
        }
        Placed::At(Lease {
            state: self.clone(),
            known: Arc::clone(known),
            holder,
            facts,
        })
    }

    /// Returns another engine that holds more of a request's prompt than the
    /// upstream does.
    fn holder(
        &self,
        now: Instant,
        view: &View,
        job: &Job,
        upstream: &ident::Upstream,
    ) -> Option<Arc<Known>> {
        let health = lock(&self.health);
        let warm = lock(&self.warm);
        let held = warm.depth(now, &job.parts, upstream);
        let mut missing = (held..job.parts.len()).rev();
        // The one that holds most of the prompt is best.
        missing.find_map(|last| {
            let part = job.parts.get(last)?;
            let holders = warm.holders(now, *part).into_iter();
            let others =
                holders.filter(|it| *it != upstream && warm.depth(now, &job.parts, it) > last);
            let listed = others.filter_map(|it| view.upstream(it));
            let listed: Vec<_> = listed.filter(|it| it.lapses_at.is_none()).collect();
            let holders = listed.iter().map(|known| placement::Holder {
                usage: health.usage(now, &known.upstream.id),
                is_draining: known.upstream.is_draining,
            });
            let holders: Vec<_> = holders.collect();
            let known = listed.get(placement::holder(&holders)?)?;
            Some(Arc::clone(known))
        })
    }

    /// Returns the other zones whose hosts all fell silent a moment ago, though the
    /// fleet is small enough for that to tell something.
    fn silent_zones<'a>(
        &self,
        now: Instant,
        usable: &[&'a Arc<Known>],
    ) -> BTreeSet<&'a ident::Zone> {
        let peers = lock(&self.peers);
        if reader::is_large(&peers, now) {
            return BTreeSet::new();
        }
        let own = &self.options.host.zone;
        let zones: BTreeSet<_> = usable.iter().map(|known| &known.upstream.zone).collect();
        let others = zones.into_iter().filter(|zone| *zone != own);
        let silent = others.filter(|zone| {
            let silence = peers.silence(now, zone);
            silence.is_some_and(|silence| silence > ZONE_SILENCE)
        });
        silent.collect()
    }

    fn cold_room(&self, now: Instant, upstream: &Upstream, most: f64) -> usize {
        let (sharing, rank) = {
            let peers = lock(&self.peers);
            let score = |address: &Ipv4Addr| {
                let seed = u64::from(u32::from(*address));
                xxh3_64_with_seed(upstream.id.as_str().as_bytes(), seed)
            };
            let own = score(&self.address);
            let is_near = self.options.host.zone == upstream.zone;
            // Hosts of the upstream's own zone come first, as prompts stay there.
            let before = peers.counted(now).filter(|(address, peer)| {
                match (peer.zone == upstream.zone, is_near) {
                    (true, false) => true,
                    (false, true) => false,
                    _ => score(address) > own,
                }
            });
            (peers.sharing(now), before.count())
        };
        let share = cold::share(most, sharing, rank);
        share.saturating_sub(lock(&self.cold).recent(now, &upstream.id))
    }
}

/// Tells whether so many parts are the whole prompt that a request shares.
fn is_whole(depth: usize, job: &Job) -> bool {
    depth > 0 && depth == job.parts.len()
}

/// What spoke for an upstream when it was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Facts {
    /// Requests that were under way there.
    pub load: u32,
    /// Upstreams to choose from.
    pub candidates: usize,
    /// How it could be used.
    pub usage: Use,
    /// Whether it was cold.
    pub is_cold: bool,
    /// Whether it held the prompt that the request shares with others.
    pub is_warm: bool,
}

/// The upstreams of a service when none was chosen.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Pool {
    /// Upstreams that may get new work.
    pub usable: usize,
    /// Those that can't be reached.
    pub down: usize,
    /// Those that lose or fail many requests.
    pub suspect: usize,
    /// Cold ones that this host may start nothing at now.
    pub cold: usize,
    /// Requests of all hosts that are under way at them.
    pub load: u32,
    /// Requests that they run at once.
    pub slots: u32,
}

impl Pool {
    fn new(candidates: &[Candidate<'_>]) -> Self {
        let count = |fits: &dyn Fn(&&Candidate<'_>) -> bool| candidates.iter().filter(fits).count();
        Self {
            usable: candidates.len(),
            down: count(&|it| it.usage == Use::Down),
            suspect: count(&|it| it.usage == Use::Suspect),
            cold: count(&|it| it.cold_room == Some(0)),
            load: candidates.iter().map(|it| it.load).sum(),
            slots: candidates.iter().map(|it| it.slots).sum(),
        }
    }
}

/// The outcome of a choice.
pub enum Placed {
    /// The request may be sent.
    At(Lease),
    /// An upstream will be free or usable soon.
    Wait(Pool),
    /// No upstream serves it.
    NoUpstream,
}

/// A request counted at an upstream until this is dropped.
pub struct Lease {
    state: Arc<State>,
    /// The upstream.
    pub known: Arc<Known>,
    /// Another engine from which it can copy the prompt.
    pub holder: Option<Arc<Known>>,
    /// What spoke for it.
    pub facts: Facts,
}

impl Drop for Lease {
    fn drop(&mut self) {
        lock(&self.state.loads).end(&self.known.upstream.id);
        self.state.changed.notify_waiters();
    }
}
