//! The trait of a plain service.

use std::time::Duration;

use async_trait::async_trait;
use bytes::Bytes;
use futures_util::stream::BoxStream;
use http::{HeaderMap, Method};
use nutmegsail_base::{RequestId, UpstreamId};

use crate::UpstreamError;

/// A call to a plain service.
#[derive(Clone, Debug)]
pub struct PlainRequest {
    /// The request's id.
    pub request: RequestId,
    /// The HTTP method.
    pub method: Method,
    /// Path and query below the service.
    pub path: String,
    /// Headers to pass on, without those that concern one connection.
    pub headers: HeaderMap,
    /// The whole body.
    pub body: Bytes,
    /// What is left until the caller's deadline.
    pub deadline: Duration,
}

/// The body of a plain service's answer, as it arrives. After an error nothing follows.
pub type PlainBody = BoxStream<'static, Result<Bytes, UpstreamError>>;

/// A plain service's answer.
pub struct PlainResponse {
    /// The HTTP status.
    pub status: u16,
    /// Headers to pass on.
    pub headers: HeaderMap,
    /// Whether the end of the connection is what ends the body, so that it may be whole or not.
    pub ends_with_connection: bool,
    /// The body as it arrives.
    pub body: PlainBody,
}

impl std::fmt::Debug for PlainResponse {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("PlainResponse")
            .field("status", &self.status)
            .finish_non_exhaustive()
    }
}

/// A plain service.
#[async_trait]
pub trait PlainService: Send + Sync + std::fmt::Debug {
    /// Sends the call once. Nothing below this ever sends it again.
    async fn call(
        &self,
        upstream: &UpstreamId,
        request: PlainRequest,
    ) -> Result<PlainResponse, UpstreamError>;
    /// Asks whether the upstream is ready and not leaving.
    async fn is_ready(&self, upstream: &UpstreamId) -> Result<bool, UpstreamError>;
}
