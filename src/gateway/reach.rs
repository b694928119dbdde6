//! Whether this host can connect to the upstreams of a service.
//!
//! In a network partition a host may reach none of them, while callers and other hosts reach the
//! host. By their health alone its upstreams look as if all of them had failed. Only connections
//! that are opened count, as existing ones may survive a partition.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use futures_util::future::join_all;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use tokio::time::Instant;
use tracing::info;

use crate::boot;
use crate::gateway::connection::Fault;
use crate::gateway::state::State;
use crate::gateway::upstream::Record;
use crate::gateway::upstream::Upstream;
use crate::ident;
use crate::lock::lock;
use crate::log::millis;

/// Number of upstreams that have to be unreachable, unless the service has fewer. A single one
/// has probably failed.
const MIN_FAILURES: usize = 2;

/// How long a failed connection is evidence against the others.
const FAILURE_WINDOW: Duration = Duration::from_secs(5);

/// Interval between probes of a service whose upstreams may be unreachable.
const PROBE_INTERVAL: Duration = Duration::from_millis(400);

/// Time after which other hosts are told of a lost service. Where many upstreams fail at once, a
/// probe of another one ends the loss sooner.
const CONFIRMATION_TIME: Duration = Duration::from_millis(100);

/// Number of upstreams that are probed at a time. Only connections are opened; they go to the
/// pool.
const PROBES: usize = 2;

/// What this host knows of the way to a service's upstreams.
#[derive(Clone, Debug, Default)]
struct Entry {
    /// Upstreams to which no connection could be opened since one was last opened to any, each with
    /// the time of the failure.
    failures: BTreeMap<ident::Upstream, Instant>,
    /// Since when the service counts as unreachable.
    lost_at: Option<Instant>,
}

/// What the result of a connection changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// Nothing.
    None,
    /// A first failure, which may be the upstream's or this host's.
    Doubted,
    /// The service's upstreams can't be reached any more.
    Lost,
    /// The failures before were those of single upstreams.
    Confirmed,
    /// The upstreams can be reached again after this time.
    Regained(Duration),
}

/// The services that this host has failed to connect to.
#[derive(Clone, Debug, Default)]
pub struct Table {
    services: BTreeMap<ident::Service, Entry>,
}

impl Table {
    /// Records that a connection to an upstream of a service was opened.
    pub fn record_connected(&mut self, now: Instant, service: &ident::Service) -> Change {
        match self.services.remove(service) {
            None => Change::None,
            Some(entry) => match entry.lost_at {
                None => Change::Confirmed,
                Some(at) => Change::Regained(now.duration_since(at)),
            },
        }
    }

    /// Records that no connection to an upstream could be opened. `usable` is the number of
    /// upstreams of its service that requests may go to.
    pub fn record_failed(&mut self, now: Instant, upstream: &Upstream, usable: usize) -> Change {
        let entry = self.services.entry(upstream.service.clone()).or_default();
        entry
            .failures
            .retain(|_, at| now.duration_since(*at) < FAILURE_WINDOW);
        let is_first = entry.failures.is_empty();
        entry.failures.insert(upstream.id.clone(), now);
        let is_lost = entry.failures.len() >= MIN_FAILURES.min(usable);
        match entry.lost_at {
            None if is_lost => {
                entry.lost_at = Some(now);
                Change::Lost
            }
            None if is_first => Change::Doubted,
            None | Some(_) => Change::None,
        }
    }

    /// Returns whether this host can connect to no upstream of a service.
    pub fn is_lost(&self, service: &ident::Service) -> bool {
        let entry = self.services.get(service);
        entry.is_some_and(|entry| entry.lost_at.is_some())
    }

    /// Returns whether this host has no doubt about any service.
    pub fn is_empty(&self) -> bool {
        self.services.is_empty()
    }

    /// Returns the services whose upstreams this host can't connect to, and couldn't by a probe
    /// either.
    pub fn confirmed_lost(&self, now: Instant) -> Vec<ident::Service> {
        let lost = self.services.iter().filter(|(_, entry)| {
            let lost_for = entry.lost_at.map(|at| now.duration_since(at));
            lost_for.is_some_and(|time| time >= CONFIRMATION_TIME)
        });
        lost.map(|(service, _)| service.clone()).collect()
    }

    /// Returns whether an upstream was unreachable and this host has connected to no other one of
    /// its service since, so that it can't tell which of both has failed.
    pub fn is_in_doubt(&self, upstream: &ident::Upstream) -> bool {
        let mut entries = self.services.values();
        entries.any(|entry| entry.failures.contains_key(upstream))
    }

    /// Returns the services with failures, each with the upstreams concerned.
    fn doubted(&self) -> Vec<(ident::Service, BTreeSet<ident::Upstream>)> {
        let doubted = self.services.iter().map(|(service, entry)| {
            let failed = entry.failures.keys().cloned().collect();
            (service.clone(), failed)
        });
        doubted.collect()
    }

    /// Forgets a service that has no upstreams any more.
    fn remove(&mut self, service: &ident::Service) {
        self.services.remove(service);
    }
}

/// Records the result of opening a connection to an upstream.
pub fn record(state: &State, upstream: &Upstream, result: Result<(), &Fault>) {
    let now = Instant::now();
    let service = &upstream.service;
    let change = match result {
        Ok(()) => lock(&state.reach).record_connected(now, service),
        Err(Fault::Connect(_)) => {
            let usable = usable(state, service).len();
            lock(&state.reach).record_failed(now, upstream, usable)
        }
        Err(_) => Change::None,
    };
    match change {
        Change::None => {}
        Change::Doubted => state.reach_doubted.notify_one(),
        Change::Confirmed => state.gossip_urgent.notify_one(),
        Change::Lost => {
            info!(%service, upstream = %upstream.id, "upstreams: none of a service can be reached");
            state.meter.reached("lost");
            state.reach_doubted.notify_one();
            state.capacity_changed.notify_waiters();
        }
        Change::Regained(after) => {
            info!(%service, upstream = %upstream.id, after_ms = millis(after),
                "upstreams: those of a service can be reached again");
            state.meter.reached("regained");
            state.gossip_urgent.notify_one();
            state.capacity_changed.notify_waiters();
        }
    }
}

/// Probes upstreams of services that may be unreachable until the process stops.
pub async fn run(state: Arc<State>) {
    let mut random = StdRng::from_rng(&mut rand::rng());
    loop {
        tokio::select! {
            () = state.stop.cancelled() => return,
            () = state.reach_doubted.notified() => {}
        }
        loop {
            let doubted = lock(&state.reach).doubted();
            if doubted.is_empty() {
                break;
            }
            for (service, failed) in doubted {
                probe(&state, &mut random, &service, &failed).await;
            }
            if !lock(&state.reach).confirmed_lost(Instant::now()).is_empty() {
                state.gossip_urgent.notify_one();
            }
            let jitter = random.random_range(0.8..1.2);
            tokio::select! {
                () = state.stop.cancelled() => return,
                () = tokio::time::sleep(PROBE_INTERVAL.mul_f64(jitter)) => {}
                () = state.reach_doubted.notified() => {}
            }
        }
    }
}

/// Connects to a few upstreams of a service, to those that haven't failed if there are any.
async fn probe(
    state: &Arc<State>,
    random: &mut StdRng,
    service: &ident::Service,
    failed: &BTreeSet<ident::Upstream>,
) {
    let usable = usable(state, service);
    let others = usable.iter().filter(|it| !failed.contains(&it.upstream.id));
    let others: Vec<_> = others.collect();
    let pool = match others.is_empty() {
        true => usable.iter().collect(),
        false => others,
    };
    if pool.is_empty() {
        lock(&state.reach).remove(service);
        return;
    }
    let probes = pool.sample(random, PROBES).map(|record| async move {
        let connection = state.pool.acquire(record.upstream.address, true).await;
        let result = connection.as_ref().map(|_| ());
        self::record(state, &record.upstream, result);
        if let Ok(connection) = connection {
            state.release_connection(connection, record.upstream.slots);
        }
    });
    join_all(probes).await;
}

/// Returns the upstreams of a service that requests may go to.
fn usable(state: &State, service: &ident::Service) -> Vec<Arc<Record>> {
    let view = state.view();
    let usable = view.usable(boot::Instant::now());
    let usable = usable.filter(|record| record.upstream.service == *service);
    let notices = lock(&state.notices);
    let usable = usable.filter(|record| !notices.is_leaving(&record.upstream));
    usable.cloned().collect()
}
