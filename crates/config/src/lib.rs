//! The operators' text: parse, validate, compare, publish and spread.
//!
//! [`Deployment`] is a text that has passed every check; the rest of nutmegsail only ever sees one
//! of those. This crate is told texts and store answers, decides which generation is in force, and
//! never touches a request.

mod adapter_index;
mod deployment;
mod derivation;
mod fault;
mod generation;
mod inheritance;
mod millis;
mod operators_text;
mod service;
mod text;

pub use adapter_index::AdapterIndex;
pub use deployment::{AdapterLookup, Deployment, Limits, Weights};
pub use derivation::{Derivation, DerivationStep};
pub use fault::{Fault, FaultKind, Faults};
pub use generation::{Digest, Generation, InForce};
pub use inheritance::{InheritanceError, Inherited};
pub use operators_text::{OperatorsText, TEXT_BYTES_MAX};
pub use service::{AdapterSet, Call, Service, ServiceKind, UpstreamEntry};
