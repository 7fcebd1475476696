//! The callers' and operators' HTTP interface of a node.
//!
//! This crate decides whether bytes from a socket are a request, and in which words its caller gets
//! the answer or the refusal. It is told answers by a [`Handler`], which the node implements. It
//! knows nothing of routing, never sends a request on by itself, and never lets an answer that
//! broke off look whole.
//!
//! Start at [`Front::bind`] with [`FrontSettings`] and a [`Handler`]; end with
//! [`Front::shutdown`]. `docs/operators/callers.md` describes the interface to callers.

mod activity;
mod body_reader;
mod call_choice;
mod callers_service;
mod connection;
mod error_body;
mod front;
mod front_error;
mod generate;
mod generation_body;
mod handler;
mod head_scan;
mod operators_query;
mod operators_service;
mod plain_call;
mod request_fault;
mod request_head;
mod request_reader;
mod response;
mod room;
mod route;
mod service_path;
mod settings;
mod sse;
mod watched_io;
mod whole_answer;

pub use error_body::ErrorBody;
pub use front::Front;
pub use front_error::FrontError;
pub use generate::{Answer, Generate};
pub use handler::Handler;
pub use operators_query::OperatorsQuery;
pub use plain_call::{PlainAnswer, PlainCall};
pub use room::RoomLog;
pub use settings::FrontSettings;
