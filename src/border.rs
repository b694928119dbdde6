//! Types of the files that operators write, generated from the schemas. The command
//! that generates them is in CONTRIBUTING.md.

#[allow(missing_docs, reason = "generated")]
pub mod register;
#[allow(missing_docs, reason = "generated")]
pub mod rules;
#[allow(missing_docs, reason = "generated")]
pub mod settings;
#[allow(missing_docs, reason = "generated")]
pub mod workspaces;
