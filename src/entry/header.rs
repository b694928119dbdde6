//! Header fields that callers, entries and upstreams exchange, and those that
//! are not forwarded.

use bytes::Bytes;
use http::HeaderMap;
use http::HeaderName;
use http::HeaderValue;

use crate::peer::frame::Field;

/// Names the workspace of a request.
pub const WORKSPACE: &str = "masticmoor-workspace";
/// Names the chat that a request continues.
pub const CHAT: &str = "masticmoor-chat";
/// Names the class of a request.
pub const CLASS: &str = "masticmoor-class";
/// Tells how a request ended.
pub const OUTCOME: &str = "masticmoor-outcome";
/// Gives the caller a token for its next non-idempotent request.
pub const TOKEN: &str = "masticmoor-token";
/// Carries the token of a non-idempotent request.
pub const IDEMPOTENCY_KEY: &str = "idempotency-key";
/// Tells the caller when to retry, in milliseconds.
pub const RETRY_AFTER_MS: &str = "masticmoor-retry-after-ms";
/// Identifies the exchange with an upstream, which echoes it.
pub const EXCHANGE: &str = "masticmoor-exchange";
/// Carries the fencing value, which orders the requests of different homes for
/// upstreams that check it.
pub const FENCING: &str = "masticmoor-fencing";

/// Fields that belong to one connection, not to the request.
const HOP_BY_HOP: [&str; 9] = [
    "connection",
    "keep-alive",
    "proxy-authenticate",
    "proxy-authorization",
    "proxy-connection",
    "te",
    "trailer",
    "transfer-encoding",
    "upgrade",
];

/// Fields that each stage sets itself.
const SET_PER_STAGE: [&str; 4] = ["content-length", "host", "expect", EXCHANGE];

/// Returns the fields to forward to the next stage.
pub fn forwarded(headers: &HeaderMap) -> Vec<Field> {
    headers
        .iter()
        .filter(|(name, _)| is_forwarded(name, headers))
        .map(|(name, value)| Field {
            name: name.as_str().to_owned(),
            value: Bytes::copy_from_slice(value.as_bytes()),
        })
        .collect()
}

/// Appends forwarded fields to a header map; those that HTTP doesn't allow are
/// dropped.
pub fn restore(fields: &[Field], headers: &mut HeaderMap) {
    for field in fields {
        let name = HeaderName::from_bytes(field.name.as_bytes());
        let value = HeaderValue::from_bytes(&field.value);
        if let (Ok(name), Ok(value)) = (name, value) {
            headers.append(name, value);
        }
    }
}

/// Returns the size of header fields on the wire, in bytes.
pub fn size(headers: &HeaderMap) -> usize {
    // A colon, a space and a line break for each field.
    const SEPARATOR_BYTES: usize = 4;
    headers
        .iter()
        .map(|(name, value)| name.as_str().len() + value.len() + SEPARATOR_BYTES)
        .sum()
}

fn is_forwarded(name: &HeaderName, headers: &HeaderMap) -> bool {
    let name = name.as_str();
    !HOP_BY_HOP.contains(&name)
        && !SET_PER_STAGE.contains(&name)
        && !is_connection_option(name, headers)
}

/// Returns whether the `connection` field names this one as hop-by-hop.
fn is_connection_option(name: &str, headers: &HeaderMap) -> bool {
    headers
        .get_all(http::header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split(','))
        .any(|option| option.trim().eq_ignore_ascii_case(name))
}
