//! What the front asks of the node behind it.

use std::sync::Arc;

use async_trait::async_trait;
use bytes::Bytes;
use nutmegsail_config::InForce;
use nutmegsail_request::{AnswerHandle, Refusal};

use crate::{Answer, Generate, OperatorsQuery, PlainAnswer, PlainCall};

/// Answers the requests that the front has read and checked.
///
/// The front drops the future of a call, or the [`Answer`], as soon as the caller has gone; that
/// must cancel what runs for it. A panic is caught and reaches the caller as `NS7002`.
#[async_trait]
pub trait Handler: Send + Sync + 'static {
    /// The operators' text in force, if the node knows one.
    fn in_force(&self) -> Option<Arc<InForce>>;
    /// Whether the node takes requests, for the platform's balancer.
    fn is_ready(&self) -> bool;
    /// Starts an answer on exactly the adapter and version that is asked for.
    async fn generate(&self, request: Generate) -> Result<Answer, Refusal>;
    /// Goes on with an answer after its piece `after`, at the engine that holds it.
    async fn resume(&self, handle: AnswerHandle, after: u64) -> Result<Answer, Refusal>;
    /// Calls a plain service.
    async fn call(&self, request: PlainCall) -> Result<PlainAnswer, Refusal>;
    /// A new key for one call that runs once, which only this run of the node may ever run; `None`
    /// while the node is leaving.
    fn ticket(&self) -> Option<String>;
    /// Answers an operator, in JSON.
    async fn operators(&self, query: OperatorsQuery) -> Result<Bytes, Refusal>;
}
