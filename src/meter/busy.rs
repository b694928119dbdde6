//! Finds the busiest workspaces with a fixed number of counters.
//!
//! This is the Space-Saving algorithm: a workspace that has no counter replaces the one
//! with the lowest count and inherits that count, which is recorded as its error.

use std::collections::BTreeMap;
use std::collections::BTreeSet;

use crate::ident;

/// Request counters for a limited number of workspaces.
#[derive(Debug)]
pub struct Counters {
    limit: usize,
    counters: BTreeMap<ident::Workspace, Counter>,
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
            counters: BTreeMap::new(),
            order: BTreeSet::new(),
        }
    }

    /// Counts a request of a workspace.
    pub fn increment(&mut self, workspace: &ident::Workspace) {
        let counter = match self.counters.get(workspace) {
            Some(counter) => *counter,
            None if self.counters.len() < self.limit => Counter::default(),
            None => self.evict_least(),
        };
        let next = Counter {
            count: counter.count.saturating_add(1),
            ..counter
        };
        self.order.remove(&(counter.count, workspace.clone()));
        self.order.insert((next.count, workspace.clone()));
        self.counters.insert(workspace.clone(), next);
    }

    /// Returns a lower bound of the count of a workspace.
    pub fn lower_bound(&self, workspace: &ident::Workspace) -> u64 {
        let counter = self.counters.get(workspace).copied().unwrap_or_default();
        counter.count - counter.error
    }

    /// Returns the workspaces that have a counter.
    pub fn workspaces(&self) -> impl Iterator<Item = &ident::Workspace> {
        self.counters.keys()
    }

    /// Halves all counts, so that recent requests weigh more, and removes workspaces whose
    /// count becomes zero.
    pub fn halve(&mut self) {
        self.counters.retain(|_, counter| {
            counter.count /= 2;
            counter.error /= 2;
            counter.count > 0
        });
        self.order = self
            .counters
            .iter()
            .map(|(workspace, counter)| (counter.count, workspace.clone()))
            .collect();
    }

    /// Removes the workspace with the lowest count and returns the initial count of its
    /// replacement.
    fn evict_least(&mut self) -> Counter {
        let Some((count, workspace)) = self.order.pop_first() else {
            return Counter::default();
        };
        self.counters.remove(&workspace);
        Counter {
            count,
            error: count,
        }
    }
}
