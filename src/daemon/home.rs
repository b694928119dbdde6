//! Keeps the admission scheduler in step with the membership view and the plan:
//! which upstreams this host is home of, how many requests former homes still
//! run there, and the mean load of each pool.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::home::admission;
use crate::home::slot;
use crate::ident;
use crate::lock::lock;
use crate::member::heartbeat::Digest;
use crate::member::load;
use crate::member::view::View;
use crate::plan::Plan;
use crate::policy::crash;
use crate::policy::eligible;
use crate::policy::load::Mean;
use crate::policy::load::Report;
use crate::policy::ramp;
use crate::register::upstream;
use crate::register::upstream::Pool;
use crate::state::State;

const MILLIS_PER_SECOND: u64 = 1_000;

/// Takes over and releases upstreams according to the membership view and the
/// plan, and updates the load limits.
pub fn reconcile(state: &State) {
    let now = Instant::now();
    let plan = state.plan();
    let takeovers = takeovers(state, &plan, now);
    let released = {
        let mut scheduler = lock(&state.scheduler);
        let lost: Vec<_> = scheduler
            .upstreams()
            .filter(|upstream| !takeovers.contains_key(*upstream))
            .cloned()
            .collect();
        let queued: Vec<_> = lost
            .iter()
            .flat_map(|upstream| scheduler.release(upstream))
            .collect();
        for (upstream, takeover) in takeovers {
            log_if_new(&scheduler, &upstream);
            scheduler.take_over(now, takeover);
        }
        for upstream in &lost {
            tracing::info!(%upstream, "home: upstream released");
        }
        queued
    };
    // Dropping the senders refuses the queued requests: this host is no longer
    // the home.
    drop(released);
    clear_predecessors(state, &plan);
    restart_ramps(state, &plan);
    set_means(state, &plan, now);
    slot::tick(state);
}

fn log_if_new(
    scheduler: &admission::Scheduler<crate::state::ResolutionSender>,
    upstream: &ident::Upstream,
) {
    if scheduler.load(upstream).is_none() {
        tracing::info!(%upstream, "home: upstream taken over");
    }
}

/// Returns the upstreams that this host is home of; none while it may not admit
/// requests.
fn takeovers(
    state: &State,
    plan: &Plan,
    now: Instant,
) -> BTreeMap<ident::Upstream, admission::Takeover> {
    let view = lock(&state.view);
    if !view.admits(now) {
        return BTreeMap::new();
    }
    plan.register
        .upstreams
        .iter()
        .filter(|(name, _)| plan.in_service(name))
        .filter(|(name, spec)| view.home(name, spec) == Some(&state.incarnation.host))
        .map(|(name, spec)| (name.clone(), takeover(&view, name, spec)))
        .collect()
}

fn takeover(view: &View, name: &ident::Upstream, spec: &upstream::Spec) -> admission::Takeover {
    let key = load::upstream_key(name);
    let reported = view
        .current_digests()
        .find_map(|digest| find_load(digest, key));
    let last_known = view
        .last_digests()
        .find_map(|digest| find_load(digest, key));
    // An upstream of another zone gets a share of its slots while its own zone
    // has no live host.
    let share = view.takeover_share(&spec.zone).unwrap_or(1.0);
    let slots = (f64::from(spec.slots) * share).ceil() as u32;
    admission::Takeover {
        upstream: name.clone(),
        pools: eligible::pools_of(spec),
        slots,
        cold_slots: spec.cold_slots.min(slots),
        start: match last_known {
            Some(load) => ramp::Start::Inherited(u32::from(load.allowance)),
            None => ramp::Start::Cold,
        },
        predecessor_share: reported.map_or(0, predecessor_share),
    }
}

/// Returns the maximum number of requests that the host that reported `load` may
/// run at the upstream: the allowance of its ramp while it admits requests, else
/// only those still in flight.
fn predecessor_share(load: &load::Upstream) -> u32 {
    match load.cap {
        0 => u32::from(load.in_flight),
        _ => u32::from(load.allowance.max(load.in_flight)),
    }
}

fn find_load(digest: &Digest, key: u32) -> Option<&load::Upstream> {
    digest.upstreams.iter().find(|load| load.key == key)
}

/// Clears the share of predecessors that no longer report an upstream.
fn clear_predecessors(state: &State, plan: &Plan) {
    let reported: BTreeSet<u32> = lock(&state.view)
        .current_digests()
        .flat_map(|digest| digest.upstreams.iter().map(|load| load.key))
        .collect();
    let mut scheduler = lock(&state.scheduler);
    let upstreams: Vec<_> = scheduler.upstreams().cloned().collect();
    for upstream in upstreams {
        let key = load::upstream_key(&upstream);
        if !reported.contains(&key) && plan.upstreams_by_key.contains_key(&key) {
            scheduler.clear_predecessor(&upstream);
        }
    }
}

/// Restarts the ramp of upstreams that the rules list as newly started.
fn restart_ramps(state: &State, plan: &Plan) {
    let mut restarts = lock(&state.restarts);
    let mut scheduler = lock(&state.scheduler);
    for (upstream, round) in &plan.rules.started {
        let previous = restarts.insert(upstream.clone(), *round);
        if previous.is_some_and(|previous| previous < *round) {
            tracing::info!(%upstream, round, "home: upstream restarted, limiting it as cold");
            scheduler.restart_ramp(upstream);
        }
    }
}

/// Passes the load of the other homes to the scheduler: of this zone, and for
/// models, which all zones of a region serve together, also of the region's
/// other zones.
fn set_means(state: &State, plan: &Plan, now: Instant) {
    let mut sums: BTreeMap<u16, Mean> = BTreeMap::new();
    let mut region: BTreeMap<u16, Mean> = BTreeMap::new();
    {
        let view = lock(&state.view);
        view.current_digests()
            .for_each(|digest| add_loads(&mut sums, &digest.pools));
        let zones = other_zones_of_region(state, plan);
        let summaries = zones.iter().filter_map(|zone| view.zone_summary(zone));
        summaries.for_each(|summary| add_loads(&mut region, &summary.pools));
    }
    let mut scheduler = lock(&state.scheduler);
    for pool in &plan.pools {
        let key = load::pool_key(pool);
        let zone = sums.get(&key).copied().unwrap_or_default();
        let others = match pool {
            Pool::Model(_) => zone.plus(region.get(&key).copied().unwrap_or_default()),
            Pool::Service(_) => zone,
        };
        scheduler.record_remote_mean(now, pool, others);
    }
}

fn add_loads(sums: &mut BTreeMap<u16, Mean>, pools: &[load::Total]) {
    for pool in pools {
        let sum = sums.entry(pool.key).or_default();
        *sum = sum.plus(Mean {
            sum: u64::from(pool.in_flight),
            count: u32::from(pool.upstreams),
        });
    }
}

/// Returns the other zones of this host's region.
fn other_zones_of_region(state: &State, plan: &Plan) -> Vec<ident::Zone> {
    let own = &state.options.host.zone;
    let zones = &plan.register.zones;
    let region = zones.get(own).map(|spec| spec.region.as_str());
    zones
        .iter()
        .filter(|(name, spec)| *name != own && Some(spec.region.as_str()) == region)
        .map(|(name, _)| name.clone())
        .collect()
}

/// Applies the contents of a heartbeat: upstream loads, what a predecessor still
/// runs, and crashes.
pub fn apply_digest(state: &State, now: Instant, digest: &Digest) {
    let plan = state.plan();
    {
        let mut scheduler = lock(&state.scheduler);
        for load in &digest.upstreams {
            if let Some(upstream) = plan.upstreams_by_key.get(&load.key) {
                scheduler.update_predecessor(now, upstream, predecessor_share(load));
            }
        }
    }
    {
        let mut remote_loads = lock(&state.remote_loads);
        for load in &digest.upstreams {
            if let Some(upstream) = plan.upstreams_by_key.get(&load.key) {
                remote_loads.insert(upstream.clone(), load_report(load));
            }
        }
    }
    let mut crashes = lock(&state.crashes);
    for reported in &digest.crashes {
        if let Some(upstream) = plan.upstreams_by_key.get(&reported.upstream) {
            let crash = crash::Crash {
                fingerprint: reported.fingerprint,
                upstream: upstream.clone(),
                left_ms: u64::from(reported.left_s) * MILLIS_PER_SECOND,
            };
            crashes.merge(now, &crash);
        }
    }
    drop(crashes);
    let mut quarantine = lock(&state.quarantine);
    for segment in &digest.segments {
        quarantine.merge(now, segment);
    }
}

fn load_report(load: &load::Upstream) -> Report {
    Report {
        inflight: u32::from(load.in_flight),
        queued: u32::from(load.queued),
        cap: u32::from(load.cap),
        allowance: u32::from(load.allowance),
    }
}
