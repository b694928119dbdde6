//! Faults that a stand-in shows on demand.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::server::socket;
use crate::sync::lock;

/// What goes wrong with the requests that arrive from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// How long each answer is held back, in milliseconds.
    pub late_ms: u64,
    /// When the connection is reset.
    pub reset: Option<Reset>,
    /// Whether the answer names another exchange.
    pub foreign: bool,
    /// Whether the answer breaks off half-way.
    pub truncated: bool,
    /// Whether the answer is sent twice over.
    pub duplicated: bool,
    /// How many requests this befalls; all when none is given.
    pub requests: Option<u32>,
    /// A text in the body of a request that crashes the stand-in.
    pub marker: Option<String>,
    /// How long a crash keeps the stand-in down, in milliseconds.
    pub crash_ms: u64,
}

/// When a connection is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reset {
    /// Before the request is run.
    BeforeRun,
    /// After it has run, before the first byte of the answer.
    AfterRun,
    /// After the first bytes of the answer.
    AfterFirst,
}

/// An order to show a fault, as it is posted.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Sets what befalls requests from now on.
    Plan(Plan),
    /// Refuses new connections for a while; open ones go on.
    Refuse {
        /// How long, in milliseconds.
        ms: u64,
    },
    /// Closes all connections and refuses new ones for a while.
    Down {
        /// How long, in milliseconds.
        ms: u64,
    },
    /// Makes the connections open now silent for good.
    Silent(socket::Silence),
}

/// Whether a stand-in can be reached.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// It takes connections.
    #[default]
    Up,
    /// It refuses new connections.
    Refusing,
    /// It has no connections and refuses new ones.
    Down,
}

/// The faults of one stand-in, shared with those that change them.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    plan: Arc<Mutex<Plan>>,
    reachability: Arc<watch::Sender<Reachability>>,
    sockets: Arc<socket::Set>,
}

impl Handle {
    /// Sets what befalls requests from now on.
    pub fn set_plan(&self, plan: Plan) {
        *self.lock() = plan;
    }

    /// Sets whether the stand-in can be reached.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.reachability.send_replace(reachability);
    }

    /// Makes the connections open now silent for good.
    pub fn silence(&self, silence: socket::Silence) {
        self.sockets.silence(silence);
    }

    /// Sets whether the stand-in can be reached, and ends that after a while.
    pub fn limit(&self, reachability: Reachability, duration: Duration) {
        self.set_reachability(reachability);
        let handle = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            handle.set_reachability(Reachability::Up);
        });
    }

    /// Does what a posted order says.
    pub fn execute(&self, command: Command) {
        match command {
            Command::Plan(plan) => self.set_plan(plan),
            Command::Refuse { ms } => self.limit(Reachability::Refusing, Duration::from_millis(ms)),
            Command::Down { ms } => self.limit(Reachability::Down, Duration::from_millis(ms)),
            Command::Silent(silence) => self.silence(silence),
        }
    }

    /// Returns the plan for the next request, and counts that request.
    pub(crate) fn next(&self) -> Plan {
        let mut plan = self.lock();
        match plan.requests {
            Some(0) => Plan {
                marker: plan.marker.clone(),
                crash_ms: plan.crash_ms,
                ..Plan::default()
            },
            Some(left) => {
                plan.requests = Some(left - 1);
                plan.clone()
            }
            None => plan.clone(),
        }
    }

    pub(crate) fn watch(&self) -> watch::Receiver<Reachability> {
        self.reachability.subscribe()
    }

    pub(crate) fn sockets(&self) -> &socket::Set {
        &self.sockets
    }

    fn lock(&self) -> MutexGuard<'_, Plan> {
        lock(&self.plan)
    }
}
