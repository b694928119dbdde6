//! Heartbeats over UDP: sends the digest of this host to its zone, a summary of
//! the zone to other zones, and passes received datagrams to the membership
//! view.

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
use crate::member::change::Change;
use crate::member::heartbeat::DATAGRAM_LIMIT_BYTES;
use crate::member::heartbeat::Digest;
use crate::member::heartbeat::Kind;
use crate::member::heartbeat::Report;
use crate::member::load;
use crate::member::summary::Summary;
use crate::meter;
use crate::register::upstream::Pool;
use crate::state::State;

/// How often the membership view checks its timeouts.
const TICK_PERIOD: Duration = Duration::from_millis(100);

const MILLIS_PER_SECOND: u64 = 1_000;

/// The length of the UDP and IP headers of a datagram in bytes.
const UDP_OVERHEAD_BYTES: usize = 28;

/// The maximum number of crash reports in one heartbeat.
const MAX_CRASH_REPORTS: usize = 16;

/// The maximum number of messages with crashes in one heartbeat.
const MAX_SEGMENT_REPORTS: usize = 4;

/// Sends heartbeats until the process stops.
pub async fn send(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut random = StdRng::seed_from_u64(state.incarnation.start);
    loop {
        send_once(&state, &socket, false).await;
        let delay = lock(&state.view).timing().next_interval(&mut random);
        tokio::select! {
            () = sleep(delay) => {}
            // Peers learn of a change of health at once.
            () = state.health_changed.notified() => {}
        }
    }
}

/// Sends one heartbeat to the zone. With `last`, the heartbeat reports that
/// this host is gone.
pub async fn send_once(state: &State, socket: &UdpSocket, last: bool) {
    let report = report(state);
    let (digest, targets) = {
        let mut view = lock(&state.view);
        let digest = match last {
            true => view.final_digest(&report),
            false => view.digest(&report),
        };
        (digest, view.heartbeat_targets().collect::<Vec<_>>())
    };
    match digest.encode() {
        Ok(datagram) => send_to(state, socket, &datagram, &targets).await,
        Err(error) => tracing::error!(%error, "member: heartbeat not sent"),
    }
    send_summary(state, socket, &report).await;
}

async fn send_summary(state: &State, socket: &UdpSocket, report: &Report) {
    let (summary, targets) = {
        let mut view = lock(&state.view);
        let zones: Vec<_> = view.remote_zones().cloned().collect();
        let targets: Vec<_> = zones
            .iter()
            .flat_map(|zone| view.summary_targets(zone))
            .collect();
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
        _ => meter::Kind::Heartbeat,
    }
}

async fn send_to(state: &State, socket: &UdpSocket, datagram: &[u8], targets: &[SocketAddr]) {
    let reachable = targets
        .iter()
        .filter(|target| !state.partition.contains(**target));
    for target in reachable {
        // The next heartbeat makes up for a lost one.
        let bytes = (datagram.len() + UDP_OVERHEAD_BYTES) as u64;
        lock(&state.meter).record_sent(kind_of(datagram), bytes);
        if let Err(error) = socket.send_to(datagram, target).await {
            tracing::debug!(%target, %error, "member: heartbeat not sent");
        }
    }
}

/// Receives heartbeats and summaries until the process stops.
pub async fn receive(state: Arc<State>, socket: Arc<UdpSocket>) {
    let mut buffer = [0; DATAGRAM_LIMIT_BYTES];
    loop {
        match socket.recv_from(&mut buffer).await {
            Ok((_, from)) if state.partition.contains(from) => {}
            Ok((length, from)) => dispatch(&state, from, buffer.get(..length).unwrap_or_default()),
            Err(error) => tracing::debug!(%error, "member: failed to receive a datagram"),
        }
    }
}

fn dispatch(state: &State, from: SocketAddr, datagram: &[u8]) {
    let now = Instant::now();
    let bytes = (datagram.len() + UDP_OVERHEAD_BYTES) as u64;
    lock(&state.meter).record_received(kind_of(datagram), bytes);
    let changes = match Kind::of(datagram) {
        Some(Kind::Digest) => Digest::decode(datagram).map(|digest| {
            let changes = lock(&state.view).receive(now, from, &digest);
            home::apply_digest(state, now, &digest);
            changes
        }),
        Some(Kind::Summary) => Summary::decode(datagram)
            .map(|summary| lock(&state.view).receive_summary(now, from, &summary)),
        None => Ok(Vec::new()),
    };
    match changes {
        Ok(changes) => handle_changes(state, &changes),
        Err(error) => tracing::debug!(%from, %error, "member: datagram dropped"),
    }
}

/// Updates the membership view for the passage of time and reconciles the
/// upstreams that this host is home of, until the process stops.
pub async fn tick(state: Arc<State>) {
    loop {
        let now = Instant::now();
        if !state.plan().is_ready() {
            lock(&state.view).restart_settling(now);
        }
        let config = *lock(&state.config);
        let changes = {
            let mut view = lock(&state.view);
            view.set_config(config);
            view.tick(now)
        };
        handle_changes(&state, &changes);
        home::reconcile(&state);
        sleep(TICK_PERIOD).await;
    }
}

fn handle_changes(state: &State, changes: &[Change]) {
    for change in changes {
        tracing::info!(?change, "member: view changed");
        if let Change::Standing { .. } = change {
            state.health_changed.notify_one();
        }
        if let Change::Silent(host) | Change::Left(host) = change {
            let plan = state.plan();
            if let Some(spec) = plan.register.hosts.get(host) {
                // Calls that wait for the lost host fail at once.
                state.peers.close(spec.peer);
            }
        }
    }
}

/// Returns the loads and crashes that this host reports as a home.
fn report(state: &State) -> Report {
    let now = Instant::now();
    let config = *lock(&state.config);
    let plan = state.plan();
    let scheduler = lock(&state.scheduler);
    let upstreams = scheduler
        .reports()
        .map(|(upstream, report)| load::Upstream {
            key: load::upstream_key(upstream),
            in_flight: clamp_u16(report.inflight),
            queued: clamp_u16(report.queued),
            cap: clamp_u16(report.cap),
            allowance: clamp_u16(report.allowance),
        })
        .collect();
    let pools = plan
        .pools
        .iter()
        .map(|pool| pool_sum(pool, scheduler.local_mean(pool)))
        .filter(|sum| sum.upstreams > 0)
        .collect();
    drop(scheduler);
    let crashes = {
        let mut table = lock(&state.crashes);
        let crashes = table.reports(now, MAX_CRASH_REPORTS);
        table.record_reported(now, crashes.iter().map(|it| it.fingerprint));
        crashes
    };
    let crashes = crashes
        .into_iter()
        .filter(|crash| crash.left_ms == 0 || crash.left_ms >= MILLIS_PER_SECOND)
        .map(|crash| load::Crash {
            fingerprint: crash.fingerprint,
            upstream: load::upstream_key(&crash.upstream),
            left_s: u16::try_from(crash.left_ms / MILLIS_PER_SECOND).unwrap_or(u16::MAX),
        })
        .collect();
    let segments = {
        let mut quarantine = lock(&state.quarantine);
        let segments = quarantine.reports(now, MAX_SEGMENT_REPORTS);
        quarantine.record_reported(now, &segments);
        segments
    };
    Report {
        config,
        pools,
        upstreams,
        crashes,
        segments,
    }
}

fn pool_sum(pool: &Pool, mean: crate::policy::load::Mean) -> load::Total {
    load::Total {
        key: load::pool_key(pool),
        in_flight: u32::try_from(mean.sum).unwrap_or(u32::MAX),
        upstreams: clamp_u16(mean.count),
    }
}

fn clamp_u16(number: u32) -> u16 {
    u16::try_from(number).unwrap_or(u16::MAX)
}
