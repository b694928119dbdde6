//! Settings that change while a gateway runs.
//!
//! The platform may replace the file with a signal or without one. Bounds and seeds
//! take effect at once; where a host listens, whom it reads from and how it logs
//! stay until the next start.

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

/// Time between two looks at the file: users bound changes of routes and keys to
/// seconds, and none of these is in it.
pub const LOOK: Duration = Duration::from_secs(5);

/// The file of the settings, and what it last held.
#[derive(Clone, Debug)]
pub struct File {
    path: PathBuf,
    text: String,
}

/// What new settings change.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Sections that are in force now.
    pub applied: Vec<&'static str>,
    /// Keys and sections that wait for the next start.
    pub deferred: Vec<&'static str>,
}

impl File {
    /// Remembers a file whose text is in force.
    pub fn new(path: PathBuf, text: String) -> Self {
        Self { path, text }
    }

    /// Reads the file again, and applies what changed. Settings with faults change
    /// nothing.
    pub fn look(&mut self, state: &State) {
        // A thread for it would cost more than the read of a small local file.
        let text = match std::fs::read_to_string(&self.path) {
            Ok(text) if text == self.text => return,
            Ok(text) => text,
            Err(error) => {
                warn!(path = %self.path.display(), %error, "settings: can't be read");
                return;
            }
        };
        match Options::parse(&text) {
            Ok(options) => {
                let Change { applied, deferred } = apply(state, &options);
                info!(?applied, ?deferred, "settings: changed");
            }
            Err(faults) => {
                for fault in faults {
                    warn!(%fault, "settings: refused, the old ones stay");
                }
            }
        }
        self.text = text;
    }
}

/// Puts new settings in force as far as a running gateway can.
pub fn apply(state: &State, new: &Options) -> Change {
    let old = &state.options;
    let in_force = state.bounds();
    // What a listener or a socket was opened with.
    let bounds = Gateway {
        ready_path: in_force.ready_path.clone(),
        gossip_port: in_force.gossip_port,
        first_start: in_force.first_start,
        ..new.gateway.clone()
    };
    let mut change = Change::default();
    if bounds != *in_force {
        *lock(&state.bounds) = Arc::new(bounds);
        change.applied.push("gateway");
    }
    if lock(&state.peers).set_seeds(state::seeds(new)) {
        change.applied.push("peer.seeds");
    }
    let differ = [
        ("host", old.host != new.host),
        ("platform", old.platform != new.platform),
        ("log", old.log != new.log),
        (
            "gateway.ready_path",
            in_force.ready_path != new.gateway.ready_path,
        ),
        (
            "gateway.gossip_port",
            in_force.gossip_port != new.gateway.gossip_port,
        ),
    ];
    let deferred = differ.iter().filter(|(_, differs)| *differs);
    change.deferred.extend(deferred.map(|(key, _)| *key));
    change
}
