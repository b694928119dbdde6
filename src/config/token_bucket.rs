//! A token bucket, which limits calls to the platform and the bytes of full
//! values sent to peers.

use tokio::time::Instant;

/// A token bucket that fills at a constant rate up to its burst size, and
/// counts what was taken and refused.
#[derive(Clone, Debug)]
pub struct TokenBucket {
    per_second: f64,
    burst: f64,
    available: f64,
    updated: Instant,
    spent: f64,
    refused: u64,
}

impl TokenBucket {
    /// Returns a full bucket.
    pub fn new(now: Instant, per_second: f64, burst: f64) -> Self {
        Self {
            per_second,
            burst,
            available: burst,
            updated: now,
            spent: 0.0,
            refused: 0,
        }
    }

    /// Takes an amount if the bucket holds enough, and returns whether it did.
    pub fn try_take(&mut self, now: Instant, amount: f64) -> bool {
        let elapsed = now.duration_since(self.updated).as_secs_f64();
        self.available = (self.available + elapsed * self.per_second).min(self.burst);
        self.updated = self.updated.max(now);
        let enough = amount <= self.available;
        match enough {
            true => {
                self.available -= amount;
                self.spent += amount;
            }
            false => self.refused += 1,
        }
        enough
    }

    /// Returns the amount taken so far.
    pub fn spent(&self) -> f64 {
        self.spent
    }

    /// Returns how often the bucket did not hold enough.
    pub fn refused(&self) -> u64 {
        self.refused
    }
}
