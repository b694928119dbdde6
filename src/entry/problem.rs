//! Refusals as callers see them: problem details in the form of RFC 9457.

use http::HeaderValue;
use poem::Response;
use serde::Deserialize;
use serde::Serialize;

use crate::entry::header;
use crate::outcome::Code;
use crate::outcome::Outcome;
use crate::outcome::Refusal;

/// The content type of a problem body.
pub const CONTENT_TYPE: &str = "application/problem+json";

const MILLIS_PER_SECOND: u64 = 1_000;

/// The body of a refusal.
#[derive(Debug, Serialize, Deserialize)]
pub struct Problem {
    /// The URN of the kind of problem.
    #[serde(rename = "type")]
    pub kind: String,
    /// The kind of problem in words.
    pub title: String,
    /// The HTTP status.
    pub status: u16,
    /// The code of the refusal.
    pub code: Code,
    /// What is certain about the request.
    pub outcome: Outcome,
    /// When to retry, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_ms: Option<u64>,
}

impl Problem {
    /// Returns the problem for a refusal.
    pub fn new(refusal: &Refusal) -> Self {
        Self {
            kind: format!("urn:masticmoor:{}", refusal.code),
            title: refusal.code.to_string().replace('-', " "),
            status: refusal.code.status().as_u16(),
            code: refusal.code,
            outcome: refusal.outcome,
            retry_after_ms: refusal.retry_after_ms,
        }
    }

    /// Returns the refusal that this describes.
    pub fn refusal(&self) -> Refusal {
        Refusal {
            outcome: self.outcome,
            code: self.code,
            retry_after_ms: self.retry_after_ms,
        }
    }

    /// Returns the problem as JSON.
    pub fn body(&self) -> Vec<u8> {
        // A struct of plain fields always serializes.
        serde_json::to_vec(self).unwrap_or_default()
    }
}

/// Returns the response to a caller whose request was refused.
pub fn response(refusal: &Refusal) -> Response {
    let mut builder = Response::builder()
        .status(refusal.code.status())
        .content_type(CONTENT_TYPE)
        .header(header::OUTCOME, <&str>::from(refusal.outcome));
    if let Some(retry_after_ms) = refusal.retry_after_ms {
        let seconds = retry_after_ms.div_ceil(MILLIS_PER_SECOND);
        builder = builder
            .header(http::header::RETRY_AFTER, HeaderValue::from(seconds))
            .header(header::RETRY_AFTER_MS, HeaderValue::from(retry_after_ms));
    }
    builder.body(Problem::new(refusal).body())
}
