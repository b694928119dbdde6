//! What a stand-in ran: each execution, how it ended, and how many there were
//! at a time.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde::Deserialize;
use serde::Serialize;

use crate::sync::lock;

/// The most executions that are kept one by one.
const MAX_RUNS: usize = 100_000;

/// The journal of one stand-in, shared by all that write to it.
#[derive(Clone, Debug, Default)]
pub struct Journal(Arc<Mutex<Snapshot>>);

/// A copy of a journal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// How many executions began.
    pub started: u64,
    /// How many came to their end.
    pub done: u64,
    /// How many ended because the connection was lost.
    pub cancelled: u64,
    /// How many run now.
    pub running: u64,
    /// The most that ran at a time.
    #[serde(rename = "most")]
    pub max_running: u64,
    /// How often the stand-in got more than it bears when cold.
    pub overloads: u64,
    /// How often a request crashed the stand-in.
    pub crashes: u64,
    /// How many prompt tokens arrived.
    pub prompt_tokens: u64,
    /// How many of them were found in the cache.
    pub cached_tokens: u64,
    /// How often each purchase ran, by the caller's name for it.
    pub purchases: BTreeMap<String, u64>,
    /// The executions in the order they began, up to a limit.
    pub runs: Vec<Run>,
}

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The method and path.
    pub call: String,
    /// The id of the exchange, as the request gave it.
    pub exchange: Option<String>,
    /// The fingerprint of the request body.
    pub fingerprint: String,
    /// How it ended.
    pub end: Option<End>,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The whole answer was given.
    Done,
    /// The connection was lost before that.
    Cancelled,
}

impl Journal {
    /// Returns a copy of the journal.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().clone()
    }

    /// Notes that an execution begins; it ends with the value returned.
    pub fn begin(&self, run: Run) -> Running {
        let mut state = self.lock();
        state.started += 1;
        state.running += 1;
        state.max_running = state.max_running.max(state.running);
        let index = state.runs.len();
        if index < MAX_RUNS {
            state.runs.push(run);
        }
        Running {
            journal: self.clone(),
            index,
            is_ended: false,
        }
    }

    /// Notes that a purchase ran.
    pub fn record_purchase(&self, id: &str) {
        *self.lock().purchases.entry(id.to_owned()).or_default() += 1;
    }

    /// Notes an overload while cold.
    pub fn record_overload(&self) {
        self.lock().overloads += 1;
    }

    /// Notes a crash.
    pub fn record_crash(&self) {
        self.lock().crashes += 1;
    }

    /// Notes the length of a prompt, and how much of it was cached.
    pub fn record_prompt(&self, tokens: u64, cached: u64) {
        let mut state = self.lock();
        state.prompt_tokens += tokens;
        state.cached_tokens += cached;
    }

    fn record_end(&self, index: usize, end: End) {
        let mut state = self.lock();
        state.running = state.running.saturating_sub(1);
        match end {
            End::Done => state.done += 1,
            End::Cancelled => state.cancelled += 1,
        }
        if let Some(run) = state.runs.get_mut(index) {
            run.end = Some(end);
        }
    }

    fn lock(&self) -> MutexGuard<'_, Snapshot> {
        lock(&self.0)
    }
}

/// An execution under way; dropped before its end it counts as cancelled.
#[derive(Debug)]
pub struct Running {
    journal: Journal,
    index: usize,
    is_ended: bool,
}

impl Running {
    /// Notes that the whole answer was given.
    pub fn done(mut self) {
        self.is_ended = true;
        self.journal.record_end(self.index, End::Done);
    }
}

impl Drop for Running {
    fn drop(&mut self) {
        if !self.is_ended {
            self.journal.record_end(self.index, End::Cancelled);
        }
    }
}
