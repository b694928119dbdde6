//! Keeps the configuration up to date: from the platform, watched by a few
//! hosts of each zone, and from the peers, which pass it on.

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
use crate::daemon::adopt;
use crate::ident;
use crate::lock::lock;
use crate::meter::Kind;
use crate::peer::client;
use crate::state::State;

/// The path under which a host tells which versions it holds.
pub const INDEX_PATH: &str = "/v1/config/index";
/// The path under which a host gives a value.
pub const ASK_PATH: &str = "/v1/config/ask";

/// How often a host looks whether a peer is ahead.
const PULL_PERIOD: Duration = Duration::from_millis(250);

/// How often a call that the budget held back is tried again.
const BUDGET_PERIOD: Duration = Duration::from_millis(100);

/// How often a host looks whether there are more values to watch.
const KEY_PERIOD: Duration = Duration::from_secs(1);

/// What HTTP, TCP and IP add to a message, in bytes.
const CALL_OVERHEAD_BYTES: usize = 200;

/// Why a pull failed.
#[derive(Debug, thiserror::Error)]
enum Fault {
    #[error("no address of the host")]
    Address,
    #[error("no answer in time")]
    Timeout,
    #[error("nothing new to adopt")]
    Nothing,
    #[error(transparent)]
    Link(#[from] client::Error),
    #[error("answer broke off: {0}")]
    Body(#[from] hyper::Error),
    #[error("message can't be encoded: {0}")]
    Encode(#[from] rmp_serde::encode::Error),
    #[error("message can't be decoded: {0}")]
    Decode(#[from] rmp_serde::decode::Error),
    #[error(transparent)]
    Relay(#[from] crate::config::replication::Error),
}

/// Watches the platform for every value, until told to stop.
pub async fn watch_all(state: Arc<State>) {
    let mut watched = BTreeSet::new();
    loop {
        for key in adopt::keys(&state) {
            if watched.insert(key) {
                tokio::spawn(until_stop(state.clone(), watch_one(state.clone(), key)));
            }
        }
        sleep(KEY_PERIOD).await;
    }
}

/// Runs a task until the process stops.
pub async fn until_stop(state: Arc<State>, task: impl Future<Output = ()>) {
    tokio::select! {
        () = state.stop.cancelled() => {}
        () = task => {}
    }
}

async fn watch_one(state: Arc<State>, key: Key) {
    let mut random = StdRng::seed_from_u64(state.own.start ^ u64::from(key_number(key)));
    let options = &state.options.platform;
    let mut client = platform::Client::new(options.addresses.clone(), options.timeout);
    let mut watch = Watch::new(Instant::now(), options.watch);
    loop {
        if let Some(version) = lock(&state.store).version(key) {
            watch.observe(version.revision);
        }
        let now = Instant::now();
        let answer = match watch.next(now, role(&state)) {
            Call::Sleep { until } => {
                // Another role or a newer value may call for an earlier look.
                sleep_until(until.min(now + KEY_PERIOD)).await;
                continue;
            }
            _ if !lock(&state.calls).try_take(now, 1.0) => {
                sleep(BUDGET_PERIOD).await;
                continue;
            }
            Call::Watch { after, wait } => client.watch(key, after, wait).await,
            Call::Get => client.get(key).await,
        };
        if answer.is_ok() {
            *lock(&state.heard) = Some(Instant::now());
        }
        let ending = match answer {
            Ok(Some(value)) => {
                count_received(&state, Kind::Watch, value.text.len());
                adopt::offer(&state, key, value.text).await;
                Completion::Value(value.revision)
            }
            Ok(None) if watch_was_open(&watch, &state) => Completion::Unchanged,
            Ok(None) => Completion::Missing,
            Err(error) => {
                tracing::debug!(%key, %error, "config: platform call failed");
                Completion::Failed
            }
        };
        watch.record_completion(Instant::now(), ending, &mut random);
    }
}

/// Tells whether the last call was a watch, where "nothing" is no news.
fn watch_was_open(watch: &Watch, state: &State) -> bool {
    matches!(watch.next(Instant::now(), role(state)), Call::Watch { .. })
}

fn key_number(key: Key) -> u32 {
    match key {
        Key::Register => 0,
        Key::Rules => 1,
        Key::Workspaces(part) => 2 + u32::from(part),
    }
}

/// Returns the part that this host plays towards the platform.
fn role(state: &State) -> Role {
    let view = lock(&state.view);
    let own = &state.own.host;
    match view.zone() {
        Some(zone) => Role::of(own, view.live(zone)),
        None => Role::Watcher,
    }
}

/// Reads the platform's list of hosts from time to time.
pub async fn list(state: Arc<State>) {
    let options = &state.options.platform;
    let mut client = platform::Client::new(options.addresses.clone(), options.timeout);
    // The values come first.
    sleep(KEY_PERIOD).await;
    loop {
        if lock(&state.calls).try_take(Instant::now(), 1.0) {
            match client.hosts().await {
                Ok(list) => lock(&state.view).set_listings(&list),
                Err(error) => tracing::debug!(%error, "config: list of hosts not read"),
            }
        }
        sleep(options.poll).await;
    }
}

/// Pulls values from peers that are ahead.
pub async fn pull(state: Arc<State>) {
    let mut pull = Pull::default();
    while lock(&state.store).version(Key::Register).is_none() {
        seed(&state).await;
        sleep(PULL_PERIOD).await;
    }
    loop {
        sleep(PULL_PERIOD).await;
        let now = Instant::now();
        let held = *lock(&state.held);
        let chosen = plan_pull(&state, &mut pull, now, &held);
        if let Some(host) = chosen {
            match pull_from(&state, &host).await {
                Ok(()) => pull.complete(),
                Err(fault) => {
                    tracing::info!(%host, %fault, "config: pull failed");
                    pull.fail(Instant::now(), &host);
                }
            }
        }
        adopt::refresh_if_new(&state).await;
    }
}

fn plan_pull(
    state: &State,
    pull: &mut Pull,
    now: Instant,
    held: &crate::member::config_state::ConfigState,
) -> Option<ident::Host> {
    let view = lock(&state.view);
    pull.plan(now, &state.own.host, held, view.config_sources())
        .cloned()
}

/// Asks the peers named in the settings, as long as none is known from the
/// register.
async fn seed(state: &Arc<State>) {
    for address in &state.options.peer.seeds {
        match pull_at(state, *address).await {
            Ok(()) => tracing::info!(%address, "config: seed answered"),
            Err(fault) => tracing::debug!(%address, %fault, "config: seed gave nothing"),
        }
    }
}

async fn pull_from(state: &Arc<State>, host: &ident::Host) -> Result<(), Fault> {
    let address = lock(&state.view).address(host).ok_or(Fault::Address)?;
    pull_at(state, address).await
}

async fn pull_at(state: &Arc<State>, address: SocketAddr) -> Result<(), Fault> {
    let before = *lock(&state.held);
    let index: Index = post(state, address, INDEX_PATH, &()).await?;
    let wanted = lock(&state.store).missing(&index);
    for ask in wanted {
        let give: Option<Response> = post(state, address, ASK_PATH, &ask).await?;
        if let Some(give) = give {
            adopt::take(state, give).await?;
        }
    }
    match *lock(&state.held) == before {
        true => Err(Fault::Nothing),
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
    let sent = async {
        let response = state.links.post(address, path, body).await?;
        let bytes = response.into_body().collect().await?.to_bytes();
        count_received(state, Kind::Config, bytes.len());
        Ok(rmp_serde::from_slice(&bytes)?)
    };
    timeout(pull::TIMEOUT, sent)
        .await
        .map_err(|_| Fault::Timeout)?
}

/// Answers a peer that asks which versions are held here.
pub fn index(state: &State) -> Option<Bytes> {
    encode(state, &lock(&state.store).index())
}

/// Answers a peer that asks for a value.
pub fn ask(state: &State, body: &[u8]) -> Option<Bytes> {
    let ask: Request = rmp_serde::from_slice(body).ok()?;
    count_received(state, Kind::Config, body.len());
    encode(state, &lock(&state.store).respond(Instant::now(), &ask))
}

fn encode<T: Serialize>(state: &State, message: &T) -> Option<Bytes> {
    let body = rmp_serde::to_vec(message).ok()?;
    count_sent(state, Kind::Config, body.len());
    Some(body.into())
}

/// Counts control traffic sent, with what HTTP and IP add.
fn count_sent(state: &State, kind: Kind, bytes: usize) {
    lock(&state.meter).sent(kind, (bytes + CALL_OVERHEAD_BYTES) as u64);
}

/// Counts control traffic received, with what HTTP and IP add.
fn count_received(state: &State, kind: Kind, bytes: usize) {
    lock(&state.meter).received(kind, (bytes + CALL_OVERHEAD_BYTES) as u64);
}
