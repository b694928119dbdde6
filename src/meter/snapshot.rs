//! The content of a table as plain data, serialized for operators.

use std::collections::BTreeMap;

use serde::Deserialize;
use serde::Serialize;

use super::Kind;
use super::Phase;
use super::Traffic;
use crate::class::Class;
use crate::ident;
use crate::outcome::Code;

/// The content of a table at one point in time.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Rows of the busiest workspaces, sorted by name, and one of all others.
    pub rows: Vec<Row>,
    /// The number of refusals since the start, by code.
    pub refusals: BTreeMap<Code, u64>,
    /// The control traffic since the start, by kind.
    pub traffic: BTreeMap<Kind, Traffic>,
}

/// The summaries of one workspace, or of all others together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Row {
    /// The workspace, or `None` for all workspaces without a row of their own.
    pub workspace: Option<ident::Workspace>,
    /// The time since recording began, in milliseconds.
    pub age_ms: u64,
    /// The summaries by class and phase.
    pub lines: Vec<Line>,
}

/// The summary of one class and phase.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Line {
    /// The class of the requests.
    pub class: Class,
    /// The phase of the requests.
    pub phase: Phase,
    /// The summary of the durations.
    #[serde(flatten)]
    pub summary: Summary,
}

/// A summary of a histogram. All fields but the count are in microseconds.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Summary {
    /// The number of durations.
    pub count: u64,
    /// The mean.
    pub mean: u64,
    /// The median.
    pub p50: u64,
    /// The 90th percentile.
    pub p90: u64,
    /// The 99th percentile.
    pub p99: u64,
    /// The maximum.
    pub max: u64,
}
