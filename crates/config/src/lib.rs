//! The operators' text, which configures a deployment: parsing, validation, comparison, publishing
//! and distribution to the nodes.
//!
//! This crate decides what a text means, which text is accepted, and which generation is in force
//! on a node. Its inputs are texts, answers of the key-value service and messages of peers. It
//! handles no requests, reads no files and no clock, and its only I/O is calls to the key-value
//! service.
//!
//! Start at [`Deployment::parse`] for parsing, [`Deployment::derive`] for a call's class and
//! deadline, [`Publisher`] for how a text is accepted, and [`Spread`] for how it comes into force
//! on a node.

mod adapter_index;
mod changes;
mod deployment;
mod derivation;
mod fault;
mod fields;
mod generation;
mod head;
mod inheritance;
mod millis;
mod operators_text;
mod piece;
mod publisher;
mod service;
mod spread;
mod text;
mod text_store;

pub use adapter_index::AdapterIndex;
pub use changes::{Changes, FieldChange, NameCount, ServiceChange, UpstreamChange, diff};
pub use deployment::{AdapterLookup, Deployment, Limits, Weights};
pub use derivation::{Derivation, DerivationStep};
pub use fault::{Fault, FaultKind, Faults};
pub use generation::{Digest, Generation, InForce};
pub use head::{HEAD_KEY, Head, PIECE_PREFIX, RECENT_WRITERS, RecentWrite, WriterId};
pub use inheritance::{InheritanceError, Inherited};
pub use operators_text::{MAX_TEXT_BYTES, OperatorsText};
pub use piece::{JoinError, Piece, join, split};
pub use publisher::{Accepted, Conflict, PublishError, Publisher, RetryPolicy};
pub use service::{AdapterSet, Call, Service, ServiceKind, UpstreamEntry};
pub use spread::{
    LiveNodes, Spread, SpreadAction, SpreadEvent, SpreadReport, SpreadSettings, TextSource,
    watchers,
};
pub use text_store::{FetchError, Fetched, StoredHead, TextStore};
