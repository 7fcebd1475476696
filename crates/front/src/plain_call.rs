//! A call to a plain service, and its answer.

use std::time::Duration;

use bytes::Bytes;
use http::{HeaderMap, Method};
use nutmegsail_base::{CallName, CallerId, Class, RequestId, ServiceName};
use nutmegsail_upstream::PlainBody;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainCall {
    /// The request's id, new with each request.
    pub request: RequestId,
    /// Who asks.
    pub caller: CallerId,
    /// The service.
    pub service: ServiceName,
    /// The call of the text that method and path match.
    pub call: Option<CallName>,
    /// How urgent it is, after inheritance.
    pub class: Class,
    /// What is left of the whole time that the caller waits.
    pub deadline: Duration,
    /// The time to first byte that the operators aim for.
    pub target: Duration,
    /// Whether it runs at most once. Then `idempotency_key` is there.
    pub once_only: bool,
    /// Whether it may be sent to another upstream after a failure.
    pub idempotent: bool,
    /// The caller's `Idempotency-Key`, unchecked.
    pub idempotency_key: Option<String>,
    /// The HTTP method.
    pub method: Method,
    /// Path and query below the service, beginning with `/`.
    pub path: String,
    /// Headers to pass on, without those that concern one connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// The caller's `traceparent`.
    pub traceparent: Option<String>,
}

/// A plain service's answer.
pub struct PlainAnswer {
    /// The HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Whether the end of the upstream's connection is what ended the body, so that it may be whole
    /// or not. The caller's connection ends with it then.
    pub ends_with_connection: bool,
    /// The body as it arrives. An error in it breaks the caller's connection, visibly.
    pub body: PlainBody,
}

impl std::fmt::Debug for PlainAnswer {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlainAnswer")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}
