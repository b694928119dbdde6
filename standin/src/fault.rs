//! Fault injection of the stand-ins. A [`Handle`] sets the faults, from a test
//! or from a command posted over HTTP; [`crate::server`] applies them.

use std::sync::Arc;
use std::sync::Mutex;
use std::sync::MutexGuard;
use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;
use tokio::sync::watch;

use crate::server::socket;
use crate::sync::lock;

/// Faults of the requests that arrive from now on.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields, rename_all = "kebab-case")]
pub struct Plan {
    /// Delay of each response, in milliseconds.
    pub late_ms: u64,
    /// When the connection is reset, if at all.
    pub reset: Option<Reset>,
    /// Whether the response carries the id of another exchange.
    pub foreign: bool,
    /// Whether the response ends after its first half.
    pub truncated: bool,
    /// Whether the body of the response is sent twice.
    pub duplicated: bool,
    /// Number of requests that are affected, all if `None`. Only `marker` applies
    /// to later requests too.
    pub requests: Option<u32>,
    /// Text in a request body that crashes the stand-in.
    pub marker: Option<String>,
    /// How long the stand-in is down after a crash, in milliseconds.
    pub crash_ms: u64,
}

/// Point of a request at which its connection is reset.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Reset {
    /// Before the request runs.
    BeforeRun,
    /// After the request ran, before the first byte of the response.
    AfterRun,
    /// After the first bytes of the response.
    AfterFirst,
}

/// A command to inject a fault, as posted in JSON.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Sets the faults of requests from now on.
    Plan(Plan),
    /// Refuses new connections for a while; open ones continue.
    Refuse {
        /// The duration, in milliseconds.
        ms: u64,
    },
    /// Closes all connections and refuses new ones for a while.
    Down {
        /// The duration, in milliseconds.
        ms: u64,
    },
    /// Silences the connections that are open now, permanently.
    Silent(socket::Silence),
}

/// Whether a stand-in accepts connections.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Reachability {
    /// It accepts connections.
    #[default]
    Up,
    /// It refuses new connections; open ones continue.
    Refusing,
    /// It closes all connections and refuses new ones.
    Down,
}

/// Handle to the faults of one stand-in. Clones share their state.
#[derive(Clone, Debug, Default)]
pub struct Handle {
    plan: Arc<Mutex<Plan>>,
    reachability: Arc<watch::Sender<Reachability>>,
    /// The reachability that the server has applied to its listener.
    applied: Arc<watch::Sender<Reachability>>,
    sockets: Arc<socket::Set>,
}

impl Handle {
    /// Sets the faults of requests from now on.
    pub fn set_plan(&self, plan: Plan) {
        *self.lock() = plan;
    }

    /// Sets whether the stand-in accepts connections.
    pub fn set_reachability(&self, reachability: Reachability) {
        self.reachability.send_replace(reachability);
    }

    /// Sets whether the stand-in accepts connections, and waits until its server has
    /// opened or closed the listener accordingly.
    pub async fn apply_reachability(&self, reachability: Reachability) {
        let mut applied = self.applied.subscribe();
        self.set_reachability(reachability);
        // The handle keeps the sender, so the wait can't fail.
        let _applied = applied.wait_for(|applied| *applied == reachability).await;
    }

    /// Silences the connections that are open now, permanently.
    pub fn silence(&self, silence: socket::Silence) {
        self.sockets.silence(silence);
    }

    /// Sets the reachability for a duration, after which it is `Up` again.
    pub fn limit(&self, reachability: Reachability, duration: Duration) {
        self.set_reachability(reachability);
        let handle = self.clone();
        tokio::spawn(async move {
            tokio::time::sleep(duration).await;
            handle.set_reachability(Reachability::Up);
        });
    }

    /// Executes a posted command.
    pub fn execute(&self, command: Command) {
        match command {
            Command::Plan(plan) => self.set_plan(plan),
            Command::Refuse { ms } => self.limit(Reachability::Refusing, Duration::from_millis(ms)),
            Command::Down { ms } => self.limit(Reachability::Down, Duration::from_millis(ms)),
            Command::Silent(silence) => self.silence(silence),
        }
    }

    /// Returns the faults of the next request and counts it against the plan.
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

    pub(crate) fn record_applied(&self, reachability: Reachability) {
        self.applied.send_replace(reachability);
    }

    pub(crate) fn sockets(&self) -> &socket::Set {
        &self.sockets
    }

    fn lock(&self) -> MutexGuard<'_, Plan> {
        lock(&self.plan)
    }
}
