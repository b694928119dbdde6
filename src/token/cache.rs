//! Responses stored for repeats, bounded by their total size.

use std::collections::BTreeMap;
use std::sync::Arc;

use super::Response;

/// The stored responses by the sequence number of their token.
#[derive(Debug, Default)]
pub struct Cache {
    responses: BTreeMap<u64, Arc<Response>>,
    bytes: usize,
}

impl Cache {
    /// Stores the response of a token in place of an earlier one.
    pub fn insert(&mut self, sequence: u64, response: Arc<Response>) {
        self.remove(sequence);
        self.bytes += response.size();
        self.responses.insert(sequence, response);
    }

    /// Returns the response of a token if it is still stored.
    pub fn get(&self, sequence: u64) -> Option<&Arc<Response>> {
        self.responses.get(&sequence)
    }

    /// Removes the response of a token, if there is one.
    pub fn remove(&mut self, sequence: u64) {
        if let Some(response) = self.responses.remove(&sequence) {
            self.bytes -= response.size();
        }
    }

    /// Drops the oldest responses until the rest takes no more than the limit in
    /// bytes, and returns how many were dropped.
    pub fn shrink(&mut self, limit: usize) -> u64 {
        let mut dropped = 0;
        while self.bytes > limit
            && let Some((_, response)) = self.responses.pop_first()
        {
            self.bytes -= response.size();
            dropped += 1;
        }
        dropped
    }

    /// Returns how many responses are stored.
    pub fn count(&self) -> u64 {
        self.responses.len() as u64
    }

    /// Returns how many bytes the stored responses take.
    pub fn bytes(&self) -> u64 {
        self.bytes as u64
    }
}
