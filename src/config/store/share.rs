//! Sending values of the store to other hosts and applying theirs.

use std::error::Error as StdError;

use tokio::time::Instant;

use crate::config::delta::Delta;
use crate::config::key::Key;
use crate::config::replication::Body;
use crate::config::replication::Error;
use crate::config::replication::Index;
use crate::config::replication::Request;
use crate::config::replication::Response;
use crate::config::store::Adoption;
use crate::config::store::Store;
use crate::config::store::Value;
use crate::config::version::Version;
use crate::config::version::hash;
use crate::revision::Revision;

impl Store {
    /// Lists the applied versions.
    pub fn index(&self) -> Index {
        let versions = self.values.iter();
        Index(versions.map(|(key, value)| (*key, value.version)).collect())
    }

    /// Lists the values to request from a host with this index: each value of
    /// which that host has a greater version, unless this store refused that
    /// version.
    pub fn missing(&self, index: &Index) -> Vec<Request> {
        index
            .0
            .iter()
            .map(|(key, version)| (*key, *version, self.version(*key)))
            .filter(|(key, version, have)| {
                Some(*version) > *have && !self.has_refused(*key, version.hash)
            })
            .map(|(key, _, have)| Request { key, have })
            .collect()
    }

    /// Responds to the request of another host. Returns `None` if there is no
    /// value or only an older one.
    pub fn respond(&mut self, now: Instant, request: &Request) -> Option<Response> {
        let value = self.values.get(&request.key)?;
        let version = value.version;
        let body = match request.have {
            Some(have) if have == version => Body::Unchanged,
            Some(have) if have > version => return None,
            Some(have) => match deltas(value, have) {
                Some(deltas) => Body::Deltas(deltas),
                None => Body::Full(value.text.to_string()),
            },
            None => Body::Full(value.text.to_string()),
        };
        let key = request.key;
        Some(Response {
            key,
            version,
            body: self.limit_rate(now, body),
        })
    }

    /// Applies the response of another host. Fails if that host is busy, or the
    /// text can't be reconstructed.
    pub fn apply_response<E>(
        &mut self,
        now: Instant,
        response: Response,
        check: impl Fn(Key, &str) -> Result<Revision, E>,
    ) -> Result<Adoption, Error>
    where
        E: StdError + Send + Sync + 'static,
    {
        let Response { key, version, body } = response;
        let (text, deltas) = match body {
            Body::Unchanged => return Ok(Adoption::Unchanged),
            Body::Busy => return Err(Error::Busy),
            Body::Full(text) => (text, Vec::new()),
            Body::Deltas(deltas) => self.apply_deltas(key, deltas)?,
        };
        match hash(&text) {
            found if found != version.hash => Err(Error::Hash {
                expected: version.hash,
                found,
            }),
            _ => Ok(self.offer_with(now, key, &text, deltas, |text| check(key, text))),
        }
    }

    /// Applies deltas to the applied version, and returns the resulting text
    /// and the deltas used. Deltas that lead to the applied version are
    /// skipped, since it may have been adopted after the request.
    fn apply_deltas(
        &self,
        key: Key,
        mut deltas: Vec<Delta>,
    ) -> Result<(String, Vec<Delta>), Error> {
        let (hash, text) = match self.get(key) {
            Some(value) => (value.version.hash, &*value.text),
            None => (0, ""),
        };
        let first = deltas.iter().position(|delta| delta.base == hash);
        deltas.drain(..first.ok_or(Error::Base { hash })?);
        let mut text = text.to_owned();
        for delta in &deltas {
            text = delta.apply(&text)?;
        }
        Ok((text, deltas))
    }

    fn limit_rate(&mut self, now: Instant, body: Body) -> Body {
        let bytes = match &body {
            Body::Full(text) => u32::try_from(text.len()).unwrap_or(u32::MAX),
            Body::Unchanged | Body::Busy | Body::Deltas(_) => 0,
        };
        match bytes {
            0 => body,
            _ if self.full_values.try_take(now, f64::from(bytes)) => body,
            _ => Body::Busy,
        }
    }
}

/// Returns the deltas from an earlier version, or `None` if they are not kept
/// or not shorter than the full text.
fn deltas(value: &Value, have: Version) -> Option<Vec<Delta>> {
    let deltas = value.deltas_from(have.hash)?;
    let bytes: usize = deltas.iter().map(Delta::cost_bytes).sum();
    (bytes < value.text.len()).then_some(deltas)
}
