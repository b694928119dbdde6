//! The first stage of a request: accepts it from the caller, classifies it,
//! hands it to the home of an upstream, and returns the response.

pub mod at_most_once;
pub mod attempt;
pub mod caller;
pub mod classify;
pub mod grant;
pub mod header;
pub mod listen;
pub mod problem;
pub mod source;
pub mod timer;
