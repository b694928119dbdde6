//! Prefix cache of an engine, with least-recently-used eviction.

use std::collections::BTreeMap;

use xxhash_rust::xxh3::xxh3_64_with_seed;

use super::chat::Message;

/// A set of prefixes of chats, limited by their total tokens. The least
/// recently used prefix is evicted first.
#[derive(Debug)]
pub struct Cache {
    capacity: u64,
    tokens: u64,
    tick: u64,
    prefixes: BTreeMap<u64, Prefix>,
    by_use: BTreeMap<u64, u64>,
}

#[derive(Clone, Copy, Debug)]
struct Prefix {
    tokens: u64,
    last_used: u64,
}

impl Cache {
    /// Returns an empty cache with a capacity in tokens.
    pub fn new(capacity: u64) -> Self {
        Self {
            capacity,
            tokens: 0,
            tick: 0,
            prefixes: BTreeMap::new(),
            by_use: BTreeMap::new(),
        }
    }

    /// Returns the tokens of the longest cached prefix of a chat.
    pub fn cached_tokens(&self, messages: &[Message]) -> u64 {
        prefix_hashes(messages)
            .take_while(|(prefix, _)| self.prefixes.contains_key(prefix))
            .map(|(_, tokens)| tokens)
            .sum()
    }

    /// Inserts all prefixes of a chat.
    pub fn insert(&mut self, messages: &[Message]) {
        for (prefix, tokens) in prefix_hashes(messages) {
            self.touch(prefix, tokens);
        }
        while self.tokens > self.capacity && self.evict() {}
    }

    /// Removes all prefixes.
    pub fn clear(&mut self) {
        *self = Self::new(self.capacity);
    }

    fn touch(&mut self, prefix: u64, tokens: u64) {
        self.tick += 1;
        let last_used = self.tick;
        match self.prefixes.insert(prefix, Prefix { tokens, last_used }) {
            Some(previous) => {
                self.by_use.remove(&previous.last_used);
            }
            None => self.tokens += tokens,
        }
        self.by_use.insert(last_used, prefix);
    }

    fn evict(&mut self) -> bool {
        let oldest = self.by_use.pop_first();
        let evicted = oldest.and_then(|(_, prefix)| self.prefixes.remove(&prefix));
        self.tokens -= evicted.map_or(0, |prefix| prefix.tokens);
        evicted.is_some()
    }
}

/// Returns the hash of each prefix of a chat, with the tokens of its last
/// message.
fn prefix_hashes(messages: &[Message]) -> impl Iterator<Item = (u64, u64)> {
    messages.iter().scan(0, |seed, message| {
        *seed = xxh3_64_with_seed(message.role.as_bytes(), *seed);
        *seed = xxh3_64_with_seed(message.content.as_bytes(), *seed);
        Some((*seed, message.tokens()))
    })
}
