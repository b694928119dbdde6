//! Checks published values before they enter the store, and applies the stored
//! values as one plan.

use std::sync::Arc;

use tokio::time::Instant;

use crate::config::key::Key;
use crate::config::replication;
use crate::config::replication::Response;
use crate::config::store::Adoption;
use crate::config::value;
use crate::config::value::Value;
use crate::config::version;
use crate::lock::lock;
use crate::member::config_state::ConfigState;
use crate::plan::Plan;
use crate::register::Register;
use crate::revision::Revision;
use crate::rules::Rules;
use crate::state::State;

/// Checks a value, caches its parsed form and returns its revision.
fn check(state: &State, key: Key, text: &str) -> Result<Revision, value::Invalid> {
    let value = Value::parse(key, text)?;
    let revision = value.revision();
    lock(&state.parsed).insert(key, version::hash(text), value);
    Ok(revision)
}

/// Offers a value from the platform to the store and returns the result.
/// Returns `None` if the work panicked or the runtime is shutting down.
pub async fn from_platform(state: &Arc<State>, key: Key, text: String) -> Option<Adoption> {
    run_blocking(state, move |state| {
        let now = Instant::now();
        let adoption = lock(&state.store).offer(now, key, &text, |text| check(state, key, text));
        finish_offer(state, key, &adoption);
        adoption
    })
    .await
}

/// Offers a value from a peer to the store. Fails if the peer was busy or its
/// response can't be turned into the announced value.
pub async fn from_peer(state: &Arc<State>, response: Response) -> Result<(), replication::Error> {
    let offered = run_blocking(state, move |state| {
        let now = Instant::now();
        let key = response.key;
        let check = |key, text: &str| check(state, key, text);
        let adoption = lock(&state.store).apply_response(now, response, check)?;
        finish_offer(state, key, &adoption);
        Ok(())
    });
    offered.await.unwrap_or(Ok(()))
}

/// Runs `work` on the pool for blocking tasks and then updates the summary of
/// the store: parsing a value of a megabyte would hold up the worker threads
/// that serve requests. Returns `None` if the work panicked or the runtime is
/// shutting down.
pub async fn run_blocking<T: Send + 'static>(
    state: &Arc<State>,
    work: impl FnOnce(&State) -> T + Send + 'static,
) -> Option<T> {
    let shared = state.clone();
    let result = tokio::task::spawn_blocking(move || {
        let result = work(&shared);
        let config = lock(&shared.store).config_state();
        *lock(&shared.config) = config;
        result
    });
    result.await.ok()
}

/// Logs the result of an offer, and applies a new plan if the store changed.
fn finish_offer(state: &State, key: Key, adoption: &Adoption) {
    match adoption {
        Adoption::Adopted { from, to } => {
            tracing::info!(%key, %from, %to, "config: value adopted");
        }
        Adoption::Conflict { revision, adopted } => {
            tracing::error!(%key, %revision, adopted, "config: conflicting contents of one revision");
        }
        Adoption::Refused(reason) => tracing::error!(%key, %reason, "config: value refused"),
        Adoption::Unchanged | Adoption::Older => {}
    }
    if adoption.is_change() {
        apply_stored(state);
    }
}

/// Applies the stored values if this host may act on them. Otherwise only the
/// membership view learns which hosts the register lists.
fn apply_stored(state: &State) {
    let _order = lock(&state.refresh);
    let now = Instant::now();
    let (config, plan) = build_plan(state);
    let changes = lock(&state.view).apply_register(now, &plan.register);
    for change in changes {
        tracing::info!(?change, "member: view changed");
    }
    if !may_act(state, now, &config) {
        return;
    }
    lock(&state.scheduler).set_load(plan.rules.load);
    state.set_plan(plan);
}

/// Returns whether this host may act on the stored values: a starting host first
/// learns which revisions its peers hold.
fn may_act(state: &State, now: Instant, config: &ConfigState) -> bool {
    let peers: Vec<_> = lock(&state.view)
        .config_sources()
        .map(|(_, config)| *config)
        .collect();
    lock(&state.gate).is_open(now, config, peers.iter())
}

/// Builds a plan from the stored values and returns it with the summary of the
/// store. The store holds only values that passed the check.
fn build_plan(state: &State) -> (ConfigState, Plan) {
    let (config, values) = {
        let store = lock(&state.store);
        let values = store.values();
        let values: Vec<_> = values
            .map(|(key, value)| (key, value.version.hash, value.text.clone()))
            .collect();
        (store.config_state(), values)
    };
    let mut register = Register::default();
    let mut rules = Rules::default();
    let mut parts = Vec::new();
    for (key, hash, text) in values {
        let cached = lock(&state.parsed).get(key, hash);
        match (key, cached.map_or_else(|| Value::parse(key, &text), Ok)) {
            (_, Ok(Value::Register(parsed))) => register = Register::clone(&parsed),
            (_, Ok(Value::Rules(parsed))) => rules = Rules::clone(&parsed),
            (Key::Workspaces(number), Ok(Value::Part(part))) => parts.push((number, part)),
            (Key::Register | Key::Rules, Ok(Value::Part(_))) => {}
            (_, Err(invalid)) => tracing::error!(%key, %invalid, "config: stored value is invalid"),
        }
    }
    let listed = register.workspace_parts;
    let parts = parts.iter().filter(|(part, _)| u32::from(*part) < listed);
    for (_, part) in parts {
        let entries = part.workspaces.iter();
        register
            .workspaces
            .extend(entries.map(|(name, spec)| (name.clone(), spec.clone())));
    }
    (config, Plan::new(register, rules))
}

/// Returns the keys of all values that this host needs.
pub fn needed_keys(state: &Arc<State>) -> Vec<Key> {
    let parts = u16::try_from(state.plan().register.workspace_parts).unwrap_or(u16::MAX);
    [Key::Register, Key::Rules]
        .into_iter()
        .chain((0..parts).map(Key::Workspaces))
        .collect()
}

/// Applies the stored values if the plan is older than they are, for instance
/// because the host was not allowed to act on them before.
pub async fn apply_if_newer(state: &Arc<State>) {
    let config = *lock(&state.config);
    let plan = state.plan();
    let outdated = config.register > plan.register.revision || config.rules > plan.rules.revision;
    if outdated && may_act(state, Instant::now(), &config) {
        run_blocking(state, apply_stored).await;
    }
}
