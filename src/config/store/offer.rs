//! Applying values to the store.

use std::error::Error;
use std::sync::Arc;

use tokio::time::Instant;

use crate::config::delta::Delta;
use crate::config::key::Key;
use crate::config::store::Adoption;
use crate::config::store::Conflict;
use crate::config::store::MAX_DELTA_BYTES;
use crate::config::store::MAX_DELTAS;
use crate::config::store::Refused;
use crate::config::store::Store;
use crate::config::store::Value;
use crate::config::version::Version;
use crate::config::version::hash;
use crate::revision::Revision;

impl Store {
    /// Offers a value, and applies it if it is valid and newer. The check
    /// parses the whole text and returns its revision.
    pub fn offer<E>(
        &mut self,
        now: Instant,
        key: Key,
        text: &str,
        check: impl Fn(&str) -> Result<Revision, E>,
    ) -> Adoption
    where
        E: Error + Send + Sync + 'static,
    {
        self.offer_with(now, key, text, Vec::new(), check)
    }

    /// Offers a value with the deltas that lead to it from the applied version.
    pub(super) fn offer_with<E>(
        &mut self,
        now: Instant,
        key: Key,
        text: &str,
        deltas: Vec<Delta>,
        check: impl Fn(&str) -> Result<Revision, E>,
    ) -> Adoption
    where
        E: Error + Send + Sync + 'static,
    {
        let hash = hash(text);
        match self.values.get(&key) {
            Some(value) if value.version.hash == hash => return Adoption::Unchanged,
            Some(value) if value.is_earlier_version(hash) => return Adoption::Older,
            _ => {}
        }
        match check(text) {
            Ok(revision) => self.apply_checked(now, key, Version { revision, hash }, text, deltas),
            Err(reason) => self.refuse(now, key, hash, text, reason),
        }
    }

    /// Offers the refused values again. To be called after a value that they
    /// refer to was applied.
    pub fn retry<E>(
        &mut self,
        now: Instant,
        check: impl Fn(Key, &str) -> Result<Revision, E>,
    ) -> Vec<(Key, Adoption)>
    where
        E: Error + Send + Sync + 'static,
    {
        let texts: Vec<_> = self
            .refused
            .iter()
            .map(|(key, refused)| (*key, refused.text.clone()))
            .collect();
        texts
            .into_iter()
            .map(|(key, text)| (key, self.offer(now, key, &text, |text| check(key, text))))
            .collect()
    }

    /// Tells whether the last refused value of a key has this hash.
    pub fn has_refused(&self, key: Key, hash: u64) -> bool {
        self.refused
            .get(&key)
            .is_some_and(|refused| refused.hash == hash)
    }

    fn apply_checked(
        &mut self,
        now: Instant,
        key: Key,
        version: Version,
        text: &str,
        deltas: Vec<Delta>,
    ) -> Adoption {
        self.clear_refusal(key, version.hash);
        let current = self.version(key).unwrap_or_default();
        let (from, to) = (current.revision, version.revision);
        let is_conflict = to == from && self.values.contains_key(&key);
        if is_conflict {
            self.record_conflict(now, key, current, version);
        }
        if version > current {
            self.replace(now, key, version, text, deltas);
        }
        match version > current {
            adopted if is_conflict => Adoption::Conflict {
                revision: to,
                adopted,
            },
            true => Adoption::Adopted { from, to },
            false => Adoption::Older,
        }
    }

    fn replace(
        &mut self,
        now: Instant,
        key: Key,
        version: Version,
        text: &str,
        mut deltas: Vec<Delta>,
    ) {
        let mut value = Value {
            version,
            text: Arc::from(text),
            since: now,
            deltas: Default::default(),
        };
        if let Some(previous) = self.values.remove(&key) {
            if deltas.is_empty() {
                deltas.push(Delta::between(&previous.text, text));
            }
            value.deltas = previous.deltas;
            value.deltas.extend(deltas);
        }
        value.trim_deltas();
        self.values.insert(key, value);
        // A value refused earlier has been superseded.
        self.refused.remove(&key);
    }

    fn refuse<E>(&mut self, now: Instant, key: Key, hash: u64, text: &str, reason: E) -> Adoption
    where
        E: Error + Send + Sync + 'static,
    {
        let reason: Arc<dyn Error + Send + Sync> = Arc::new(reason);
        let since = match self.refused.get(&key) {
            Some(earlier) if earlier.hash == hash => earlier.since,
            _ => now,
        };
        let refused = Refused {
            hash,
            reason: Arc::clone(&reason),
            since,
            text: Arc::from(text),
        };
        self.refused.insert(key, refused);
        Adoption::Refused(reason)
    }

    fn clear_refusal(&mut self, key: Key, hash: u64) {
        if self.has_refused(key, hash) {
            self.refused.remove(&key);
        }
    }

    fn record_conflict(&mut self, now: Instant, key: Key, current: Version, offered: Version) {
        let conflict = Conflict {
            kept: current.max(offered),
            dropped: current.min(offered).hash,
            since: now,
        };
        self.conflicts.insert(key, conflict);
    }
}

impl Value {
    /// Returns the deltas from an earlier version to this one, or `None` if
    /// they are not kept.
    pub(super) fn deltas_from(&self, hash: u64) -> Option<Vec<Delta>> {
        let first = self.deltas.iter().rposition(|delta| delta.base == hash)?;
        Some(self.deltas.iter().skip(first).cloned().collect())
    }

    fn is_earlier_version(&self, hash: u64) -> bool {
        self.deltas.iter().any(|delta| delta.base == hash)
    }

    fn trim_deltas(&mut self) {
        let mut bytes: usize = self.deltas.iter().map(Delta::cost_bytes).sum();
        while bytes > MAX_DELTA_BYTES || self.deltas.len() > MAX_DELTAS {
            match self.deltas.pop_front() {
                Some(delta) => bytes -= delta.cost_bytes(),
                None => break,
            }
        }
    }
}
