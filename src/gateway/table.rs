//! Route table published by operators: routes, services, keys and limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ident;

/// Semantics of a route's requests: whether they may be repeated, and whether their
/// response is a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// The request may run any number of times.
    Idempotent,
    /// The request runs at most once.
    NonIdempotent,
    /// The response is a stream of events; the request runs at most once.
    Stream,
    /// The response is a stream of events that another upstream can resume.
    ResumableStream,
}

impl Kind {
    /// Returns whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Returns whether the response is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A service that a share of a route's requests goes to.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ident::Service,
    /// Weight relative to the route's other services.
    pub weight: f64,
}

/// Handling of requests with one host name and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// Name given by operators.
    pub name: String,
    /// Host name in lowercase.
    pub host: String,
    /// Path prefix, with a slash at both ends.
    pub prefix: String,
    /// Whether requests may be repeated and whether responses are streams.
    pub kind: Kind,
    /// Maximum time until a caller gets its response.
    pub timeout: Duration,
    /// Target latency of the response, or of the first event of a stream.
    pub objective: Duration,
    /// Target for the longest gap between events of a stream.
    pub max_event_gap: Option<Duration>,
    /// Priority of requests; 0 is the most urgent.
    pub priority: u8,
    /// Maximum number of upstreams that may run one request.
    pub max_attempts: u32,
    /// Whether callers need no key.
    pub is_public: bool,
    /// Whether upstreams cache prompts, so that requests with the same prompt should go
    /// to the same upstream.
    pub is_sticky: bool,
    /// Services that run the requests.
    pub backends: Vec<Backend>,
}

/// A service that upstreams run.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ident::Service,
    /// Requests per second that a cold upstream sustains; `None` for a service without
    /// a cold start.
    pub cold_requests_per_second: Option<f64>,
}

/// A workspace.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: ident::Workspace,
    /// Priority that overrides that of routes; 0 is the most urgent.
    pub priority: Option<u8>,
}

/// Limits on callers' requests and connections.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// Maximum size of the headers in bytes.
    pub header_bytes: usize,
    /// Maximum size of the body in bytes.
    pub body_bytes: usize,
    /// Maximum time for the headers to arrive.
    pub header_timeout: Duration,
    /// Maximum time that a connection may be idle between requests.
    pub idle_timeout: Duration,
}

impl Default for Limits {
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(5),
            idle_timeout: Duration::from_secs(60),
        }
    }
}

/// One version of the route table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// Version number given by operators.
    pub version: u64,
    /// Limits on callers' requests and connections.
    pub limits: Limits,
    /// Whether routes that aren't public require a key.
    pub requires_keys: bool,
    services: BTreeMap<ident::Service, Service>,
    /// Workspaces by key.
    keys: BTreeMap<String, Arc<Workspace>>,
    /// Routes by host name, those with the longest prefix first.
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
}

impl Table {
    /// Creates a table. `keys` lists the keys of each workspace; without it no route
    /// requires a key.
    pub fn new(
        version: u64,
        limits: Limits,
        routes: Vec<Route>,
        services: Vec<Service>,
        keys: Option<Vec<(Workspace, Vec<String>)>>,
    ) -> Self {
        let mut hosts: BTreeMap<String, Vec<Arc<Route>>> = BTreeMap::new();
        for route in routes {
            hosts
                .entry(route.host.clone())
                .or_default()
                .push(Arc::new(route));
        }
        for routes in hosts.values_mut() {
            routes.sort_by_key(|route| std::cmp::Reverse(route.prefix.len()));
        }
        let requires_keys = keys.is_some();
        let keys = keys.unwrap_or_default().into_iter();
        let keys = keys.flat_map(|(workspace, keys)| {
            let workspace = Arc::new(workspace);
            keys.into_iter().map(move |key| (key, workspace.clone()))
        });
        let services = services.into_iter();
        Self {
            version,
            limits,
            requires_keys,
            services: services.map(|it| (it.name.clone(), it)).collect(),
            keys: keys.collect(),
            hosts,
        }
    }

    /// Returns the route of a host name with the longest prefix that matches a path.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Returns whether any sticky route uses a service.
    pub fn is_sticky(&self, service: &ident::Service) -> bool {
        let routes = self.hosts.values().flatten().filter(|it| it.is_sticky);
        let mut backends = routes.flat_map(|route| &route.backends);
        backends.any(|backend| backend.service == *service)
    }

    /// Returns a service by name.
    pub fn service(&self, name: &ident::Service) -> Option<&Service> {
        self.services.get(name)
    }
}

impl Route {
    /// Picks the service for a request by weight; `fraction` is a uniform random number
    /// in `0..1`. Returns `None` if no service has a positive weight.
    pub fn backend(&self, fraction: f64) -> Option<&ident::Service> {
        let total: f64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut remainder = fraction * total;
        let mut weighted = self.backends.iter().filter(|it| it.weight > 0.0);
        let chosen = weighted.find(|backend| {
            remainder -= backend.weight;
            remainder < 0.0
        });
        // A fraction of 1 or a rounding error leaves a remainder.
        let last = || self.backends.iter().rfind(|it| it.weight > 0.0);
        chosen.or_else(last).map(|backend| &backend.service)
    }
}
