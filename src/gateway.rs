//! The gateway stage: serves callers according to a route table that a platform
//! publishes in its store.
//!
//! A platform adapter decodes the store's items into the types of [`table`] and
//! [`upstream`], and supplies the names of headers ([`headers`]). The gateway decides
//! everything else: which hosts read the store ([`reader`]), what hosts report to each
//! other ([`gossip`], [`peers`]), which upstream runs a request ([`placement`]), how
//! often it is attempted ([`attempt`]), and whether this host's copy of the store is
//! recent enough to serve callers ([`state`]).

pub mod accept;
pub mod admit;
pub mod attempt;
pub mod buffer;
pub mod capacity;
pub mod cold_start;
pub mod connection;
pub mod continuation;
pub mod crash;
pub mod datagram;
pub mod follow;
pub mod forward;
pub mod gossip;
pub mod handoff;
pub mod head_limit;
pub mod headers;
pub mod health;
pub mod history;
pub mod intake;
pub mod job;
pub mod join;
pub mod keep_alive;
pub mod limit;
pub mod listen;
pub mod liveness;
pub mod load;
pub mod metrics;
pub mod notice;
pub mod operator;
pub mod origin;
pub mod outage;
pub mod peers;
pub mod placement;
pub mod prefix_cache;
pub mod pulse;
pub mod reach;
pub mod reader;
pub mod refusal;
pub mod rejections;
pub mod relay;
pub mod reload;
pub mod resume;
pub mod retry_budget;
pub mod selection;
pub mod serve;
pub mod source;
pub mod spread;
pub mod start;
pub mod state;
pub mod stream;
pub mod table;
pub mod upload;
pub mod upstream;
pub mod view;
pub mod warmup;
pub mod witness;

pub use state::State;
