//! Limits how many tokens a workspace may request in advance, so that one
//! workspace can't exhaust an issuer.

use std::collections::BTreeMap;
use std::collections::VecDeque;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;

/// The limit for each workspace.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limits {
    /// Tokens that one workspace may request per period.
    pub max_tokens: usize,
    /// The length of the sliding period.
    pub period: Duration,
}

/// When tokens were issued, by workspace.
#[derive(Clone, Debug)]
pub struct Table {
    limits: Limits,
    issued: BTreeMap<ident::Workspace, VecDeque<Instant>>,
}

impl Table {
    /// Creates an empty table.
    pub fn new(limits: Limits) -> Self {
        Self {
            limits,
            issued: BTreeMap::new(),
        }
    }

    /// Counts a token for a workspace, or returns how long to wait for one.
    pub fn take(&mut self, now: Instant, workspace: &ident::Workspace) -> Result<(), Duration> {
        let period = self.limits.period;
        let issued = self.issued.entry(workspace.clone()).or_default();
        while issued.front().is_some_and(|at| *at + period <= now) {
            issued.pop_front();
        }
        match issued.front() {
            Some(oldest) if issued.len() >= self.limits.max_tokens => Err(*oldest + period - now),
            _ => {
                issued.push_back(now);
                Ok(())
            }
        }
    }
}
