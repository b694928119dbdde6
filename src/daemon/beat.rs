//! Heartbeats over UDP: what this host tells its zone, and what it hears.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::net::UdpSocket;
use tokio::time::Instant;
use tokio::time::sleep;

use crate::daemon::home;
use crate::lock::lock;
use crate::member::beat::DATAGRAM_LIMIT_BYTES;
use crate::member::beat::Digest;
use crate::member::beat::Kind;
use crate::member::beat::Report;
use crate::member::change::Change;
use crate::member::load;
use crate::member::summary::Summary;
use crate::meter;
use crate::register::upstream::Pool;
use crate::state::State;

/// How often the view is told that time has passed.
const TICK_PERIOD: Duration = Duration::from_millis(100);

const MILLIS_PER_SECOND: u64 = 1_000;

/// What UDP and IP add to a datagram, in bytes.
const UDP_OVERHEAD_BYTES: usize = 28;

/// The most strikes told in one heartbeat.
const STRIKES: usize = 16;

/// Beats until the process stops.
pub async fn send(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut random = StdRng::seed_from_u64(state.own.start);
    loop {
        beat(&state, &socket, false).await;
        let wait = lock(&state.view).timing().next(&mut random);
        tokio::select! {
            () = sleep(wait) => {}
            // Peers learn of a new standing at once.
            () = state.stood.notified() => {}
        }
    }
}

/// Tells the zone once how things stand; at the last time, that this host is
/// gone.
pub async fn beat(state: &State, socket: &UdpSocket, last: bool) {
    let report = report(state);
    let (digest, targets) = {
        let mut view = lock(&state.view);
        let digest = match last {
            true => view.goodbye(&report),
            false => view.digest(&report),
        };
        (digest, view.targets().collect::<Vec<_>>())
    };
    match digest.encode() {
        Ok(datagram) => send_to(state, socket, &datagram, &targets).await,
        Err(error) => tracing::error!(%error, "member: beat not sent"),
    }
    summarise(state, socket, &report).await;
}

async fn summarise(state: &State, socket: &UdpSocket, report: &Report) {
    let (summary, targets) = {
        let mut view = lock(&state.view);
        let zones: Vec<_> = view.zones().cloned().collect();
        let targets: Vec<_> = zones.iter().flat_map(|zone| view.links(zone)).collect();
        match targets.is_empty() {
            true => return,
            false => (view.summary(report), targets),
        }
    };
    if let Some(Ok(datagram)) = summary.map(|summary| summary.encode()) {
        send_to(state, socket, &datagram, &targets).await;
    }
}

fn kind_of(datagram: &[u8]) -> meter::Kind {
    match Kind::of(datagram) {
        Some(Kind::Summary) => meter::Kind::Summary,
        _ => meter::Kind::Beat,
    }
}

async fn send_to(state: &State, socket: &UdpSocket, datagram: &[u8], targets: &[SocketAddr]) {
    let reached = targets.iter().filter(|target| !state.cuts.has(**target));
    for target in reached {
        // A lost beat is made up for by the next.
        let bytes = (datagram.len() + UDP_OVERHEAD_BYTES) as u64;
        lock(&state.meter).sent(kind_of(datagram), bytes);
        if let Err(error) = socket.send_to(datagram, target).await {
            tracing::debug!(%target, %error, "member: beat not sent");
        }
    }
}

/// Hears the zone until the process stops.
pub async fn hear(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; DATAGRAM_LIMIT_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((_, from)) if state.cuts.has(from) => {}
            Ok((length, from)) => take(&state, from, buffer.get(..length).unwrap_or_default()),
            Err(error) => tracing::debug!(%error, "member: receive failed"),
        }
    }
}

fn take(state: &State, from: SocketAddr, datagram: &[u8]) {
    let now = Instant::now();
    let bytes = (datagram.len() + UDP_OVERHEAD_BYTES) as u64;
    lock(&state.meter).received(kind_of(datagram), bytes);
    let changes = match Kind::of(datagram) {
        Some(Kind::Digest) => Digest::decode(datagram).map(|digest| {
            let changes = lock(&state.view).hear(now, from, &digest);
            home::learn(state, now, &digest);
            changes
        }),
        Some(Kind::Summary) => Summary::decode(datagram)
            .map(|summary| lock(&state.view).hear_summary(now, from, &summary)),
        None => Ok(Vec::new()),
    };
    match changes {
        Ok(changes) => apply(state, &changes),
        Err(error) => tracing::debug!(%from, %error, "member: datagram dropped"),
    }
}

/// Notes that time passes, until the process stops.
pub async fn tick(state: Arc<State>) {
    loop {
        let now = Instant::now();
        if !state.plan().is_ready() {
            lock(&state.view).hold(now);
        }
        let held = *lock(&state.held);
        let changes = {
            let mut view = lock(&state.view);
            view.set_held(held);
            view.tick(now)
        };
        apply(&state, &changes);
        home::reconcile(&state);
        sleep(TICK_PERIOD).await;
    }
}

fn apply(state: &State, changes: &[Change]) {
    for change in changes {
        tracing::info!(?change, "member: view changed");
        if let Change::Standing { .. } = change {
            state.stood.notify_one();
        }
        if let Change::Silent(host) | Change::Left(host) = change {
            let plan = state.plan();
            if let Some(spec) = plan.register.hosts.get(host) {
                // What waits on the lost host ends now.
                state.links.forget(spec.peer);
            }
        }
    }
}

/// Returns what the home stage tells of itself.
fn report(state: &State) -> Report {
    let now = Instant::now();
    let held = *lock(&state.held);
    let plan = state.plan();
    let desk = lock(&state.desk);
    let upstreams = desk
        .reports()
        .map(|(upstream, report)| load::Upstream {
            key: load::upstream_key(upstream),
            in_flight: small(report.inflight),
            queued: small(report.queued),
            cap: small(report.cap),
            allowance: small(report.allowance),
        })
        .collect();
    let pools = plan
        .pools
        .iter()
        .map(|pool| sum(pool, desk.local_mean(pool)))
        .filter(|sum| sum.upstreams > 0)
        .collect();
    drop(desk);
    let strikes = lock(&state.strikes)
        .crashes(now)
        .into_iter()
        .filter(|strike| strike.left_ms == 0 || strike.left_ms >= MILLIS_PER_SECOND)
        .take(STRIKES)
        .map(|strike| load::Strike {
            fingerprint: strike.fingerprint,
            upstream: load::upstream_key(&strike.upstream),
            left_s: u16::try_from(strike.left_ms / MILLIS_PER_SECOND).unwrap_or(u16::MAX),
        })
        .collect();
    Report {
        held,
        pools,
        upstreams,
        strikes,
    }
}

fn sum(pool: &Pool, mean: crate::policy::load::Mean) -> load::Sum {
    load::Sum {
        key: load::pool_key(pool),
        in_flight: u32::try_from(mean.sum).unwrap_or(u32::MAX),
        upstreams: small(mean.count),
    }
}

fn small(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
