//! Finds the busiest workspaces with a fixed number of counters.
//!
//! This is the Space-Saving algorithm: a workspace that has no counter replaces the one
//! with the lowest count and inherits that count, which is recorded as its error.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ident;

/// Counts for a limited number of workspaces.
#[derive(Debug)]
pub struct Counters {
    limit: usize,
    counts: BTreeMap<ident::Workspace, Counter>,
    order: BTreeSet<(u64, ident::Workspace)>,
}

#[derive(Clone, Copy, Debug, Default)]
struct Counter {
    count: u64,
    error: u64,
}

impl Counters {
    /// Creates counters for up to `limit` workspaces.
    pub fn new(limit: usize) -> Self {
        Self {
            limit,
            counts: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Counts a request of a workspace.
    pub fn increment(&mut self, workspace: &ident::Workspace) {
        let count = match self.counts.get(workspace) {
            Some(count) => *count,
            None if self.counts.len() < self.limit => Counter::default(),
            None => self.evict_least(),
        };
        let next = Counter {
            count: count.count.saturating_add(1),
            ..count
        };
        self.order.remove(&(count.count, workspace.clone()));
        self.order.insert((next.count, workspace.clone()));
        self.counts.insert(workspace.clone(), next);
    }

    /// Returns a lower bound of the count of a workspace.
    pub fn lower_bound(&self, workspace: &ident::Workspace) -> u64 {
        let count = self.counts.get(workspace).copied().unwrap_or_default();
        count.count - count.error
    }

    /// Returns the workspaces that have a counter.
    pub fn workspaces(&self) -> impl Iterator<Item = &ident::Workspace> {
        self.counts.keys()
    }

    /// Halves all counts, so that recent requests weigh more, and removes workspaces whose
    /// count becomes zero.
    pub fn halve(&mut self) {
        self.counts.retain(|_, count| {
            count.count /= 2;
            count.error /= 2;
            count.count > 0
        });
        self.order = self
            .counts
            .iter()
            .map(|(workspace, count)| (count.count, workspace.clone()))
            .collect();
    }

    /// Removes the workspace with the lowest count and returns the initial count of its
    /// replacement.
    fn evict_least(&mut self) -> Counter {
        let Some((count, workspace)) = self.order.pop_first() else {
            return Counter::default();
        };
        self.counts.remove(&workspace);
        Counter {
            count,
            error: count,
        }
    }
}
