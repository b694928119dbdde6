//! A bounded set of the chats that an upstream answered recently. The least
//! recent chat is dropped first.

use std::collections::BTreeMap;

/// A bounded set of chats by key.
#[derive(Clone, Debug)]
pub struct Set {
    capacity: usize,
    counter: u64,
    ages: BTreeMap<u64, u64>,
    keys: BTreeMap<u64, u64>,
}

impl Set {
    /// Creates a set of at most `capacity` chats.
    pub fn new(capacity: usize) -> Self {
        Self {
            capacity,
            counter: 0,
            ages: BTreeMap::new(),
            keys: BTreeMap::new(),
        }
    }

    /// Returns whether the chat was answered recently.
    pub fn contains(&self, key: u64) -> bool {
        self.ages.contains_key(&key)
    }

    /// Records that the chat was answered.
    pub fn insert(&mut self, key: u64) {
        self.counter += 1;
        if let Some(age) = self.ages.insert(key, self.counter) {
            self.keys.remove(&age);
        }
        self.keys.insert(self.counter, key);
        if self.ages.len() > self.capacity
            && let Some((_, oldest)) = self.keys.pop_first()
        {
            self.ages.remove(&oldest);
        }
    }

    /// Removes all chats.
    pub fn clear(&mut self) {
        self.ages.clear();
        self.keys.clear();
    }
}
