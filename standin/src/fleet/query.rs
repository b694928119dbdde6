//! Queries over all hosts and upstreams of a fleet.

use std::net::SocketAddr;

use crate::fleet::Fleet;
use crate::journal::Snapshot;

impl Fleet {
    /// Returns the caller addresses of the hosts for which `keep` holds.
    pub fn callers(&self, keep: impl Fn(&str) -> bool) -> Vec<SocketAddr> {
        let hosts = self.shape.hosts.iter().filter(|(name, _)| keep(name));
        hosts.map(|(_, spec)| spec.addresses.caller).collect()
    }

    /// Returns the journals of all upstreams, by name.
    pub fn journals(&self) -> impl Iterator<Item = (&str, Snapshot)> {
        let engines = self.engines.iter().map(|(name, it)| (name, &it.shared));
        let all = engines.chain(&self.plains);
        all.map(|(name, shared)| (name.as_str(), shared.journal.snapshot()))
    }

    /// Returns the number of requests started at the upstreams for which `keep`
    /// holds.
    pub fn started(&self, keep: impl Fn(&str) -> bool) -> u64 {
        let journals = self.journals().filter(|(name, _)| keep(name));
        journals.map(|(_, journal)| journal.started).sum()
    }

    /// Returns whether every running host has applied the rules of this
    /// revision or of a newer one.
    pub fn has_rules(&self, revision: u64) -> bool {
        let mut hosts = self.hosts.values();
        hosts.all(|host| host.state.plan().rules.revision.0 >= revision)
    }
}
