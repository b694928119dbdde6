//! Where to send a call: the home of its upstream.

use std::net::SocketAddr;

use crate::ident;
use crate::lock::lock;
use crate::outcome::Code;
use crate::outcome::Refusal;
use crate::peer::client;
use crate::plan::Plan;
use crate::state::State;

/// Where to send a call.
pub struct Place {
    /// The upstream.
    pub upstream: ident::Upstream,
    /// Its home.
    pub host: ident::Host,
    /// The start number of the home's incarnation, where it is known.
    pub start: Option<u64>,
    /// Where the home is, unless it is this host.
    pub address: Option<SocketAddr>,
}

impl Place {
    /// Returns what is certain about a call whose home gave no answer.
    pub fn unreached(&self, fault: &client::Error) -> Refusal {
        match fault.is_unsent() {
            true => {
                tracing::info!(host = %self.host, %fault, "entry: home not reached");
                Refusal::not_run(Code::HomeUnreachable)
            }
            false => {
                tracing::info!(host = %self.host, %fault, "entry: home lost");
                Refusal::unknown(Code::HomeLost)
            }
        }
    }
}

/// Finds the home of an upstream.
pub fn find(state: &State, plan: &Plan, upstream: &ident::Upstream) -> Option<Place> {
    let spec = plan.register.upstreams.get(upstream)?;
    let view = lock(&state.view);
    let host = view.home(upstream, spec)?.clone();
    let (address, start) = match view.peer(&host) {
        _ if host == state.incarnation.host => (None, Some(state.incarnation.start)),
        Some((address, incarnation)) => (Some(address), Some(incarnation.start)),
        None => (Some(plan.register.hosts.get(&host)?.peer), None),
    };
    Some(Place {
        upstream: upstream.clone(),
        host,
        start,
        address,
    })
}
