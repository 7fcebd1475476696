//! Upstreams as nutmegsail sees them: model engines and plain services.
//!
//! [`Engine`] and [`PlainService`] are the traits that everything else uses; [`HttpEngine`] and
//! [`HttpPlainService`] speak to real ones. This crate translates and decides nothing; above all it
//! never sends a request a second time by itself. Start at [`Engine`] and [`UpstreamError`].

mod answer_body;
mod attachment;
mod engine;
mod engine_events;
mod error;
mod event_parser;
mod http_engine;
mod http_plain_service;
mod plain;
mod refusal;
mod upstream_settings;

pub use attachment::{Attachment, CancelAnswer};
pub use engine::{
    AnswerEnd, Engine, EngineRequest, EngineStream, LoadOrder, OrderAnswer, OrderError, OrderOp,
    StreamEvent,
};
pub use error::UpstreamError;
pub use event_parser::EventParser;
pub use http_engine::HttpEngine;
pub use http_plain_service::HttpPlainService;
pub use plain::{PlainBody, PlainRequest, PlainResponse, PlainService};
pub use upstream_settings::UpstreamSettings;
