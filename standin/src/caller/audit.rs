//! Compares the executions in the journals of the upstreams with the results
//! that callers received.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::header;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use tracing::warn;

use super::completion::Verdict;
use super::pool::Pool;
use crate::journal::Snapshot;

/// The path of an upstream's journal.
const JOURNAL_PATH: &str = "/standin/journal";

/// The merged journals of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// How many journals were read.
    pub read: u32,
    /// How many journals could not be read.
    pub unread: u32,
    /// How often an upstream received more requests than its cold capacity.
    pub overloads: u64,
    /// How many executions were cancelled because the connection closed.
    pub cancelled: u64,
    /// The number of executions of each purchase, by its id.
    pub purchases: BTreeMap<String, u64>,
}

/// The result of the audit of purchases.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// How many purchases callers requested.
    pub purchases: u64,
    /// How many ran exactly once.
    pub ran_once: u64,
    /// How many ran more than once.
    pub doubled: u64,
    /// How many were answered as successful but did not run.
    pub lost: u64,
    /// How many ran although the final response stated that they did not.
    pub untrue: u64,
}

impl Audit {
    /// Reads the journals at these addresses; counts those that fail.
    pub async fn read(pool: &Pool, journals: &[SocketAddr]) -> Self {
        let mut audit = Self::default();
        for address in journals {
            match fetch_journal(pool, *address).await {
                Some(journal) => audit.add(journal),
                None => {
                    warn!(%address, "caller: cannot read journal of upstream");
                    audit.unread += 1;
                }
            }
        }
        audit
    }

    /// Compares the journals with the verdict on each purchase.
    pub fn compare(&self, verdicts: &BTreeMap<String, Verdict>) -> Finding {
        let mut finding = Finding::default();
        for (id, verdict) in verdicts {
            let runs = self.purchases.get(id).copied().unwrap_or(0);
            finding.add(*verdict, runs);
        }
        finding
    }

    fn add(&mut self, journal: Snapshot) {
        self.read += 1;
        self.overloads += journal.overloads;
        self.cancelled += journal.cancelled;
        for (id, runs) in journal.purchases {
            *self.purchases.entry(id).or_default() += runs;
        }
    }
}

impl Finding {
    fn add(&mut self, verdict: Verdict, runs: u64) {
        self.purchases += 1;
        match runs {
            0 if verdict == Verdict::Answered => self.lost += 1,
            0 => (),
            1 => self.ran_once += 1,
            _ => self.doubled += 1,
        }
        self.untrue += u64::from(runs > 0 && verdict == Verdict::NotRun);
    }
}

async fn fetch_journal(pool: &Pool, address: SocketAddr) -> Option<Snapshot> {
    let request = Request::get(JOURNAL_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let reply = pool.call(address, request).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}
