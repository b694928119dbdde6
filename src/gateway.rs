//! The stage that serves callers by a published route table.
//!
//! An adapter decodes what a platform publishes into the types of [`table`] and
//! [`upstream`], and names the headers in [`headers`]. Everything else is decided
//! here: which host reads the store ([`reader`]), what other hosts know
//! ([`gossip`], [`peers`]), which upstream runs a request ([`placement`]), how often
//! it is tried ([`attempt`]) and when a host may vouch for what it knows.

pub mod accept;
pub mod attempt;
pub mod cold_start;
pub mod connection;
pub mod datagram;
pub mod event;
pub mod follow;
pub mod forward;
pub mod gossip;
pub mod headers;
pub mod health;
pub mod job;
pub mod listen;
pub mod load;
pub mod metrics;
pub mod operator;
pub mod outage;
pub mod peers;
pub mod placement;
pub mod prefix_cache;
pub mod reader;
pub mod refusal;
pub mod relay;
pub mod reload;
pub mod retry_budget;
pub mod selection;
pub mod serve;
pub mod source;
pub mod state;
pub mod stream;
pub mod table;
pub mod upstream;
pub mod view;
pub mod warmup;

pub use state::State;
