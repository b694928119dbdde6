//! Placement by rendezvous hashing: all hosts that know the same set of hosts
//! assign a key to the same one.

use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ident;

/// Returns the host that is home of an upstream.
pub fn home<'a>(
    upstream: &ident::Upstream,
    hosts: impl Iterator<Item = &'a ident::Host>,
) -> Option<&'a ident::Host> {
    let seed = seed(upstream.as_str());
    hosts.max_by_key(|host| (weight(seed, host), *host))
}

/// Returns the `count` top-ranked hosts for a key, best first.
pub fn top_ranked<'a>(
    key: &str,
    hosts: impl Iterator<Item = &'a ident::Host>,
    count: usize,
) -> Vec<&'a ident::Host> {
    let seed = seed(key);
    let mut ranked: Vec<_> = hosts.map(|host| (weight(seed, host), host)).collect();
    ranked.sort_unstable_by(|a, b| b.cmp(a));
    ranked
        .into_iter()
        .take(count)
        .map(|(_, host)| host)
        .collect()
}

fn seed(key: &str) -> u64 {
    xxh3_64_with_seed(key.as_bytes(), 0)
}

fn weight(seed: u64, host: &ident::Host) -> u64 {
    xxh3_64_with_seed(host.as_str().as_bytes(), seed)
}
