//! Keeps the desk in step with the view and the plan: which upstreams this
//! host is home of, what predecessors still run there, and the mean load.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use tokio::time::Instant;

use crate::home::admission;
use crate::home::slot;
use crate::ident;
use crate::lock::lock;
use crate::member::beat::Digest;
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

/// Adopts and releases upstreams as the view and the plan say.
pub fn reconcile(state: &State) {
    let now = Instant::now();
    let plan = state.plan();
    let adoptions = adoptions(state, &plan, now);
    let released = {
        let mut desk = lock(&state.desk);
        let gone: Vec<_> = desk
            .upstreams()
            .filter(|upstream| !adoptions.contains_key(*upstream))
            .cloned()
            .collect();
        let waiting: Vec<_> = gone
            .iter()
            .flat_map(|upstream| desk.release(upstream))
            .collect();
        for (upstream, adoption) in adoptions {
            log_new(&desk, &upstream);
            desk.take_over(now, adoption);
        }
        for upstream in &gone {
            tracing::info!(%upstream, "home: released");
        }
        waiting
    };
    // Dropped tickets tell those who waited that this is not the home.
    drop(released);
    clear_predecessors(state, &plan);
    chill_started(state, &plan);
    set_means(state, &plan, now);
    slot::tick(state);
}

fn log_new(desk: &admission::Scheduler<crate::state::Ticket>, upstream: &ident::Upstream) {
    if desk.load(upstream).is_none() {
        tracing::info!(%upstream, "home: adopted");
    }
}

/// Lists the upstreams that this host is home of.
fn adoptions(
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
        .filter(|(name, spec)| view.home(name, spec) == Some(&state.own.host))
        .map(|(name, spec)| (name.clone(), adoption(&view, name, spec)))
        .collect()
}

fn adoption(view: &View, name: &ident::Upstream, spec: &upstream::Spec) -> admission::Takeover {
    let key = load::upstream_key(name);
    let told = view.digests().find_map(|digest| entry(digest, key));
    let known = view.known().find_map(|digest| entry(digest, key));
    // An upstream of another zone, taken over from its lost hosts.
    let share = view.takes_over(&spec.zone).unwrap_or(1.0);
    let slots = (f64::from(spec.slots) * share).ceil() as u32;
    admission::Takeover {
        upstream: name.clone(),
        pools: eligible::pools_of(spec),
        slots,
        cold_slots: spec.cold_slots.min(slots),
        start: match known {
            Some(load) => ramp::Start::Inherited(u32::from(load.allowance)),
            None => ramp::Start::Cold,
        },
        predecessor_share: told.map_or(0, told_share),
    }
}

/// Returns the most that the host that told of an upstream may run there: what
/// its ramp allows as long as it admits, else what is left.
fn told_share(load: &load::Upstream) -> u32 {
    match load.cap {
        0 => u32::from(load.in_flight),
        _ => u32::from(load.allowance.max(load.in_flight)),
    }
}

fn entry(digest: &Digest, key: u32) -> Option<&load::Upstream> {
    digest.upstreams.iter().find(|load| load.key == key)
}

/// Clears the share of predecessors that no longer tell of an upstream.
fn clear_predecessors(state: &State, plan: &Plan) {
    let told: BTreeSet<u32> = lock(&state.view)
        .digests()
        .flat_map(|digest| digest.upstreams.iter().map(|load| load.key))
        .collect();
    let mut desk = lock(&state.desk);
    let own: Vec<_> = desk.upstreams().cloned().collect();
    for upstream in own {
        let key = load::upstream_key(&upstream);
        if !told.contains(&key) && plan.keys.contains_key(&key) {
            desk.clear_predecessor(&upstream);
        }
    }
}

/// Starts the ramp anew for upstreams that the rules call newly started.
fn chill_started(state: &State, plan: &Plan) {
    let mut rounds = lock(&state.rounds);
    let mut desk = lock(&state.desk);
    for (upstream, round) in &plan.rules.started {
        let before = rounds.insert(upstream.clone(), *round);
        if before.is_some_and(|before| before < *round) {
            tracing::info!(%upstream, round, "home: started anew");
            desk.restart_ramp(upstream);
        }
    }
}

/// Tells the desk what the other homes carry: of the zone, and for models, which
/// a whole region serves together, of the region's other zones.
fn set_means(state: &State, plan: &Plan, now: Instant) {
    let mut sums: BTreeMap<u16, Mean> = BTreeMap::new();
    let mut region: BTreeMap<u16, Mean> = BTreeMap::new();
    {
        let view = lock(&state.view);
        view.digests()
            .for_each(|digest| add(&mut sums, &digest.pools));
        let zones = others_of_region(state, plan);
        let summaries = zones.iter().filter_map(|zone| view.zone_summary(zone));
        summaries.for_each(|summary| add(&mut region, &summary.pools));
    }
    let mut desk = lock(&state.desk);
    for pool in &plan.pools {
        let key = load::pool_key(pool);
        let zone = sums.get(&key).copied().unwrap_or_default();
        let others = match pool {
            Pool::Model(_) => zone.plus(region.get(&key).copied().unwrap_or_default()),
            Pool::Service(_) => zone,
        };
        desk.record_remote_mean(now, pool, others);
    }
}

fn add(sums: &mut BTreeMap<u16, Mean>, pools: &[load::Sum]) {
    for pool in pools {
        let sum = sums.entry(pool.key).or_default();
        *sum = sum.plus(Mean {
            sum: u64::from(pool.in_flight),
            count: u32::from(pool.upstreams),
        });
    }
}

/// Lists the other zones of this host's region.
fn others_of_region(state: &State, plan: &Plan) -> Vec<ident::Zone> {
    let own = &state.options.host.zone;
    let zones = &plan.register.zones;
    let region = zones.get(own).map(|spec| spec.region.as_str());
    zones
        .iter()
        .filter(|(name, spec)| *name != own && Some(spec.region.as_str()) == region)
        .map(|(name, _)| name.clone())
        .collect()
}

/// Learns from a heartbeat: loads, what a predecessor still runs, strikes.
pub fn learn(state: &State, now: Instant, digest: &Digest) {
    let plan = state.plan();
    {
        let mut desk = lock(&state.desk);
        for load in &digest.upstreams {
            if let Some(upstream) = plan.keys.get(&load.key) {
                desk.update_predecessor(now, upstream, told_share(load));
            }
        }
    }
    {
        let mut loads = lock(&state.loads);
        for load in &digest.upstreams {
            if let Some(upstream) = plan.keys.get(&load.key) {
                loads.insert(upstream.clone(), report(load));
            }
        }
    }
    let mut strikes = lock(&state.strikes);
    for told in &digest.strikes {
        if let Some(upstream) = plan.keys.get(&told.upstream) {
            let strike = crash::Crash {
                fingerprint: told.fingerprint,
                upstream: upstream.clone(),
                left_ms: u64::from(told.left_s) * MILLIS_PER_SECOND,
            };
            strikes.merge(now, &strike);
        }
    }
}

fn report(load: &load::Upstream) -> Report {
    Report {
        inflight: u32::from(load.in_flight),
        queued: u32::from(load.queued),
        cap: u32::from(load.cap),
        allowance: u32::from(load.allowance),
    }
}
