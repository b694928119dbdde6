//! A router fleet for chat requests, and a library of its coordination parts that
//! other programs can embed.
//!
//! - [`border`]: types of the files that operators write, generated from the schemas
//! - [`check`]: validation of settings, register and rules
//! - [`boot`]: a clock that includes time in suspension
//! - [`class`]: the priority class of a request
//! - [`config`]: the published values that are applied, and their distribution
//! - [`daemon`]: the tasks of a host
//! - [`entry`]: the stage that receives requests from callers
//! - [`event`]: splits a stream of server-sent events
//! - [`framing`]: how the end of a response body is marked
//! - [`gateway`]: the stage that routes requests by a published route table
//! - [`home`]: the stage that dispatches requests to an upstream
//! - [`ident`]: names of hosts, zones, workspaces, upstreams, models and services
//! - [`options`]: the settings of a host
//! - [`lock`]: locking that ignores poisoning
//! - [`log`]: structured logs that never block
//! - [`member`]: which hosts are live, and which of them is the home of each upstream
//! - [`mirror`]: a local copy of the items of a watched store
//! - [`outcome`]: how a request ended
//! - [`peer`]: the protocol between hosts
//! - [`plan`]: the register and the rules, resolved into lookup tables
//! - [`policy`]: pure functions that decide where and when a request runs
//! - [`meter`]: the measurements of a host
//! - [`query`]: the status of a host, for operators
//! - [`register`]: the hosts, upstreams, models, services and workspaces that exist
//! - [`revision`]: the revision of a published value
//! - [`rules`]: operational rules that supplement the register
//! - [`socket`]: a TCP stream of a caller, and how it ends
//! - [`state`]: the state that the tasks of a host share
//! - [`token`]: execution tokens, which let a request run at most once

pub mod boot;
pub mod border;
pub mod check;
pub mod class;
pub mod config;
pub mod daemon;
pub mod entry;
pub mod event;
pub mod framing;
pub mod gateway;
pub mod home;
pub mod ident;
pub mod lock;
pub mod log;
pub mod member;
pub mod meter;
pub mod mirror;
pub mod options;
pub mod outcome;
pub mod peer;
pub mod plan;
pub mod policy;
pub mod query;
pub mod register;
pub mod revision;
pub mod rules;
pub mod socket;
pub mod state;
pub mod token;
