//! Builds the status of a host for operators from the shared state, which it
//! only reads.

use std::collections::BTreeMap;

use tokio::time::Instant;

use crate::config::key::Key;
use crate::config::store::Store;
use crate::entry::caller;
use crate::ident;
use crate::lock::lock;
use crate::member::config_state::ConfigState;
use crate::member::heartbeat;
use crate::member::view::View;
use crate::plan::Plan;
use crate::policy::eligible;
use crate::policy::load::Report;
use crate::query;
use crate::register::upstream;
use crate::revision::Revision;
use crate::state::FAILURE_PENALTY;
use crate::state::State;

/// Returns the status of a host.
pub fn status(state: &State) -> query::Status {
    let now = Instant::now();
    let plan = state.plan();
    let configs = applied_configs(state, &plan);
    query::Status {
        host: host(state, now),
        register: config(state, Key::Register, now, &configs, |c| c.register),
        rules: config(state, Key::Rules, now, &configs, |c| c.rules),
        members: members(state, &plan, now),
        upstreams: upstreams(state, &plan, now),
        tokens: state.issuer.counters(),
        ledger: state.issuer.size(),
        meter: lock(&state.meter).snapshot(now),
    }
}

fn host(state: &State, now: Instant) -> query::Host {
    let stage = match caller::is_ready(state) {
        _ if state.draining.is_cancelled() => query::Stage::Draining,
        true => query::Stage::Serving,
        false => query::Stage::Starting,
    };
    query::Host {
        name: state.incarnation.host.clone(),
        zone: state.options.host.zone.clone(),
        incarnation: format!("{:016x}", state.incarnation.start),
        stage,
        age_ms: millis(now, state.started),
    }
}

/// Returns the applied revisions of this host, followed by those of the hosts of
/// its zone that send heartbeats.
fn applied_configs(state: &State, plan: &Plan) -> Vec<ConfigState> {
    let own = ConfigState {
        register: plan.register.revision,
        rules: plan.rules.revision,
        ..ConfigState::default()
    };
    let view = lock(&state.view);
    let others = view.current_digests().map(|digest| digest.config);
    std::iter::once(own).chain(others).collect()
}

fn config(
    state: &State,
    key: Key,
    now: Instant,
    configs: &[ConfigState],
    revision: fn(&ConfigState) -> Revision,
) -> query::Config {
    let store = lock(&state.store);
    let value = store.get(key);
    query::Config {
        revision: configs.first().map(revision).unwrap_or_default(),
        age_ms: value.map_or(0, |value| millis(now, value.since)),
        heard_ms: lock(&state.platform_last_seen).map(|seen| millis(now, seen)),
        rejected: rejected(&store, key),
        spread: query::Config::spread(configs.iter().map(revision)),
    }
}

fn rejected(store: &Store, key: Key) -> Option<query::Rejection> {
    let (_, refused) = store.refused().find(|(other, _)| *other == key)?;
    Some(query::Rejection {
        revision: refused.revision(),
        cause: refused.reason.to_string(),
    })
}

fn members(state: &State, plan: &Plan, now: Instant) -> Vec<query::Member> {
    let view = lock(&state.view);
    plan.register
        .hosts
        .iter()
        .filter(|(name, _)| **name != state.incarnation.host)
        .map(|(name, spec)| member(&view, name, &spec.zone, now))
        .collect()
}

fn member(view: &View, name: &ident::Host, zone: &ident::Zone, now: Instant) -> query::Member {
    let last_digest = view.last_digest(name);
    let live = view.live(zone).any(|host| host == name);
    let presence = match last_digest.map(|digest| digest.state) {
        Some(heartbeat::State::Draining | heartbeat::State::Gone) => query::Presence::Leaving,
        _ if live => query::Presence::Live,
        Some(_) if view.peer(name).is_some() => query::Presence::Suspect,
        _ => query::Presence::Silent,
    };
    let config = last_digest.map(|digest| digest.config).unwrap_or_default();
    query::Member {
        host: name.clone(),
        zone: zone.clone(),
        presence,
        incarnation: last_digest.map(|digest| format!("{:016x}", digest.from.start)),
        heard_ms: view.last_seen(name).map(|seen| millis(now, seen)),
        register: config.register,
        rules: config.rules,
    }
}

fn upstreams(state: &State, plan: &Plan, now: Instant) -> Vec<query::Upstream> {
    let homes: BTreeMap<_, _> = {
        let view = lock(&state.view);
        let specs = plan.register.upstreams.iter();
        specs
            .map(|(name, spec)| (name, view.home(name, spec).cloned()))
            .collect()
    };
    homes
        .into_iter()
        .filter_map(|(name, home)| {
            let spec = plan.register.upstreams.get(name)?;
            Some(upstream_status(state, plan, now, name, spec, home))
        })
        .collect()
}

fn upstream_status(
    state: &State,
    plan: &Plan,
    now: Instant,
    name: &ident::Upstream,
    spec: &upstream::Spec,
    home: Option<ident::Host>,
) -> query::Upstream {
    let own = lock(&state.scheduler).load(name);
    let report = own.or_else(|| lock(&state.remote_loads).get(name).copied());
    let failed = lock(&state.recent_failures).get(name).copied();
    let failed_recently = failed.is_some_and(|at| now.duration_since(at) < FAILURE_PENALTY);
    let load = report.unwrap_or_default();
    query::Upstream {
        name: name.clone(),
        zone: spec.zone.clone(),
        pools: eligible::pools_of(spec),
        home,
        health: health(plan, name, spec, report, failed_recently),
        running: load.inflight,
        limit: load.cap,
        queued: load.queued,
        age_ms: 0,
    }
}

fn health(
    plan: &Plan,
    name: &ident::Upstream,
    spec: &upstream::Spec,
    report: Option<Report>,
    failed_recently: bool,
) -> query::Health {
    match report {
        _ if plan.rules.leaving.contains(name) => query::Health::Leaving,
        _ if plan.rules.draining.contains(&spec.zone) => query::Health::Draining,
        _ if failed_recently => query::Health::Down,
        None => query::Health::Unseen,
        Some(report) if report.allowance < spec.slots => query::Health::Cold,
        Some(_) => query::Health::Warm,
    }
}

fn millis(now: Instant, since: Instant) -> u64 {
    u64::try_from(now.duration_since(since).as_millis()).unwrap_or(u64::MAX)
}
