//! The measurements of one reporting period.

use std::collections::BTreeMap;

use super::Kind;
use super::Line;
use super::Traffic;
use crate::outcome::Code;

/// The measurements since the previous report.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Period {
    /// The durations of all workspaces together, by class and phase.
    pub lines: Vec<Line>,
    /// The number of refusals by code.
    pub refusals: BTreeMap<Code, u64>,
    /// The control traffic by kind.
    pub traffic: BTreeMap<Kind, Traffic>,
}
