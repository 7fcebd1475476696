//! The trait of a model engine.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use nutmegsail_base::{
    AdapterRef, Class, EngineReport, Incarnation, NodeId, RequestId, UpstreamId,
};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::{Attachment, CancelAnswer, UpstreamError};

/// A generation that an engine is asked for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EngineRequest {
    /// The request's id; the engine knows the run by it.
    pub request: RequestId,
    /// Exactly this adapter and version.
    pub adapter: AdapterRef,
    /// How urgent it is inside the engine.
    pub class: Class,
    /// What is left until the caller's deadline.
    pub deadline: Duration,
    /// The caller's JSON body, passed on as it came.
    pub body: Bytes,
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// The caller's `traceparent`, or the node's own.
    pub traceparent: Option<String>,
}

/// One piece of an answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum StreamEvent {
    /// Text. Ids start at 1 and rise by 1.
    Piece {
        /// The event's number.
        id: u64,
        /// The event's data, one line of JSON.
        json: Bytes,
    },
    /// The whole answer has been sent.
    End(AnswerEnd),
}

/// How a whole answer ends.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct AnswerEnd {
    /// How many pieces the answer has.
    pub count: u64,
    /// Why it ends: `stop`, `length`.
    pub reason: String,
}

/// An answer under way. Dropping it closes the connection; the engine then ends the run, at once or,
/// if it was asked to keep runs for a resume, after a while. [`Engine::cancel`] ends it for certain.
pub struct EngineStream {
    /// The engine's incarnation that runs the request.
    pub incarnation: Incarnation,
    /// Which reader of the run this is; a cancellation names it.
    pub attachment: Attachment,
    /// Events as they arrive. After an error nothing follows.
    pub events: BoxStream<'static, Result<StreamEvent, UpstreamError>>,
}

impl std::fmt::Debug for EngineStream {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("EngineStream")
            .field("incarnation", &self.incarnation)
            .field("attachment", &self.attachment)
            .finish_non_exhaustive()
    }
}

/// What a load order asks for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderOp {
    /// Fetch the adapter from the weight store into a slot.
    Load,
    /// Free the adapter's slot once nothing runs on it.
    Unload,
}

/// An order to an engine. Only the engine's owner gives orders.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadOrder {
    /// What to do.
    pub op: OrderOp,
    /// Which adapter and version.
    pub adapter: AdapterRef,
    /// The node that gives the order.
    pub holder: NodeId,
    /// The owner's fencing number.
    pub fence: u64,
    /// The engine's `order_seq` that this order rests on; the engine refuses it if that has moved.
    pub expected_seq: u64,
    /// The incarnation that the order is for; another one refuses it.
    pub incarnation: Incarnation,
    /// After this time of day, in milliseconds since 1970, the engine refuses the order.
    pub valid_until_unix_ms: u64,
}

/// What an engine says to an order.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum OrderAnswer {
    /// It is being carried out.
    Accepted,
    /// It already holds.
    AlreadyDone,
}

/// Why an engine did not take an order.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum OrderError {
    /// `expected_seq` or the incarnation differs: the order rests on an old view.
    #[error("the engine has moved on since the order was made")]
    Stale,
    /// A higher fencing number was seen: this node no longer owns the engine.
    #[error("the engine has seen a higher fencing number")]
    Fenced,
    /// No slot is free.
    #[error("the engine has no free adapter slot")]
    NoSlot,
    /// The adapter is in use, so it is not unloaded.
    #[error("the adapter is in use")]
    InUse,
    /// The weight store refused the load for now.
    #[error("the weight store refused the load")]
    StoreRefused,
    /// The engine could not be reached; the order was not sent.
    #[error("the engine cannot be reached")]
    Unreachable,
    /// No answer came; the order may be carried out, even later.
    #[error("no answer came to the order; it may still be carried out")]
    Ambiguous,
}

/// A model engine.
#[async_trait]
pub trait Engine: Send + Sync + std::fmt::Debug {
    /// Starts a generation. The answer's adapter is checked before this returns.
    async fn start(
        &self,
        upstream: &UpstreamId,
        request: EngineRequest,
    ) -> Result<EngineStream, UpstreamError>;
    /// Goes on with the run `request` after the event `after`, at the incarnation that holds it.
    async fn resume(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        request: &RequestId,
        after: u64,
    ) -> Result<EngineStream, UpstreamError>;
    /// Ends a run, unless a later attachment has taken its stream. Its slot is free once this
    /// returns [`CancelAnswer::Ended`].
    async fn cancel(
        &self,
        upstream: &UpstreamId,
        request: &RequestId,
        attachment: Attachment,
    ) -> Result<CancelAnswer, UpstreamError>;
    /// Reads the engine's report on itself.
    async fn report(&self, upstream: &UpstreamId) -> Result<EngineReport, UpstreamError>;
    /// Gives the engine an order.
    async fn order(
        &self,
        upstream: &UpstreamId,
        order: &LoadOrder,
    ) -> Result<OrderAnswer, OrderError>;
}
