//! The time to choose upstreams for a request, by the number of upstreams in a zone.

use std::hint::black_box;

use criterion::BenchmarkId;
use criterion::Criterion;
use criterion::criterion_group;
use criterion::criterion_main;
use masticmoor::ident::Upstream;
use masticmoor::policy::choose;
use masticmoor::policy::load;
use masticmoor::policy::rank;

/// The numbers of upstreams: those of present zones, and that of the largest to support.
const SIZES: [usize; 3] = [12, 470, 4200];

fn candidates(count: usize) -> Vec<rank::Candidate> {
    let candidate = |number| rank::Candidate {
        upstream: format!("runner-{number}").as_str().into(),
        weight: 16.0,
    };
    (0..count).map(candidate).collect()
}

fn one_choice(criterion: &mut Criterion) {
    let mut group = criterion.benchmark_group("choose");
    for size in SIZES {
        let list = candidates(size);
        let mut key = 0_u64;
        let choice = |bencher: &mut criterion::Bencher<'_>| {
            bencher.iter(|| {
                key += 1;
                let query = choose::Query {
                    key,
                    load: |_: &Upstream| Some(load::Report::default()),
                    failed: |_: &Upstream| false,
                };
                let tiers = std::iter::once(list.as_slice());
                black_box(choose::choose(choose::Limits::default(), tiers, &query).len())
            });
        };
        group.bench_function(BenchmarkId::from_parameter(size), choice);
    }
    group.finish();
}

criterion_group!(benches, one_choice);
criterion_main!(benches);
