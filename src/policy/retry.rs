//! The retry budget: a fraction of first attempts, so that retries can't
//! amplify an outage.

/// A token bucket that first attempts fill.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budget {
    fraction: f64,
    burst: f64,
    tokens: f64,
}

impl Budget {
    /// Creates a full budget. Each first attempt adds `fraction` of a retry, up
    /// to `burst` retries.
    pub fn new(fraction: f64, burst: u32) -> Self {
        let burst = f64::from(burst);
        Self {
            fraction,
            burst,
            tokens: burst,
        }
    }

    /// Counts a first attempt.
    pub fn record_request(&mut self) {
        self.tokens = (self.tokens + self.fraction).min(self.burst);
    }

    /// Takes one retry from the budget; returns whether there was one.
    pub fn try_spend(&mut self) -> bool {
        let available = self.tokens >= 1.0;
        if available {
            self.tokens -= 1.0;
        }
        available
    }
}
