//! Requests that were running when an upstream was lost run one at a time at
//! each upstream, so that the next loss shows which of them is to blame.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use tokio::sync::OwnedSemaphorePermit;
use tokio::sync::Semaphore;
use tokio::time::Instant;
use tokio::time::timeout_at;

use crate::ident;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Refusal;

/// Permits to run a suspect request, one per upstream.
#[derive(Debug, Default)]
pub struct Table {
    semaphores: Mutex<BTreeMap<ident::Upstream, Arc<Semaphore>>>,
}

/// The permit to run a suspect request, returned when dropped.
pub type Permit = OwnedSemaphorePermit;

impl Table {
    /// Waits until no other suspect request runs at an upstream. With `bypass`
    /// it is refused instead of waiting.
    pub async fn acquire(
        &self,
        upstream: &ident::Upstream,
        bypass: bool,
        deadline: Instant,
    ) -> Result<Permit, Refusal> {
        let semaphore = self.semaphore(upstream);
        if bypass {
            return semaphore
                .try_acquire_owned()
                .map_err(|_| Refusal::not_run(Code::Full));
        }
        match timeout_at(deadline, semaphore.acquire_owned()).await {
            Ok(Ok(permit)) => Ok(permit),
            Ok(Err(_)) | Err(_) => Err(Refusal::not_run(Code::QueueTimeout)),
        }
    }

    fn semaphore(&self, upstream: &ident::Upstream) -> Arc<Semaphore> {
        let mut table = lock(&self.semaphores);
        let semaphore = table.entry(upstream.clone());
        semaphore
            .or_insert_with(|| Arc::new(Semaphore::new(1)))
            .clone()
    }
}
