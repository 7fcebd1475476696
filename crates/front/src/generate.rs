//! A generation that a caller asks for, and its answer.

use std::time::Duration;

use bytes::Bytes;
use futures_util::stream::BoxStream;
use nutmegsail_base::{AdapterRef, CallName, CallerId, Class, RequestId, ServiceName};
use nutmegsail_request::{AnswerHandle, Refusal};
use nutmegsail_upstream::StreamEvent;

/// A generation that a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Generate {
    /// The request's id, new with each request.
    pub request: RequestId,
    /// Who asks.
    pub caller: CallerId,
    /// The service that has the adapter.
    pub service: ServiceName,
    /// The kind of call, if the caller names one.
    pub call: Option<CallName>,
    /// Exactly this adapter and version.
    pub adapter: AdapterRef,
    /// How urgent it is, after inheritance.
    pub class: Class,
    /// What is left of the whole time that the caller waits.
    pub deadline: Duration,
    /// The time to first token that the operators aim for.
    pub target: Duration,
    /// The caller's JSON body as it came.
    pub body: Bytes,
    /// `/v1/completions` or `/v1/chat/completions`.
    pub path: &'static str,
    /// Whether the caller reads the answer as a stream.
    pub is_stream: bool,
    /// A hash of the prompt's beginning: prompts that share it may share a cached prefix.
    pub prefix: Option<u64>,
    /// The caller's `traceparent`.
    pub traceparent: Option<String>,
}

/// An answer under way. Dropping it must cancel the run.
pub struct Answer {
    /// By which the caller resumes it.
    pub handle: AnswerHandle,
    /// The adapter that the engine named.
    pub adapter: AdapterRef,
    /// Its events. After the end event or an error nothing follows.
    pub events: BoxStream<'static, Result<StreamEvent, Refusal>>,
}

impl std::fmt::Debug for Answer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Answer")
            .field("handle", &self.handle)
            .field("adapter", &self.adapter)
            .finish_non_exhaustive()
    }
}
