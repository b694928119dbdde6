//! Finds the home of an upstream, to which its calls are sent.

use std::net::SocketAddr;

use crate::ident;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::client;
use crate::plan::Plan;
use crate::state::State;

/// The home of an upstream.
pub struct Target {
    /// The upstream.
    pub upstream: ident::Upstream,
    /// Its home.
    pub host: ident::Host,
    /// The start number of the home's incarnation, if known.
    pub start: Option<u64>,
    /// The peer address of the home, unless it is this host.
    pub address: Option<SocketAddr>,
}

impl Target {
    /// Returns the refusal for a call whose home did not respond.
    pub fn refusal(&self, fault: &client::Error) -> Refusal {
        match fault.is_unsent() {
            true => {
                tracing::info!(host = %self.host, %fault, "entry: home unreachable");
                Refusal::not_run(Code::HomeUnreachable)
            }
            false => {
                tracing::info!(host = %self.host, %fault, "entry: connection to home lost");
                Refusal::unknown(Code::HomeLost)
            }
        }
    }
}

/// Finds the home of an upstream.
pub fn find(state: &State, plan: &Plan, upstream: &ident::Upstream) -> Option<Target> {
    let spec = plan.register.upstreams.get(upstream)?;
    let view = lock(&state.view);
    let host = view.home(upstream, spec)?.clone();
    let (address, start) = match view.peer(&host) {
        _ if host == state.incarnation.host => (None, Some(state.incarnation.start)),
        Some((address, incarnation)) => (Some(address), Some(incarnation.start)),
        None => (Some(plan.register.hosts.get(&host)?.peer), None),
    };
    Some(Target {
        upstream: upstream.clone(),
        host,
        start,
        address,
    })
}
