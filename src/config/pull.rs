//! Decides from which peer to pull newer values, and avoids peers that failed
//! recently.

use std::collections::BTreeMap;
use std::time::Duration;

use tokio::time::Instant;

use crate::ident;
use crate::member::config_state::ConfigState;
use crate::member::placement;

/// How long a host that failed is skipped.
pub const RETRY_AFTER: Duration = Duration::from_secs(2);

/// The maximum time to wait for a response.
pub const TIMEOUT: Duration = Duration::from_secs(2);

/// The pulls of a host, of which one is in progress at a time.
#[derive(Clone, Debug, Default)]
pub struct Pull {
    started: Option<Instant>,
    failed: BTreeMap<ident::Host, Instant>,
}

impl Pull {
    /// Returns the host to pull from now, or `None` if no host is ahead or a
    /// pull is in progress.
    ///
    /// The pulls are spread over the hosts that are equally far ahead: each
    /// pulling host ranks them differently.
    pub fn plan<'a>(
        &mut self,
        now: Instant,
        own: &ident::Host,
        config: &ConfigState,
        peers: impl Iterator<Item = (&'a ident::Host, &'a ConfigState)>,
    ) -> Option<&'a ident::Host> {
        self.failed
            .retain(|_, at| now.duration_since(*at) < RETRY_AFTER);
        match self.started {
            Some(since) if now.duration_since(since) < TIMEOUT => return None,
            _ => self.started = None,
        }
        let mut ahead: Vec<_> = peers
            .filter(|(host, other)| other.is_ahead(config) && !self.failed.contains_key(*host))
            .collect();
        let newest = ahead.iter().map(|(_, other)| other.sum()).max()?;
        ahead.retain(|(_, other)| other.sum() == newest);
        let hosts = ahead.into_iter().map(|(host, _)| host);
        let host = placement::top_ranked(own.as_str(), hosts, 1)
            .first()
            .copied()?;
        self.started = Some(now);
        Some(host)
    }

    /// Records that a host responded to all requests of the pull.
    pub fn complete(&mut self) {
        self.started = None;
    }

    /// Records that a host did not respond, was busy, or supplied nothing
    /// usable.
    pub fn fail(&mut self, now: Instant, host: &ident::Host) {
        self.started = None;
        self.failed.insert(host.clone(), now);
    }
}
