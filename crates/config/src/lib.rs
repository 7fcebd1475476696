//! The operators' text: parse, validate, compare, publish and spread.
//!
//! [`Deployment`] is a text that has passed every check; the rest of nutmegsail only ever sees one
//! of those. This crate is told texts and store answers, decides which generation is in force, and
//! never touches a request.

mod deployment;
mod generation;
mod service;

pub use deployment::{AdapterLookup, Deployment, Limits, Weights};
pub use generation::{Digest, Generation, InForce};
pub use service::{AdapterSet, Call, Service, ServiceKind, UpstreamEntry};
