//! The time to compute a host's shares of the limits of all upstreams, and to select the notices
//! for a message, in fleets of the present size and of the largest to support.

use std::hint::black_box;
use std::net::Ipv4Addr;
use std::time::Duration;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use masticmoor::gateway::headers::Notice;
use masticmoor::gateway::limit;
use masticmoor::gateway::notice;
use masticmoor::gateway::peers;
use masticmoor::gateway::upstream::Upstream;
use tokio::time::Instant;

/// Hosts and upstreams.
const SIZES: [(u16, u32); 2] = [(9, 60), (380, 4_200)];

const ZONES: u32 = 9;

/// Limit of each upstream in requests per second.
const LIMIT: f64 = 3.0;

fn zone(number: u32) -> String {
    format!("zone-{}", number % ZONES)
}

fn upstream(number: u32) -> Upstream {
    Upstream {
        id: format!("runner-{number}").as_str().into(),
        service: "chat".into(),
        version: "v1".into(),
        address: (Ipv4Addr::from(number), 80).into(),
        zone: zone(number).as_str().into(),
        slots: 8,
        is_draining: false,
        cold_left: Duration::ZERO,
        started_ms: Some(1),
    }
}

fn table(now: Instant, hosts: u16) -> peers::Table {
    let address = |number: u16| Ipv4Addr::from(0x0a00_0000 + u32::from(number));
    let mut table = peers::Table::new(address(0), Vec::new());
    for number in 1..hosts {
        let announcement = peers::Announcement {
            format: masticmoor::gateway::datagram::VERSION,
            zone: zone(number.into()).as_str().into(),
            process: number.into(),
            is_leaving: false,
            progress: peers::Progress::default(),
            has_joined: true,
            age: None,
            link_mbps: 100,
            is_informed: true,
            fleet_size: None,
            unreachable: Vec::new(),
        };
        table.receive(now, address(number), announcement);
    }
    table
}

fn shares(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("share");
    let now = Instant::now();
    let local = zone(0).as_str().into();
    for (hosts, upstreams) in SIZES {
        let table = table(now, hosts);
        let hosts = table.sharer_count(now);
        let upstreams: Vec<Upstream> = (0..upstreams).map(upstream).collect();
        let share = |upstream: &Upstream| {
            let chosen = limit::chosen_hosts(LIMIT, hosts, false);
            let rank = table.rank(now, &local, upstream, chosen);
            limit::share(LIMIT, hosts, rank, false)
        };
        group.bench_function(BenchmarkId::from_parameter(hosts), |bencher| {
            bencher.iter(|| black_box(upstreams.iter().map(share).sum::<f64>()));
        });
    }
    group.finish();
}

fn reports(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("report");
    let now = Instant::now();
    for (hosts, upstreams) in SIZES {
        let mut table = notice::Table::default();
        for number in 0..upstreams {
            let notice = Notice {
                limit: Some(LIMIT),
                ..Notice::default()
            };
            table.record(now, now, &upstream(number), &notice);
        }
        let later = now + Duration::from_secs(3);
        group.bench_function(BenchmarkId::from_parameter(hosts), |bencher| {
            bencher.iter(|| black_box(table.reports(later).len()));
        });
    }
    group.finish();
}

criterion_group!(benches, shares, reports);
criterion_main!(benches);
