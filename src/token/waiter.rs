//! Waiting for the end of a lease that another task holds.

use std::collections::BTreeMap;

use tokio::sync::watch;

use super::Settlement;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// The waiters of each running lease.
#[derive(Debug, Default)]
pub struct Waiters {
    senders: BTreeMap<u64, watch::Sender<Option<Settlement>>>,
}

/// A subscription to the end of a lease. Dropping it cancels the wait.
#[derive(Debug)]
pub struct Waiter {
    end: watch::Receiver<Option<Settlement>>,
}

impl Waiters {
    /// Subscribes to the end of a running lease.
    pub fn join(&mut self, lease: u64) -> Waiter {
        let sender = self
            .senders
            .entry(lease)
            .or_insert_with(|| watch::Sender::new(None));
        Waiter {
            end: sender.subscribe(),
        }
    }

    /// Notifies all waiters of a lease how it ended.
    pub fn settle(&mut self, lease: u64, settlement: &Settlement) {
        if let Some(sender) = self.senders.remove(&lease) {
            sender.send_replace(Some(settlement.clone()));
        }
    }
}

impl Waiter {
    /// Waits for the end of the lease and returns its result, or an unknown
    /// outcome if the issuer is gone.
    pub async fn wait(mut self) -> Settlement {
        let lost = || Settlement::Refused(Refusal::unknown(Code::HomeLost));
        match self.end.wait_for(Option::is_some).await {
            Ok(end) => end.clone().unwrap_or_else(lost),
            Err(_) => lost(),
        }
    }
}
