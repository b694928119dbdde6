//! A router fleet for very many returning chats, and a library of its
//! coordination parts for others to embed.
//!
//! - [`border`]: the form of the files that operators write
//! - [`check`]: faults in settings, register and rules, with their places
//! - [`boot`]: a clock that also counts suspended time
//! - [`class`]: how urgent a request is
//! - [`config`]: which published values are in force, and how they spread
//! - [`daemon`]: the tasks of one host
//! - [`entry`]: the stage that takes requests from callers
//! - [`gateway`]: the stage that serves callers by a published route table
//! - [`home`]: the stage that dispatches to an upstream
//! - [`ident`]: names of hosts, zones, workspaces, upstreams, models, services
//! - [`options`]: the settings of one host
//! - [`lock`]: taking locks
//! - [`log`]: structured logs that never block
//! - [`member`]: which hosts are live, and which of them is home of what
//! - [`mirror`]: a copy of the items of a watched store
//! - [`outcome`]: how a request ended
//! - [`peer`]: the protocol between hosts
//! - [`plan`]: the register and the rules, worked out for use
//! - [`policy`]: pure decisions on where and when a request runs
//! - [`meter`]: what the host has measured
//! - [`query`]: what operators ask a host
//! - [`register`]: what operators say exists
//! - [`revision`]: the revision of a published value
//! - [`rules`]: what operators lay on top of the register
//! - [`state`]: the tables that the tasks of one host share
//! - [`token`]: execution tokens, by which a request runs at most once

pub mod boot;
pub mod border;
pub mod check;
pub mod class;
pub mod config;
pub mod daemon;
pub mod entry;
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
pub mod state;
pub mod token;
