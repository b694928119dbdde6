//! The time to queue a request and to serve the next one, by the number of waiting requests.

use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use masticmoor::gateway::admit::queue::Entry;
use masticmoor::gateway::admit::queue::Queue;
use masticmoor::gateway::admit::share::Demand;
use masticmoor::gateway::admit::share::Key;
use masticmoor::gateway::admit::share::Table;
use masticmoor::gateway::load::Source;
use tokio::time::Instant;

/// Waiting requests: those of a host of a large fleet, and the most that may wait.
const SIZES: [usize; 2] = [2, 1_000];

/// Workspaces of the deployments.
const WORKSPACES: usize = 24;

fn queue(criterion: &mut Criterion) {
    let now = Instant::now();
    let entry = |number: usize| Entry {
        priority: u8::try_from(number % 3).unwrap_or_default(),
        workspace: format!("w{}", number % WORKSPACES).as_str().into(),
        weight: 16,
        due: now,
        ticket: (),
    };
    let mut group = criterion.benchmark_group("admit-queue");
    for size in SIZES {
        let mut queue = Queue::default();
        for number in 0..size {
            queue.push(entry(number));
        }
        let mut number = 0;
        group.bench_function(BenchmarkId::from_parameter(size), |bencher| {
            bencher.iter(|| {
                number += 1;
                queue.push(entry(number));
                let next = queue.next(|()| true);
                black_box(next.and_then(|next| queue.take(&next)))
            });
        });
    }
    group.finish();
}

fn yields(criterion: &mut Criterion) {
    let now = Instant::now();
    let mut table = Table::default();
    let service = "s1".into();
    let key = |number: usize| Key::new(&service, 0, &format!("w{number}").as_str().into());
    for host in 0..380 {
        let demands = (0..4).map(|it| Demand::waiting(key((host + it) % WORKSPACES), 2));
        table.merge(now, Source::Host(host as u64), demands.collect());
    }
    criterion.bench_function("admit-yields-380-hosts", |bencher| {
        bencher.iter(|| black_box(table.yields(now, key(0))));
    });
}

criterion_group!(benches, queue, yields);
criterion_main!(benches);
