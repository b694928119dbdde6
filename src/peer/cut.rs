//! Simulated network partitions, set by operators and tests to observe their
//! effects. Nothing is sent to addresses beyond a partition, exchanges in
//! progress with them fall silent, and their heartbeats are ignored.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use tokio::sync::watch;

/// The addresses that are cut off from this host. Clones share the set.
#[derive(Clone, Debug, Default)]
pub struct Set {
    addresses: watch::Sender<BTreeSet<SocketAddr>>,
}

impl Set {
    /// Replaces the addresses that are cut off.
    pub fn set(&self, addresses: BTreeSet<SocketAddr>) {
        self.addresses.send_replace(addresses);
    }

    /// Tells whether an address is cut off.
    pub fn has(&self, address: SocketAddr) -> bool {
        self.addresses.borrow().contains(&address)
    }

    /// Waits until an address is cut off.
    pub async fn wait(&self, address: SocketAddr) {
        let mut addresses = self.addresses.subscribe();
        if addresses
            .wait_for(|set| set.contains(&address))
            .await
            .is_err()
        {
            // All clones of the set were dropped, so it can't change any more.
            std::future::pending::<()>().await;
        }
    }
}
