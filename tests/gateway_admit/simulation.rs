//! Hosts whose requests share the slots of some upstreams, in paused time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::atomic::AtomicUsize;
use std::sync::atomic::Ordering;
use std::time::Duration;

use masticmoor::gateway::admit::Queues;
use masticmoor::gateway::admit::wait::Request;
use masticmoor::gateway::load::Source;
use rand::RngExt;
use rand::SeedableRng;
use rand::rngs::StdRng;
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio::time::sleep;

pub const OBJECTIVE: Duration = Duration::from_millis(600);

/// Time from one report of a host to the next.
const REPORT_INTERVAL: Duration = Duration::from_millis(900);

pub fn request(now: Instant, workspace: usize, priority: u8, fingerprint: u64) -> Request {
    Request {
        service: "s1".into(),
        priority,
        workspace: format!("w{workspace}").as_str().into(),
        fingerprint,
        due: now + OBJECTIVE,
        deadline: now + Duration::from_secs(10),
        bytes: 1_000,
        is_specific: false,
    }
}

#[derive(Default)]
pub struct Host {
    pub queues: Mutex<Arc<Queues>>,
    changed: Notify,
}

/// Numbers of requests by host and workspace.
type Counts = Mutex<BTreeMap<(usize, usize), usize>>;

#[derive(Default)]
pub struct Fleet {
    pub hosts: Vec<Host>,
    free: Mutex<usize>,
    /// Time that a request takes.
    pub takes: Mutex<Duration>,
    sent: Counts,
    served: Counts,
    pub refused: AtomicUsize,
    pub waits: Mutex<Vec<Duration>>,
}

impl Fleet {
    pub fn new(hosts: usize, slots: usize, takes: Duration) -> Arc<Self> {
        Arc::new(Self {
            hosts: (0..hosts).map(|_| Host::default()).collect(),
            free: Mutex::new(slots),
            takes: Mutex::new(takes),
            ..Self::default()
        })
    }

    fn take(&self) -> bool {
        let mut free = self.free.lock().unwrap();
        let is_free = *free > 0;
        *free -= usize::from(is_free);
        is_free
    }

    /// Waits until a request has a slot, as the gateway does; `None` if it is refused.
    async fn wait(&self, host: &Host, workspace: usize, priority: u8) -> Option<()> {
        let joined = Instant::now();
        let request = request(joined, workspace, priority, 0);
        let (service, name) = (request.service.clone(), request.workspace.clone());
        let queues = host.queues.lock().unwrap().clone();
        if queues.is_free(joined, &service, priority, &name) && self.take() {
            queues.record_sent(joined, &service, priority, &name);
            return Some(());
        }
        let mut ticket = queues.join(joined, request).ok()?;
        while ticket.turn(&host.changed, joined + OBJECTIVE / 2).await {
            // The host was restarted.
            if !Arc::ptr_eq(&queues, &host.queues.lock().unwrap()) {
                return None;
            }
            let now = Instant::now();
            if self.take() {
                ticket.grant(now);
                return Some(());
            }
            ticket.fail(now, now);
        }
        None
    }

    async fn serve(self: Arc<Self>, host: usize, workspace: usize, priority: u8) {
        let joined = Instant::now();
        let key = (host, workspace);
        *self.sent.lock().unwrap().entry(key).or_default() += 1;
        let Some(()) = self.wait(&self.hosts[host], workspace, priority).await else {
            self.refused.fetch_add(1, Ordering::Relaxed);
            return;
        };
        self.waits.lock().unwrap().push(joined.elapsed());
        let takes = *self.takes.lock().unwrap();
        sleep(takes).await;
        *self.free.lock().unwrap() += 1;
        // Other hosts find the slot when they look next.
        self.hosts[host].changed.notify_waiters();
        *self.served.lock().unwrap().entry(key).or_default() += 1;
    }

    /// Sends requests of a workspace at a rate for a time.
    pub fn send(
        self: &Arc<Self>,
        host: usize,
        workspace: usize,
        priority: u8,
        per_second: f64,
        time: Duration,
    ) {
        let fleet = self.clone();
        tokio::spawn(async move {
            let end = Instant::now() + time;
            let mut random = StdRng::seed_from_u64((host * 100 + workspace) as u64);
            let interval = Duration::from_secs_f64(1.0 / per_second);
            if fleet.hosts.len() > 1 {
                sleep(interval.mul_f64(random.random())).await;
            }
            while Instant::now() < end {
                tokio::spawn(fleet.clone().serve(host, workspace, priority));
                sleep(interval).await;
            }
        });
    }

    /// Lets hosts report to each other, unless one is `cut_off`. Reports arrive after 0.1 to 2.1 s,
    /// so they are up to 3 s old.
    pub fn gossip(self: &Arc<Self>, cut_off: impl Fn(usize) -> bool) {
        let connected = (0..self.hosts.len()).filter(|it| !cut_off(*it));
        let connected: Arc<[usize]> = connected.collect();
        for host in connected.iter().copied() {
            let (fleet, connected) = (self.clone(), connected.clone());
            tokio::spawn(async move {
                let mut random = StdRng::seed_from_u64(host as u64);
                loop {
                    sleep(REPORT_INTERVAL.mul_f64(random.random_range(0.9..1.0))).await;
                    let queues = fleet.hosts[host].queues.lock().unwrap().clone();
                    let demands = queues.demands(Instant::now());
                    let delay = Duration::from_secs_f64(random.random_range(0.1..2.1));
                    let (fleet, connected) = (fleet.clone(), connected.clone());
                    tokio::spawn(async move {
                        sleep(delay).await;
                        for other in connected.iter().filter(|it| **it != host) {
                            let queues = fleet.hosts[*other].queues.lock().unwrap().clone();
                            let source = Source::Host(host as u64);
                            queues.merge(Instant::now(), source, demands.clone());
                        }
                    });
                }
            });
        }
    }

    /// Forgets the requests so far.
    pub fn reset(&self) {
        self.sent.lock().unwrap().clear();
        self.served.lock().unwrap().clear();
    }

    pub fn sent(&self, fits: impl Fn(&(usize, usize)) -> bool) -> usize {
        sum(&self.sent, fits)
    }

    pub fn served(&self, workspace: usize) -> usize {
        sum(&self.served, |it| it.1 == workspace)
    }
}

fn sum(counts: &Counts, fits: impl Fn(&(usize, usize)) -> bool) -> usize {
    let counts = counts.lock().unwrap();
    let counts = counts.iter().filter(|(key, _)| fits(key));
    counts.map(|(_, count)| *count).sum()
}
