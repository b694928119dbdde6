//! The register's specification of a plain service.

use crate::class::Class;

/// The path prefix of a service and its idempotent calls.
#[derive(Clone, Debug, PartialEq)]
pub struct Spec {
    /// The path prefix of the service, such as `/tickets`.
    pub prefix: String,
    /// The class of requests that specify none.
    pub class: Class,
    /// The idempotent calls; any other call runs at most once.
    pub idempotent: Vec<Call>,
}

/// A set of calls, selected by method and path prefix.
#[derive(Clone, Debug, PartialEq)]
pub struct Call {
    /// The HTTP method in upper case.
    pub method: String,
    /// The path prefix, including the prefix of the service.
    pub path: String,
}

impl Spec {
    /// Returns whether a call is idempotent, so that it may be retried.
    pub fn is_idempotent(&self, method: &str, path: &str) -> bool {
        self.idempotent
            .iter()
            .any(|call| call.method == method && covers(&call.path, path))
    }
}

/// Returns whether `path` equals `prefix` or lies below it, compared by whole
/// segments.
pub fn covers(prefix: &str, path: &str) -> bool {
    let prefix = prefix.trim_end_matches('/');
    match path.strip_prefix(prefix) {
        Some(rest) => rest.is_empty() || rest.starts_with('/') || rest.starts_with('?'),
        None => false,
    }
}
