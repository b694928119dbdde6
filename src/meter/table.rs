//! The table of all measurements of a host, in bounded memory.

use std::collections::BTreeMap;
use std::collections::BTreeSet;
use std::mem;
use std::time::Duration;

use tokio::time::Instant;

use super::Kind;
use super::Limits;
use super::Period;
use super::Phase;
use super::Snapshot;
use super::Traffic;
use super::busy::Counters;
use super::row::Row;
use super::snapshot;
use crate::class::Class;
use crate::ident;
use crate::outcome::Code;

/// The weight of a request of a workspace that has a row. It exceeds [`NEW_ROW_WEIGHT`],
/// so that about equally busy workspaces keep their rows.
const HELD_ROW_WEIGHT: u64 = 5;

/// The weight of a request of a workspace that has no row.
const NEW_ROW_WEIGHT: u64 = 4;

/// All measurements of a host.
#[derive(Debug)]
pub struct Table {
    limits: Limits,
    request_counters: Counters,
    rows: BTreeMap<ident::Workspace, Row>,
    others: Row,
    recent: Row,
    refusals: BTreeMap<Code, u64>,
    traffic: BTreeMap<Kind, Traffic>,
    reported: Period,
    reranked_at: Instant,
}

impl Table {
    /// Creates an empty table.
    pub fn new(now: Instant, limits: Limits) -> Self {
        Self {
            limits,
            request_counters: Counters::new(limits.counted),
            rows: BTreeMap::new(),
            others: Row::new(now),
            recent: Row::new(now),
            refusals: BTreeMap::new(),
            traffic: BTreeMap::new(),
            reported: Period::default(),
            reranked_at: now,
        }
    }

    /// Records the duration of a phase of a request.
    pub fn record(
        &mut self,
        workspace: &ident::Workspace,
        class: Class,
        phase: Phase,
        duration: Duration,
    ) {
        if phase == Phase::Total {
            self.request_counters.increment(workspace);
        }
        self.recent.record(class, phase, duration);
        self.row(workspace).record(class, phase, duration);
    }

    /// Counts a refusal.
    pub fn record_refusal(&mut self, code: Code) {
        *self.refusals.entry(code).or_default() += 1;
    }

    /// Counts control traffic sent.
    pub fn record_sent(&mut self, kind: Kind, bytes: u64) {
        self.traffic.entry(kind).or_default().sent += bytes;
    }

    /// Counts control traffic received.
    pub fn record_received(&mut self, kind: Kind, bytes: u64) {
        self.traffic.entry(kind).or_default().received += bytes;
    }

    /// Assigns the rows to the workspaces that are now the busiest. The histograms of
    /// workspaces that lose their row are merged into the row of all others.
    pub fn rerank(&mut self, now: Instant) {
        let busiest = self.busiest();
        let rows = mem::take(&mut self.rows);
        for (workspace, row) in rows {
            match busiest.contains(&workspace) {
                true => drop(self.rows.insert(workspace, row)),
                false => self.others.merge(&row),
            }
        }
        for workspace in busiest {
            self.rows.entry(workspace).or_insert_with(|| Row::new(now));
        }
        self.request_counters.halve();
        self.reranked_at = now;
    }

    /// Returns the content of the table.
    pub fn snapshot(&self, now: Instant) -> Snapshot {
        let others = summarize(now, None, &self.others);
        let rows = self
            .rows
            .iter()
            .map(|(workspace, row)| summarize(now, Some(workspace), row));
        Snapshot {
            rows: rows.chain([others]).collect(),
            refusals: self.refusals.clone(),
            traffic: self.traffic.clone(),
        }
    }

    /// Returns the measurements since the last call.
    pub fn take_period(&mut self, now: Instant) -> Period {
        let recent = mem::replace(&mut self.recent, Row::new(now));
        let reported = Period {
            lines: Vec::new(),
            refusals: self.refusals.clone(),
            traffic: self.traffic.clone(),
        };
        let before = mem::replace(&mut self.reported, reported);
        Period {
            lines: recent.lines(),
            refusals: difference(&self.refusals, &before.refusals, |now, then| now - then),
            traffic: difference(&self.traffic, &before.traffic, |now, then| Traffic {
                sent: now.sent - then.sent,
                received: now.received - then.received,
            }),
        }
    }

    fn row(&mut self, workspace: &ident::Workspace) -> &mut Row {
        let free = self.rows.len() < self.limits.rows;
        if free && !self.rows.contains_key(workspace) {
            let row = Row::new(self.reranked_at);
            self.rows.insert(workspace.clone(), row);
        }
        self.rows.get_mut(workspace).unwrap_or(&mut self.others)
    }

    fn busiest(&self) -> BTreeSet<ident::Workspace> {
        let all: BTreeSet<_> = self
            .request_counters
            .workspaces()
            .chain(self.rows.keys())
            .collect();
        let mut ranked: Vec<_> = all
            .into_iter()
            .map(|workspace| (self.score(workspace), workspace))
            .collect();
        ranked.sort_by(|left, right| right.cmp(left));
        let chosen = ranked.into_iter().take(self.limits.rows);
        chosen.map(|(_, workspace)| workspace.clone()).collect()
    }

    fn score(&self, workspace: &ident::Workspace) -> u64 {
        let weight = match self.rows.contains_key(workspace) {
            true => HELD_ROW_WEIGHT,
            false => NEW_ROW_WEIGHT,
        };
        self.request_counters
            .lower_bound(workspace)
            .saturating_mul(weight)
    }
}

fn summarize(now: Instant, workspace: Option<&ident::Workspace>, row: &Row) -> snapshot::Row {
    let age = now.saturating_duration_since(row.since).as_millis();
    snapshot::Row {
        workspace: workspace.cloned(),
        age_ms: u64::try_from(age).unwrap_or(u64::MAX),
        lines: row.lines(),
    }
}

/// Returns the increase of each count, without those that did not change.
fn difference<K: Copy + Ord, V: Copy + Default + PartialEq>(
    now: &BTreeMap<K, V>,
    then: &BTreeMap<K, V>,
    minus: impl Fn(V, V) -> V,
) -> BTreeMap<K, V> {
    now.iter()
        .map(|(key, value)| {
            (
                *key,
                minus(*value, then.get(key).copied().unwrap_or_default()),
            )
        })
        .filter(|(_, value)| *value != V::default())
        .collect()
}
