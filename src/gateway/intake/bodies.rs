//! Memory for the bodies of requests.
//!
//! The table owns the bytes of each body while it arrives, so a body that is ended to make room
//! gives up its memory at once. Chunks are copied together: kept as they arrive, each would keep
//! the buffer alive that it was read into.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;

use bytes::Bytes;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

use crate::gateway::intake::Limits;
use crate::gateway::intake::pace::Progress;
use crate::lock::lock;

/// Smallest allocation of a body.
const MIN_CAPACITY: usize = 1_024;

/// Identifier of a body.
type Id = u64;

/// Reason why a body is not received.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Fault {
    /// It exceeds the maximum size.
    #[error("the body is too large")]
    TooLarge,
    /// There is no memory for it, or it was ended to make room for others.
    #[error("there is no memory for the body")]
    NoRoom,
}

/// The bodies of all requests of the process.
#[derive(Debug, Default)]
pub struct Table {
    next: Id,
    bodies: BTreeMap<Id, Body>,
    used: usize,
    evicted: u64,
}

#[derive(Debug)]
enum Body {
    Arriving {
        buffer: Vec<u8>,
        /// Size that its caller announced.
        announced: Option<usize>,
        progress: Progress,
        ended: CancellationToken,
    },
    /// Complete, and held by its request.
    Complete { bytes: usize },
}

impl Body {
    fn bytes(&self) -> usize {
        match self {
            Self::Arriving { buffer, .. } => buffer.capacity(),
            Self::Complete { bytes } => *bytes,
        }
    }
}

/// The memory of one body, which is released on drop.
#[derive(Debug)]
pub struct Lease {
    table: Arc<Mutex<Table>>,
    id: Id,
    ended: CancellationToken,
}

impl Table {
    /// Returns the memory in use.
    pub fn used(&self) -> usize {
        self.used
    }

    /// Returns the number of bodies that arrive or are held.
    pub fn count(&self) -> usize {
        self.bodies.len()
    }

    /// Returns the number of bodies that were ended to make room for others.
    pub fn evicted(&self) -> u64 {
        self.evicted
    }

    fn append(&mut self, now: Instant, id: Id, chunk: &[u8], limits: &Limits) -> Result<(), Fault> {
        let Some(Body::Arriving {
            buffer, announced, ..
        }) = self.bodies.get(&id)
        else {
            return Err(Fault::NoRoom);
        };
        let size = buffer.len().saturating_add(chunk.len());
        if size > limits.body {
            return Err(Fault::TooLarge);
        }
        let old = buffer.capacity();
        let new = capacity(old, size, announced.unwrap_or(limits.body), limits);
        let more = new - old;
        if more > 0 {
            // One that is announced as large is so from its first byte on.
            let size = announced.unwrap_or(0).max(new);
            self.make_room(now, id, more, size, limits)?;
        }
        let Some(Body::Arriving {
            buffer, progress, ..
        }) = self.bodies.get_mut(&id)
        else {
            return Err(Fault::NoRoom);
        };
        buffer.reserve_exact(new - buffer.len());
        // The allocator may return more than was asked for.
        self.used += buffer.capacity() - old;
        buffer.extend_from_slice(chunk);
        progress.last = now;
        progress.bytes = size;
        Ok(())
    }

    /// Ends bodies that have stalled or are too slow, those first that are furthest behind, until
    /// `more` bytes fit for a body of `size` bytes. Ends none if that doesn't suffice.
    fn make_room(
        &mut self,
        now: Instant,
        id: Id,
        more: usize,
        size: usize,
        limits: &Limits,
    ) -> Result<(), Fault> {
        let available = match size <= limits.small {
            true => limits.body_total,
            false => limits.body_total - limits.reserve,
        };
        let excess = self.used.saturating_add(more).saturating_sub(available);
        if excess == 0 {
            return Ok(());
        }
        let mut stalled: Vec<_> = self
            .bodies
            .iter()
            .filter_map(|(other, body)| match body {
                Body::Arriving { progress, .. } if *other != id && progress.stalls_at() <= now => {
                    Some((progress.stalls_at(), *other, body.bytes()))
                }
                Body::Arriving { .. } | Body::Complete { .. } => None,
            })
            .collect();
        stalled.sort_unstable();
        let mut freed = 0;
        let count = stalled.iter().position(|(_, _, bytes)| {
            freed += bytes;
            freed >= excess
        });
        let count = count.ok_or(Fault::NoRoom)? + 1;
        for (_, other, _) in stalled.into_iter().take(count) {
            self.remove(other);
            self.evicted += 1;
        }
        Ok(())
    }

    fn complete(&mut self, id: Id) -> Result<Bytes, Fault> {
        let Some(body) = self.bodies.get_mut(&id) else {
            return Err(Fault::NoRoom);
        };
        let before = body.bytes();
        let Body::Arriving { buffer, .. } = body else {
            return Err(Fault::NoRoom);
        };
        let mut buffer = std::mem::take(buffer);
        buffer.shrink_to_fit();
        let bytes = buffer.capacity();
        *body = Body::Complete { bytes };
        self.used = self.used + bytes - before;
        Ok(buffer.into())
    }

    /// Removes a body, and ends it if it still arrives.
    fn remove(&mut self, id: Id) {
        let Some(body) = self.bodies.remove(&id) else {
            return;
        };
        self.used -= body.bytes();
        if let Body::Arriving { ended, .. } = body {
            ended.cancel();
        }
    }
}

/// Returns the capacity for `size` bytes of a body that has a capacity of `old`: twice that, but no
/// more than the body can have, so that most chunks need no allocation.
fn capacity(old: usize, size: usize, max: usize, limits: &Limits) -> usize {
    match size <= old {
        true => old,
        false => {
            let doubled = old.saturating_mul(2).max(MIN_CAPACITY);
            doubled.min(max.min(limits.body)).max(size)
        }
    }
}

impl Lease {
    /// Begins to receive a body. `begun` is when the head of its request arrived, and `announced` the
    /// size that its caller announced.
    pub fn new(table: &Arc<Mutex<Table>>, begun: Instant, announced: Option<usize>) -> Self {
        let ended = CancellationToken::new();
        let mut bodies = lock(table);
        let id = bodies.next;
        bodies.next += 1;
        let body = Body::Arriving {
            buffer: Vec::new(),
            announced,
            progress: Progress::new(begun),
            ended: ended.clone(),
        };
        bodies.bodies.insert(id, body);
        Self {
            table: table.clone(),
            id,
            ended,
        }
    }

    /// Adds a chunk. Bodies that have stalled are ended if there is no memory for it otherwise.
    pub fn append(&self, now: Instant, chunk: &[u8], limits: &Limits) -> Result<(), Fault> {
        lock(&self.table).append(now, self.id, chunk, limits)
    }

    /// Returns the bytes of a body that is complete. They count until the lease is dropped.
    pub fn complete(&self) -> Result<Bytes, Fault> {
        lock(&self.table).complete(self.id)
    }

    /// Waits until the body is ended to make room for others.
    pub async fn ended(&self) {
        self.ended.cancelled().await;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        lock(&self.table).remove(self.id);
    }
}
