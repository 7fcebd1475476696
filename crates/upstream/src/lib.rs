//! Upstreams as nutmegsail sees them: model engines and plain services.
//!
//! [`Engine`] and [`PlainService`] are the traits that everything else uses. This crate translates
//! and decides nothing; above all it never sends a request a second time by itself.

mod engine;
mod error;
mod plain;

pub use engine::{
    AnswerEnd, Engine, EngineRequest, EngineStream, LoadOrder, OrderAnswer, OrderError, OrderOp,
    StreamEvent,
};
pub use error::UpstreamError;
pub use plain::{PlainBody, PlainRequest, PlainResponse, PlainService};
