//! The time to create, encode, decode and apply heartbeats, and to find the home of an
//! upstream.

use std::hint::black_box;
use std::net::SocketAddr;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use masticmoor::ident;
use masticmoor::member::heartbeat::Digest;
use masticmoor::member::heartbeat::Report;
use masticmoor::member::incarnation::Incarnation;
use masticmoor::member::load;
use masticmoor::member::timing::Timing;
use masticmoor::member::view::View;
use masticmoor::register::Register;
use masticmoor::register::host;
use masticmoor::register::upstream;
use masticmoor::register::zone;
use tokio::time::Instant;

/// The numbers of hosts in a zone.
const HOSTS: [u16; 4] = [9, 42, 100, 380];

/// The number of upstreams of which each host is the home.
const UPSTREAMS: u32 = 11;

/// A view in which all hosts of its zone are live.
struct Bench {
    view: View,
    now: Instant,
    peers: Vec<(SocketAddr, Digest)>,
}

impl Bench {
    fn new(hosts: u16) -> Self {
        let register = register(hosts);
        let now = Instant::now();
        let mut views: Vec<_> = register
            .hosts
            .iter()
            .map(|(host, spec)| {
                let own = Incarnation {
                    host: host.clone(),
                    start: u64::MAX,
                };
                let mut view = View::new(now, own, Timing::default());
                view.apply_register(now, &register);
                (spec.peer, view)
            })
            .collect();
        let first = digests(&mut views);
        // Small steps, so that no host appears to have been suspended.
        let step = Timing::default().for_zone(hosts.into()).settling_time() / 4;
        for (_, view) in &mut views {
            for (from, digest) in &first {
                view.receive(now, *from, digest);
            }
            (1..6).for_each(|count| drop(view.tick(now + step * count)));
        }
        let now = now + step * 5;
        let (_, view) = views.remove(0);
        let mut bench = Self {
            view,
            now,
            peers: digests(&mut views),
        };
        bench.receive_all();
        let live = bench.view.live(&ident::Zone::from("kingston")).count();
        assert_eq!(live, usize::from(hosts));
        bench
    }

    /// Applies one heartbeat of each peer.
    fn receive_all(&mut self) {
        for (from, digest) in &mut self.peers {
            digest.sequence += 1;
            black_box(self.view.receive(self.now, *from, digest));
        }
    }
}

fn digests(views: &mut [(SocketAddr, View)]) -> Vec<(SocketAddr, Digest)> {
    views
        .iter_mut()
        .map(|(address, view)| (*address, view.digest(&report())))
        .collect()
}

fn register(hosts: u16) -> Register {
    let zone = ident::Zone::from("kingston");
    let mut register = Register::default();
    register.zones.insert(zone.clone(), zone::Spec::default());
    for number in 0..hosts {
        let [high, low] = number.to_be_bytes();
        let name = ident::Host::from(format!("entry-{number:03}").as_str());
        let spec = host::Spec {
            zone: zone.clone(),
            peer: SocketAddr::from(([10, 0, high, low], 7_000)),
        };
        register.hosts.insert(name, spec);
    }
    register
}

fn report() -> Report {
    let load = |key: u32| load::Upstream {
        key: u32::MAX - key,
        in_flight: 11,
        queued: 2,
        cap: 16,
        allowance: 16,
    };
    Report {
        upstreams: (0..UPSTREAMS).map(load).collect(),
        ..Report::default()
    }
}

fn heartbeat(c: &mut Criterion) {
    let mut group = c.benchmark_group("beat");
    group.measurement_time(Duration::from_secs(1));
    group.warm_up_time(Duration::from_millis(300));
    for hosts in HOSTS {
        let mut bench = Bench::new(hosts);
        let report = report();
        group.bench_function(BenchmarkId::new("make", hosts), |b| {
            b.iter(|| bench.view.digest(&report).encode().ok());
        });
        let datagram = bench.view.digest(&report).encode().unwrap_or_default();
        group.bench_function(BenchmarkId::new("decode", hosts), |b| {
            b.iter(|| Digest::decode(black_box(&datagram)).ok());
        });
        group.bench_function(BenchmarkId::new("hear-all", hosts), |b| {
            b.iter(|| bench.receive_all());
        });
        let name = ident::Upstream::from("runner-1");
        let spec = upstream::Spec {
            zone: ident::Zone::from("kingston"),
            address: SocketAddr::from(([10, 1, 0, 1], 8_000)),
            kind: upstream::Kind::Plain {
                service: ident::Service::from("tickets"),
            },
            slots: 8,
            cold_slots: 1,
            fenced: true,
        };
        group.bench_function(BenchmarkId::new("home", hosts), |b| {
            b.iter(|| bench.view.home(black_box(&name), &spec).cloned());
        });
    }
    group.finish();
}

criterion_group!(benches, heartbeat);
criterion_main!(benches);
