//! Keeps the configuration up to date: a few hosts of each zone watch the
//! platform, and every host pulls newer values from its peers.

use std::collections::BTreeSet;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::BodyExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use tokio::time::Instant;
use tokio::time::sleep;
use tokio::time::sleep_until;
use tokio::time::timeout;

use crate::config::key::Key;
use crate::config::platform;
use crate::config::pull;
use crate::config::pull::Pull;
use crate::config::replication::Index;
use crate::config::replication::Request;
use crate::config::replication::Response;
use crate::config::watch::Call;
use crate::config::watch::Completion;
use crate::config::watch::Role;
use crate::config::watch::Watch;
use crate::daemon::apply;
use crate::ident;
use crate::lock::lock;
use crate::meter::Kind;
use crate::peer::client;
use crate::state::State;

/// The path at which a host returns the versions it holds.
pub const INDEX_PATH: &str = "/v1/config/index";

/// The path at which a host returns a value.
pub const VALUE_PATH: &str = "/v1/config/ask";

/// How often a host checks whether a peer holds newer values.
const PULL_PERIOD: Duration = Duration::from_millis(250);

/// How often a call is retried while the call budget is exhausted.
const BUDGET_RETRY_PERIOD: Duration = Duration::from_millis(100);

/// How often a host checks whether there are more values to watch.
const KEY_CHECK_PERIOD: Duration = Duration::from_secs(1);

/// The estimated overhead of HTTP, TCP and IP per message in bytes.
const CALL_OVERHEAD_BYTES: usize = 200;

/// Why a pull failed.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("address of the host is not known")]
    UnknownAddress,
    #[error("no response within {:?}", pull::TIMEOUT)]
    Timeout,
    #[error("peer returned no value newer than those held here")]
    NothingNewer,
    #[error(transparent)]
    Peer(#[from] client::Error),
    #[error("response ended before its body was complete: {0}")]
    Body(#[from] hyper::Error),
    #[error("message can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("message can't be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error(transparent)]
    Replication(#[from] crate::config::replication::Error),
}

/// Starts a watch of the platform for each value, until the process stops.
pub async fn watch_all(state: Arc<State>) {
    let mut watched = BTreeSet::new();
    loop {
        for key in apply::needed_keys(&state) {
            if watched.insert(key) {
                tokio::spawn(run_until_stopped(
                    state.clone(),
                    watch_value(state.clone(), key),
                ));
            }
        }
        sleep(KEY_CHECK_PERIOD).await;
    }
}

/// Runs a task until it ends or the process stops.
pub async fn run_until_stopped(state: Arc<State>, task: impl Future<Output = ()>) {
    tokio::select! {
        () = state.stop.cancelled() => {}
        () = task => {}
    }
}

async fn watch_value(state: Arc<State>, key: Key) {
    let mut random = StdRng::seed_from_u64(state.incarnation.start ^ u64::from(key_number(key)));
    let options = &state.options.platform;
    let mut client = platform::Client::new(options.addresses.clone(), options.timeout);
    let mut watch = Watch::new(Instant::now(), options.watch);
    loop {
        if let Some(version) = lock(&state.store).version(key) {
            watch.observe(version.revision);
        }
        let now = Instant::now();
        let result = match watch.next(now, role(&state)) {
            Call::Sleep { until } => {
                // A change of role or a newer value may require an earlier call.
                sleep_until(until.min(now + KEY_CHECK_PERIOD)).await;
                continue;
            }
            _ if !lock(&state.call_budget).try_take(now, 1.0) => {
                sleep(BUDGET_RETRY_PERIOD).await;
                continue;
            }
            Call::Watch { after, wait } => client.watch(key, after, wait).await,
            Call::Get => client.get(key).await,
        };
        if result.is_ok() {
            *lock(&state.platform_last_seen) = Some(Instant::now());
        }
        let completion = match result {
            Ok(Some(value)) => {
                count_received(&state, Kind::Watch, value.text.len());
                apply::from_platform(&state, key, value.text).await;
                Completion::Value(value.revision)
            }
            Ok(None) if was_watch(&watch, &state) => Completion::Unchanged,
            Ok(None) => Completion::Missing,
            Err(error) => {
                tracing::debug!(%key, %error, "config: platform call failed");
                Completion::Failed
            }
        };
        watch.record_completion(Instant::now(), completion, &mut random);
    }
}

/// Returns whether the last call was a watch, whose empty response means that
/// the value is unchanged rather than missing.
fn was_watch(watch: &Watch, state: &State) -> bool {
    matches!(watch.next(Instant::now(), role(state)), Call::Watch { .. })
}

fn key_number(key: Key) -> u32 {
    match key {
        Key::Register => 0,
        Key::Rules => 1,
        Key::Workspaces(part) => 2 + u32::from(part),
    }
}

/// Returns whether this host watches or polls the platform.
fn role(state: &State) -> Role {
    let view = lock(&state.view);
    let own = &state.incarnation.host;
    match view.zone() {
        Some(zone) => Role::of(own, view.live(zone)),
        None => Role::Watcher,
    }
}

/// Polls the platform for its list of hosts.
pub async fn poll_hosts(state: Arc<State>) {
    let options = &state.options.platform;
    let mut client = platform::Client::new(options.addresses.clone(), options.timeout);
    // The values have priority in the call budget.
    sleep(KEY_CHECK_PERIOD).await;
    loop {
        if lock(&state.call_budget).try_take(Instant::now(), 1.0) {
            match client.hosts().await {
                Ok(list) => lock(&state.view).set_listings(&list),
                Err(error) => tracing::debug!(%error, "config: failed to read the list of hosts"),
            }
        }
        sleep(options.poll).await;
    }
}

/// Pulls values from peers that hold newer ones: first from the seeds, until a
/// register is known, then from the hosts of the register.
pub async fn pull_from_peers(state: Arc<State>) {
    let mut pull = Pull::default();
    while lock(&state.store).version(Key::Register).is_none() {
        pull_from_seeds(&state).await;
        sleep(PULL_PERIOD).await;
    }
    loop {
        sleep(PULL_PERIOD).await;
        let now = Instant::now();
        let config = *lock(&state.config);
        let source = choose_source(&state, &mut pull, now, &config);
        if let Some(host) = source {
            match pull_from(&state, &host).await {
                Ok(()) => pull.complete(),
                Err(fault) => {
                    tracing::info!(%host, %fault, "config: pull failed");
                    pull.fail(Instant::now(), &host);
                }
            }
        }
        apply::apply_if_newer(&state).await;
    }
}

fn choose_source(
    state: &State,
    pull: &mut Pull,
    now: Instant,
    config: &crate::member::config_state::ConfigState,
) -> Option<ident::Host> {
    let view = lock(&state.view);
    pull.plan(now, &state.incarnation.host, config, view.config_sources())
        .cloned()
}

/// Pulls values from the peers named in the settings. Needed as long as no
/// register names the hosts.
async fn pull_from_seeds(state: &Arc<State>) {
    for address in &state.options.peer.seeds {
        match pull_at(state, *address).await {
            Ok(()) => tracing::info!(%address, "config: pulled values from seed"),
            Err(fault) => tracing::debug!(%address, %fault, "config: pull from seed failed"),
        }
    }
}

async fn pull_from(state: &Arc<State>, host: &ident::Host) -> Result<(), Fault> {
    let address = lock(&state.view)
        .address(host)
        .ok_or(Fault::UnknownAddress)?;
    pull_at(state, address).await
}

async fn pull_at(state: &Arc<State>, address: SocketAddr) -> Result<(), Fault> {
    let before = *lock(&state.config);
    let index: Index = post(state, address, INDEX_PATH, &()).await?;
    let requests = lock(&state.store).missing(&index);
    for request in requests {
        let response: Option<Response> = post(state, address, VALUE_PATH, &request).await?;
        if let Some(response) = response {
            apply::from_peer(state, response).await?;
        }
    }
    match *lock(&state.config) == before {
        true => Err(Fault::NothingNewer),
        false => Ok(()),
    }
}

async fn post<A: Serialize, B: DeserializeOwned>(
    state: &State,
    address: SocketAddr,
    path: &str,
    message: &A,
) -> Result<B, Fault> {
    let body = Bytes::from(rmp_serde::to_vec(message)?);
    count_sent(state, Kind::Config, body.len());
    let exchange = async {
        let response = state.peers.post(address, path, body).await?;
        let bytes = response.into_body().collect().await?.to_bytes();
        count_received(state, Kind::Config, bytes.len());
        Ok(rmp_serde::from_slice(&bytes)?)
    };
    timeout(pull::TIMEOUT, exchange)
        .await
        .map_err(|_| Fault::Timeout)?
}

/// Returns the encoded versions held here, for a peer.
pub fn serve_index(state: &State) -> Option<Bytes> {
    encode(state, &lock(&state.store).index())
}

/// Returns the encoded value that a peer asks for, or `None` if the request
/// can't be decoded.
pub fn serve_value(state: &State, body: &[u8]) -> Option<Bytes> {
    let request: Request = rmp_serde::from_slice(body).ok()?;
    count_received(state, Kind::Config, body.len());
    encode(state, &lock(&state.store).respond(Instant::now(), &request))
}

fn encode<T: Serialize>(state: &State, message: &T) -> Option<Bytes> {
    let body = rmp_serde::to_vec(message).ok()?;
    count_sent(state, Kind::Config, body.len());
    Some(body.into())
}

/// Counts control traffic sent, including the estimated overhead.
fn count_sent(state: &State, kind: Kind, bytes: usize) {
    lock(&state.meter).record_sent(kind, (bytes + CALL_OVERHEAD_BYTES) as u64);
}

/// Counts control traffic received, including the estimated overhead.
fn count_received(state: &State, kind: Kind, bytes: usize) {
    lock(&state.meter).record_received(kind, (bytes + CALL_OVERHEAD_BYTES) as u64);
}
