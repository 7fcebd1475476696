//! An engine client with a span for each answer.

use std::sync::Arc;

use async_trait::async_trait;
use futures_util::stream::StreamExt;
use nutmegsail_base::{EngineReport, Incarnation, RequestId, UpstreamId};
use nutmegsail_telemetry::{Hop, HopSpan, Spans};
use nutmegsail_upstream::{
    Attachment, CancelAnswer, Engine, EngineRequest, EngineStream, LoadOrder, OrderAnswer,
    OrderError, UpstreamError,
};

/// An engine client with a span for each answer, which the engine gets as its parent.
#[derive(Debug)]
pub(crate) struct ObservedEngine {
    /// The client.
    pub(crate) inner: Arc<dyn Engine>,
    /// Where spans go.
    pub(crate) spans: Spans,
}

/// Ends the span with the stream, however that ends.
fn until_the_end(mut stream: EngineStream, span: HopSpan) -> EngineStream {
    let events = stream.events.inspect(move |event| {
        if let Err(error) = event {
            span.fail(error.code());
        }
    });
    stream.events = events.boxed();
    stream
}

#[async_trait]
impl Engine for ObservedEngine {
    async fn start(
        &self,
        upstream: &UpstreamId,
        mut request: EngineRequest,
    ) -> Result<EngineStream, UpstreamError> {
        let parent = request.traceparent.as_deref();
        let span = self.spans.begin(Hop::Upstream, parent);
        span.set("nutmegsail.upstream", upstream);
        request.traceparent = span.traceparent();
        let started = self.inner.start(upstream, request).await;
        if let Err(error) = &started {
            span.fail(error.code());
        }
        started.map(|stream| until_the_end(stream, span))
    }

    async fn resume(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        request: &RequestId,
        after: u64,
    ) -> Result<EngineStream, UpstreamError> {
        self.inner
            .resume(upstream, incarnation, request, after)
            .await
    }

    async fn cancel(
        &self,
        upstream: &UpstreamId,
        request: &RequestId,
        attachment: Attachment,
    ) -> Result<CancelAnswer, UpstreamError> {
        self.inner.cancel(upstream, request, attachment).await
    }

    async fn report(&self, upstream: &UpstreamId) -> Result<EngineReport, UpstreamError> {
        self.inner.report(upstream).await
    }

    async fn order(
        &self,
        upstream: &UpstreamId,
        order: &LoadOrder,
    ) -> Result<OrderAnswer, OrderError> {
        self.inner.order(upstream, order).await
    }
}
