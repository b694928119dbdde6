//! What the upstreams ran, against what the callers were told.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use bytes::Bytes;
use http::Request;
use http::header;
use http_body_util::Full;
use serde::Deserialize;
use serde::Serialize;
use tracing::warn;

use super::ending::Verdict;
use super::link::Pool;
use crate::journal::Snapshot;

/// The path of a journal.
const JOURNAL_PATH: &str = "/standin/journal";

/// The journals of all upstreams, taken together.
#[derive(Clone, Debug, Default)]
pub struct Audit {
    /// How many journals were read.
    pub read: u32,
    /// How many could not be read.
    pub unread: u32,
    /// How often an upstream got more than it bears when cold.
    pub overloads: u64,
    /// How many executions ended because the connection was lost.
    pub cancelled: u64,
    /// How often each purchase ran.
    pub purchases: BTreeMap<String, u64>,
}

/// How purchases came out.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Finding {
    /// How many purchases were asked for.
    pub purchases: u64,
    /// How many ran once.
    pub ran_once: u64,
    /// How many ran more than once.
    pub doubled: u64,
    /// How many were answered but did not run.
    pub lost: u64,
    /// How many ran though their caller was told in the end that they didn't.
    pub untrue: u64,
}

impl Audit {
    /// Reads the journals.
    pub async fn read(pool: &Pool, journals: &[SocketAddr]) -> Self {
        let mut audit = Self::default();
        for address in journals {
            match page(pool, *address).await {
                Some(page) => audit.add(page),
                None => {
                    warn!(%address, "caller: journal not read");
                    audit.unread += 1;
                }
            }
        }
        audit
    }

    /// Compares the journals with what callers were told.
    pub fn compare(&self, told: &BTreeMap<String, Verdict>) -> Finding {
        let mut finding = Finding::default();
        for (id, told) in told {
            let runs = self.purchases.get(id).copied().unwrap_or(0);
            finding.add(*told, runs);
        }
        finding
    }

    fn add(&mut self, page: Snapshot) {
        self.read += 1;
        self.overloads += page.overloads;
        self.cancelled += page.cancelled;
        for (id, runs) in page.purchases {
            *self.purchases.entry(id).or_default() += runs;
        }
    }
}

impl Finding {
    fn add(&mut self, told: Verdict, runs: u64) {
        self.purchases += 1;
        match runs {
            0 if told == Verdict::Answered => self.lost += 1,
            0 => (),
            1 => self.ran_once += 1,
            _ => self.doubled += 1,
        }
        self.untrue += u64::from(runs > 0 && told == Verdict::NotRun);
    }
}

async fn page(pool: &Pool, address: SocketAddr) -> Option<Snapshot> {
    let request = Request::get(JOURNAL_PATH)
        .header(header::HOST, address.to_string())
        .body(Full::new(Bytes::new()))
        .ok()?;
    let reply = pool.call(address, request).await.ok()?;
    serde_json::from_slice(&reply.body).ok()
}
