//! The frames that hosts send to each other.
//!
//! A request body holds one [`Frame::Run`] or [`Frame::Relay`]. The response is
//! either one [`Frame::Refused`], or a [`Frame::Head`], any number of
//! [`Frame::Data`] and one [`Frame::End`]. A response without its last frame is
//! incomplete.

use std::fmt;
use std::time::Duration;

use bytes::Bytes;
use serde::Deserialize;
use serde::Serialize;

use crate::class::Class;
use crate::ident;
use crate::member::incarnation::Incarnation;
use crate::outcome::Refusal;
use crate::register::upstream::Pool;

/// The version of the protocol. Hosts of different versions refuse each other's
/// frames.
pub const VERSION: u8 = 1;

/// Identifies one exchange with an upstream, uniquely among all hosts.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Exchange {
    /// The start number of the issuing host's incarnation.
    pub start: u64,
    /// The number of the exchange within that incarnation.
    pub sequence: u64,
}

impl fmt::Display for Exchange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}-{:x}", self.start, self.sequence)
    }
}

/// A header field. The value need not be text.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Field {
    /// The name, in lower case.
    pub name: String,
    /// The value.
    pub value: Bytes,
}

/// A caller's request, classified by the entry.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Call {
    /// The workspace that it belongs to.
    pub workspace: ident::Workspace,
    /// The chat that it continues.
    pub chat: ident::Chat,
    /// How urgent it is.
    pub class: Class,
    /// The pool of upstreams that can serve it.
    pub pool: Pool,
    /// Whether it is safe to run it more than once.
    pub idempotent: bool,
    /// The HTTP method.
    pub method: String,
    /// The path and query.
    pub path: String,
    /// The header fields to forward.
    pub headers: Vec<Field>,
    /// The whole body.
    pub body: Bytes,
    /// The hash of its content: workspace, method, path and body.
    pub fingerprint: u64,
    /// The time until its deadline, in milliseconds.
    pub left_ms: u64,
}

impl Call {
    /// Returns the time until the deadline, as of when the call was sent.
    pub fn time_left(&self) -> Duration {
        Duration::from_millis(self.left_ms)
    }
}

/// A request of an entry to the home of an upstream to run a call there.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Run {
    /// The exchange.
    pub exchange: Exchange,
    /// The sender.
    pub from: Incarnation,
    /// The host that the entry considers the home.
    pub home: ident::Host,
    /// The start number of the home's incarnation. The entry knows it for hosts
    /// of its own zone only.
    pub start: Option<u64>,
    /// The upstream chosen.
    pub upstream: ident::Upstream,
    /// Whether to refuse the call instead of queueing it, since the entry has
    /// other upstreams to try.
    pub bypass: bool,
    /// Whether to refuse the call unless the chat's prefix is cached at the
    /// upstream.
    pub only_warm: bool,
    /// The maximum time that the call may be queued, in milliseconds.
    pub wait_ms: u64,
    /// The upstreams that failed while they ran this call.
    pub lost: Vec<ident::Upstream>,
    /// The call to run.
    pub call: Call,
}

/// A request of an entry to the issuer of a token to run a call under that
/// token.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Relay {
    /// The exchange.
    pub exchange: Exchange,
    /// The sender.
    pub from: Incarnation,
    /// The token, in its text form.
    pub token: String,
    /// The call to run.
    pub call: Call,
}

/// The head of a response.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Head {
    /// The HTTP status.
    pub status: u16,
    /// The header fields to forward.
    pub headers: Vec<Field>,
    /// How long the call was queued, in microseconds.
    pub waited_us: u64,
}

/// One message between hosts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Frame {
    /// Run a call on an upstream.
    Run(Box<Run>),
    /// Run a call under a token.
    Relay(Box<Relay>),
    /// The head of the response.
    Head(Head),
    /// A chunk of the response body.
    Data(Bytes),
    /// The response is complete.
    End,
    /// The call was refused, or its response ends early.
    Refused(Refusal),
}

/// A frame as encoded, with its version and exchange.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Envelope {
    /// The version of the sender.
    pub version: u8,
    /// The exchange that the frame belongs to.
    pub exchange: Exchange,
    /// The frame.
    pub frame: Frame,
}
