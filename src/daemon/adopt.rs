//! Published values: checked before they are adopted, and put in force as one
//! plan.

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

/// Checks a value and returns its revision.
fn check(state: &State, key: Key, text: &str) -> Result<Revision, value::Invalid> {
    let value = Value::parse(key, text)?;
    let revision = value.revision();
    lock(&state.parsed).insert(key, version::hash(text), value);
    Ok(revision)
}

/// Offers a value that the platform gave. `None` if the process ends.
pub async fn offer(state: &Arc<State>, key: Key, text: String) -> Option<Adoption> {
    apart(state, move |state| {
        let now = Instant::now();
        let adoption = lock(&state.store).offer(now, key, &text, |text| check(state, key, text));
        note(state, key, &adoption);
        adoption
    })
    .await
}

/// Takes in a value that a peer gave.
pub async fn take(state: &Arc<State>, give: Response) -> Result<(), replication::Error> {
    let taken = apart(state, move |state| {
        let now = Instant::now();
        let key = give.key;
        let check = |key, text: &str| check(state, key, text);
        let adoption = lock(&state.store).apply_response(now, give, check)?;
        note(state, key, &adoption);
        Ok(())
    });
    taken.await.unwrap_or(Ok(()))
}

/// Runs work on the values apart from the workers that serve requests: to
/// read a value of a megabyte takes long. `None` if the process ends.
pub async fn apart<T: Send + 'static>(
    state: &Arc<State>,
    work: impl FnOnce(&State) -> T + Send + 'static,
) -> Option<T> {
    let shared = state.clone();
    let done = tokio::task::spawn_blocking(move || {
        let done = work(&shared);
        let held = lock(&shared.store).held();
        *lock(&shared.held) = held;
        done
    });
    done.await.ok()
}

/// Notes what became of a value, and puts a new plan in force if it changed.
fn note(state: &State, key: Key, adoption: &Adoption) {
    match adoption {
        Adoption::Adopted { from, to } => {
            tracing::info!(%key, %from, %to, "config: adopted");
        }
        Adoption::Conflict { revision, adopted } => {
            tracing::error!(%key, %revision, adopted, "config: two contents of one revision");
        }
        Adoption::Refused(reason) => tracing::error!(%key, %reason, "config: value refused"),
        Adoption::Unchanged | Adoption::Older => {}
    }
    if adoption.is_change() {
        refresh(state);
    }
}

/// Puts what the store holds in force, once this host may act on it. Until
/// then it only learns whom to listen to.
fn refresh(state: &State) {
    let _order = lock(&state.refresh);
    let now = Instant::now();
    let (held, plan) = plan(state);
    let changes = lock(&state.view).apply_register(now, &plan.register);
    for change in changes {
        tracing::info!(?change, "member: view changed");
    }
    if !is_open(state, now, &held) {
        return;
    }
    lock(&state.desk).set_load(plan.rules.load);
    state.set_plan(plan);
}

/// Tells whether this host may act on what it holds: a starting host first
/// hears what its peers hold.
fn is_open(state: &State, now: Instant, held: &ConfigState) -> bool {
    let peers: Vec<_> = lock(&state.view)
        .config_sources()
        .map(|(_, held)| *held)
        .collect();
    lock(&state.gate).is_open(now, held, peers.iter())
}

/// Works out a plan, and tells what it is made of. The store holds only values
/// that passed the check.
fn plan(state: &State) -> (ConfigState, Plan) {
    let (held, values) = {
        let store = lock(&state.store);
        let values = store.values();
        let values: Vec<_> = values
            .map(|(key, value)| (key, value.version.hash, value.text.clone()))
            .collect();
        (store.held(), values)
    };
    let mut register = Register::default();
    let mut rules = Rules::default();
    let mut parts = Vec::new();
    for (key, hash, text) in values {
        let known = lock(&state.parsed).get(key, hash);
        match (key, known.map_or_else(|| Value::parse(key, &text), Ok)) {
            (_, Ok(Value::Register(read))) => register = Register::clone(&read),
            (_, Ok(Value::Rules(read))) => rules = Rules::clone(&read),
            (Key::Workspaces(number), Ok(Value::Part(part))) => parts.push((number, part)),
            (Key::Register | Key::Rules, Ok(Value::Part(_))) => {}
            (_, Err(invalid)) => tracing::error!(%key, %invalid, "config: value kept has faults"),
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
    (held, Plan::new(register, rules))
}

/// Lists the keys that this host keeps.
pub fn keys(state: &Arc<State>) -> Vec<Key> {
    let parts = u16::try_from(state.plan().register.workspace_parts).unwrap_or(u16::MAX);
    [Key::Register, Key::Rules]
        .into_iter()
        .chain((0..parts).map(Key::Workspaces))
        .collect()
}

/// Puts what the store holds in force if the plan is behind it, as when the
/// host could not act on it until now.
pub async fn refresh_if_new(state: &Arc<State>) {
    let held = *lock(&state.held);
    let plan = state.plan();
    let behind = held.register > plan.register.revision || held.rules > plan.rules.revision;
    if behind && is_open(state, Instant::now(), &held) {
        apart(state, refresh).await;
    }
}
