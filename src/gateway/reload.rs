//! Reload of the settings file of a running gateway.
//!
//! The platform may replace the file with or without a signal, so it is also polled.
//! Gateway settings and seeds take effect at once; changes of addresses, the store and
//! the log are deferred until the next start.

use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use tracing::info;
use tracing::warn;

use crate::gateway::state;
use crate::gateway::state::State;
use crate::lock::lock;
use crate::options::Gateway;
use crate::options::Options;

/// Interval between reads of the file. Routes and keys, whose changes must take effect
/// within seconds, are not in it.
pub const POLL_INTERVAL: Duration = Duration::from_secs(5);

/// The settings file and its last content.
#[derive(Clone, Debug)]
pub struct File {
    path: PathBuf,
    text: String,
}

/// Result of applying new settings.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Keys and sections that took effect.
    pub applied: Vec<&'static str>,
    /// Keys and sections that take effect at the next start.
    pub deferred: Vec<&'static str>,
}

impl File {
    /// Creates the state for a file whose content `text` is in effect.
    pub fn new(path: PathBuf, text: String) -> Self {
        Self { path, text }
    }

    /// Reads the file again, and applies its settings if its content has changed.
    /// Invalid settings are logged and change nothing.
    pub fn poll(&mut self, state: &State) {
        // A blocking read: for a small local file, a separate thread costs more.
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) if text == self.text => return,
            Ok(text) => text,
            Err(error) => {
                warn!(path = %self.path.display(), %error, "settings: can't read the file");
                return;
            }
        };
        match Options::parse(&text) {
            Ok(options) => {
                let Change { applied, deferred } = apply(state, &options);
                info!(?applied, ?deferred, "settings: reloaded");
            }
            Err(faults) => {
                for fault in faults {
                    warn!(%fault, "settings: invalid, keeping the current ones");
                }
            }
        }
        self.text = text;
    }
}

/// Applies the settings that may change while a gateway runs.
pub fn apply(state: &State, new: &Options) -> Change {
    let old = &state.options;
    let current = state.live_options();
    // These are fixed once the listeners and sockets are open.
    let updated = Gateway {
        ready_path: current.ready_path.clone(),
        gossip_port: current.gossip_port,
        first_start: current.first_start,
        ..new.gateway.clone()
    };
    let mut change = Change::default();
    if updated != *current {
        *lock(&state.live_options) = Arc::new(updated);
        change.applied.push("gateway");
    }
    if lock(&state.peers).set_seeds(state::seeds(new)) {
        change.applied.push("peer.seeds");
    }
    let fixed = [
        ("host", old.host != new.host),
        ("platform", old.platform != new.platform),
        ("log", old.log != new.log),
        (
            "gateway.ready_path",
            current.ready_path != new.gateway.ready_path,
        ),
        (
            "gateway.gossip_port",
            current.gossip_port != new.gateway.gossip_port,
        ),
    ];
    let deferred = fixed.iter().filter(|(_, differs)| *differs);
    change.deferred.extend(deferred.map(|(key, _)| *key));
    change
}
