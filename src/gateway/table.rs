//! The route table that operators publish: routes, services, keys, limits.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::ident;

/// What may be done with a request more than once.
#[derive(Clone, Copy, Debug, PartialEq, Eq, strum::Display, strum::IntoStaticStr)]
#[strum(serialize_all = "kebab-case")]
pub enum Kind {
    /// May run any number of times.
    Idempotent,
    /// Runs at most once.
    NonIdempotent,
    /// A stream of events that can't be resumed; runs at most once.
    Stream,
    /// A stream of events that another upstream can resume.
    ResumableStream,
}

impl Kind {
    /// Tells whether a request that may have run can be sent again.
    pub fn is_repeatable(self) -> bool {
        matches!(self, Self::Idempotent | Self::ResumableStream)
    }

    /// Tells whether the answer is a stream of events.
    pub fn is_stream(self) -> bool {
        matches!(self, Self::Stream | Self::ResumableStream)
    }
}

/// A share of a route's requests that goes to one service.
#[derive(Clone, Debug, PartialEq)]
pub struct Backend {
    /// The service.
    pub service: ident::Service,
    /// Its weight next to the route's other services.
    pub weight: f64,
}

/// Where requests of one host name and path prefix go, and how.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    /// The operators' name for it.
    pub name: String,
    /// The host name, in lowercase.
    pub host: String,
    /// The beginning of the path, with a slash at both ends.
    pub prefix: String,
    /// What may be repeated.
    pub kind: Kind,
    /// The longest that a caller is kept waiting.
    pub timeout: Duration,
    /// The objective for the answer, or the first event of a stream.
    pub objective: Duration,
    /// The longest pause between events of a stream that is still on time.
    pub pause: Option<Duration>,
    /// How urgent it is, 0 first.
    pub priority: u8,
    /// The most upstreams that may run one request.
    pub attempts: u32,
    /// Whether it is open to callers without a key.
    pub is_public: bool,
    /// Whether upstreams keep something between requests that share a prompt.
    pub is_sticky: bool,
    /// The services that run its requests.
    pub backends: Vec<Backend>,
}

/// A service that upstreams run.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its name.
    pub name: ident::Service,
    /// Requests a second that a cold upstream bears; none if it has no cold start.
    pub cold_per_second: Option<f64>,
}

/// A workspace and how urgent it is next to others.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Workspace {
    /// Its name.
    pub name: ident::Workspace,
    /// Takes precedence over the priority of routes, 0 first.
    pub priority: Option<u8>,
}

/// Limits on what callers send.
#[derive(Clone, Debug, PartialEq)]
pub struct Limits {
    /// The longest headers, in bytes.
    pub header_bytes: usize,
    /// The longest body, in bytes.
    pub body_bytes: usize,
    /// The longest that headers may take to arrive.
    pub header_timeout: Duration,
    /// The longest that a connection may rest between requests.
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

/// One version of the whole route table.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Table {
    /// The operators' number for it.
    pub version: u64,
    /// Limits on what callers send.
    pub limits: Limits,
    /// Whether routes that aren't public need a key.
    pub is_keyed: bool,
    services: BTreeMap<ident::Service, Service>,
    keys: BTreeMap<String, Arc<Workspace>>,
    hosts: BTreeMap<String, Vec<Arc<Route>>>,
}

impl Table {
    /// Builds a table. `keys` lists each workspace's keys.
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
        let is_keyed = keys.is_some();
        let keys = keys.unwrap_or_default().into_iter();
        let keys = keys.flat_map(|(workspace, keys)| {
            let workspace = Arc::new(workspace);
            keys.into_iter().map(move |key| (key, workspace.clone()))
        });
        let services = services.into_iter();
        Self {
            version,
            limits,
            is_keyed,
            services: services.map(|it| (it.name.clone(), it)).collect(),
            keys: keys.collect(),
            hosts,
        }
    }

    /// Returns the route with the longest prefix of a path on a host name.
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let routes = self.hosts.get(host.to_ascii_lowercase().as_str())?;
        routes.iter().find(|route| path.starts_with(&route.prefix))
    }

    /// Returns the workspace that holds a key.
    pub fn workspace(&self, key: &str) -> Option<&Arc<Workspace>> {
        self.keys.get(key)
    }

    /// Tells whether a service runs requests that share prompts.
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
    /// Returns the service for a request, by weight; `draw` is even in 0..1.
    pub fn backend(&self, draw: f64) -> Option<&ident::Service> {
        let total: f64 = self.backends.iter().map(|backend| backend.weight).sum();
        let mut left = draw * total;
        let mut weighted = self.backends.iter().filter(|it| it.weight > 0.0);
        let chosen = weighted.find(|backend| {
            left -= backend.weight;
            left < 0.0
        });
        let last = || self.backends.iter().rfind(|it| it.weight > 0.0);
        chosen.or_else(last).map(|backend| &backend.service)
    }
}
