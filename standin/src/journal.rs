//! Journal of a stand-in: each execution of a request, how it ended, and how
//! many ran concurrently. Tests and the load generator audit it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;

use serde::Deserialize;
use serde::Serialize;

use crate::sync::lock;

/// Maximum number of executions that are kept individually.
const MAX_RUNS: usize = 100_000;

/// The journal of one stand-in. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Journal(Arc<Mutex<Snapshot>>);

/// A copy of a journal.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Snapshot {
    /// Number of executions that began.
    pub started: u64,
    /// Number of executions that were completed.
    pub done: u64,
    /// Number of executions that ended because the connection was lost.
    pub cancelled: u64,
    /// Number of executions that are running.
    pub running: u64,
    /// Highest number of concurrent executions.
    #[serde(rename = "most")]
    pub max_running: u64,
    /// Number of crashes because of more requests than a cold engine can take.
    pub overloads: u64,
    /// Number of crashes because of a marked request.
    pub crashes: u64,
    /// Number of prompt tokens that arrived.
    pub prompt_tokens: u64,
    /// Number of those that were cached.
    pub cached_tokens: u64,
    /// Number of executions of each purchase, by the caller's id.
    pub purchases: BTreeMap<String, u64>,
    /// The first `MAX_RUNS` executions, in the order in which they began.
    pub runs: Vec<Run>,
}

/// One execution.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Run {
    /// The method and the path.
    pub call: String,
    /// The id of the exchange in the request, if it had one.
    pub exchange: Option<String>,
    /// The fingerprint of the request body.
    pub fingerprint: String,
    /// How it ended; `None` while it runs.
    pub end: Option<End>,
}

/// How an execution ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum End {
    /// The response was complete.
    Done,
    /// The connection was lost before the response was complete.
    Cancelled,
}

impl Journal {
    /// Returns a copy of the journal.
    pub fn snapshot(&self) -> Snapshot {
        self.lock().clone()
    }

    /// Records the start of an execution, which ends with the returned value.
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

    /// Records the execution of a purchase.
    pub fn record_purchase(&self, id: &str) {
        *self.lock().purchases.entry(id.to_owned()).or_default() += 1;
    }

    /// Records a crash of a cold engine because of overload.
    pub fn record_overload(&self) {
        self.lock().overloads += 1;
    }

    /// Records a crash because of a marked request.
    pub fn record_crash(&self) {
        self.lock().crashes += 1;
    }

    /// Records the length of a prompt and of its cached prefix, in tokens.
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

/// A running execution, which counts as cancelled if it is dropped before
/// [`Running::done`].
#[derive(Debug)]
pub struct Running {
    journal: Journal,
    index: usize,
    is_ended: bool,
}

impl Running {
    /// Records that the response was complete.
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
