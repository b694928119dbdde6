//! Execution tokens: a non-idempotent request runs at most once.
//!
//! Only the process that issued a token decides whether it may be used, from a
//! table in its memory. Any process can read the issuer's name from a token,
//! and none runs a request under a token that another process issued.
//!
//! ```
//! use masticmoor::token::{Completion, Key, Ledger, Limits, Decision};
//! use tokio::time::Instant;
//!
//! # fn example() -> eyre::Result<()> {
//! let now = Instant::now();
//! let key = Key::new(&mut rand::rng());
//! let mut ledger = Ledger::new(now, "e1".into(), 7, key, Limits::default())?;
//! let token = ledger.issue(now)?;
//! let Decision::Run(lease) = ledger.spend(now, &token, 42) else {
//!     panic!("the first use runs");
//! };
//! // A repeat waits for the result of the first attempt and never runs.
//! assert!(matches!(ledger.spend(now, &token, 42), Decision::Join(_)));
//! let _ = ledger.settle(now, lease, Completion::Streamed);
//! assert!(matches!(ledger.spend(now, &token, 42), Decision::Refuse(_)));
//! # Ok(())
//! # }
//! # example().expect("a new ledger has room");
//! ```

mod cache;
mod counters;
mod fault;
pub mod fingerprint;
pub mod issuer;
mod key;
mod lease;
mod ledger;
mod limits;
mod record;
mod response;
mod text;
pub mod waiter;

use std::time::Duration;

use serde::Deserialize;
use serde::Serialize;

use crate::ident;
use crate::outcome::Code;
use crate::outcome::Outcome;
use crate::outcome::Refusal;

pub use counters::Counters;
pub use counters::Size;
pub use fault::Fault;
pub use issuer::Issuer;
pub use key::Key;
pub use lease::Completion;
pub use lease::Decision;
pub use lease::Lease;
pub use lease::Settlement;
pub use ledger::Ledger;
pub use limits::Limits;
pub use response::Response;

/// The length of [`Token::tag`] in bytes.
pub const TAG_BYTES: usize = 16;

/// The length of the longest host name that a token can carry, in bytes.
pub const HOST_BYTES: usize = 253;

/// An execution token: the issuer's permission to run one request once.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(into = "String", try_from = "String")]
pub struct Token {
    /// The host that issued the token.
    pub issuer: ident::Host,
    /// The incarnation of the issuer.
    pub start: u64,
    /// The sequence number of the token within this incarnation.
    pub sequence: u64,
    /// When the token expires, in milliseconds since the issuer's start.
    pub expires: u64,
    /// The issuer's authentication tag over the other fields.
    pub tag: [u8; TAG_BYTES],
}

/// Returns the refusal for a token whose issuer can't be reached.
///
/// Its outcome is never "not run", since the issuer may have run an earlier
/// attempt.
pub fn issuer_unreachable(wait: Duration) -> Refusal {
    Refusal::unknown(Code::IssuerLost).with_retry_after(wait)
}

/// Returns whether a new token may be sent along with a refusal.
///
/// It may not if the request may have run, nor if an earlier form of it may
/// have run: under a token that was corrupted since, or with another body.
pub fn allows_new_token(refusal: &Refusal) -> bool {
    match refusal.code {
        Code::TokenForged | Code::TokenMismatch => false,
        _ => refusal.outcome == Outcome::NotRun,
    }
}
