//! Messages between nodes, over nng.
//!
//! This crate is told messages and carries them: one way, at most once, in no order. It decides
//! nothing about their meaning, never waits for a peer, and survives any bytes that come in.
//! Start at [`Link::bind`] and [`NodeMessage`].

mod envelope;
mod error;
mod link;
mod message;
mod payload;
mod peer;
mod traffic;

pub use envelope::{Envelope, MAX_MESSAGE_BYTES, PROTOCOL_VERSION};
pub use error::WireError;
pub use link::Link;
pub use message::{
    Forward, ForwardAnswer, MessageKind, NodeMessage, PinAnswer, PinAsk, PinOutcome, PinRecall,
    PinReturn,
};
pub use payload::Payload;
pub use traffic::{Traffic, TrafficCount};
