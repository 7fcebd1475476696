//! Many upstreams behind one value.

use std::collections::BTreeMap;

use async_trait::async_trait;
use nutmegsail_base::{EngineReport, Incarnation, RequestId, UpstreamId};
use nutmegsail_upstream::{
    Attachment, CancelAnswer, Engine, EngineRequest, EngineStream, LoadOrder, OrderAnswer,
    OrderError, PlainRequest, PlainResponse, PlainService, UpstreamError,
};

use crate::{FakeEngine, FakePlainService};

/// All upstreams of a test by address. An unknown address can't be reached.
#[derive(Clone, Debug, Default)]
pub struct FakeFleet {
    /// Engines by address.
    pub engines: BTreeMap<UpstreamId, FakeEngine>,
    /// Plain services by address.
    pub plains: BTreeMap<UpstreamId, FakePlainService>,
}

impl FakeFleet {
    /// Adds an engine.
    #[must_use]
    pub fn with_engine(mut self, engine: FakeEngine) -> Self {
        self.engines.insert(engine.id().clone(), engine);
        self
    }

    /// Adds a plain service.
    #[must_use]
    pub fn with_plain(mut self, plain: FakePlainService) -> Self {
        self.plains.insert(plain.id().clone(), plain);
        self
    }

    fn engine(&self, upstream: &UpstreamId) -> Result<&FakeEngine, UpstreamError> {
        self.engines.get(upstream).ok_or(UpstreamError::Unreachable)
    }

    fn plain(&self, upstream: &UpstreamId) -> Result<&FakePlainService, UpstreamError> {
        self.plains.get(upstream).ok_or(UpstreamError::Unreachable)
    }
}

#[async_trait]
impl Engine for FakeFleet {
    async fn start(
        &self,
        upstream: &UpstreamId,
        request: EngineRequest,
    ) -> Result<EngineStream, UpstreamError> {
        self.engine(upstream)?.start(upstream, request).await
    }

    async fn resume(
        &self,
        upstream: &UpstreamId,
        incarnation: Incarnation,
        request: &RequestId,
        after: u64,
    ) -> Result<EngineStream, UpstreamError> {
        let engine = self.engine(upstream)?;
        engine.resume(upstream, incarnation, request, after).await
    }

    async fn cancel(
        &self,
        upstream: &UpstreamId,
        request: &RequestId,
        attachment: Attachment,
    ) -> Result<CancelAnswer, UpstreamError> {
        let engine = self.engine(upstream)?;
        engine.cancel(upstream, request, attachment).await
    }

    async fn report(&self, upstream: &UpstreamId) -> Result<EngineReport, UpstreamError> {
        self.engine(upstream)?.report(upstream).await
    }

    async fn order(
        &self,
        upstream: &UpstreamId,
        order: &LoadOrder,
    ) -> Result<OrderAnswer, OrderError> {
        match self.engine(upstream) {
            Ok(engine) => engine.order(upstream, order).await,
            Err(_) => Err(OrderError::Unreachable),
        }
    }
}

#[async_trait]
impl PlainService for FakeFleet {
    async fn call(
        &self,
        upstream: &UpstreamId,
        request: PlainRequest,
    ) -> Result<PlainResponse, UpstreamError> {
        self.plain(upstream)?.call(upstream, request).await
    }

    async fn is_ready(&self, upstream: &UpstreamId) -> Result<bool, UpstreamError> {
        self.plain(upstream)?.is_ready(upstream).await
    }
}
