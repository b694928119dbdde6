//! Simulated network partitions, set by operators and tests to observe their
//! effects. Nothing is sent to addresses beyond a partition, exchanges in
//! progress with them fall silent, and their heartbeats are ignored.

use std::collections::BTreeSet;
use std::net::SocketAddr;

use tokio::sync::watch;

/// The addresses beyond a partition. Clones share the set.
#[derive(Clone, Debug, Default)]
pub struct Partition {
    beyond: watch::Sender<BTreeSet<SocketAddr>>,
}

impl Partition {
    /// Replaces the addresses beyond the partition.
    pub fn set(&self, beyond: BTreeSet<SocketAddr>) {
        self.beyond.send_replace(beyond);
    }

    /// Tells whether an address lies beyond the partition.
    pub fn contains(&self, address: SocketAddr) -> bool {
        self.beyond.borrow().contains(&address)
    }

    /// Waits until an address lies beyond the partition.
    pub async fn wait(&self, address: SocketAddr) {
        let mut beyond = self.beyond.subscribe();
        if beyond.wait_for(|set| set.contains(&address)).await.is_err() {
            // All clones of the set were dropped, so it can't change any more.
            std::future::pending::<()>().await;
        }
    }
}
