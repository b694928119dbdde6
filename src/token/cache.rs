//! The answers that a ledger keeps, by the number of their tokens.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Kept;

/// The kept answers.
#[derive(Debug, Default)]
pub struct Answers {
    kept: BTreeMap<u64, Arc<Kept>>,
    bytes: usize,
}

impl Answers {
    /// Keeps an answer.
    pub fn insert(&mut self, sequence: u64, kept: Arc<Kept>) {
        self.remove(sequence);
        self.bytes += kept.size();
        self.kept.insert(sequence, kept);
    }

    /// Returns an answer, if it is still kept.
    pub fn get(&self, sequence: u64) -> Option<&Arc<Kept>> {
        self.kept.get(&sequence)
    }

    /// Drops an answer.
    pub fn remove(&mut self, sequence: u64) {
        if let Some(kept) = self.kept.remove(&sequence) {
            self.bytes -= kept.size();
        }
    }

    /// Drops the oldest answers until the rest takes no more than the limit,
    /// and returns how many were dropped.
    pub fn shrink(&mut self, limit: usize) -> u64 {
        let mut dropped = 0;
        while self.bytes > limit
            && let Some((_, kept)) = self.kept.pop_first()
        {
            self.bytes -= kept.size();
            dropped += 1;
        }
        dropped
    }

    /// Returns how many answers are kept.
    pub fn count(&self) -> u64 {
        self.kept.len() as u64
    }

    /// Returns how many bytes they take.
    pub fn bytes(&self) -> u64 {
        self.bytes as u64
    }
}
