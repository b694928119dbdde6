//! Which version of a service's software began a stream.
//!
//! Events of different versions don't fit into one stream, and a caller may resume a
//! stream at any host. The host that forwards the first event of a stream records the
//! version under the caller's attempt and tells it to other hosts ([`witnesses`]), so
//! that it is still known once that host is gone. A host that doesn't know the version
//! asks those that were told ([`witness_candidates`]).

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::net::Ipv4Addr;
use std::time::Duration;

use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;
use xxhash_rust::xxh3::xxh3_64_with_seed;

use crate::ident;

/// How long the version that began a stream is kept. Callers' time limits, over all of
/// their attempts at a stream, are shorter.
const RETENTION: Duration = Duration::from_secs(60);

/// Maximum number of streams. With more, those recorded first are forgotten.
const MAX_STREAMS: usize = 32_768;

/// Number of hosts that are told which version began a stream, in a large fleet.
const WITNESSES: usize = 2;

/// Maximum number of other hosts that are all told, and all asked. Most of a small fleet may be
/// lost at once, and a message to each host costs little there.
const MAX_ALL: usize = 15;

/// Number of hosts per zone that are asked. One more than are told in a zone, as the
/// host that began the stream may rank first there.
const ASKED_PER_ZONE: usize = 2;

/// Maximum number of streams queued for other hosts.
const MAX_UPDATES: usize = 1_024;

/// Returns the key of a stream, which is derived from the caller's attempt that began it.
pub fn key(attempt: &str) -> u64 {
    xxh3_64(attempt.as_bytes())
}

/// The versions that began streams, by the streams' keys.
#[derive(Clone, Debug, Default)]
pub struct Table {
    streams: BTreeMap<u64, Stream>,
    expiries: BTreeSet<(Instant, u64)>,
    /// Streams to tell other hosts of.
    updates: Vec<(u64, ident::Version)>,
}

#[derive(Clone, Debug)]
struct Stream {
    version: ident::Version,
    until: Instant,
}

impl Table {
    /// Records the version that began a stream.
    pub fn record(&mut self, now: Instant, key: u64, version: &ident::Version) {
        let until = now + RETENTION;
        let stream = Stream {
            version: version.clone(),
            until,
        };
        if let Some(old) = self.streams.insert(key, stream) {
            self.expiries.remove(&(old.until, key));
        }
        self.expiries.insert((until, key));
        while let Some((until, key)) = self.expiries.first().copied()
            && (until <= now || self.streams.len() > MAX_STREAMS)
        {
            self.expiries.pop_first();
            self.streams.remove(&key);
        }
    }

    /// Records the version that began a stream at this host, and queues it for other
    /// hosts unless the queue is full.
    pub fn record_local(&mut self, now: Instant, key: u64, version: &ident::Version) {
        self.record(now, key, version);
        if self.updates.len() < MAX_UPDATES {
            self.updates.push((key, version.clone()));
        }
    }

    /// Returns the version that began a stream, if it is known.
    pub fn version(&self, now: Instant, key: u64) -> Option<&ident::Version> {
        let stream = self.streams.get(&key)?;
        (stream.until > now).then_some(&stream.version)
    }

    /// Returns and clears the streams queued for other hosts.
    pub fn take_updates(&mut self) -> Vec<(u64, ident::Version)> {
        std::mem::take(&mut self.updates)
    }

    /// Returns the number of streams.
    pub fn len(&self) -> usize {
        self.streams.len()
    }

    /// Returns whether no streams are recorded.
    pub fn is_empty(&self) -> bool {
        self.streams.is_empty()
    }
}

/// Returns the hosts to tell about a stream: all of a small fleet, else one of `zone`, to which
/// its caller is most likely to return, and one of another zone, in case `zone` is lost. `hosts`
/// are the other hosts with their zones.
pub fn witnesses<'a>(
    key: u64,
    zone: &ident::Zone,
    hosts: impl Iterator<Item = (Ipv4Addr, &'a ident::Zone)>,
) -> Vec<Ipv4Addr> {
    let mut ranked: Vec<_> = hosts.collect();
    if ranked.len() <= MAX_ALL {
        return ranked.into_iter().map(|(host, _)| host).collect();
    }
    ranked.sort_by_key(|(host, _)| std::cmp::Reverse(score(key, *host)));
    let local = ranked.iter().find(|(_, other)| *other == zone);
    let remote = ranked.iter().find(|(_, other)| *other != zone);
    let mut chosen: Vec<_> = local.into_iter().chain(remote).map(|(it, _)| *it).collect();
    let rest = ranked.iter().map(|(host, _)| *host);
    let rest: Vec<_> = rest.filter(|host| !chosen.contains(host)).collect();
    chosen.extend(rest.into_iter().take(WITNESSES - chosen.len()));
    chosen
}

/// Returns the hosts to ask about a stream that any other host may have begun: all of a small
/// fleet, else those of each zone that hosts choose first as [`witnesses`].
pub fn witness_candidates<'a>(
    key: u64,
    hosts: impl Iterator<Item = (Ipv4Addr, &'a ident::Zone)>,
) -> Vec<Ipv4Addr> {
    let hosts: Vec<_> = hosts.collect();
    if hosts.len() <= MAX_ALL {
        return hosts.into_iter().map(|(host, _)| host).collect();
    }
    let mut zones: BTreeMap<&ident::Zone, Vec<Ipv4Addr>> = BTreeMap::new();
    for (host, zone) in hosts {
        zones.entry(zone).or_default().push(host);
    }
    let candidates = zones.into_values().flat_map(|mut hosts| {
        hosts.sort_by_key(|host| std::cmp::Reverse(score(key, *host)));
        hosts.into_iter().take(ASKED_PER_ZONE)
    });
    candidates.collect()
}

/// Returns the score of a host in the rendezvous order for a key.
pub fn score(key: u64, host: Ipv4Addr) -> u64 {
    xxh3_64_with_seed(&host.octets(), key)
}
